"""Summarize outcomes: latency percentiles, cache hit rate and goodput."""

from collections.abc import Iterable, Sequence
from typing import Any

from hdrh.histogram import HdrHistogram

from arbutusbay.load._load_generator import RequestOutcome
from arbutusbay.load._workload import CompletionKind

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 600_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_PERCENTILES = (50, 95, 99)


def build_report(
    outcomes: Sequence[RequestOutcome],
    duration_s: float,
) -> dict[str, Any]:
    """Return the report as JSON-compatible values.

    Latencies are in milliseconds from the due time of a request to its first
    event, or to the whole response of a service call. ``goodput_per_s``
    counts complete requests; ``duration_s`` is the length of the schedule.
    """
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
        'prefix_hit_rate': _prefix_hit_rate(completions),
        'computed_tokens': sum(
            outcome.prompt_tokens - outcome.cached_tokens
            for outcome in completions
        ),
        'first_token_ms': _latency_percentiles_ms(completions),
        'urgent_first_token_ms': _latency_percentiles_ms(urgent),
        'crest_urgent_first_token_ms': _latency_percentiles_ms(
            outcome for outcome in urgent if outcome.arrival.is_at_peak
        ),
        'kinds': {
            name: _build_kind_report(
                [
                    outcome
                    for outcome in outcomes
                    if outcome.arrival.kind.name == name
                ]
            )
            for name in names
        },
        'errors': _count_errors(outcomes),
    }


def _build_kind_report(outcomes: Sequence[RequestOutcome]) -> dict[str, Any]:
    return {
        'requests': len(outcomes),
        'complete': _count_complete(outcomes),
        'first_ms': _latency_percentiles_ms(outcomes),
    }


def _latency_percentiles_ms(
    outcomes: Iterable[RequestOutcome],
) -> dict[str, float]:
    histogram = HdrHistogram(
        _MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
    )
    for outcome in outcomes:
        if outcome.first_response_s is not None:
            histogram.record_value(int(outcome.first_response_s * _US_PER_S))
    return {
        f'p{percentile}': round(
            histogram.get_value_at_percentile(percentile) / _US_PER_MS,
            1,
        )
        for percentile in _PERCENTILES
    }


def _prefix_hit_rate(outcomes: Sequence[RequestOutcome]) -> float:
    prompt = sum(outcome.prompt_tokens for outcome in outcomes)
    cached = sum(outcome.cached_tokens for outcome in outcomes)
    return round(cached / max(1, prompt), 4)


def _count_complete(outcomes: Iterable[RequestOutcome]) -> int:
    return sum(outcome.complete for outcome in outcomes)


def _count_errors(outcomes: Iterable[RequestOutcome]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for outcome in outcomes:
        if not outcome.complete:
            reason = outcome.error or f'status {outcome.status}'
            counts[reason] = counts.get(reason, 0) + 1
    return counts
