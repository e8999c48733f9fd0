"""Decide how many prompts are saved when the links of the stores are busy.

A save moves a whole prompt over the link of a store, and the fetches of other
requests wait behind it. All VMs see about the same saves in each other's
reports, so each adjusts its own share of them. Saves that the links can carry
are all made.
"""

_UPDATE_INTERVAL_S = 2.0
# Of the time of the stores' links. Beyond it the saves queue up.
_FULL_LINK_USE = 1.0
# What saves may use of full links; the rest is for fetches.
_MAX_LINK_USE = 0.5
_MIN_SHARE = 0.05
_MAX_DECREASE = 0.5
_MAX_INCREASE = 1.25
# A VM that had no requests for longer starts anew.
_MAX_INTERVALS = 16
_TOKENS_SMOOTHING = 0.1


class SaveThrottle:
    """Follow how busy saves keep the links of the stores.

    ``share`` of the prompts should be saved that bring the stores nothing that
    other prompts are known to begin with, ``prompt_tokens`` is their mean size.
    """

    def __init__(self) -> None:
        """Start with saving all."""
        self.share = 1.0
        self.prompt_tokens: float | None = None
        self.updated_s = float('-inf')

    def is_due(self, now_s: float) -> bool:
        """Return whether the share should be updated."""
        return now_s - self.updated_s >= _UPDATE_INTERVAL_S

    def record_save(self, prompt_tokens: int) -> None:
        """Follow the size of the prompts that this VM lets engines save."""
        mean_tokens = self.prompt_tokens or prompt_tokens
        self.prompt_tokens = mean_tokens + _TOKENS_SMOOTHING * (
            prompt_tokens - mean_tokens
        )

    def update(
        self, *, saves_per_s: float, token_link_s: float, now_s: float
    ) -> None:
        """Adjust the share to the saves of the fleet.

        ``token_link_s`` is how long a token keeps the links of all stores busy,
        0 if that isn't known.
        """
        intervals = (now_s - self.updated_s) / _UPDATE_INTERVAL_S
        self.updated_s = now_s
        use = saves_per_s * (self.prompt_tokens or 0) * token_link_s
        change = _MAX_INCREASE ** min(intervals, _MAX_INTERVALS)
        if use > _FULL_LINK_USE or (use and self.share < 1):
            change = min(change, max(_MAX_DECREASE, _MAX_LINK_USE / use))
        self.share = min(1.0, max(_MIN_SHARE, self.share * change))
