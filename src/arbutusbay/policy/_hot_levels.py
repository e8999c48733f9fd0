"""Find the level of a nested prefix that is hot enough to share."""

import time
from collections import OrderedDict
from collections.abc import Sequence

_MAX_LEVELS = 20_000
_HALF_LIFE_S = 10.0
_HOT_COUNT = 2.5
_MAX_SAMPLES = 32


def sample_depths(blocks: int) -> list[int]:
    """Return at most 32 evenly spaced depths, the last one included."""
    step = max(1, -(-blocks // _MAX_SAMPLES))
    depths = list(range(step, blocks + 1, step))
    if blocks and (not depths or depths[-1] != blocks):
        depths.append(blocks)
    return depths


class HotLevels:
    """Count prompts per prefix level with exponential decay."""

    def __init__(self) -> None:
        """Start with no counts."""
        self.counts: OrderedDict[int, tuple[float, float]] = OrderedDict()

    def observe(self, hashes: Sequence[int]) -> str:
        """Count a prompt and return the key of its deepest hot level."""
        now_s = time.monotonic()
        key = str(hashes[0]) if hashes else ''
        for depth in sample_depths(len(hashes)):
            block_hash = hashes[depth - 1]
            if self._count(block_hash, now_s) >= _HOT_COUNT:
                key = str(block_hash)
        return key

    def _count(self, block_hash: int, now_s: float) -> float:
        count, counted_at_s = self.counts.pop(block_hash, (0, now_s))
        decayed = count * 0.5 ** ((now_s - counted_at_s) / _HALF_LIFE_S)
        self.counts[block_hash] = (decayed + 1, now_s)
        if len(self.counts) > _MAX_LEVELS:
            self.counts.popitem(last=False)
        return decayed + 1
