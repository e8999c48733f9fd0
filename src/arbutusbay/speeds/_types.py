"""Define the estimate of a backend server's speed."""

import attrs

LOAD_LEVELS = 4


@attrs.frozen(kw_only=True)
class SpeedEstimate:
    """Hold how fast a backend server is, relative to its service.

    ``speed`` is 1 for a usual server and 2 for one that takes half the time.
    ``momentary_slowdown`` is the factor by which work has just begun to take
    longer than that, without the slowdown that the server itself reports.
    ``taken_share`` is the share of its slots up to which requests hardly slow
    each other down.
    """

    speed: float = 1.0
    momentary_slowdown: float = 1.0
    taken_share: float = 1.0

    @property
    def current_speed(self) -> float:
        """Return the speed at this moment."""
        return self.speed / self.momentary_slowdown

    def taken_requests(self, slots: int) -> int:
        """Return how many requests a server with ``slots`` takes well."""
        return max(1, round(slots * self.taken_share))


def load_level(running: int, slots: int) -> int:
    """Return the level of load, from 0 to ``LOAD_LEVELS`` - 1.

    ``running`` counts the measured request as well.
    """
    if slots <= 0:
        return 0
    before = max(0, running - 1)
    return min(LOAD_LEVELS - 1, before * LOAD_LEVELS // slots)
