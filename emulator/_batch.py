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
class BatchOptions:
    """Set the duration and the limits of a step.

    A step takes ``step_base_s`` plus ``prefill_s_per_token`` per prefilled
    token, in seconds. ``max_prefill_tokens_per_step`` limits the tokens
    prefilled in one step and ``slots`` the sequences that run concurrently.
    """

    step_base_s: float = 0.012
    prefill_s_per_token: float = 0.00012
    max_prefill_tokens_per_step: int = 512
    slots: int = 8


@attrs.define(kw_only=True, eq=False)
class EngineSequence:
    """Track one sequence from submission to its last token.

    ``output`` receives the index of each decoded token, then None.
    ``uncached_tokens`` counts the prompt tokens that are still to be prefilled.
    """

    priority: int
    arrival_number: int
    hashes: Sequence[int]
    prompt_tokens: int
    block_tokens: int
    max_tokens: int
    next_index: int
    output: asyncio.Queue[int | None]
    uncached_tokens: int = 0
    cached_tokens: int = 0
    admitted: bool = False


class Batch:
    """Schedule sequences by priority and run prefill and decode steps."""

    def __init__(self, *, options: BatchOptions, cache: PrefixCache) -> None:
        """Start idle; cache prefilled prompts in ``cache``."""
        self.options = options
        self.cache = cache
        self.waiting: list[EngineSequence] = []
        self.running: list[EngineSequence] = []
        self.slow_factor = 1.0
        self.stalled = False
        self.holds_ends = False
        self.arrival_count = 0
        self.work_available = asyncio.Event()
        self.computed_tokens = 0

    def submit(self, sequence: EngineSequence) -> None:
        """Queue a sequence behind those of the same priority."""
        self.arrival_count += 1
        sequence.arrival_number = self.arrival_count
        self.waiting.append(sequence)
        self.waiting.sort(
            key=lambda entry: (entry.priority, entry.arrival_number)
        )
        self.work_available.set()

    def remove(self, sequence: EngineSequence) -> None:
        """Remove a sequence, whether it is waiting or running."""
        for entries in (self.waiting, self.running):
            if sequence in entries:
                entries.remove(sequence)

    def queued_tokens(self) -> int:
        """Return the number of prompt tokens that are still to be prefilled."""
        running = sum(sequence.uncached_tokens for sequence in self.running)
        waiting = sum(sequence.prompt_tokens for sequence in self.waiting)
        return running + waiting

    async def run(self) -> None:
        """Run steps until the task is cancelled."""
        while True:
            if self.stalled or not (self.waiting or self.running):
                self.work_available.clear()
                try:
                    await asyncio.wait_for(
                        self.work_available.wait(), _IDLE_POLL_S
                    )
                except asyncio.TimeoutError:
                    continue
                continue
            self._admit()
            prefilled = self._prefill()
            step_s = (
                self.options.step_base_s
                + prefilled * self.options.prefill_s_per_token
            )
            await asyncio.sleep(step_s * self.slow_factor)
            self._decode()

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.options.slots:
            sequence = self.waiting.pop(0)
            cached_blocks = self.cache.match_prefix(sequence.hashes)
            sequence.cached_tokens = cached_blocks * sequence.block_tokens
            sequence.uncached_tokens = max(
                1,
                sequence.prompt_tokens - sequence.cached_tokens,
            )
            sequence.admitted = True
            self.running.append(sequence)

    def _prefill(self) -> int:
        budget = self.options.max_prefill_tokens_per_step
        for sequence in self.running:
            chunk = min(budget, sequence.uncached_tokens)
            if not chunk:
                continue
            sequence.uncached_tokens -= chunk
            budget -= chunk
            if not sequence.uncached_tokens:
                self.cache.store(sequence.hashes)
        prefilled = self.options.max_prefill_tokens_per_step - budget
        self.computed_tokens += prefilled
        return prefilled

    def _decode(self) -> None:
        for sequence in list(self.running):
            if sequence.uncached_tokens:
                continue
            is_last = sequence.next_index + 1 >= sequence.max_tokens
            if is_last and self.holds_ends:
                continue
            sequence.output.put_nowait(sequence.next_index)
            sequence.next_index += 1
            if is_last:
                sequence.output.put_nowait(None)
                self.running.remove(sequence)
