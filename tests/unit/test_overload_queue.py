"""Check who waits when more work arrives than one engine can do."""

import random

import attrs

from arbutusbay.scheduling import OverloadQueue, QueuedRequest

TARGET_S = 0.6
DEADLINE_S = 5.0


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


def play(queue_order, load: float, seed: int) -> Served:
    """Play 60 s of arrivals at ``load`` times what one engine can do."""
    rng = random.Random(seed)
    served = Served()
    queue = OverloadQueue()
    arrivals = sorted(rng.uniform(0, 60) for _ in range(int(600 * load)))
    moment_s = 0.0
    while arrivals or len(queue):
        while arrivals and arrivals[0] <= moment_s:
            arrived_s = arrivals.pop(0)
            is_large = rng.random() < 0.1
            queue.push(
                build_request(
                    arrived_s,
                    service_s=0.28 if is_large else 0.08,
                ),
            )
        for hopeless in queue.unservable(moment_s):
            queue.remove(hopeless, is_started=False)
            served.unserved += 1
        waiting = queue_order(queue, moment_s)
        if not waiting:
            moment_s = arrivals[0] if arrivals else moment_s + 0.1
            continue
        chosen = waiting[0]
        queue.remove(chosen, is_started=True)
        if chosen.is_on_time(moment_s):
            served.on_time += 1
        else:
            served.late += 1
        served.largest_served += chosen.service_s > 0.2
        moment_s += chosen.service_s
    return served


def test_overload_leaves_most_on_time_and_starves_no_length():
    for seed in range(5):
        by_arrival = play(
            lambda queue, _: sorted(
                queue.waiting, key=lambda request: request.arrived_s
            ),
            1.4,
            seed,
        )
        by_policy = play(
            lambda queue, moment_s: list(queue.in_order(moment_s)),
            1.4,
            seed,
        )
        assert by_policy.on_time > 3 * by_arrival.on_time
        assert by_policy.largest_served > 25


def test_light_load_is_served_whole():
    served = play(
        lambda queue, moment_s: list(queue.in_order(moment_s)),
        0.7,
        1,
    )
    assert served.unserved == 0
    assert served.late < 0.1 * served.on_time
