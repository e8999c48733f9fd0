"""Encode typed messages with Cap'n Proto and decode them with checks."""

import functools
from pathlib import Path
from types import ModuleType
from typing import Any, TypeVar

import attrs
import capnp
import cattrs
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure

_MessageT = TypeVar('_MessageT')
_SCHEMA_PATH = Path(__file__).with_name('arbutusbay.capnp')
_TRAVERSAL_LIMIT_WORDS = 8 * 1024 * 1024
_CONVERTER = cattrs.Converter()


def _loaded_schema() -> ModuleType:
    capnp.remove_import_hook()
    return capnp.load(str(_SCHEMA_PATH))


# Loaded with the module: without a free descriptor the load aborts the process.
_SCHEMA = _loaded_schema()


def encode(message: Any) -> bytes:
    """Return the Cap'n Proto bytes of an attrs message."""
    struct = getattr(_SCHEMA, type(message).__name__)
    return struct.new_message(**_to_fields(message)).to_bytes()


def decode(
    message_type: type[_MessageT],
    payload: bytes,
) -> Result[_MessageT, Failure]:
    """Return the message in ``payload``, or ``BAD_MESSAGE``."""
    struct = getattr(_SCHEMA, message_type.__name__)
    try:
        with struct.from_bytes(
            payload,
            traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS,
        ) as reader:
            fields = reader.to_dict()
        return Ok(_CONVERTER.structure(_snake_keys(fields), message_type))
    except Exception as error:
        return Err(
            Failure(
                kind=ErrorKind.BAD_MESSAGE,
                detail=f'{message_type.__name__}: {type(error).__name__}',
            ),
        )


def _to_fields(message: Any) -> dict[str, Any]:
    return {
        wire_name: _to_value(getattr(message, name))
        for name, wire_name in _wire_names(type(message))
    }


def _to_value(field_value: Any) -> Any:
    if isinstance(field_value, list) and field_value:
        is_nested = attrs.has(type(field_value[0]))
        return list(map(_to_fields, field_value)) if is_nested else field_value
    return field_value


@functools.cache
def _wire_names(message_type: type[Any]) -> tuple[tuple[str, str], ...]:
    return tuple(
        (field.name, _camel(field.name)) for field in attrs.fields(message_type)
    )


def _snake_keys(fields: dict[str, Any]) -> dict[str, Any]:
    return {
        _snake(wire_name): (
            list(map(_snake_element, field_value))
            if isinstance(field_value, list)
            else field_value
        )
        for wire_name, field_value in fields.items()
    }


def _snake_element(element: Any) -> Any:
    return _snake_keys(element) if isinstance(element, dict) else element


@functools.cache
def _camel(name: str) -> str:
    first, *others = name.split('_')
    return first + ''.join(part.capitalize() for part in others)


@functools.cache
def _snake(name: str) -> str:
    return ''.join(
        f'_{letter.lower()}' if letter.isupper() else letter for letter in name
    )
