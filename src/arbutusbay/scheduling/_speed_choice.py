"""Spread work over backend servers of different speeds.

Many VMs decide at the same time from the same old reports. A choice at random
in proportion to the speeds needs no reports to be right on average, and of two
servers that are drawn so the less loaded one is used.
"""

import random
from collections.abc import Sequence

from arbutusbay.scheduling._engine_view import EngineView

_ERROR_RATE_COST_FACTOR = 3.0
_DRAWN_SERVERS = 2


def differ_in_speed(servers: Sequence[EngineView]) -> bool:
    """Return whether the servers are known to differ in speed."""
    speeds = {
        (server.min_slowdown, server.speed.current_speed) for server in servers
    }
    return len(speeds) > 1


def time_factor(server: EngineView, now_s: float) -> float:
    """Return how much longer work takes now than at a usual server."""
    return server.current_slowdown(now_s) / server.speed.current_speed


def momentary_factor(server: EngineView, now_s: float) -> float:
    """Return how much longer work takes now than usually at this server."""
    usual = server.min_slowdown / server.speed.speed
    return time_factor(server, now_s) / usual


def error_factor(server: EngineView, now_s: float) -> float:
    """Return the factor by which failures make a server cost more."""
    return 1 + _ERROR_RATE_COST_FACTOR * server.current_error_rate(now_s)


def excess_requests(server: EngineView, attempts: int) -> int:
    """Return by how many a further request exceeds what a server takes well."""
    taken = server.speed.taken_requests(server.slots)
    return max(0, attempts - taken + 1)


def choose_by_speed(
    servers: Sequence[EngineView], *, now_s: float, rng: random.Random
) -> EngineView:
    """Return a server so that each gets work in proportion to its speed.

    Only servers that take a further request well are used, without any those
    with a free slot, and without these all.
    """
    attempts = {
        server.id: server.occupancy.total(now_s).attempts for server in servers
    }
    within = [
        server
        for server in servers
        if not excess_requests(server, attempts[server.id])
    ]
    free = [server for server in servers if attempts[server.id] < server.slots]
    candidates = within or free or list(servers)
    drawn = rng.choices(
        candidates,
        weights=[_rate(server, now_s) for server in candidates],
        k=_DRAWN_SERVERS,
    )
    return min(
        drawn,
        key=lambda server: (
            attempts[server.id] / server.speed.taken_requests(server.slots)
        ),
    )


def draw_by_speed(
    servers: Sequence[EngineView], *, now_s: float, rng: random.Random
) -> int:
    """Return the position of one of the servers, by chance.

    Those that are known to be faster are drawn more often.
    """
    if not differ_in_speed(servers):
        return rng.randrange(len(servers))
    rates = [1 / time_factor(server, now_s) for server in servers]
    return rng.choices(range(len(servers)), weights=rates)[0]


def _rate(server: EngineView, now_s: float) -> float:
    """Return the work that a server gets done, without that which fails."""
    return 1 / (time_factor(server, now_s) * error_factor(server, now_s))
