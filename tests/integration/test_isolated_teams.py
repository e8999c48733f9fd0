"""Check what engines keep of a team that becomes isolated.

A part is kept under the salt of the request that made it, and used by all later
requests with that salt.
"""

import asyncio
import functools
from types import MappingProxyType
from typing import Any

import pytest

from emulator.fleet import Fleet, wait_for_condition
from tests.fleet_builders import (
    API_KEY,
    ISOLATED_TEAM_API_KEY,
    build_configuration,
    build_route,
    start_fleet,
    wait_until_ready,
)
from tests.fleet_clients import all_runs, request_stream

_FIRST = 'till-rolls'
_SECOND = 'pharmacy'
_KEYS = MappingProxyType({_FIRST: API_KEY, _SECOND: ISOLATED_TEAM_API_KEY})
_HOLD_S = 1.5


def build_teams(isolated: set[str]) -> list[dict[str, Any]]:
    """Return both teams."""
    return [
        {'name': name, 'api_keys': [key], 'isolated': name in isolated}
        for name, key in _KEYS.items()
    ]


async def change_isolation(
    fleet: Fleet, http, version: int, isolated: set[str]
) -> None:
    """Put a configuration in force in which ``isolated`` are so."""
    # The clients of such a route wait for long.
    routes = [build_route('ask', target_latency_ms=1500)]
    fleet.configure(
        build_configuration(
            version, tenants=build_teams(isolated), routes=routes
        )
    )
    await wait_for_condition(
        functools.partial(has_version, fleet, http, version), 'in force'
    )


async def has_version(fleet: Fleet, http, version: int) -> bool:
    """Return whether all VMs have a version of the configuration."""
    versions = set()
    for node in fleet.nodes:
        async with http.get(f'{node.control_url}/debug/state') as response:
            versions.add((await response.json())['config_version'])
    return versions == {version}


async def ask(fleet: Fleet, http, team: str, name: str) -> str:
    """Let a team ask at each VM; return the only salt of its runs."""
    for node in fleet.nodes:
        status, _, _ = await request_stream(
            http, node, f'{name}-{node.name}', key=_KEYS[team]
        )
        assert status == 200
    return salt_of(fleet, name)


def salt_of(fleet: Fleet, name: str) -> str:
    """Return the only salt of the runs whose ids begin with ``name``."""
    salts = {
        run.headers['Cache-Salt']
        for run in all_runs(fleet)
        if run.attempt_id.startswith(f'{name}-')
    }
    assert len(salts) == 1
    return salts.pop()


# Guards against another team that goes on to use what a team made before it was
# isolated, also as it goes back and forth.
@pytest.mark.parametrize('isolated', [_FIRST, _SECOND])
async def test_team_that_becomes_isolated_shares_nothing(fleet, http, isolated):
    nodes = await start_fleet(fleet, engines=2, plain=0, nodes=2)
    await wait_until_ready(nodes, http)
    await change_isolation(fleet, http, 2, set())
    shared = await ask(fleet, http, _FIRST, 'one')
    assert await ask(fleet, http, _SECOND, 'two') == shared
    await change_isolation(fleet, http, 3, {isolated})
    salts = {
        await ask(fleet, http, _FIRST, 'three'),
        await ask(fleet, http, _SECOND, 'four'),
    }
    assert len(salts | {shared}) == 3
    await change_isolation(fleet, http, 4, set())
    assert await ask(fleet, http, _FIRST, 'five') == shared
    await change_isolation(fleet, http, 5, {isolated})
    assert {
        await ask(fleet, http, _FIRST, 'six'),
        await ask(fleet, http, _SECOND, 'seven'),
    } == salts


# Guards against a request that waits as its team is isolated, and then reads
# what others wrote.
async def test_request_that_waits_is_isolated_with_its_team(fleet, http):
    nodes = await start_fleet(fleet, engines=1, plain=0, slots=1)
    await wait_until_ready(nodes, http)
    await change_isolation(fleet, http, 2, set())
    shared = await ask(fleet, http, _FIRST, 'one')
    fleet.engines[0].silence.begin(_HOLD_S)
    busy = asyncio.create_task(
        request_stream(http, nodes[0], 'busy', key=_KEYS[_FIRST])
    )
    waiting = asyncio.create_task(
        request_stream(http, nodes[0], 'waits-0', key=_KEYS[_SECOND])
    )
    await change_isolation(fleet, http, 3, {_SECOND})
    assert not waiting.done()
    await asyncio.gather(busy, waiting)
    assert salt_of(fleet, 'waits') != shared
