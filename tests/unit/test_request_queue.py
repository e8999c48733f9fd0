"""Check the order of queued requests, also by simulating an overload."""

import random

import attrs
import pytest

from arbutusbay.scheduling import QueuedRequest, RequestQueue

TARGET_S = 0.6
DEADLINE_S = 5.0
LONG_SERVICE_S = 0.28


def build_request(arrived_s: float, **changes) -> QueuedRequest:
    request = QueuedRequest(
        priority_level=1,
        arrived_s=arrived_s,
        first_event_due_s=arrived_s + TARGET_S,
        deadline_s=arrived_s + DEADLINE_S,
        service_s=0.1,
    )
    for field, setting in changes.items():
        setattr(request, field, setting)
    return request


def build_queue(*requests: QueuedRequest) -> RequestQueue:
    queue = RequestQueue()
    for request in requests:
        queue.push(request)
    queue.started_count = 1
    return queue


def test_requests_that_can_meet_their_target_go_first():
    late = build_request(0)
    fresh = build_request(1)
    assert list(build_queue(late, fresh).in_service_order(1.2)) == [fresh, late]


def test_late_request_goes_first_at_an_interval():
    late = build_request(0)
    fresh = build_request(1)
    queue = build_queue(late, fresh)
    queue.started_count = 4
    assert next(queue.in_service_order(1.2)) is late


def test_more_urgent_requests_go_first_among_those_on_time():
    normal = build_request(1)
    urgent = build_request(1.1, priority_level=0)
    assert next(build_queue(normal, urgent).in_service_order(1.2)) is urgent


def test_requests_that_miss_their_deadline_are_returned():
    expired = build_request(0)
    fresh = build_request(4.9)
    assert build_queue(expired, fresh).expired_requests(4.95) == [expired]


@attrs.define(kw_only=True)
class SimulationResult:
    """Count the results of the requests of one simulation."""

    on_time: int = 0
    late: int = 0
    expired_count: int = 0
    long_served: int = 0


def build_arrivals(load: float, seed: int) -> list[QueuedRequest]:
    """Return the arrivals of 60 s at ``load`` times an engine's capacity."""
    rng = random.Random(seed)
    times = sorted(rng.uniform(0, 60) for _ in range(int(600 * load)))
    return [
        build_request(
            arrived_s,
            service_s=LONG_SERVICE_S if rng.randrange(10) == 0 else 0.08,
        )
        for arrived_s in times
    ]


def simulate(order, load: float, seed: int) -> SimulationResult:
    """Simulate one engine that serves one request at a time.

    ``order`` returns the queued requests, the next one first.
    """
    result = SimulationResult()
    queue = RequestQueue()
    arrivals = build_arrivals(load, seed)
    moment_s = 0.0
    while arrivals or len(queue):
        while arrivals and arrivals[0].arrived_s <= moment_s:
            queue.push(arrivals.pop(0))
        for expired in queue.expired_requests(moment_s):
            queue.remove(expired, was_placed=False)
            result.expired_count += 1
        if len(queue):
            moment_s += serve_next(queue, order, moment_s, result)
        elif arrivals:
            moment_s = arrivals[0].arrived_s
    return result


def serve_next(
    queue,
    order,
    moment_s: float,
    result: SimulationResult,
) -> float:
    """Serve the next request and return its service time in seconds."""
    chosen = order(queue, moment_s)[0]
    queue.remove(chosen, was_placed=True)
    if chosen.can_meet_target(moment_s):
        result.on_time += 1
    else:
        result.late += 1
    result.long_served += chosen.service_s == LONG_SERVICE_S
    return chosen.service_s


def arrival_order(queue: RequestQueue, moment_s: float) -> list[QueuedRequest]:
    return sorted(queue.waiting, key=lambda request: request.arrived_s)


def queue_order(queue: RequestQueue, moment_s: float) -> list[QueuedRequest]:
    return list(queue.in_service_order(moment_s))


@pytest.mark.parametrize('seed', range(5))
def test_overload_keeps_targets_without_starving_long_requests(seed):
    fifo = simulate(arrival_order, 1.4, seed)
    ordered = simulate(queue_order, 1.4, seed)
    assert ordered.on_time > 3 * fifo.on_time
    assert ordered.long_served > 25


def test_light_load_expires_no_requests():
    result = simulate(queue_order, 0.7, 1)
    assert result.expired_count == 0
    assert result.late * 10 < result.on_time
