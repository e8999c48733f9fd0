"""Describe one request to queueing and placement."""

import math

import attrs

from arbutusbay.state import Urgency

BYTES_PER_TOKEN = 4
LONG_JOB_TOKENS = 2000
OUTPUT_TOKEN_WEIGHT = 4


@attrs.frozen(kw_only=True)
class Job:
    """Hold the properties of a request that determine its scheduling.

    ``hashes`` are the chained hashes of the prompt's blocks, shortest prefix
    first, and ``block_tokens`` is the size of one block. ``deadline_s`` and
    ``arrived_s`` are seconds on the monotonic clock, as is ``received_s``, when
    the request had arrived whole. ``team_share`` is the team's weight in fair
    queueing.
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
    received_s: float = math.inf

    @property
    def cost_tokens(self) -> int:
        """Return the estimated cost in prompt tokens.

        Counts each output token as ``OUTPUT_TOKEN_WEIGHT`` prompt tokens.
        """
        return self.prompt_tokens + OUTPUT_TOKEN_WEIGHT * self.max_tokens

    @property
    def is_long(self) -> bool:
        """Return whether the cost reaches ``LONG_JOB_TOKENS``.

        Such a request runs many times longer than most.
        """
        return self.cost_tokens >= LONG_JOB_TOKENS

    def uncached_tokens(self, depth: int) -> int:
        """Return the prompt tokens to compute after ``depth`` cached blocks.

        At least 1.
        """
        return max(1, self.prompt_tokens - depth * self.block_tokens)
