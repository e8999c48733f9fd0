"""Adapt the platform's lagging list of VMs to typed entries.

Source: the platform's HTTP protocol, ``GET /v1/vms``.
"""

import asyncio
import enum
from typing import Any

import aiohttp
import attrs
import orjson
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure

_TIMEOUT_S = 2.0
_OK_STATUS = 200


class VMState(enum.StrEnum):
    """Name the states in which the platform lists a VM."""

    LIVE = 'live'
    LEAVING = 'leaving'


class VMRole(enum.StrEnum):
    """Tell entry VMs, which run the system, from backend servers."""

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


async def read_vm_list(
    session: aiohttp.ClientSession,
    url: str,
) -> Result[list[VM], Failure]:
    """Return the platform's list of VMs, or ``PEER_UNREACHABLE``."""
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with session.get(f'{url}/v1/vms', timeout=timeout) as response:
            body = await response.read()
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
        return _unreachable(type(error).__name__)
    if response.status != _OK_STATUS:
        return _unreachable(f'status {response.status}')
    try:
        return Ok([_vm_from_json(fields) for fields in orjson.loads(body)])
    except (ValueError, KeyError, TypeError) as error:
        return _unreachable(repr(error))


def _vm_from_json(fields: dict[str, Any]) -> VM:
    return VM(
        id=str(fields['id']),
        host=str(fields['host']),
        zone=str(fields['zone']),
        role=VMRole(fields['role']),
        state=VMState(fields['state']),
    )


def _unreachable(reason: str) -> Err[Failure]:
    return Err(
        Failure(kind=ErrorKind.PEER_UNREACHABLE, detail=f'VM list: {reason}'),
    )
