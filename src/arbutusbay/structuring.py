"""Expose the strict converter for settings and resources."""

from arbutusbay._structuring import explain_error, new_converter

__all__ = ('explain_error', 'new_converter')
