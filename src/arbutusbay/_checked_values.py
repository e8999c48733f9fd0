"""Check values that other programs have written.

Each check returns the value, or raises ``MalformedValueError`` with the name
of the field.
"""

from collections.abc import Mapping, Sequence
from typing import Any

_MAX_SHOWN_CHARACTERS = 60


class MalformedValueError(ValueError):
    """Report which field is missing or holds an invalid value."""


def describe_value(found: Any) -> str:
    """Return a short text that shows ``found`` in an error.

    Only scalars are shown: the ``repr`` of a value that is nested deeply
    raises an error of its own.
    """
    if isinstance(found, str):
        shown = found[:_MAX_SHOWN_CHARACTERS]
        return repr(shown) if shown == found else f'{shown!r}...'
    if found is None or isinstance(found, int | float):
        return repr(found)
    return f'a value of type {type(found).__name__}'


def require_mapping(found: Any, name: str) -> Mapping[str, Any]:
    """Return ``found`` if it is a mapping."""
    if isinstance(found, Mapping):
        return found
    raise _malformed(name, 'a mapping', found)


def require_list(found: Any, name: str) -> Sequence[Any]:
    """Return ``found`` if it is a list."""
    if isinstance(found, list):
        return found
    raise _malformed(name, 'a list', found)


def require_text(found: Any, name: str) -> str:
    """Return ``found`` if it is a string, which may be empty."""
    if isinstance(found, str):
        return found
    raise _malformed(name, 'a string', found)


def require_boolean(found: Any, name: str) -> bool:
    """Return ``found`` if it is a boolean."""
    if isinstance(found, bool):
        return found
    raise _malformed(name, 'true or false', found)


def require_integer(found: Any, name: str) -> int:
    """Return ``found`` if it is an integer."""
    if isinstance(found, int) and not isinstance(found, bool):
        return found
    raise _malformed(name, 'an integer', found)


def require_count(found: Any, name: str) -> int:
    """Return ``found`` if it is an integer from 0 on."""
    if require_integer(found, name) >= 0:
        return found
    raise _malformed(name, 'a non-negative integer', found)


def require_number(found: Any, name: str) -> float:
    """Return ``found`` as a float if it is finite and not negative."""
    is_number = isinstance(found, int | float) and not isinstance(found, bool)
    if is_number and 0 <= found < float('inf'):
        return float(found)
    raise _malformed(name, 'a non-negative number', found)


def _malformed(name: str, wanted: str, found: Any) -> MalformedValueError:
    return MalformedValueError(
        f'{name}: must be {wanted}, not {describe_value(found)}'
    )
