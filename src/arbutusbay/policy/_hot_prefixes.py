"""Find the longest prefix of a prompt that is shared by many prompts.

Placement uses it as the affinity key, so that prompts with a common prefix
go to the same engines and share their cache.
"""

import time
from collections import OrderedDict
from collections.abc import Sequence

_MAX_PREFIXES = 20_000
_HALF_LIFE_S = 10.0
_HOT_PREFIX_THRESHOLD = 2.5
_MAX_SAMPLED_DEPTHS = 32


def sample_depths(blocks: int) -> list[int]:
    """Return at most 32 evenly spaced prefix depths in blocks.

    The last depth is always ``blocks``; the list is empty if ``blocks`` is 0.
    """
    step = max(1, -(-blocks // _MAX_SAMPLED_DEPTHS))
    depths = list(range(step, blocks + 1, step))
    if blocks and (not depths or depths[-1] != blocks):
        depths.append(blocks)
    return depths


class HotPrefixCounter:
    """Count the prompts that share each prefix, with exponential decay."""

    def __init__(self) -> None:
        """Create an empty counter."""
        self.counts: OrderedDict[int, tuple[float, float]] = OrderedDict()

    def observe(self, hashes: Sequence[int]) -> str:
        """Count a prompt and return the hash of its longest hot prefix.

        Falls back to the hash of the first block, or '' for no blocks.
        """
        now_s = time.monotonic()
        key = str(hashes[0]) if hashes else ''
        for depth in sample_depths(len(hashes)):
            block_hash = hashes[depth - 1]
            if self._increment(block_hash, now_s) >= _HOT_PREFIX_THRESHOLD:
                key = str(block_hash)
        return key

    def _increment(self, block_hash: int, now_s: float) -> float:
        count, counted_at_s = self.counts.pop(block_hash, (0, now_s))
        decayed = count * 0.5 ** ((now_s - counted_at_s) / _HALF_LIFE_S)
        self.counts[block_hash] = (decayed + 1, now_s)
        if len(self.counts) > _MAX_PREFIXES:
            self.counts.popitem(last=False)
        return decayed + 1
