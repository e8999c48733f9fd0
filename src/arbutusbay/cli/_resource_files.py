"""Read declared resources from TOML files and validate them."""

import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import attrs
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.state import Spec, spec_from_json, validate_resource_name

_TABLE_KEYS = frozenset(('kind', 'name', 'spec'))


@attrs.frozen(kw_only=True)
class DeclaredResource:
    """Hold the kind, name and validated spec of one declared resource."""

    kind: str
    name: str
    spec: Spec


def read_resource_file(path: Path) -> Result[list[DeclaredResource], Failure]:
    """Return the resources of a TOML file with ``[[resource]]`` tables.

    Returns an ``INVALID_RESOURCE`` failure if the file can't be read or
    parsed, or if any resource is invalid.
    """
    try:
        content = tomllib.loads(path.read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return _invalid(f'{path}: {error}')
    tables = content.get('resource')
    if not isinstance(tables, list) or set(content) != {'resource'}:
        return _invalid(f'{path}: must contain only [[resource]] tables')
    return _parse_tables(path, tables)


def _parse_tables(
    path: Path,
    tables: Iterable[Any],
) -> Result[list[DeclaredResource], Failure]:
    resources = []
    for number, table in enumerate(tables, start=1):
        match _parse_table(table):
            case Err(failure):
                return _invalid(f'{path}: resource {number}: {failure.detail}')
            case Ok(resource):
                resources.append(resource)
    return Ok(resources)


def _parse_table(table: Any) -> Result[DeclaredResource, Failure]:
    if not isinstance(table, dict) or set(table) != _TABLE_KEYS:
        return _invalid(
            f'its keys must be exactly {", ".join(sorted(_TABLE_KEYS))}'
        )
    kind = table['kind']
    match (
        validate_resource_name(table['name']),
        spec_from_json(kind, table['spec']),
    ):
        case (Err() as failed, _) | (_, Err() as failed):
            return failed
        case (Ok(name), Ok(spec)):
            return Ok(DeclaredResource(kind=kind, name=name, spec=spec))


def _invalid(detail: str) -> Err[Failure]:
    return Err(Failure(kind=ErrorKind.INVALID_RESOURCE, detail=detail))
