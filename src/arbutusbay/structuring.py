"""Expose the converter for settings and resources."""

from arbutusbay._structuring import new_converter

__all__ = ('new_converter',)
