"""Check that a VM leaves a stale source before the bounds are exceeded."""

import pytest

from arbutusbay.node._follower import follower_timings_from_bounds

_STORE_REJECTION_DELAY_S = 0.4


@pytest.mark.parametrize(
    ('key_revocation_s', 'config_apply_s'),
    [(5, 2), (5, 3), (1.5, 2), (60, 10)],
)
def test_configuration_arrives_in_time_when_a_source_is_stale(
    key_revocation_s,
    config_apply_s,
):
    times = follower_timings_from_bounds(key_revocation_s, config_apply_s)
    detected_s = times.max_age_s + times.hold_s
    assert detected_s + _STORE_REJECTION_DELAY_S < min(
        key_revocation_s, config_apply_s
    )
    assert 2 * times.wait_s < times.max_age_s


# Guards against sources that are silent one after the other and make a VM
# serve by a configuration that is too old.
@pytest.mark.parametrize(
    ('key_revocation_s', 'config_apply_s'),
    [(5, 2), (5, 3), (1.5, 2), (60, 10)],
)
def test_configuration_arrives_in_time_when_two_sources_are_silent(
    key_revocation_s,
    config_apply_s,
):
    times = follower_timings_from_bounds(key_revocation_s, config_apply_s)
    silent_s = times.hold_s + times.silence_s
    assert times.hold_s + 2 * silent_s < min(key_revocation_s, config_apply_s)
