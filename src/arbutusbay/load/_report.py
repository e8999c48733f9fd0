"""Sum outcomes up: waits by kind, hit rate, goodput, the crest."""

from collections.abc import Iterable, Sequence
from typing import Any

from hdrh.histogram import HdrHistogram

from arbutusbay.load._sender import Outcome
from arbutusbay.load._workload import CompletionKind

_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_DIGITS = 3
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_PERCENTILES = (50, 95, 99)


def build_report(
    outcomes: Sequence[Outcome],
    duration_s: float,
) -> dict[str, Any]:
    """Return the report as JSON values; times are in milliseconds."""
    completions = [
        outcome
        for outcome in outcomes
        if isinstance(outcome.arrival.kind, CompletionKind)
    ]
    urgent = [outcome for outcome in completions if outcome.arrival.kind.urgent]
    names = sorted({outcome.arrival.kind.name for outcome in outcomes})
    return {
        'requests': len(outcomes),
        'complete': _count_complete(outcomes),
        'goodput_per_s': _count_complete(outcomes) / duration_s,
        'prefix_hit_rate': _hit_rate(completions),
        'computed_tokens': sum(
            outcome.prompt_tokens - outcome.cached_tokens
            for outcome in completions
        ),
        'first_token_ms': _waits(completions),
        'urgent_first_token_ms': _waits(urgent),
        'crest_urgent_first_token_ms': _waits(
            outcome for outcome in urgent if outcome.arrival.at_crest
        ),
        'kinds': {
            name: _kind_report(
                [
                    outcome
                    for outcome in outcomes
                    if outcome.arrival.kind.name == name
                ]
            )
            for name in names
        },
        'errors': _errors(outcomes),
    }


def _kind_report(outcomes: Sequence[Outcome]) -> dict[str, Any]:
    return {
        'requests': len(outcomes),
        'complete': _count_complete(outcomes),
        'first_ms': _waits(outcomes),
    }


def _waits(outcomes: Iterable[Outcome]) -> dict[str, float]:
    histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
    for outcome in outcomes:
        if outcome.first_s is not None:
            histogram.record_value(int(outcome.first_s * _US_PER_S))
    return {
        f'p{percentile}': round(
            histogram.get_value_at_percentile(percentile) / _US_PER_MS,
            1,
        )
        for percentile in _PERCENTILES
    }


def _hit_rate(outcomes: Sequence[Outcome]) -> float:
    prompt = sum(outcome.prompt_tokens for outcome in outcomes)
    cached = sum(outcome.cached_tokens for outcome in outcomes)
    return round(cached / max(1, prompt), 4)


def _count_complete(outcomes: Iterable[Outcome]) -> int:
    return sum(outcome.complete for outcome in outcomes)


def _errors(outcomes: Iterable[Outcome]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for outcome in outcomes:
        if not outcome.complete:
            reason = outcome.error or f'status {outcome.status}'
            counts[reason] = counts.get(reason, 0) + 1
    return counts
