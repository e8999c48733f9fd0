"""Expose the conversion between configuration state and messages."""

from arbutusbay._config_messages import (
    build_resource_entries,
    build_resource_keys,
    apply_config_reply,
)

__all__ = (
    'build_resource_entries',
    'build_resource_keys',
    'apply_config_reply',
)
