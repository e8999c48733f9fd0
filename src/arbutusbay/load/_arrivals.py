"""Draw the arrivals of a workload from a seed."""

import random
from collections.abc import Iterator, Sequence

import attrs

from arbutusbay.load._workload import (
    CompletionKind,
    Level,
    ServiceKind,
    Swing,
    TeamWeight,
    Workload,
)

_BYTES_PER_TOKEN = 4


@attrs.frozen(kw_only=True)
class Arrival:
    """Hold one request and the second at which it is due."""

    number: int
    due_s: float
    at_crest: bool
    team: TeamWeight
    kind: CompletionKind | ServiceKind
    prompt_levels: tuple[str, ...] = ()
    question: str = ''


def draw_arrivals(
    workload: Workload,
    *,
    seed: int,
    duration_s: float,
) -> list[Arrival]:
    """Return all arrivals within ``duration_s``, in order."""
    rng = random.Random(seed)
    kinds = [*workload.completions, *workload.services]
    kind_weights = [kind.weight for kind in kinds]
    team_weights = [team.weight for team in workload.teams]
    return [
        _draw(
            rng,
            workload,
            number,
            due_s,
            team=rng.choices(workload.teams, team_weights)[0],
            kind=rng.choices(kinds, kind_weights)[0],
        )
        for number, due_s in enumerate(
            _due_times(rng, workload.swing, duration_s),
        )
    ]


def is_crest(swing: Swing, at_s: float) -> bool:
    """Tell whether demand is at its crest at second ``at_s``."""
    return at_s % swing.period_s >= swing.period_s - swing.crest_s


def _due_times(
    rng: random.Random,
    swing: Swing,
    duration_s: float,
) -> Iterator[float]:
    due_s = 0.0
    while True:
        rate_per_s = swing.rate_per_s
        if is_crest(swing, due_s):
            rate_per_s *= swing.crest_factor
        due_s += rng.expovariate(rate_per_s)
        if due_s >= duration_s:
            return
        yield due_s


def _draw(
    rng: random.Random,
    workload: Workload,
    number: int,
    due_s: float,
    *,
    team: TeamWeight,
    kind: CompletionKind | ServiceKind,
) -> Arrival:
    arrival = Arrival(
        number=number,
        due_s=due_s,
        at_crest=is_crest(workload.swing, due_s),
        team=team,
        kind=kind,
    )
    if isinstance(kind, ServiceKind):
        return arrival
    shift = int(due_s / workload.shift_s)
    return attrs.evolve(
        arrival,
        prompt_levels=tuple(_draw_levels(rng, kind, team, shift)),
        question=_text(f'{number} asks', kind.question_tokens),
    )


def _draw_levels(
    rng: random.Random,
    kind: CompletionKind,
    team: TeamWeight,
    shift: int,
) -> Iterator[str]:
    path = f'{kind.name} {team.name}'
    for level in kind.levels:
        rank = _draw_rank(rng, level)
        path = f'{path} {(rank + shift) % level.variants}'
        yield _text(path, level.tokens)


def _draw_rank(rng: random.Random, level: Level) -> int:
    ranks = range(level.variants)
    return rng.choices(ranks, _rank_weights(level))[0]


def _rank_weights(level: Level) -> Sequence[float]:
    return [1 / (rank + 1) ** level.skew for rank in range(level.variants)]


def _text(seed_text: str, tokens: int) -> str:
    length = tokens * _BYTES_PER_TOKEN
    repeats = length // (len(seed_text) + 1) + 1
    padded = f'{seed_text} '
    return (padded * repeats)[:length]
