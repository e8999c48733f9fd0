"""Check how long VMs leave a free lease to others."""

import pytest

from arbutusbay.scheduling import takeover_delay_s

_LEASE = 'weights'
# Half of the least time that the users allow for new weights: the other half is
# for the loads.
_MAX_DELAY_S = 8.0 / 2


def build_delays(count: int, last_holder: str | None = None) -> list[float]:
    """Return the delays of all VMs of a fleet, which see each other."""
    names = [f'vm-{number}' for number in range(count)]
    return sorted(
        takeover_delay_s(name, _LEASE, names, last_holder) for name in names
    )


# Guards against weights that wait for the turns of VMs that are gone, however
# many died a moment ago, so that nobody knows it.
@pytest.mark.parametrize('count', [1, 3, 21, 53, 195, 400])
def test_last_turn_comes_soon(count):
    delays = build_delays(count)
    assert delays[0] == 0
    assert delays[-1] <= _MAX_DELAY_S


# Guards against VMs that all claim at once where the first ones are there.
@pytest.mark.parametrize('count', [3, 53, 195])
def test_first_turns_are_for_few(count):
    delays = build_delays(count)
    assert delays.count(delays[0]) == 1
    assert delays.count(delays[1]) == 2


def test_last_holder_comes_first_if_it_is_there():
    delays = build_delays(21, 'vm-7')
    assert delays.count(0) == 1
    names = [f'vm-{number}' for number in range(21)]
    assert takeover_delay_s('vm-7', _LEASE, names, 'vm-7') == 0
    names.remove('vm-7')
    first = min(
        names, key=lambda name: takeover_delay_s(name, _LEASE, names, 'vm-7')
    )
    assert takeover_delay_s(first, _LEASE, names, 'vm-7') == 0
