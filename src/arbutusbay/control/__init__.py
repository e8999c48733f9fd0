"""Expose the control daemon."""

from arbutusbay.control._config_tail import restore_config
from arbutusbay.control._main import main
from arbutusbay.control._settings import ControlSettings

__all__ = ('ControlSettings', 'main', 'restore_config')
