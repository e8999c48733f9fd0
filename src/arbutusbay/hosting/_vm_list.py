"""Read the platform's list of VMs, which lags behind their real state.

The platform serves the list at ``GET /v1/vms``.
"""

import enum
from collections.abc import Mapping
from typing import Any

import aiohttp
import attrs
import orjson
from result import Err, Ok, Result

from arbutusbay.checked_values import (
    MalformedValueError,
    describe_value,
    require_list,
    require_mapping,
    require_text,
)
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.responses import fetch_whole

_READ_TIMEOUT_S = 2.0
_OK_STATUS = 200
_MAX_LIST_BYTES = 8_388_608


class VMState(enum.StrEnum):
    """Define the states of a VM in the list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class VMRole(enum.StrEnum):
    """Distinguish entry VMs, which run this system, from backend servers."""

    ENTRY = 'entry'
    BACKEND = 'backend'


@attrs.frozen(kw_only=True)
class VM:
    """Describe one VM as the platform lists it."""

    id: str
    host: str
    zone: str
    role: VMRole
    state: VMState


@attrs.frozen(kw_only=True)
class VMList:
    """Hold the entries of the list, and why others were left out.

    ``problems`` has one text for each malformed entry.
    """

    vms: tuple[VM, ...]
    problems: tuple[str, ...] = ()


async def fetch_vm_list(
    session: aiohttp.ClientSession,
    url: str,
) -> Result[VMList, Failure]:
    """Return the list of VMs from the platform at ``url``.

    The failure is of kind ``PEER_UNREACHABLE``, also if there is no list in the
    response.
    """
    timeout = aiohttp.ClientTimeout(total=_READ_TIMEOUT_S)
    call = session.get(f'{url}/v1/vms', timeout=timeout)
    match await fetch_whole(call, _MAX_LIST_BYTES):
        case Err(missing):
            return _unreachable(missing.detail)
        case Ok(response) if response.status != _OK_STATUS:
            return _unreachable(f'status {response.status}')
        case Ok(response):
            pass
    try:
        return Ok(decode_vm_list(response.body))
    except ValueError as error:
        return _unreachable(repr(error))


def decode_vm_list(body: bytes) -> VMList:
    """Return the list in ``body`` without its malformed entries.

    Raise ``ValueError`` if there is no list.
    """
    vms: list[VM] = []
    problems: list[str] = []
    for entry in require_list(orjson.loads(body), 'VMs'):
        try:
            vms.append(_parse_vm(require_mapping(entry, 'VM')))
        except (MalformedValueError, KeyError) as error:
            problems.append(str(error))
    return VMList(vms=tuple(vms), problems=tuple(problems))


def _parse_vm(fields: Mapping[str, Any]) -> VM:
    return VM(
        id=require_text(fields['id'], 'id'),
        host=require_text(fields['host'], 'host'),
        zone=require_text(fields['zone'], 'zone'),
        role=_parse_choice(VMRole, fields['role'], 'role'),
        state=_parse_choice(VMState, fields['state'], 'state'),
    )


def _parse_choice(choices: type[enum.StrEnum], found: Any, name: str) -> Any:
    if isinstance(found, str) and found in set(choices):
        return choices(found)
    raise MalformedValueError(
        f'{name}: must be one of {", ".join(choices)}, '
        f'not {describe_value(found)}'
    )


def _unreachable(reason: str) -> Err[Failure]:
    return Err(
        Failure(
            kind=ErrorKind.PEER_UNREACHABLE,
            detail=f'cannot read the list of VMs: {reason}',
        ),
    )
