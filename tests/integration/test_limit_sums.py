"""Soak the limits of teams: real VMs, sums over all engines, one VM killed.

Load: one team asks for five times its usual and another for its usual, at
three VMs; the VM that decides for the first one is killed midway.
"""

import asyncio
import signal
import time

import aiohttp
import attrs
import pytest

from arbutusbay.quota import partition_of, rank_owners
from emulator.limit_sums import (
    PassedRequest,
    QuotaTolerance,
    allowed_sum,
    find_passed,
    highest_sum,
)
from tests.fleet_builders import (
    API_KEY,
    ISOLATED_TEAM_API_KEY,
    build_configuration,
    start_fleet,
    wait_until_ready,
)
from tests.fleet_clients import request_stream

_COST = 920
_TOLERANCE = QuotaTolerance(window_s=2.0, overshoot=0.1, slack=2 * _COST)
_PEAK_TO_USUAL = 1.8
_LEASES_LENT_S = 2.5
_LOADED_S = 3.0


@attrs.frozen(kw_only=True)
class LimitedTeam:
    """Hold a team, its limit, and how many requests it sends a second."""

    name: str
    key: str
    rate_per_s: float
    burst: float
    requests_per_s: float


def build_team(name: str, key: str, rate: float, load: float) -> LimitedTeam:
    """Return a team limited to ``rate`` requests, that sends ``load`` times it.

    Both are those of a usual hour of the team.
    """
    return LimitedTeam(
        name=name,
        key=key,
        rate_per_s=rate * _COST,
        burst=2 * _COST,
        requests_per_s=rate / _PEAK_TO_USUAL * load,
    )


_TEAMS = (
    build_team('till-rolls', API_KEY, rate=9, load=5),
    build_team('pharmacy', ISOLATED_TEAM_API_KEY, rate=9, load=1),
)


def configure(fleet) -> None:
    """Put the limits of both teams in force."""
    tenants = [
        {
            'name': team.name,
            'api_keys': [team.key],
            'unit': 'tokens',
            'uncached_tokens': 0,
            'rate_per_s': team.rate_per_s,
            'burst': team.burst,
        }
        for team in _TEAMS
    ]
    fleet.configure(build_configuration(2, tenants=tenants))


async def send_load(nodes, http, team: LimitedTeam, label: str) -> list[int]:
    """Send the requests of a team to all VMs in turn; return the statuses."""
    pending = []
    for number in range(int(_LOADED_S * team.requests_per_s)):
        pending.append(
            asyncio.create_task(
                request_status(
                    http,
                    nodes[number % len(nodes)],
                    f'{team.name}-{label}-{number}',
                    key=team.key,
                )
            )
        )
        await asyncio.sleep(1 / team.requests_per_s)
    return await asyncio.gather(*pending)


async def request_status(http, node, attempt_id: str, *, key: str) -> int:
    """Return the status of a request, 0 if the VM ended under it."""
    try:
        status, _, _ = await request_stream(http, node, attempt_id, key=key)
    except aiohttp.ClientError:
        return 0
    return status


async def send_all(nodes, http, label: str) -> list[list[int]]:
    """Send the load of all teams; return their statuses."""
    return await asyncio.gather(
        *(send_load(nodes, http, team, label) for team in _TEAMS)
    )


def owner_of(nodes, team: str):
    """Return the VM that decides for a team."""
    by_name = {node.name: node for node in nodes}
    return by_name[rank_owners(partition_of(team), sorted(by_name))[0]]


async def test_limits_hold_over_all_vms_as_their_owner_is_killed(fleet, http):
    fleet.quota_tolerance = _TOLERANCE
    nodes = await start_fleet(fleet, nodes=3)
    configure(fleet)
    await wait_until_ready(nodes, http)
    await asyncio.sleep(_LEASES_LENT_S)
    began_s = time.monotonic()
    beyond, usual = await send_all(nodes, http, 'a')
    loaded_s = time.monotonic() - began_s
    owner = owner_of(nodes, _TEAMS[0].name)
    await owner.stop(signal.SIGKILL)
    nodes.remove(owner)
    await send_all(nodes, http, 'b')
    assert set(beyond) == {200, 429}
    assert set(usual) == {200}
    assert beyond.count(200) >= 0.98 * _TEAMS[0].rate_per_s / _COST * loaded_s
    for team in _TEAMS:
        passed = find_passed(fleet.engines, team.name)
        assert highest_sum(passed, _TOLERANCE.window_s) <= allowed_sum(
            _TOLERANCE, rate_per_s=team.rate_per_s, burst=team.burst
        )


@pytest.mark.parametrize(
    ('window_s', 'highest'), [(0.3, 3), (0.5, 4), (1, 4), (1.5, 5), (9, 6)]
)
def test_sum_is_that_of_the_fullest_window(window_s, highest):
    moments_s = (0, 1, 1.4, 2.5)
    passed = [
        PassedRequest(began_s=began_s, cost=cost)
        for began_s, cost in zip(moments_s, (1, 1, 3, 1), strict=True)
    ]
    assert highest_sum(passed, window_s) == highest
