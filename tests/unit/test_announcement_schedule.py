"""Check when a VM tells all others of the weights loads that it plans."""

import pytest

from arbutusbay.node._load_announcements import AnnouncementSchedule
from arbutusbay.node._peer_messages import PeerState
from arbutusbay.scheduling import PlannedWeightsLoad, WorkTotals

_CHANGED_AFTER_S = 0.11


def build_state(start_s: float) -> PeerState:
    """Return the state of a VM that plans one load."""
    load = PlannedWeightsLoad(
        model='roll-advisor', version=2, start_s=start_s, finish_s=start_s + 0.5
    )
    return PeerState(
        name='vm-0',
        zone='plateau',
        occupancy={},
        work_totals=WorkTotals(),
        loads={'engine-0': load},
    )


# Guards against loads that are put off and not told so at once, at VMs that run
# for long too.
@pytest.mark.parametrize('moment_s', [40.0, 100_000.0])
def test_load_that_is_put_off_is_told_at_once(moment_s):
    schedule = AnnouncementSchedule()
    assert schedule.next_datagram(build_state(moment_s + 0.3), moment_s)
    later_s = moment_s + _CHANGED_AFTER_S
    assert not schedule.next_datagram(build_state(moment_s + 0.3), later_s)
    assert schedule.next_datagram(build_state(moment_s + 0.8), later_s)
