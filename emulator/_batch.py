"""Emulate the continuous batching of a model engine.

Each step prefills uncached prompt tokens up to a budget and decodes one
token of every prefilled sequence. Its duration grows with the number of
prefilled tokens.
"""

import asyncio
from collections.abc import Sequence

import attrs

from emulator._prefix_cache import PrefixCache

_IDLE_POLL_S = 0.5


@attrs.frozen(kw_only=True)
class Speed:
    """Set the duration and the limits of a step.

    A step takes ``base_s`` plus ``prefill_s`` per prefilled token, in
    seconds. ``step_tokens`` limits the tokens prefilled in one step and
    ``slots`` the sequences that run concurrently.
    """

    base_s: float = 0.012
    prefill_s: float = 0.00012
    step_tokens: int = 512
    slots: int = 8


@attrs.define(kw_only=True, eq=False)
class Request:
    """Track one sequence from submission to its last token.

    ``output`` receives the index of each decoded token, then None.
    ``uncached`` counts the prompt tokens that are still to be prefilled.
    """

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
    """Schedule sequences by priority and run prefill and decode steps."""

    def __init__(self, *, speed: Speed, cache: PrefixCache) -> None:
        """Start idle; cache prefilled prompts in ``cache``."""
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
        """Queue a sequence behind those of the same priority."""
        self.arrivals += 1
        sequence.arrival = self.arrivals
        self.waiting.append(sequence)
        self.waiting.sort(key=lambda entry: (entry.priority, entry.arrival))
        self.work.set()

    def cancel(self, sequence: Request) -> None:
        """Remove a sequence, whether it is waiting or running."""
        for entries in (self.waiting, self.running):
            if sequence in entries:
                entries.remove(sequence)

    def queued_tokens(self) -> int:
        """Return the number of prompt tokens that are still to be prefilled."""
        running = sum(sequence.uncached for sequence in self.running)
        waiting = sum(sequence.prompt_tokens for sequence in self.waiting)
        return running + waiting

    async def run(self) -> None:
        """Run steps until the task is cancelled."""
        while True:
            if self.stalled or not (self.waiting or self.running):
                self.work.clear()
                try:
                    await asyncio.wait_for(self.work.wait(), _IDLE_POLL_S)
                except asyncio.TimeoutError:
                    continue
                continue
            self._admit()
            prefilled = self._prefill()
            step_s = self.speed.base_s + prefilled * self.speed.prefill_s
            await asyncio.sleep(step_s * self.slow_factor)
            self._decode()

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.speed.slots:
            sequence = self.waiting.pop(0)
            cached_blocks = self.cache.match(sequence.hashes)
            sequence.cached_tokens = cached_blocks * sequence.block_tokens
            sequence.uncached = max(
                1,
                sequence.prompt_tokens - sequence.cached_tokens,
            )
            sequence.admitted = True
            self.running.append(sequence)

    def _prefill(self) -> int:
        budget = self.speed.step_tokens
        for sequence in self.running:
            chunk = min(budget, sequence.uncached)
            if not chunk:
                continue
            sequence.uncached -= chunk
            budget -= chunk
            if not sequence.uncached:
                self.cache.store(sequence.hashes)
        prefilled = self.speed.step_tokens - budget
        self.computed_tokens += prefilled
        return prefilled

    def _decode(self) -> None:
        for sequence in list(self.running):
            if sequence.uncached:
                continue
            sequence.output.put_nowait(sequence.emitted)
            sequence.emitted += 1
            if sequence.emitted >= sequence.max_tokens:
                sequence.output.put_nowait(None)
                self.running.remove(sequence)
