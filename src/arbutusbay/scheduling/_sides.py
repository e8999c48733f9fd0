"""Keep long prompts away from streams that they would stall.

An engine computes prompts in large pieces between the tokens of the
streams that it runs. While it reads long prompts, those streams pause for
longer than clients accept. So engines are ranked, the first ones take
requests with short prompts and the others those with long prompts, in the
proportion of the work that arrives.
"""

from collections.abc import Mapping, Sequence

import attrs

from arbutusbay.hashing import rendezvous_order
from arbutusbay.scheduling._engine_view import EngineView

_RANK_KEY = 'engine-rank'
_HALF_LIFE_S = 8.0
_OUTPUT_TOKEN_COST = 0.5
LONG_PROMPT_TOKENS = 2048


@attrs.frozen(kw_only=True)
class WorkSums:
    """Sum up recent work in prompt tokens, by length of the prompt."""

    short: float = 0.0
    long: float = 0.0


@attrs.define(kw_only=True)
class WorkMix:
    """Track recent work; sums halve with each half-life."""

    short: float = 0.0
    long: float = 0.0
    updated_s: float = 0.0

    def put(
        self,
        *,
        prompt_tokens: int,
        uncached_tokens: int,
        output_tokens: int,
        now_s: float,
    ) -> None:
        """Take up one placed request."""
        self._fade(now_s)
        work = uncached_tokens + output_tokens * _OUTPUT_TOKEN_COST
        if is_long_prompt(prompt_tokens):
            self.long += work
        else:
            self.short += work

    def sums(self, now_s: float) -> WorkSums:
        """Return the sums as of now."""
        self._fade(now_s)
        return WorkSums(short=self.short, long=self.long)

    def _fade(self, now_s: float) -> None:
        factor = 0.5 ** (max(0.0, now_s - self.updated_s) / _HALF_LIFE_S)
        self.short *= factor
        self.long *= factor
        self.updated_s = now_s


def is_long_prompt(prompt_tokens: int) -> bool:
    """Tell whether a prompt takes more than one piece to compute."""
    return prompt_tokens > LONG_PROMPT_TOKENS


def short_share(sums: Sequence[WorkSums]) -> float:
    """Return the share of all work that requests with short prompts make."""
    short = sum(part.short for part in sums)
    total = short + sum(part.long for part in sums)
    return short / total if total else 0.5


def ranked_engines(engines: Sequence[EngineView]) -> list[EngineView]:
    """Return ``engines`` in an order on which all VMs agree."""
    by_id = {engine.id: engine for engine in engines}
    return [by_id[name] for name in rendezvous_order(_RANK_KEY, by_id)]


def short_fractions(
    engines: Sequence[EngineView],
    share: float,
) -> Mapping[str, float]:
    """Return which fraction of each engine is for short prompts.

    With work of both lengths, each has at least one engine if there are
    two.
    """
    places = share * len(engines)
    if 0 < share < 1 and len(engines) > 1:
        places = min(len(engines) - 1, max(1.0, places))
    return {
        engine.id: min(1.0, max(0.0, places - rank))
        for rank, engine in enumerate(ranked_engines(engines))
    }
