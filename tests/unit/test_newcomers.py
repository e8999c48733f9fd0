"""Check by which newcomers late requests are judged.

The load: one request comes for each place while a few late ones wait, then a
burst after which none come, or after which they go on to come.
"""

import pytest

from arbutusbay.scheduling._newcomers import Newcomers

_GAP_S = 0.25
_NOW_S = 100.0
_LEVEL = 1
_STEADY = 1.0
_FEW = 0.1
_MOST = 0.85


def claimed_share(newcomers: Newcomers, *, before: float = _STEADY) -> float:
    """Return what those claim that came after a request."""
    return newcomers.claimed_share(
        arrived_s=_NOW_S, priority_level=_LEVEL, before=before, gap_s=_GAP_S
    )


def build_burst(size: int) -> Newcomers:
    """Return the newcomers of which ``size`` came together."""
    newcomers = Newcomers()
    for index in range(size):
        newcomers.record_arrival(_LEVEL, _NOW_S + index * _GAP_S / 100)
    return newcomers


# Guards against a burst whose requests count as newcomers for each other.
@pytest.mark.parametrize('size', [1, 4, 16])
def test_burst_claims_no_more_than_half_of_those_before(size):
    assert claimed_share(build_burst(size)) <= _STEADY / 2


# Guards against newcomers that are expected although they ceased.
def test_claims_fall_as_places_come_free_and_nobody_comes():
    newcomers = build_burst(4)
    shares = [claimed_share(newcomers)]
    for number in range(1, 5):
        newcomers.record_place(_NOW_S + number * _GAP_S)
        shares.append(claimed_share(newcomers))
    assert shares == sorted(shares, reverse=True)
    assert shares[-1] <= _FEW


# Guards against late requests that wait though others go on to claim all
# places.
@pytest.mark.parametrize('before', [0, _STEADY])
def test_claims_rise_as_newcomers_go_on_to_come(before):
    newcomers = build_burst(4)
    for number in range(1, 9):
        newcomers.record_arrival(_LEVEL, _NOW_S + number * _GAP_S)
        newcomers.record_place(_NOW_S + number * _GAP_S)
    assert claimed_share(newcomers, before=before) >= _MOST


# Guards against urgent requests that are judged by less urgent ones.
def test_less_urgent_newcomers_claim_nothing():
    newcomers = build_burst(1)
    newcomers.record_arrival(_LEVEL + 1, _NOW_S + _GAP_S)
    assert not claimed_share(newcomers, before=0)


# Guards against a shortage in which more come than before places: of these half
# still claim all.
def test_newcomers_for_two_places_each_claim_all():
    assert claimed_share(build_burst(1), before=2) >= 1
