"""Check that real daemons hold a team within its limit, together."""

import asyncio
import functools
import signal

from emulator.fleet import wait_for_condition
from tests.fleet_builders import (
    API_KEY,
    ISOLATED_TEAM_API_KEY,
    build_configuration,
    start_fleet,
    wait_until_ready,
)
from tests.fleet_clients import all_runs, request_stream

_COST = 920
_BURST_REQUESTS = 5


def configure_limit(fleet, version: int, **limit) -> None:
    """Put a limit of tokens for one of two teams in force."""
    teams = [
        {
            'name': 'till-rolls',
            'api_keys': [API_KEY],
            'unit': 'tokens',
            **limit,
        },
        {'name': 'pharmacy', 'api_keys': [ISOLATED_TEAM_API_KEY]},
    ]
    fleet.configure(build_configuration(version, tenants=teams))


async def start_limited(fleet, http, **limit):
    """Start three VMs, and let the unused tokens of the team grow."""
    nodes = await start_fleet(fleet, nodes=3)
    configure_limit(fleet, 2, **limit)
    await wait_until_ready(nodes, http)
    await wait_for_condition(
        functools.partial(has_all_unused, nodes, http, limit['burst']),
        'all tokens of the team unused',
    )
    return nodes


async def has_all_unused(nodes, http, burst: float) -> bool:
    """Return whether a VM has the shares of all, and all unused tokens."""
    quotas = [await state_of_limit(node, http) for node in nodes]
    if None in quotas:
        return False
    owner = await find_owner(nodes, http)
    if owner is None or {quota['lent_to'] for quota in quotas} != {owner.name}:
        return False
    quota = await state_of_limit(owner, http)
    return quota['teams']['till-rolls']['level'] >= burst


async def find_owner(nodes, http):
    """Return the VM that has the shares of all, None if there is none."""
    for node in nodes:
        quota = await state_of_limit(node, http)
        if quota is not None and (quota['lent_here'], quota['vms']) == (1, 3):
            return node
    return None


async def state_of_limit(node, http):
    """Return what a VM has of the limit, None before its configuration."""
    async with http.get(f'{node.control_url}/debug/state') as response:
        quotas = (await response.json())['quotas']
    return quotas[0] if quotas else None


async def send_all(nodes, http, count: int, prefix: str, **changes):
    """Send requests to all VMs in turn; return statuses and headers."""
    return await asyncio.gather(
        *(
            request_stream(
                http, nodes[number % 3], f'{prefix}-{number}', **changes
            )
            for number in range(count)
        )
    )


async def test_limit_holds_over_all_vms_and_others_are_served(fleet, http):
    nodes = await start_limited(
        fleet, http, rate_per_s=2000, burst=_BURST_REQUESTS * _COST
    )
    responses = await send_all(nodes, http, 12, 'a')
    statuses = [status for status, _, _ in responses]
    assert statuses.count(200) in {_BURST_REQUESTS, _BURST_REQUESTS + 1}
    assert statuses.count(429) == 12 - statuses.count(200)
    for status, text, headers in responses:
        if status == 429:
            assert text.startswith('rate_limited')
            assert 0 < float(headers['Retry-After']) < 5
    assert len(all_runs(fleet)) == statuses.count(200)
    others = await send_all(nodes, http, 6, 'b', key=ISOLATED_TEAM_API_KEY)
    assert {status for status, _, _ in others} == {200}


async def test_refused_caller_is_served_when_it_was_told_to_return(fleet, http):
    nodes = await start_limited(fleet, http, rate_per_s=2000, burst=_COST)
    responses = await send_all(nodes, http, 3, 'a')
    waits = [
        float(headers['Retry-After'])
        for status, _, headers in responses
        if status == 429
    ]
    assert waits
    await asyncio.sleep(max(waits) + 0.1)
    status, _, _ = await request_stream(http, nodes[1], 'again')
    assert status == 200


async def test_limit_holds_after_the_owner_was_killed(fleet, http):
    nodes = await start_limited(fleet, http, rate_per_s=20_000, burst=_COST)
    owner = await find_owner(nodes, http)
    node_left = next(node for node in nodes if node is not owner)
    await owner.stop(signal.SIGKILL)
    await wait_for_condition(
        functools.partial(serves, node_left, http), 'served again'
    )


async def serves(node, http) -> bool:
    """Return whether a request of the team is served."""
    status, _, _ = await request_stream(http, node, 'again')
    return status == 200


async def test_lowered_and_raised_limits_take_hold(fleet, http):
    nodes = await start_limited(fleet, http, rate_per_s=20_000, burst=20_000)
    configure_limit(fleet, 3, rate_per_s=1, burst=1)
    await wait_for_condition(
        functools.partial(all_refuse, nodes, http), 'refused by all'
    )
    configure_limit(fleet, 4, rate_per_s=100_000, burst=100_000)
    for node in nodes:
        await wait_for_condition(
            functools.partial(serves, node, http), 'served again'
        )


async def all_refuse(nodes, http) -> bool:
    """Return whether all VMs refuse the team for good."""
    responses = await send_all(nodes, http, 3, 'c')
    return all(
        status == 429 and 'at any time' in text for status, text, _ in responses
    )
