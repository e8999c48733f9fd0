"""Check what a whole fleet refuses below its limits.

Load: one team asks for five times its usual, the others for their usual, at
all VMs; nothing tells a VM what the others grant.
"""

import attrs
import pytest

from tests.quota_fleet import TEAM, TERMS, FakeFleet, highest_allowed

_WARM_UP_S = 14.0
_LOADED_S = 40.0
_PEAK_TO_USUAL = 1.8
_USUAL = TERMS.rate_per_s / _PEAK_TO_USUAL
# What is refused below a limit, of what the limit grants.
_MAX_REFUSED_PART = 0.02
_OTHER_TEAMS = tuple(f'choir-{number}' for number in range(4))


def start_fleet(vm_count: int) -> FakeFleet:
    """Return a fleet with five teams that were idle, in both partitions."""
    other = attrs.evolve(
        TERMS, rate_per_s=TERMS.rate_per_s / 10, burst=TERMS.burst / 10
    )
    fleet = FakeFleet(
        vm_count=vm_count, other_limits=dict.fromkeys(_OTHER_TEAMS, other)
    )
    fleet.run(_WARM_UP_S)
    fleet.other_demands = dict.fromkeys(
        _OTHER_TEAMS, other.rate_per_s / _PEAK_TO_USUAL
    )
    return fleet


@pytest.mark.parametrize('vm_count', (13, 141))
def test_team_at_five_times_its_usual_has_its_limit_and_costs_others_none(
    vm_count,
):
    fleet = start_fleet(vm_count)
    fleet.run(_LOADED_S, demand_per_s=5 * _USUAL)
    owed = TERMS.rate_per_s * _LOADED_S + TERMS.burst
    assert fleet.granted_since(0) >= (1 - _MAX_REFUSED_PART) * owed
    assert fleet.highest_window() <= highest_allowed()
    for team in _OTHER_TEAMS:
        granted_by_limit = fleet.other_limits[team].rate_per_s * _LOADED_S
        assert fleet.refused[team] <= _MAX_REFUSED_PART * granted_by_limit
    assert fleet.refused[TEAM]
