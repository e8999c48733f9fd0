"""Generate the arrival schedule of a workload from a random seed.

The gap after an arrival is exponentially distributed, with the arrival rate at
the time of that arrival. The rate rises in periodic peaks.
"""

import random
from collections.abc import Iterator, Sequence

import attrs

from arbutusbay.load._workload import (
    ArrivalRate,
    CompletionKind,
    PrefixLevel,
    ServiceCallKind,
    Workload,
    WorkloadTeam,
)

# The router and the emulated engines estimate prompt tokens by this ratio too.
_BYTES_PER_TOKEN = 4


@attrs.frozen(kw_only=True)
class Arrival:
    """Hold one request and its due time.

    ``due_s`` is in seconds from the start of the run. ``prefix_texts`` are
    the texts of the nested prompt prefix, outermost first; they and
    ``question`` are empty for service calls.
    """

    number: int
    due_s: float
    is_at_peak: bool
    team: WorkloadTeam
    kind: CompletionKind | ServiceCallKind
    prefix_texts: tuple[str, ...] = ()
    question: str = ''


def generate_arrivals(
    workload: Workload,
    *,
    seed: int,
    duration_s: float,
) -> list[Arrival]:
    """Return the arrivals of the first ``duration_s`` seconds in order.

    The same workload, seed and duration give the same arrivals.
    """
    rng = random.Random(seed)
    kinds = [*workload.completions, *workload.services]
    kind_weights = [kind.weight for kind in kinds]
    team_weights = [team.weight for team in workload.teams]
    return [
        _draw_arrival(
            rng,
            workload,
            number,
            due_s,
            team=rng.choices(workload.teams, team_weights)[0],
            kind=rng.choices(kinds, kind_weights)[0],
        )
        for number, due_s in enumerate(
            _draw_due_times(rng, workload.swing, duration_s),
        )
    ]


def is_peak(arrival_rate: ArrivalRate, at_s: float) -> bool:
    """Return whether the arrival rate is at its peak at ``at_s`` seconds."""
    return (
        at_s % arrival_rate.period_s
        >= arrival_rate.period_s - arrival_rate.crest_s
    )


def _draw_due_times(
    rng: random.Random,
    arrival_rate: ArrivalRate,
    duration_s: float,
) -> Iterator[float]:
    due_s = 0.0
    while True:
        rate_per_s = arrival_rate.rate_per_s
        if is_peak(arrival_rate, due_s):
            rate_per_s *= arrival_rate.crest_factor
        due_s += rng.expovariate(rate_per_s)
        if due_s >= duration_s:
            return
        yield due_s


def _draw_arrival(
    rng: random.Random,
    workload: Workload,
    number: int,
    due_s: float,
    *,
    team: WorkloadTeam,
    kind: CompletionKind | ServiceCallKind,
) -> Arrival:
    arrival = Arrival(
        number=number,
        due_s=due_s,
        is_at_peak=is_peak(workload.swing, due_s),
        team=team,
        kind=kind,
    )
    if isinstance(kind, ServiceCallKind):
        return arrival
    popularity_shift = int(due_s / workload.shift_s)
    return attrs.evolve(
        arrival,
        prefix_texts=tuple(
            _draw_prefix_texts(rng, kind, team, popularity_shift)
        ),
        question=_repeat_to_length(f'{number} asks', kind.question_tokens),
    )


def _draw_prefix_texts(
    rng: random.Random,
    kind: CompletionKind,
    team: WorkloadTeam,
    popularity_shift: int,
) -> Iterator[str]:
    path = f'{kind.name} {team.name}'
    for level in kind.levels:
        rank = _draw_variant_rank(rng, level)
        path = f'{path} {(rank + popularity_shift) % level.variants}'
        yield _repeat_to_length(path, level.tokens)


def _draw_variant_rank(rng: random.Random, level: PrefixLevel) -> int:
    ranks = range(level.variants)
    return rng.choices(ranks, _zipf_weights(level))[0]


def _zipf_weights(level: PrefixLevel) -> Sequence[float]:
    return [1 / (rank + 1) ** level.skew for rank in range(level.variants)]


def _repeat_to_length(phrase: str, tokens: int) -> str:
    length = tokens * _BYTES_PER_TOKEN
    repeats = length // (len(phrase) + 1) + 1
    padded = f'{phrase} '
    return (padded * repeats)[:length]
