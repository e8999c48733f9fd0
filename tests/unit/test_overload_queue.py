"""Check who waits when more work arrives than one engine can do."""

import random

import attrs
import pytest

from arbutusbay.scheduling import OverloadQueue, QueuedRequest

TARGET_S = 0.6
DEADLINE_S = 5.0
LARGE_S = 0.28


def build_request(arrived_s: float, **changes) -> QueuedRequest:
    request = QueuedRequest(
        rank=1,
        arrived_s=arrived_s,
        target_s=arrived_s + TARGET_S,
        end_s=arrived_s + DEADLINE_S,
        service_s=0.1,
    )
    for field, setting in changes.items():
        setattr(request, field, setting)
    return request


def build_queue(*requests: QueuedRequest) -> OverloadQueue:
    queue = OverloadQueue()
    for request in requests:
        queue.push(request)
    queue.started = 1
    return queue


def test_requests_that_can_be_on_time_go_first():
    late = build_request(0)
    fresh = build_request(1)
    assert list(build_queue(late, fresh).in_order(1.2)) == [fresh, late]


def test_late_requests_take_a_turn():
    late = build_request(0)
    fresh = build_request(1)
    queue = build_queue(late, fresh)
    queue.started = 4
    assert next(queue.in_order(1.2)) is late


def test_more_urgent_requests_go_first_among_those_on_time():
    normal = build_request(1)
    urgent = build_request(1.1, rank=0)
    assert next(build_queue(normal, urgent).in_order(1.2)) is urgent


def test_unservable_requests_are_named():
    hopeless = build_request(0)
    fresh = build_request(4.9)
    assert build_queue(hopeless, fresh).unservable(4.95) == [hopeless]


@attrs.define(kw_only=True)
class Served:
    """Count what became of the requests of one play."""

    on_time: int = 0
    late: int = 0
    unserved: int = 0
    largest_served: int = 0


def build_arrivals(load: float, seed: int) -> list[QueuedRequest]:
    """Return requests of 60 s at ``load`` times what one engine can do."""
    rng = random.Random(seed)
    times = sorted(rng.uniform(0, 60) for _ in range(int(600 * load)))
    return [
        build_request(
            arrived_s,
            service_s=LARGE_S if rng.randrange(10) == 0 else 0.08,
        )
        for arrived_s in times
    ]


def play(order, load: float, seed: int) -> Served:
    """Serve arrivals one at a time in the order that ``order`` returns."""
    served = Served()
    queue = OverloadQueue()
    arrivals = build_arrivals(load, seed)
    moment_s = 0.0
    while arrivals or len(queue):
        while arrivals and arrivals[0].arrived_s <= moment_s:
            queue.push(arrivals.pop(0))
        for hopeless in queue.unservable(moment_s):
            queue.remove(hopeless, is_started=False)
            served.unserved += 1
        if len(queue):
            moment_s += serve(queue, order, moment_s, served)
        elif arrivals:
            moment_s = arrivals[0].arrived_s
    return served


def serve(queue, order, moment_s: float, served: Served) -> float:
    """Serve one request and return how long it took."""
    chosen = order(queue, moment_s)[0]
    queue.remove(chosen, is_started=True)
    if chosen.is_on_time(moment_s):
        served.on_time += 1
    else:
        served.late += 1
    served.largest_served += chosen.service_s == LARGE_S
    return chosen.service_s


def by_arrival(queue: OverloadQueue, moment_s: float) -> list[QueuedRequest]:
    return sorted(queue.waiting, key=lambda request: request.arrived_s)


def by_policy(queue: OverloadQueue, moment_s: float) -> list[QueuedRequest]:
    return list(queue.in_order(moment_s))


@pytest.mark.parametrize('seed', range(5))
def test_overload_leaves_most_on_time_and_starves_no_length(seed):
    plain = play(by_arrival, 1.4, seed)
    ordered = play(by_policy, 1.4, seed)
    assert ordered.on_time > 3 * plain.on_time
    assert ordered.largest_served > 25


def test_light_load_is_served_whole():
    served = play(by_policy, 0.7, 1)
    assert served.unserved == 0
    assert served.late * 10 < served.on_time
