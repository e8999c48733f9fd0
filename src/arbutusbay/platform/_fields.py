"""Read typed fields out of decoded documents, naming what is wrong."""

from collections.abc import Mapping, Sequence
from typing import Any


class MalformedDocumentError(ValueError):
    """Say which field of a document is missing or of another type."""


def as_table(document: Any, where: str) -> Mapping[str, Any]:
    """Return ``document`` if it is a table."""
    if isinstance(document, Mapping):
        return document
    raise MalformedDocumentError(f'{where}: must be a table')


def get_text(table: Mapping[str, Any], name: str) -> str:
    """Return a text that is not empty."""
    text = table.get(name)
    if isinstance(text, str) and text:
        return text
    raise MalformedDocumentError(f'{name}: must be a text, is {text!r}')


def get_number(
    table: Mapping[str, Any],
    name: str,
    default: float | None = None,
) -> float:
    """Return a number that is not negative."""
    number = table.get(name, default)
    is_number = isinstance(number, int | float) and not isinstance(number, bool)
    if is_number and 0 <= number < float('inf'):
        return float(number)
    raise MalformedDocumentError(f'{name}: must be a number, is {number!r}')


def get_whole(
    table: Mapping[str, Any],
    name: str,
    default: int | None = None,
) -> int:
    """Return a whole number that is not negative."""
    number = table.get(name, default)
    is_whole = isinstance(number, int) and not isinstance(number, bool)
    if is_whole and number >= 0:
        return number
    raise MalformedDocumentError(
        f'{name}: must be a whole number, is {number!r}',
    )


def get_flag(table: Mapping[str, Any], name: str, *, default: bool) -> bool:
    """Return true or false."""
    flag = table.get(name, default)
    if isinstance(flag, bool):
        return flag
    raise MalformedDocumentError(f'{name}: must be true or false, is {flag!r}')


def get_list(table: Mapping[str, Any], name: str) -> Sequence[Any]:
    """Return a list, empty where there is none."""
    entries = table.get(name, [])
    if isinstance(entries, list):
        return entries
    raise MalformedDocumentError(f'{name}: must be a list')


def get_texts(table: Mapping[str, Any], name: str) -> tuple[str, ...]:
    """Return a list of texts, empty where there is none."""
    entries = get_list(table, name)
    if all(isinstance(entry, str) for entry in entries):
        return tuple(entries)
    raise MalformedDocumentError(f'{name}: must be a list of texts')


def get_milliseconds(
    table: Mapping[str, Any],
    name: str,
    default_ms: float | None = None,
) -> float:
    """Return a duration given in milliseconds, in seconds."""
    return get_number(table, name, default_ms) / 1000
