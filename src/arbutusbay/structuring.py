"""Expose the strict converter for settings and resources."""

from arbutusbay._structuring import format_structure_error, new_strict_converter

__all__ = ('format_structure_error', 'new_strict_converter')
