"""Run an emulated engine's batch, one step after another.

A step computes uncached prompt tokens within a budget and one token for
each sequence that decodes. Its time grows with both.
"""

import asyncio
from collections.abc import Sequence

import attrs

from emulator._prefix_cache import PrefixCache

_IDLE_S = 0.5


@attrs.frozen(kw_only=True)
class Speed:
    """Time a step: ``base_s`` plus ``prefill_s`` a prompt token.

    ``step_tokens`` bounds the prompt tokens of one step; ``slots`` bounds
    the sequences that run at once.
    """

    base_s: float = 0.012
    prefill_s: float = 0.00012
    step_tokens: int = 512
    slots: int = 8


@attrs.define(kw_only=True, eq=False)
class Request:
    """Hold one request inside the engine."""

    priority: int
    arrival: int
    hashes: Sequence[int]
    prompt_tokens: int
    block_tokens: int
    max_tokens: int
    emitted: int
    output: asyncio.Queue[int | None]
    uncached: int = 0
    cached_tokens: int = 0
    admitted: bool = False


class Batch:
    """Admit by priority, compute prompts, decode."""

    def __init__(self, *, speed: Speed, cache: PrefixCache) -> None:
        """Cache prompts in ``cache``."""
        self.speed = speed
        self.cache = cache
        self.waiting: list[Request] = []
        self.running: list[Request] = []
        self.slow_factor = 1.0
        self.stalled = False
        self.arrivals = 0
        self.work = asyncio.Event()
        self.computed_tokens = 0

    def submit(self, sequence: Request) -> None:
        """Queue a sequence."""
        self.arrivals += 1
        sequence.arrival = self.arrivals
        self.waiting.append(sequence)
        self.waiting.sort(key=lambda entry: (entry.priority, entry.arrival))
        self.work.set()

    def cancel(self, sequence: Request) -> None:
        """Drop a sequence wherever it is."""
        for entries in (self.waiting, self.running):
            if sequence in entries:
                entries.remove(sequence)

    def queued_tokens(self) -> int:
        """Return prompt tokens not computed yet."""
        running = sum(sequence.uncached for sequence in self.running)
        waiting = sum(sequence.prompt_tokens for sequence in self.waiting)
        return running + waiting

    async def run(self) -> None:
        """Step until cancelled."""
        while True:
            if self.stalled or not (self.waiting or self.running):
                self.work.clear()
                try:
                    await asyncio.wait_for(self.work.wait(), _IDLE_S)
                except asyncio.TimeoutError:
                    continue
                continue
            self._admit()
            computed = self._prefill()
            step_s = self.speed.base_s + computed * self.speed.prefill_s
            await asyncio.sleep(step_s * self.slow_factor)
            self._decode()

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.speed.slots:
            sequence = self.waiting.pop(0)
            depth = self.cache.match(sequence.hashes)
            sequence.cached_tokens = depth * sequence.block_tokens
            sequence.uncached = max(
                1,
                sequence.prompt_tokens - sequence.cached_tokens,
            )
            sequence.admitted = True
            self.running.append(sequence)

    def _prefill(self) -> int:
        budget = self.speed.step_tokens
        for sequence in self.running:
            share = min(budget, sequence.uncached)
            if not share:
                continue
            sequence.uncached -= share
            budget -= share
            if not sequence.uncached:
                self.cache.store(sequence.hashes)
        computed = self.speed.step_tokens - budget
        self.computed_tokens += computed
        return computed

    def _decode(self) -> None:
        for sequence in list(self.running):
            if sequence.uncached:
                continue
            sequence.output.put_nowait(sequence.emitted)
            sequence.emitted += 1
            if sequence.emitted >= sequence.max_tokens:
                sequence.output.put_nowait(None)
                self.running.remove(sequence)
