"""Check that a VM leaves a stale source before the bounds are exceeded."""

import pytest

from arbutusbay.node._follower import times_from_bounds

_STORE_REJECTION_DELAY_S = 0.4


@pytest.mark.parametrize(
    ('revocation_s', 'config_s'),
    [(5, 2), (5, 3), (1.5, 2), (60, 10)],
)
def test_configuration_arrives_in_time_when_a_source_is_stale(
    revocation_s,
    config_s,
):
    times = times_from_bounds(revocation_s, config_s)
    detected_s = times.max_age_s + times.hold_s
    assert detected_s + _STORE_REJECTION_DELAY_S < min(revocation_s, config_s)
    assert 2 * times.wait_s < times.max_age_s
