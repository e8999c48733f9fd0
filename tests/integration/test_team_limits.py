"""Check the limit of a team of our own interface, with real processes.

Callers of three routers ask for far more than the limit, which is that of all
three VMs together.
"""

import asyncio
import time
from types import MappingProxyType

import attrs

from arbutusbay.quota import partition_of, rank_owners
from emulator.cluster import Cluster, call_json, running_cluster, wait_until
from tests.builders import TEAM, build_chat_body, build_cluster_options
from tests.callers import send_request

_RATE_PER_S = 5
_BURST = 5
_QUOTA = MappingProxyType(
    {'unit': 'requests', 'rate_per_s': _RATE_PER_S, 'burst': _BURST}
)
_STOCK_PATH = '/services/stock/stock/x'
_CHAT_PATH = '/v1/chat/completions'
_PAUSE_S = 0.1
_ASKED_S = 6.0
_LEASE_S = 3.0


@attrs.define(kw_only=True)
class Callers:
    """Count what callers of all routers get."""

    session: object
    urls: list[str]
    granted: int = 0
    refused: int = 0
    faults: list[object] = attrs.field(factory=list)

    async def ask_for(self, duration_s: float) -> None:
        """Ask each router again and again."""
        end_s = time.monotonic() + duration_s
        async with asyncio.TaskGroup() as group:
            for url in self.urls:
                group.create_task(self._ask_router(url, end_s))

    async def _ask_router(self, url: str, end_s: float) -> None:
        while time.monotonic() < end_s:
            self._count(
                await send_request(self.session, 'GET', f'{url}{_STOCK_PATH}')
            )
            await asyncio.sleep(_PAUSE_S)

    def _count(self, response) -> None:
        match response.status:
            case 200:
                self.granted += 1
            case 429:
                self.refused += 1
                if not _is_true_refusal(response):
                    self.faults.append(response)
            case _:
                self.faults.append(response)


def _is_true_refusal(response) -> bool:
    error = response.body['error']
    return (error['code'], error['run_state']) == (
        'rate_limited',
        'not_run',
    ) and int(response.headers['Retry-After']) >= 1


def limit_team(cluster: Cluster) -> None:
    """Give the team its limit and wait until it is in force everywhere."""
    control = cluster.nodes[0].control.url
    spec = call_json(f'{control}/api/v1/team/{TEAM}')['spec']
    cluster.put_resource('team', TEAM, {**spec, 'quota': {**_QUOTA}})
    version = call_json(f'{control}/api/v1/team/{TEAM}')['version']
    wait_until(lambda: lowest_offset(cluster) >= version)


def lowest_offset(cluster: Cluster) -> int:
    """Return the oldest configuration that a daemon has in force."""
    return min(
        call_json(f'{daemon.url}/debug/state')['config_offset']
        for node in cluster.nodes
        for daemon in (node.router, node.control)
    )


def count_lookups(cluster: Cluster) -> int:
    """Return how many lookups the services have run."""
    return sum(
        call_json(f'{service.url}/counts')['lookups']
        for service in cluster.services()
    )


def owner_of_team(cluster: Cluster):
    """Return the VM that decides on the team's limit."""
    nodes = {node.id: node for node in cluster.nodes}
    return nodes[rank_owners(partition_of(TEAM), sorted(nodes))[0]]


# Guards against a limit that each VM applies for itself, against an owner that
# is killed and takes the limit with it, and against a refusal of what has run.
async def test_limit_holds_over_three_vms_and_as_its_owner_is_killed(session):
    with running_cluster(build_cluster_options()) as cluster:
        began_s = time.monotonic()
        await asyncio.to_thread(limit_team, cluster)
        callers = Callers(
            session=session, urls=[node.router.url for node in cluster.nodes]
        )
        await asyncio.sleep(_LEASE_S)
        await callers.ask_for(_ASKED_S)
        before = callers.granted
        owner_of_team(cluster).control.kill()
        await callers.ask_for(_LEASE_S)
        during = callers.granted
        await callers.ask_for(_ASKED_S)
        allowed = _BURST + _RATE_PER_S * (time.monotonic() - began_s)
        assert not callers.faults
        assert callers.refused
        assert callers.granted <= allowed
        assert count_lookups(cluster) == callers.granted
        # The team gets most of its limit, and two of three VMs lend theirs.
        assert before > _RATE_PER_S * _ASKED_S / 2
        assert callers.granted - during > _RATE_PER_S * _ASKED_S / 3


# Guards against completions that no limit holds.
async def test_completions_are_counted(session):
    with running_cluster(build_cluster_options(vms=1)) as cluster:
        url = cluster.nodes[0].router.url
        await asyncio.to_thread(limit_team, cluster)
        await asyncio.sleep(_LEASE_S)
        began_s = time.monotonic()
        responses = [
            await send_request(
                session,
                'POST',
                f'{url}{_CHAT_PATH}',
                body=build_chat_body(stream=False, max_tokens=1),
            )
            for _ in range(4 * _BURST)
        ]
        allowed = _BURST + _RATE_PER_S * (time.monotonic() - began_s)
        statuses = [response.status for response in responses]
        assert set(statuses) <= {200, 429}
        assert _BURST <= statuses.count(200) <= allowed
        metrics = await session.get(f'{url}/metrics')
        text = await metrics.text()
        assert 'arbutusbay_quota_asks_total' in text
