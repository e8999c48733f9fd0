"""Validate and read typed fields of decoded JSON and TOML documents.

Each function raises ``MalformedDocumentError``, which names the field, if
the field is missing without a default or has another type.
"""

from collections.abc import Mapping, Sequence
from typing import Any


class MalformedDocumentError(ValueError):
    """Report which field of a document is missing or invalid."""


def require_mapping(document: Any, where: str) -> Mapping[str, Any]:
    """Return ``document`` if it is a mapping.

    ``where`` names it in the error.
    """
    if isinstance(document, Mapping):
        return document
    raise MalformedDocumentError(f'{where}: must be a mapping')


def get_string(fields: Mapping[str, Any], name: str) -> str:
    """Return a string that is not empty."""
    text = fields.get(name)
    if isinstance(text, str) and text:
        return text
    raise MalformedDocumentError(
        f'{name}: must be a non-empty string, not {text!r}'
    )


def get_number(
    fields: Mapping[str, Any],
    name: str,
    default: float | None = None,
) -> float:
    """Return a finite, non-negative number as a float."""
    number = fields.get(name, default)
    is_number = isinstance(number, int | float) and not isinstance(number, bool)
    if is_number and 0 <= number < float('inf'):
        return float(number)
    raise MalformedDocumentError(
        f'{name}: must be a non-negative number, not {number!r}'
    )


def get_integer(
    fields: Mapping[str, Any],
    name: str,
    default: int | None = None,
) -> int:
    """Return a non-negative integer."""
    number = fields.get(name, default)
    is_integer = isinstance(number, int) and not isinstance(number, bool)
    if is_integer and number >= 0:
        return number
    raise MalformedDocumentError(
        f'{name}: must be a non-negative integer, not {number!r}',
    )


def get_boolean(
    fields: Mapping[str, Any], name: str, *, default: bool | None
) -> bool:
    """Return a boolean."""
    flag = fields.get(name, default)
    if isinstance(flag, bool):
        return flag
    raise MalformedDocumentError(f'{name}: must be true or false, not {flag!r}')


def get_list(fields: Mapping[str, Any], name: str) -> Sequence[Any]:
    """Return a list, empty if the field is missing."""
    entries = fields.get(name, [])
    if isinstance(entries, list):
        return entries
    raise MalformedDocumentError(f'{name}: must be a list')


def get_strings(fields: Mapping[str, Any], name: str) -> tuple[str, ...]:
    """Return a list of strings as a tuple, empty if it is missing."""
    entries = get_list(fields, name)
    if all(isinstance(entry, str) for entry in entries):
        return tuple(entries)
    raise MalformedDocumentError(f'{name}: must be a list of strings')


def get_duration_s(
    fields: Mapping[str, Any],
    name: str,
    default_ms: float | None = None,
) -> float:
    """Return a duration in seconds from a field in milliseconds."""
    return get_number(fields, name, default_ms) / 1000
