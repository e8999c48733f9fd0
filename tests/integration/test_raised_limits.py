"""Check that kept connections follow limits that a configuration raises."""

import asyncio
import functools
import itertools

import pytest

from emulator.fleet import wait_for_condition
from tests.fleet_builders import (
    PLAIN_HOST,
    build_configuration,
    build_request_headers,
    start_single_node,
    wait_until_ready,
)
from tests.raw_clients import build_bytes

_LIMITS = build_configuration()['limits']
_CONFIG_APPLY_S = 2.0
_PAUSE_S = 0.1
_RAISED_BYTES = 65_536
_LONG_FIELD_BYTES = 40_000


async def _has_version(http, node, version: int) -> bool:
    async with http.get(f'{node.control_url}/debug/state') as response:
        return (await response.json())['config_version'] == version


async def _configure(fleet, http, node, version: int, limit_bytes: int):
    fleet.configure(
        build_configuration(
            version, limits={**_LIMITS, 'max_header_bytes': limit_bytes}
        )
    )
    await wait_for_condition(
        functools.partial(_has_version, http, node, version), 'applied'
    )


async def _request_on(reader, writer, attempt_id: str, **fields: str) -> int:
    """Send a lookup on a connection that is kept and return its status."""
    headers = {
        **build_request_headers(attempt_id, host=PLAIN_HOST),
        'Connection': 'keep-alive',
        **fields,
    }
    writer.write(build_bytes('/look/1', headers))
    async with asyncio.timeout(5):
        head = await reader.readuntil(b'\r\n\r\n')
        length = head.lower().partition(b'content-length:')[2].split()[0]
        await reader.readexactly(int(length))
    return int(head.split()[1])


async def _use_for(reader, writer, duration_s: float) -> None:
    end_s = asyncio.get_running_loop().time() + duration_s
    for number in itertools.count():
        if asyncio.get_running_loop().time() > end_s:
            return
        assert await _request_on(reader, writer, f'short-{number}') == 200
        await asyncio.sleep(_PAUSE_S)


# Guards against a proper request that is refused with 400 on a connection that
# was accepted before the configuration raised the limit of heads: it is in
# steady use, so that it is never unused for long enough to be closed.
@pytest.mark.parametrize('versions', [1, 3])
async def test_kept_connection_takes_heads_of_a_raised_limit(
    fleet, http, versions
):
    node = await start_single_node(fleet, engines=1, plain=1)
    await wait_until_ready([node], http)
    reader, writer = await asyncio.open_connection(node.ip, node.port)
    for version in range(2, 2 + versions):
        is_raised = version % 2 == 0
        limit_bytes = (
            _RAISED_BYTES if is_raised else _LIMITS['max_header_bytes']
        )
        await _configure(fleet, http, node, version, limit_bytes)
    await _use_for(reader, writer, _CONFIG_APPLY_S)
    field = {'X-Long': 'x' * _LONG_FIELD_BYTES}
    status = await _request_on(reader, writer, 'long', **field)
    writer.close()
    assert status == 200
