"""Build attrs classes from parsed TOML or JSON without guessing types."""

from typing import Any

import attrs
import cattrs
from cattrs.gen import make_dict_structure_fn

_PLAIN_TYPES = (bool, int, str)


def new_converter() -> cattrs.Converter:
    """Return a converter that refuses unknown keys and wrong types."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook_factory(
        attrs.has,
        lambda attrs_type: make_dict_structure_fn(
            attrs_type,
            converter,
            _cattrs_forbid_extra_keys=True,
        ),
    )
    converter.register_structure_hook_func(
        lambda wanted: wanted in _PLAIN_TYPES,
        _structure_exactly,
    )
    return converter


def _structure_exactly(raw: Any, plain_type: type) -> Any:
    is_bool = isinstance(raw, bool)
    if isinstance(raw, plain_type) and is_bool == (plain_type is bool):
        return raw
    raise ValueError(f'must be of type {plain_type.__name__}, is {raw!r}')
