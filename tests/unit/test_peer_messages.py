"""Send what VMs tell each other over the wire and back."""

from hypothesis import given, settings
from hypothesis import strategies as st

from arbutusbay.node._peer_messages import (
    LoadedWeights,
    PeerState,
    ZoneLoad,
    peer_state_from_bytes,
    peer_state_to_bytes,
)
from arbutusbay.scheduling import AnnouncedLoad, Occupancy, WorkSums

_EXAMPLES = 200
_SENT_S = 50.0
_HEARD_S = 900.0
_NAMES = st.text(max_size=12)
_COUNTS = st.integers(0, 2**40)
_THOUSANDS = st.integers(0, 10_000).map(lambda count: count * 1000.0)


def build_occupancy():
    """Return occupancies by backend server."""
    occupancy = st.builds(
        Occupancy,
        attempts=_COUNTS,
        uncached_tokens=_COUNTS,
        resident_tokens=_COUNTS,
    )
    return st.dictionaries(_NAMES, occupancy, max_size=4)


def build_mix():
    """Return sums in the unit of the wire."""
    return st.builds(WorkSums, short=_THOUSANDS, long=_THOUSANDS)


def build_states():
    """Return states of VMs."""
    zone = st.builds(ZoneLoad, occupancy=build_occupancy(), mix=build_mix())
    weights = st.builds(
        LoadedWeights,
        incarnation=_COUNTS,
        versions=st.dictionaries(_NAMES, _COUNTS, max_size=2),
    )
    return st.builds(
        PeerState,
        name=_NAMES,
        zone=_NAMES,
        occupancy=build_occupancy(),
        mix=build_mix(),
        silent=st.lists(_NAMES, max_size=3).map(tuple),
        weights=st.dictionaries(_NAMES, weights, max_size=3),
        fence=st.none() | _COUNTS,
        zones=st.dictionaries(_NAMES, zone, max_size=3),
    )


@given(build_states())
@settings(max_examples=_EXAMPLES, derandomize=True, deadline=None)
def test_states_survive_the_wire(state):
    datagram = peer_state_to_bytes(state, _SENT_S)
    assert peer_state_from_bytes(datagram, _HEARD_S).ok_value == state


def test_times_of_loads_count_from_the_receivers_clock():
    load = AnnouncedLoad(
        model='m',
        version=3,
        from_s=_SENT_S + 0.25,
        until_s=_SENT_S + 1,
    )
    state = PeerState(
        name='vm-1',
        zone='z',
        occupancy={},
        mix=WorkSums(),
        loads={'e': load},
    )
    datagram = peer_state_to_bytes(state, _SENT_S)
    heard = peer_state_from_bytes(datagram, _HEARD_S).ok_value.loads['e']
    assert (heard.from_s, heard.until_s) == (_HEARD_S + 0.25, _HEARD_S + 1)
    assert (heard.model, heard.version) == ('m', 3)


@given(build_states(), st.integers(0, 400), st.integers(0, 255))
@settings(max_examples=_EXAMPLES, derandomize=True, deadline=None)
def test_damaged_states_raise_nothing(state, position, byte):
    datagram = bytearray(peer_state_to_bytes(state, _SENT_S))
    datagram[position % len(datagram)] = byte
    peer_state_from_bytes(bytes(datagram), _HEARD_S)
