"""Count requests without an answer as rule LOST does beside planned work."""

from emulator.fleet import Fleet
from tests.kept_clients import Outcome

LOSS_SLACK_S = 0.2


def passed_on_attempts(fleet: Fleet) -> set[str]:
    """Return the attempts that have reached an engine, run or not."""
    return set().union(
        *(engine.connections.attempts.arrived for engine in fleet.engines)
    )


def broken_off_attempts(fleet: Fleet) -> set[str]:
    """Return the attempts that an engine broke off as it ended."""
    return set().union(
        *(engine.connections.attempts.broken_off for engine in fleet.engines)
    )


def is_lost(
    outcome: Outcome, *, was_passed_on: bool, limit_s: float | None = None
) -> bool:
    """Return whether a request that was sent whole has lost its answer.

    A request that crosses the close of its connection counts once it was
    passed on, or if the close comes later than the slack. One that has used
    ``limit_s``, its deadline or the timeout of its route, doesn't count.
    """
    if outcome.is_whole or not outcome.was_sent_whole:
        return False
    if limit_s is not None and outcome.waited_s >= limit_s:
        return False
    return was_passed_on or outcome.waited_s > LOSS_SLACK_S


def find_losses(
    fleet: Fleet, outcomes: list[Outcome], limits_by_path: dict[str, float]
) -> list[Outcome]:
    """Return the outcomes that count; not those that an engine broke off."""
    passed_on = passed_on_attempts(fleet)
    broken_off = broken_off_attempts(fleet)
    return [
        outcome
        for outcome in outcomes
        if outcome.attempt_id not in broken_off
        and is_lost(
            outcome,
            was_passed_on=outcome.attempt_id in passed_on,
            limit_s=limits_by_path[outcome.path],
        )
    ]


def read_log(fleet: Fleet, attempt_id: str) -> list[str]:
    """Return the lines of all VMs that bear the attempt."""
    return [
        line
        for node in fleet.nodes
        for line in node.log_path.read_text().splitlines()
        if f'"{attempt_id}"' in line
    ]
