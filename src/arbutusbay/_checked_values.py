"""Check the type and the range of values that other programs have written.

Each check returns the value, or raises ``MalformedValueError`` with the name
of the field.
"""

from collections.abc import Mapping, Sequence
from typing import Any

# JSON holds integers up to here exactly, and sums of them fit 64 bits.
MAX_INTEGER = 9_007_199_254_740_991
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
    if isinstance(found, int) and abs(found) > MAX_INTEGER:
        return f'an integer of {found.bit_length()} bits'
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


def require_integer(
    found: Any, name: str, *, lowest: int, highest: int = MAX_INTEGER
) -> int:
    """Return ``found`` if it is an integer of the range."""
    is_integer = isinstance(found, int) and not isinstance(found, bool)
    if is_integer and lowest <= found <= highest:
        return found
    raise _malformed(name, f'an integer from {lowest} to {highest}', found)


def require_count(found: Any, name: str, *, highest: int = MAX_INTEGER) -> int:
    """Return ``found`` if it is an integer from 0 to ``highest``."""
    return require_integer(found, name, lowest=0, highest=highest)


def require_number(
    found: Any, name: str, *, highest: float = MAX_INTEGER
) -> float:
    """Return ``found`` as a float if it is a number from 0 to ``highest``."""
    is_number = isinstance(found, int | float) and not isinstance(found, bool)
    if is_number and 0 <= found <= highest:
        return float(found)
    raise _malformed(name, f'a number from 0 to {highest}', found)


def _malformed(name: str, wanted: str, found: Any) -> MalformedValueError:
    return MalformedValueError(
        f'{name}: must be {wanted}, not {describe_value(found)}'
    )
