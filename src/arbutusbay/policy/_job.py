"""Describe one request to the decision functions."""

import attrs

from arbutusbay.state import Urgency

BYTES_PER_TOKEN = 4
LONG_WORK_TOKENS = 2000
DECODE_TOKEN_WEIGHT = 4


@attrs.frozen(kw_only=True)
class Job:
    """Hold what decides where and when a request runs.

    ``hashes`` are chained block hashes of the prompt, shortest prefix
    first; ``deadline_s`` and ``arrived_s`` are on the monotonic clock.
    """

    id: str
    team: str
    route: str
    pool: str
    urgency: Urgency
    hashes: tuple[int, ...]
    block_tokens: int
    prompt_tokens: int
    max_tokens: int
    arrived_s: float
    deadline_s: float
    team_share: float = 1.0

    @property
    def cost_tokens(self) -> int:
        """Return the work in prompt tokens, decoding weighed in."""
        return self.prompt_tokens + DECODE_TOKEN_WEIGHT * self.max_tokens

    @property
    def is_long(self) -> bool:
        """Tell whether the request runs many times longer than most."""
        return self.cost_tokens >= LONG_WORK_TOKENS

    def uncached_tokens(self, depth: int) -> int:
        """Return the prompt tokens left after ``depth`` cached blocks."""
        return max(1, self.prompt_tokens - depth * self.block_tokens)
