"""Expose the settings that daemons share, their loader and validators."""

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
