"""Test the estimated time to the first event of long prompts.

A fixed part must not be taken for time per token: it would halve the number
of long prompts that an engine is given at once.
"""

import random

from arbutusbay.scheduling import PrefillTime

_S_PER_TOKEN = 0.0000064
_FIXED_S = 0.05
_SAMPLES = 300


def fit(*, fixed_s: float, noise_s: float = 0.0) -> PrefillTime:
    """Return the estimate after first events of prompts of all lengths."""
    rng = random.Random(1)
    estimate = PrefillTime()
    for _ in range(_SAMPLES):
        tokens = rng.randrange(2000, 20_000)
        elapsed_s = fixed_s + tokens * _S_PER_TOKEN
        estimate.record(tokens, elapsed_s + rng.uniform(0, noise_s))
    return estimate


def percent(estimated_s: float, true_s: float) -> int:
    """Return an estimate in percent of the true time."""
    return int(100 * estimated_s / true_s)


def test_fixed_time_is_told_apart():
    estimate = fit(fixed_s=_FIXED_S)
    assert 90 < percent(estimate.s_per_token, _S_PER_TOKEN) < 120
    assert 80 < percent(estimate.fixed_s, _FIXED_S) < 110


def test_fit_bears_noise():
    estimate = fit(fixed_s=_FIXED_S, noise_s=0.06)
    assert 60 < percent(estimate.s_per_token, _S_PER_TOKEN) < 150


def test_equal_lengths_leave_no_fixed_time():
    estimate = PrefillTime()
    for _ in range(_SAMPLES):
        estimate.record(5000, 0.2)
    assert 90 < percent(estimate.s_per_token * 5000, 0.2) < 110
