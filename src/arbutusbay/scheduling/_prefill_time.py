"""Estimate the time to the first event of a prompt, as a line over its length.

Each first event takes a fixed time besides the prefill. Counted as part of
the time per token, it makes engines look slower for long prompts than they
are, and these then wait in the queue of the VM for an engine that has room.
"""

import attrs

_INITIAL_S_PER_TOKEN = 0.00002
_MIN_S_PER_TOKEN = 0.000005
_MAX_S_PER_TOKEN = 0.0001
_MAX_FIXED_S = 0.2
_SMOOTHING_FACTOR = 0.05
_PRIOR_SPREAD_TOKENS = 1500.0


@attrs.define(kw_only=True)
class PrefillTime:
    """Fit ``fixed_s + tokens * s_per_token`` to recent first events.

    The means are exponential moving averages. While the lengths of prompts
    differ little, the time per token stays near that of a line without a
    fixed part.
    """

    s_per_token: float = _INITIAL_S_PER_TOKEN
    fixed_s: float = 0.0
    mean_tokens: float = 0.0
    mean_s: float = 0.0
    variance: float = 0.0
    covariance: float = 0.0
    is_measured: bool = False

    def record(self, tokens: int, elapsed_s: float) -> None:
        """Add the first event of a prompt that came after ``elapsed_s``.

        ``tokens`` were prefilled until then; the time is corrected for the
        slowdown of the engine.
        """
        if not self.is_measured:
            self.mean_tokens = tokens
            self.mean_s = tokens * self.s_per_token
            self.is_measured = True
        token_error = tokens - self.mean_tokens
        time_error = elapsed_s - self.mean_s
        kept = 1 - _SMOOTHING_FACTOR
        self.variance = kept * (
            self.variance + _SMOOTHING_FACTOR * token_error**2
        )
        self.covariance = kept * (
            self.covariance + _SMOOTHING_FACTOR * token_error * time_error
        )
        self.mean_tokens += _SMOOTHING_FACTOR * token_error
        self.mean_s += _SMOOTHING_FACTOR * time_error
        self._fit()

    def _fit(self) -> None:
        prior_weight = _PRIOR_SPREAD_TOKENS**2
        prior_s_per_token = self.mean_s / max(1.0, self.mean_tokens)
        slope = (self.covariance + prior_weight * prior_s_per_token) / (
            self.variance + prior_weight
        )
        self.s_per_token = min(_MAX_S_PER_TOKEN, max(_MIN_S_PER_TOKEN, slope))
        self.fixed_s = min(
            _MAX_FIXED_S,
            max(0.0, self.mean_s - self.s_per_token * self.mean_tokens),
        )
