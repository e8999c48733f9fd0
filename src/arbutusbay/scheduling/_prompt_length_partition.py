"""Partition engines between short and long prompts.

An engine prefills prompts in large chunks between the decode steps of its
running streams. The prefill of a long prompt stalls these streams for longer
than clients accept. The engines are therefore ranked: the first ones serve
requests with short prompts and the others those with long prompts, in
proportion to the recent work of each kind.
"""

from collections.abc import Mapping, Sequence

import attrs

from arbutusbay.hashing import rank_by_rendezvous_hash
from arbutusbay.scheduling._engine_view import EngineView

_RENDEZVOUS_KEY = 'engine-rank'
_HALF_LIFE_S = 8.0
_PROMPT_TOKENS_PER_OUTPUT_TOKEN = 0.5
LONG_PROMPT_TOKENS = 2048
EVEN_SPLIT = 0.5


@attrs.frozen(kw_only=True)
class WorkTotals:
    """Total the recent work by prompt length, in units of prompt tokens."""

    short_prompt_work: float = 0.0
    long_prompt_work: float = 0.0


@attrs.define(kw_only=True)
class RecentWork:
    """Track recent work as totals with exponential decay."""

    short_prompt_work: float = 0.0
    long_prompt_work: float = 0.0
    updated_s: float = 0.0

    def record_request(
        self,
        *,
        prompt_tokens: int,
        uncached_tokens: int,
        output_tokens: int,
        now_s: float,
    ) -> None:
        """Add the work of one request."""
        self._decay(now_s)
        work = uncached_tokens + output_tokens * _PROMPT_TOKENS_PER_OUTPUT_TOKEN
        if is_long_prompt(prompt_tokens):
            self.long_prompt_work += work
        else:
            self.short_prompt_work += work

    def current_totals(self, now_s: float) -> WorkTotals:
        """Return the totals as of ``now_s``."""
        self._decay(now_s)
        return WorkTotals(
            short_prompt_work=self.short_prompt_work,
            long_prompt_work=self.long_prompt_work,
        )

    def _decay(self, now_s: float) -> None:
        factor = 0.5 ** (max(0.0, now_s - self.updated_s) / _HALF_LIFE_S)
        self.short_prompt_work *= factor
        self.long_prompt_work *= factor
        self.updated_s = now_s


def is_long_prompt(prompt_tokens: int) -> bool:
    """Return whether a prompt needs more than one prefill chunk."""
    return prompt_tokens > LONG_PROMPT_TOKENS


def short_prompt_share(work_totals: Sequence[WorkTotals]) -> float:
    """Return the share of the work that is due to short-prompt requests.

    Return 0.5 without any work.
    """
    short = sum(part.short_prompt_work for part in work_totals)
    total = short + sum(part.long_prompt_work for part in work_totals)
    return short / total if total else 0.5


def rank_engines(engines: Sequence[EngineView]) -> list[EngineView]:
    """Return ``engines`` in an order that is the same on all VMs."""
    by_id = {engine.id: engine for engine in engines}
    return [
        by_id[name] for name in rank_by_rendezvous_hash(_RENDEZVOUS_KEY, by_id)
    ]


def short_prompt_fractions(
    engines: Sequence[EngineView],
    share: float,
) -> Mapping[str, float]:
    """Map each engine's id to its fraction reserved for short prompts.

    ``share`` is the share of short prompts in the work. With work of both
    lengths and two or more engines, each length gets at least one engine.
    """
    short_engines = share * len(engines)
    if 0 < share < 1 and len(engines) > 1:
        short_engines = min(len(engines) - 1, max(1.0, short_engines))
    return {
        engine.id: min(1.0, max(0.0, short_engines - rank))
        for rank, engine in enumerate(rank_engines(engines))
    }


def serves_short_prompts(
    engine: EngineView, fractions: Mapping[str, float]
) -> bool:
    """Return whether most of an engine is for short prompts."""
    return fractions.get(engine.id, 0) > EVEN_SPLIT


def engines_for_length(
    prompt_tokens: int,
    engines: Sequence[EngineView],
    fractions: Mapping[str, float],
) -> list[str]:
    """Return the engines that serve prompts of this length.

    If there are none, return all engines.
    """
    is_long = is_long_prompt(prompt_tokens)
    return [
        engine.id
        for engine in engines
        if serves_short_prompts(engine, fractions) != is_long
    ] or [engine.id for engine in engines]
