"""Expose the conversion between configuration state and messages."""

from arbutusbay._config_messages import (
    apply_config_reply,
    build_resource_entries,
    build_resource_keys,
)

__all__ = (
    'apply_config_reply',
    'build_resource_entries',
    'build_resource_keys',
)
