"""Read typed fields of decoded JSON and TOML documents.

Each function raises ``MalformedValueError``, which names the field, if the
field is missing without a default, has another type or is out of range.
"""

from collections.abc import Mapping, Sequence
from typing import Any

from arbutusbay.checked_values import (
    MalformedValueError,
    describe_value,
    require_boolean,
    require_count,
    require_list,
    require_number,
)


def get_string(fields: Mapping[str, Any], name: str) -> str:
    """Return a string that is not empty."""
    text = fields.get(name)
    if isinstance(text, str) and text:
        return text
    raise MalformedValueError(
        f'{name}: must be a non-empty string, not {describe_value(text)}'
    )


def get_number(
    fields: Mapping[str, Any],
    name: str,
    default: float | None = None,
) -> float:
    """Return a number from 0 on as a float."""
    return require_number(fields.get(name, default), name)


def get_integer(
    fields: Mapping[str, Any],
    name: str,
    default: int | None = None,
) -> int:
    """Return an integer from 0 on."""
    return require_count(fields.get(name, default), name)


def get_boolean(
    fields: Mapping[str, Any], name: str, *, default: bool | None
) -> bool:
    """Return a boolean."""
    return require_boolean(fields.get(name, default), name)


def get_list(fields: Mapping[str, Any], name: str) -> Sequence[Any]:
    """Return a list, empty if the field is missing."""
    return require_list(fields.get(name, []), name)


def get_strings(fields: Mapping[str, Any], name: str) -> tuple[str, ...]:
    """Return a list of strings as a tuple, empty if it is missing."""
    entries = get_list(fields, name)
    if all(isinstance(entry, str) for entry in entries):
        return tuple(entries)
    raise MalformedValueError(f'{name}: must be a list of strings')


def get_duration_s(
    fields: Mapping[str, Any],
    name: str,
    default_ms: float | None = None,
) -> float:
    """Return a duration in seconds from a field in milliseconds."""
    return get_number(fields, name, default_ms) / 1000
