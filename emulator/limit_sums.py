"""Sum what all VMs passed on of a team against its rate limit."""

from collections import deque
from collections.abc import Iterable

import attrs

from emulator.fleet_engine import FleetEngine


@attrs.frozen(kw_only=True)
class QuotaTolerance:
    """Hold by how much a limit may be exceeded in ``window_s`` seconds."""

    window_s: float = 0.0
    overshoot: float = 0.0
    slack: float = 0.0

    def to_toml(self) -> str:
        """Return the bounds that the settings of a VM name."""
        return (
            f'quota_window_s = {self.window_s}\n'
            f'quota_overshoot = {self.overshoot}\n'
            f'quota_slack = {self.slack}\n'
        )


@attrs.frozen(kw_only=True)
class PassedRequest:
    """Hold when an engine began a request, and what it counts."""

    began_s: float
    cost: float


def allowed_sum(
    tolerance: QuotaTolerance, *, rate_per_s: float, burst: float
) -> float:
    """Return what all VMs together may pass on in a window."""
    limit = rate_per_s * tolerance.window_s + burst
    return limit * (1 + tolerance.overshoot) + tolerance.slack


def find_passed(
    engines: Iterable[FleetEngine], prefix: str
) -> list[PassedRequest]:
    """Return the runs at all engines of attempts whose id has a prefix."""
    passed = [
        PassedRequest(began_s=run.began_s, cost=_count_tokens(run.headers))
        for engine in engines
        for run in engine.executions
        if run.attempt_id.startswith(prefix)
    ]
    return sorted(passed, key=lambda request: request.began_s)


def highest_sum(passed: Iterable[PassedRequest], window_s: float) -> float:
    """Return the most that passed in any window; ``passed`` is in order."""
    window: deque[PassedRequest] = deque()
    highest = 0.0
    for request in passed:
        window.append(request)
        while window[0].began_s < request.began_s - window_s:
            window.popleft()
        highest = max(highest, sum(counted.cost for counted in window))
    return highest


def _count_tokens(headers: dict[str, str]) -> float:
    return float(sum(map(int, headers['Token-Counts'].split(','))))
