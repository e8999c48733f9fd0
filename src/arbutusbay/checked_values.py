"""Expose the checks of values that other programs have written."""

from arbutusbay._checked_values import (
    MAX_INTEGER,
    MalformedValueError,
    describe_value,
    require_boolean,
    require_count,
    require_integer,
    require_list,
    require_mapping,
    require_number,
    require_text,
)

__all__ = (
    'MAX_INTEGER',
    'MalformedValueError',
    'describe_value',
    'require_boolean',
    'require_count',
    'require_integer',
    'require_list',
    'require_mapping',
    'require_number',
    'require_text',
)
