"""Encode attrs messages with Cap'n Proto and decode them with checks.

A message class has the name of its struct in the schema. Its attributes are
in snake case, the fields of the struct in camel case.
"""

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


def _load_schema() -> ModuleType:
    capnp.remove_import_hook()
    return capnp.load(str(_SCHEMA_PATH))


# Loaded at import time: capnp.load aborts the process if no file descriptor
# is free.
_SCHEMA = _load_schema()


def encode_message(message: Any) -> bytes:
    """Return the Cap'n Proto encoding of an attrs message."""
    struct = getattr(_SCHEMA, type(message).__name__)
    return struct.new_message(**_struct_fields(message)).to_bytes()


def decode_message(
    message_type: type[_MessageT],
    payload: bytes,
) -> Result[_MessageT, Failure]:
    """Decode ``payload`` as a message of the type ``message_type``.

    Any error while decoding gives a failure of kind ``BAD_MESSAGE``.
    """
    struct = getattr(_SCHEMA, message_type.__name__)
    try:
        with struct.from_bytes(
            payload,
            traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS,
        ) as reader:
            fields = reader.to_dict()
        return Ok(_CONVERTER.structure(_attribute_values(fields), message_type))
    except Exception as error:
        return Err(
            Failure(
                kind=ErrorKind.BAD_MESSAGE,
                detail=f'{message_type.__name__}: {type(error).__name__}',
            ),
        )


def _struct_fields(message: Any) -> dict[str, Any]:
    return {
        struct_field: _struct_value(getattr(message, name))
        for name, struct_field in _struct_field_names(type(message))
    }


def _struct_value(field_value: Any) -> Any:
    if isinstance(field_value, list) and field_value:
        is_nested = attrs.has(type(field_value[0]))
        return (
            list(map(_struct_fields, field_value)) if is_nested else field_value
        )
    return field_value


@functools.cache
def _struct_field_names(message_type: type[Any]) -> tuple[tuple[str, str], ...]:
    return tuple(
        (field.name, _to_camel_case(field.name))
        for field in attrs.fields(message_type)
    )


def _attribute_values(fields: dict[str, Any]) -> dict[str, Any]:
    return {
        _to_snake_case(struct_field): (
            list(map(_attribute_element, field_value))
            if isinstance(field_value, list)
            else field_value
        )
        for struct_field, field_value in fields.items()
    }


def _attribute_element(element: Any) -> Any:
    return _attribute_values(element) if isinstance(element, dict) else element


@functools.cache
def _to_camel_case(name: str) -> str:
    first, *others = name.split('_')
    return first + ''.join(part.capitalize() for part in others)


@functools.cache
def _to_snake_case(name: str) -> str:
    return ''.join(
        f'_{letter.lower()}' if letter.isupper() else letter for letter in name
    )
