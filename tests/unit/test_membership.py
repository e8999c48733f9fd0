"""Check what a VM takes the fleet to be as others die, stop and return."""

import attrs
import pytest

from arbutusbay.fleet import VMRegistration
from arbutusbay.scheduling import Membership

_OWN = 'vm-0'
_ZONE = 'plateau'
_START_S = 1000.0
_CHECK_S = 1.0
# The longest freeze and cut of the users' site files.
_FREEZE_S = 6.5
_CUT_S = 12.0
_DEAD_S = 120.0


def build_vm(name: str, *, started_ms: int = 1) -> VMRegistration:
    """Return the record of a VM."""
    return VMRegistration(
        name=name,
        address='127.0.0.1:1',
        zone=_ZONE,
        started_ms=started_ms,
    )


def build_records(*names: str) -> dict[str, VMRegistration]:
    """Return the records of VMs by name, the own one included."""
    return {name: build_vm(name) for name in (_OWN, *names)}


@attrs.define(kw_only=True)
class World:
    """Let one VM hear others as time passes."""

    members: Membership
    moment_s: float = _START_S

    def run(self, duration_s: float, *heard: str) -> set[str]:
        """Pass time in which ``heard`` report; return who was dropped."""
        gone = set()
        end_s = self.moment_s + duration_s
        while self.moment_s < end_s:
            self.moment_s += _CHECK_S
            for name in heard:
                self.members.record_report(name, self.moment_s)
            gone |= self.members.check_silence(self.moment_s)
        return gone

    def live(self) -> set[str]:
        """Return who is there."""
        return self.members.live(self.moment_s)


@pytest.fixture
def world() -> World:
    """Return a world of three VMs with records."""
    members = Membership(own_vm=build_vm(_OWN))
    members.apply_records(build_records('vm-1', 'vm-2'), _START_S)
    members.check_silence(_START_S)
    return World(members=members)


# Guards against a fleet that counts whoever was ever there: VMs that died stay
# in memory, and their records in the store, for good.
def test_dead_vm_is_dropped_and_its_record_may_be_removed(world):
    assert world.run(_DEAD_S, 'vm-1') == {'vm-2'}
    assert world.members.vms().keys() == {_OWN, 'vm-1'}
    assert world.members.removable_records(world.moment_s) == ['vm-2']
    world.members.apply_records(build_records('vm-1', 'vm-2'), world.moment_s)
    assert world.live() == {_OWN, 'vm-1'}
    world.members.apply_records(build_records('vm-1'), world.moment_s)
    assert not world.members.removable_records(world.moment_s)
    assert not world.members.gone


# Guards against turns that wait for VMs that have died a moment ago.
def test_silent_vm_is_not_there(world):
    world.run(5.0, 'vm-1')
    assert world.live() == {_OWN, 'vm-1'}
    assert world.members.share_count() == 3


# Guards against the end of a VM that only stood still or was cut off.
@pytest.mark.parametrize('away_s', [_FREEZE_S, _CUT_S])
def test_vm_that_was_away_for_a_while_is_never_dropped(world, away_s):
    assert not world.run(away_s, 'vm-1')
    assert not world.members.removable_records(world.moment_s)
    world.run(_CHECK_S, 'vm-1', 'vm-2')
    assert world.live() == {_OWN, 'vm-1', 'vm-2'}


# Guards against a VM that thaws and takes all others for dead.
@pytest.mark.parametrize('frozen_s', [_FREEZE_S, _DEAD_S])
def test_own_freeze_shows_nothing_about_others(world, frozen_s):
    world.run(5.0, 'vm-1', 'vm-2')
    world.moment_s += frozen_s
    assert not world.members.check_silence(world.moment_s)
    assert world.live() == {_OWN, 'vm-1', 'vm-2'}
    assert world.run(_DEAD_S, 'vm-1') == {'vm-2'}


# Guards against a VM that stays out for good once it was dropped, as it thaws
# after a very long time.
def test_dropped_vm_returns_with_its_report(world):
    world.run(_DEAD_S, 'vm-1')
    assert not world.members.record_report('vm-2', world.moment_s)
    world.members.discover(build_vm('vm-2', started_ms=0), world.moment_s)
    assert world.live() == {_OWN, 'vm-1', 'vm-2'}
    assert not world.members.removable_records(world.moment_s)


# Guards against the same for a VM that starts again under its name.
def test_dropped_vm_returns_with_a_new_record(world):
    world.run(_DEAD_S, 'vm-1')
    records = build_records('vm-1')
    records['vm-2'] = build_vm('vm-2', started_ms=2)
    world.members.apply_records(records, world.moment_s)
    assert world.live() == {_OWN, 'vm-1', 'vm-2'}
    assert not world.members.removable_records(world.moment_s)


# Guards against a VM that stops and goes on to count until it is silent.
def test_vm_that_stops_leaves_at_once_and_may_return(world):
    world.members.record_report('vm-2', world.moment_s, is_leaving=True)
    assert world.live() == {_OWN, 'vm-1'}
    assert world.members.share_count() == 2
    assert world.run(5.0, 'vm-1') == {'vm-2'}
    records = build_records('vm-1')
    records['vm-2'] = build_vm('vm-2', started_ms=2)
    world.members.apply_records(records, world.moment_s)
    assert world.live() == {_OWN, 'vm-1', 'vm-2'}


# Guards against a VM that is cut off, hears nobody and removes all records.
def test_vm_that_hears_nobody_removes_no_record(world):
    assert world.run(_DEAD_S) == {'vm-1', 'vm-2'}
    assert not world.members.removable_records(world.moment_s)


# Guards against two VMs that were cut off from each other for long and report
# to each other never again.
def test_vms_that_are_gone_are_still_probed(world):
    world.run(5.0, 'vm-1')
    assert world.members.unheard_vms(world.moment_s).keys() == {'vm-2'}
    world.run(_DEAD_S, 'vm-1')
    assert world.members.unheard_vms(world.moment_s).keys() == {'vm-2'}


# Guards against a VM that has just started and takes the limits of the whole
# fleet for itself.
def test_fleet_is_not_known_before_the_first_read():
    members = Membership(own_vm=build_vm(_OWN))
    assert members.share_count() is None
    assert members.live(_START_S) == {_OWN}
