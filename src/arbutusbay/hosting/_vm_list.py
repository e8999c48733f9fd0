"""Read the platform's list of VMs, which lags behind their real state.

The platform serves the list at ``GET /v1/vms``.
"""

import enum
from typing import Any

import aiohttp
import attrs
import orjson
from result import Err, Ok, Result

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


async def fetch_vm_list(
    session: aiohttp.ClientSession,
    url: str,
) -> Result[list[VM], Failure]:
    """Return the list of VMs from the platform at ``url``.

    The failure is of kind ``PEER_UNREACHABLE``, also for a malformed list.
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
        return Ok([_parse_vm(fields) for fields in orjson.loads(response.body)])
    except (ValueError, KeyError, TypeError) as error:
        return _unreachable(repr(error))


def _parse_vm(fields: dict[str, Any]) -> VM:
    return VM(
        id=str(fields['id']),
        host=str(fields['host']),
        zone=str(fields['zone']),
        role=VMRole(fields['role']),
        state=VMState(fields['state']),
    )


def _unreachable(reason: str) -> Err[Failure]:
    return Err(
        Failure(
            kind=ErrorKind.PEER_UNREACHABLE,
            detail=f'cannot read the list of VMs: {reason}',
        ),
    )
