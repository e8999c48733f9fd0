"""Check that orders run at most once and that reported outcomes are true.

An order could run twice when routers retry it or get the same idempotency key
at the same time, also when a router is killed or paused between its claim in
the ledger and the send. A response with ``not_run`` is false if the order ran
before the response arrived. Covers requirements 4 and 5.
"""

import asyncio
import random
import time

import attrs
import pytest

from emulator.cluster import call_json, running_cluster
from tests.builders import build_cluster_options
from tests.callers import Response, place_order

_KEY_COUNT = 1000
_CLIENT_COUNT = 25
_MAX_ATTEMPTS = 10
_SEED = 7
_FAULT_DURATION_S = 1.2
_FAULT_KIND_COUNT = 7
_FAULTS_OF_EACH_KIND = 3
_SUBMISSION_PERIOD_S = 30
_ORDERS_BEFORE_OUTAGE = 20
_MIN_DEFINITE_SHARE = 0.9


@attrs.frozen(kw_only=True)
class ReceivedResponse:
    """Represent a response to the client, with the time of its arrival."""

    key: str
    response: Response
    at_s: float


@attrs.define(kw_only=True)
class OrderResponses:
    """Collect all responses and the last one of each key."""

    received: list[ReceivedResponse] = attrs.field(factory=list)
    last_by_key: dict[str, Response] = attrs.field(factory=dict)

    def add(self, key: str, response: Response) -> None:
        """Add one response, which arrived just now."""
        at_s = time.monotonic()
        self.received.append(
            ReceivedResponse(key=key, response=response, at_s=at_s)
        )
        self.last_by_key[key] = response

    def definite_share(self) -> float:
        """Return the share of keys whose last response gives the outcome."""
        definite_responses = [
            response
            for response in self.last_by_key.values()
            if response.run_state in {'ran', 'not_run'}
        ]
        return len(definite_responses) / len(self.last_by_key)


async def test_all_orders_succeed_without_faults(cluster, session):
    order_responses = OrderResponses()
    await _place_orders(session, cluster, order_responses, 'calm', keys=100)
    assert {
        response.status for response in order_responses.last_by_key.values()
    } == {200}
    _assert_reports_match_runs(cluster, order_responses)


async def test_same_key_through_three_routers_at_once(cluster, session):
    order_responses = OrderResponses()
    for number in range(40):
        key = f'triple-{number}'
        responses = await asyncio.gather(
            *(
                place_order(session, node.router.url, key)
                for node in cluster.nodes
            )
        )
        assert [response.status for response in responses] == [200, 200, 200]
        for response in responses:
            order_responses.add(key, response)
    _assert_reports_match_runs(cluster, order_responses)


async def test_append_rate_limit_rejects_no_order(session):
    platform_arguments = ('--appends-per-s', '60')
    with running_cluster(
        build_cluster_options(platform_arguments=platform_arguments)
    ) as cluster:
        order_responses = OrderResponses()
        await _place_orders(
            session, cluster, order_responses, 'limited', keys=200
        )
        assert {
            received.response.status for received in order_responses.received
        } == {200}
        _assert_reports_match_runs(cluster, order_responses)


async def test_router_frozen_between_claim_and_send(session):
    with running_cluster(build_cluster_options()) as cluster:
        order_responses = OrderResponses()
        for number in range(15):
            key = f'frozen-{number}'
            suspended_node = cluster.nodes[number % 3]
            other_node = cluster.nodes[(number + 1) % 3]
            first_request = asyncio.create_task(
                place_order(
                    session, suspended_node.router.url, key, timeout_s=3
                ),
            )
            await asyncio.sleep(0.002 * number)
            suspended_node.router.suspend()
            second_response = await place_order(
                session, other_node.router.url, key
            )
            suspended_node.router.resume()
            order_responses.add(key, second_response)
            order_responses.add(key, await first_request)
        _assert_reports_match_runs(cluster, order_responses)


async def test_outcomes_reported_during_an_outage_are_true(session):
    with running_cluster(build_cluster_options()) as cluster:
        order_responses = OrderResponses()
        await _place_orders(
            session,
            cluster,
            order_responses,
            'outage',
            keys=_ORDERS_BEFORE_OUTAGE,
        )
        call_json(f'{cluster.platform.url}/faults', {'down': True})
        for number in range(40):
            key = f'outage-{number}'
            url = cluster.nodes[number % 3].router.url
            response = await place_order(session, url, key)
            assert response.status
            assert response.run_state != 'ran' or number < _ORDERS_BEFORE_OUTAGE
            order_responses.add(key, response)
        call_json(f'{cluster.platform.url}/faults', {'down': False})
        await _place_orders(
            session, cluster, order_responses, 'outage', keys=40
        )
        _assert_reports_match_runs(cluster, order_responses)
        assert {
            response.status for response in order_responses.last_by_key.values()
        } == {200}


@pytest.mark.timeout(240)
async def test_thousand_orders_under_faults(session, record_property):
    with running_cluster(build_cluster_options()) as cluster:
        order_responses = OrderResponses()
        fault_injection = asyncio.create_task(_inject_faults(cluster))
        await asyncio.gather(
            *(
                _place_order_when_due(session, cluster, order_responses, number)
                for number in range(_KEY_COUNT)
            )
        )
        await fault_injection
        _assert_reports_match_runs(cluster, order_responses)
        counts = {
            state: sum(
                response.run_state == state
                for response in order_responses.last_by_key.values()
            )
            for state in ('ran', 'not_run', 'outcome_unknown')
        }
        record_property('outcomes', counts)
        assert order_responses.definite_share() >= _MIN_DEFINITE_SHARE, counts


async def _place_orders(
    session, cluster, order_responses, name: str, keys: int
) -> None:
    rng = random.Random(_SEED)
    pending_keys = [f'{name}-{number}' for number in range(keys)]
    rng.shuffle(pending_keys)

    await asyncio.gather(
        *(
            _place_pending_orders(
                session, cluster, order_responses, pending_keys
            )
            for _ in range(_CLIENT_COUNT)
        )
    )


async def _place_pending_orders(
    session, cluster, order_responses, pending_keys: list[str]
) -> None:
    while pending_keys:
        key = pending_keys.pop()
        await _place_order_until_accepted(
            session, cluster, order_responses, key
        )


async def _place_order_when_due(
    session, cluster, order_responses, number: int
) -> None:
    await asyncio.sleep(number * _SUBMISSION_PERIOD_S / _KEY_COUNT)
    await _place_order_until_accepted(
        session, cluster, order_responses, f'storm-{number}'
    )


async def _place_order_until_accepted(
    session, cluster, order_responses, key: str
) -> None:
    rng = random.Random(key)
    for _ in range(_MAX_ATTEMPTS):
        node = rng.choice(cluster.nodes)
        response = await place_order(session, node.router.url, key, timeout_s=5)
        order_responses.add(key, response)
        if response.status == 200:
            return
        await asyncio.sleep(0.2)


async def _inject_faults(cluster) -> None:
    rng = random.Random(_SEED)
    faults_url = f'{cluster.platform.url}/faults'
    fault_kinds = [
        fault_kind
        for fault_kind in range(_FAULT_KIND_COUNT)
        for _ in range(_FAULTS_OF_EACH_KIND)
    ]
    rng.shuffle(fault_kinds)
    for fault_kind in fault_kinds:
        node = rng.choice(cluster.nodes)
        service = rng.choice(cluster.services())
        match fault_kind:
            case 0:
                node.router.kill()
                await asyncio.sleep(_FAULT_DURATION_S / 2)
                node.router.start()
            case 1:
                node.control.kill()
                await asyncio.sleep(_FAULT_DURATION_S / 2)
                node.control.start()
            case 2:
                node.router.suspend()
                await asyncio.sleep(_FAULT_DURATION_S)
                node.router.resume()
            case 3:
                node.control.suspend()
                await asyncio.sleep(_FAULT_DURATION_S)
                node.control.resume()
            case 4:
                await _post_faults(faults_url, {'down': True})
                await asyncio.sleep(_FAULT_DURATION_S)
                await _post_faults(faults_url, {'down': False})
            case 5:
                await _post_faults(
                    faults_url,
                    {'lose_answers': 5, 'late_appends': 3, 'late_ms': 400},
                )
            case 6:
                await _post_faults(
                    f'{service.url}/faults', {'lose_answers': 20}
                )
        await asyncio.sleep(_FAULT_DURATION_S / 2)


async def _post_faults(url: str, faults: dict) -> None:
    await asyncio.to_thread(call_json, url, faults)


def _assert_reports_match_runs(
    cluster, order_responses: OrderResponses
) -> None:
    runs: dict[str, int] = {}
    first_run_s: dict[str, float] = {}
    for service in cluster.services():
        counts = call_json(f'{service.url}/counts')
        for key, count in counts['runs'].items():
            runs[key] = runs.get(key, 0) + count
        first_run_s.update(counts['first_run_s'])
    assert not [key for key, count in runs.items() if count > 1]
    for received in order_responses.received:
        if received.response.status == 200:
            assert runs.get(received.key) == 1
        if received.response.run_state == 'not_run':
            ran_s = first_run_s.get(received.key)
            assert ran_s is None or ran_s > received.at_s, received
