"""Expose the settings that several daemons share."""

from arbutusbay._settings import (
    DrainSettings,
    LogSettings,
    NodeSettings,
    PlatformSettings,
    between,
    is_not_empty,
    load_settings,
)

__all__ = (
    'DrainSettings',
    'LogSettings',
    'NodeSettings',
    'PlatformSettings',
    'between',
    'is_not_empty',
    'load_settings',
)
