"""Build attrs classes from parsed TOML or JSON with strict validation."""

import enum
from typing import Any

import attrs
import cattrs
from cattrs.gen import make_dict_structure_fn

_STRICT_TYPES = (bool, int, str)


def new_strict_converter() -> cattrs.Converter:
    """Return a cattrs converter that rejects unknown keys and wrong types.

    Values of type bool, int, float and str are not converted from other
    types, except that a float may be written as an integer.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook_factory(
        attrs.has,
        lambda attrs_type: make_dict_structure_fn(
            attrs_type,
            converter,
            _cattrs_forbid_extra_keys=True,
        ),
    )
    for strict_type in _STRICT_TYPES:
        converter.register_structure_hook(strict_type, _structure_strictly)
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook(enum.StrEnum, _structure_enum)
    return converter


def format_structure_error(error: Exception, path: str) -> str:
    """Return the reasons why structuring failed, joined by semicolons.

    ``error`` is the exception that the converter raised. ``path`` is the name
    of the top-level value; each reason ends with the path of its field.
    """
    reasons = cattrs.transform_error(
        error,
        path=path,
        format_exception=_describe_field_error,
    )
    return '; '.join(reasons)


def _describe_field_error(
    error: BaseException, expected_type: type | None
) -> str:
    match error:
        case cattrs.errors.ForbiddenExtraKeysError():
            unknown = ', '.join(sorted(error.extra_fields))
            return f'unknown key {unknown}'
        case KeyError():
            return f'missing key {error.args[0]}'
        case _:
            return str(error)


def _structure_enum(raw: Any, enum_type: type[enum.StrEnum]) -> Any:
    try:
        return enum_type(raw)
    except ValueError as error:
        allowed = ', '.join(enum_type)
        raise ValueError(f'{raw!r} is not one of {allowed}') from error


def _structure_strictly(raw: Any, strict_type: type) -> Any:
    is_bool = isinstance(raw, bool)
    if isinstance(raw, strict_type) and is_bool == (strict_type is bool):
        return raw
    raise ValueError(f'must be of type {strict_type.__name__}, not {raw!r}')


def _structure_float(raw: Any, _: type) -> float:
    if isinstance(raw, int | float) and not isinstance(raw, bool):
        return float(raw)
    raise ValueError(f'must be of type float, not {raw!r}')
