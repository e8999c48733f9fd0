"""Check that the load reports between VMs survive encoding and decoding."""

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutusbay.fairness import WaitingReport
from arbutusbay.node._peer_messages import (
    LoadedWeights,
    PeerState,
    ZoneLoad,
    peer_state_from_bytes,
    peer_state_to_bytes,
)
from arbutusbay.scheduling import Occupancy, PlannedWeightsLoad, WorkTotals

_EXAMPLES = 200
_SENT_S = 50.0
_RECEIVED_S = 900.0
_NAMES = st.text(max_size=12)
_COUNTS = st.integers(0, 2**40)
_WORK_SUMS = st.integers(0, 10_000).map(lambda count: count * 1000.0)


def build_occupancy():
    """Return a strategy for occupancies by backend server."""
    occupancy = st.builds(
        Occupancy,
        attempts=_COUNTS,
        uncached_tokens=_COUNTS,
        kv_tokens=_COUNTS,
    )
    return st.dictionaries(_NAMES, occupancy, max_size=4)


def build_work_sums():
    """Return a strategy for work totals that are whole units of the wire."""
    return st.builds(
        WorkTotals, short_prompt_work=_WORK_SUMS, long_prompt_work=_WORK_SUMS
    )


def build_waiting():
    """Return a strategy for reports on what waits, by service."""
    units = st.integers(1, 10_000).map(lambda count: count * 100.0)
    report = st.builds(
        WaitingReport,
        counts_by_rank=st.dictionaries(
            st.integers(0, 20), st.integers(0, 500), max_size=4
        ),
        work_by_team=st.dictionaries(_NAMES, units, max_size=16),
    )
    return st.dictionaries(_NAMES, report, max_size=3)


def build_states():
    """Return a strategy for states of VMs without weights loads."""
    zone = st.builds(
        ZoneLoad,
        occupancy=build_occupancy(),
        work_totals=build_work_sums(),
        waiting=build_waiting(),
    )
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
        work_totals=build_work_sums(),
        suspected_engines=st.lists(_NAMES, max_size=3).map(tuple),
        weights=st.dictionaries(_NAMES, weights, max_size=3),
        fence=st.none() | _COUNTS,
        zones=st.dictionaries(_NAMES, zone, max_size=3),
        waiting=build_waiting(),
    )


@given(build_states())
@settings(max_examples=_EXAMPLES, derandomize=True, deadline=None)
def test_states_survive_a_round_trip(state):
    datagram = peer_state_to_bytes(state, _SENT_S)
    assert peer_state_from_bytes(datagram, _RECEIVED_S).ok_value == state


def test_load_times_are_converted_to_the_receivers_clock():
    load = PlannedWeightsLoad(
        model='m',
        version=3,
        start_s=_SENT_S + 0.25,
        finish_s=_SENT_S + 1,
    )
    state = PeerState(
        name='vm-1',
        zone='z',
        occupancy={},
        work_totals=WorkTotals(),
        loads={'e': load},
    )
    datagram = peer_state_to_bytes(state, _SENT_S)
    received = peer_state_from_bytes(datagram, _RECEIVED_S).ok_value.loads['e']
    assert (received.start_s, received.finish_s) == (
        _RECEIVED_S + 0.25,
        _RECEIVED_S + 1,
    )
    assert (received.model, received.version) == ('m', 3)


@given(build_states(), st.integers(0, 400), st.integers(0, 255))
@settings(max_examples=_EXAMPLES, derandomize=True, deadline=None)
def test_corrupted_datagrams_raise_no_exception(state, position, byte):
    datagram = bytearray(peer_state_to_bytes(state, _SENT_S))
    datagram[position % len(datagram)] = byte
    peer_state_from_bytes(bytes(datagram), _RECEIVED_S)


# Guards against a forged or broken report that costs memory: more ranks, teams
# or services than a VM reports.
@pytest.mark.parametrize(
    'waiting',
    [
        {'s': [[[rank, 1] for rank in range(33)], {}]},
        {'s': [[], {f't{number}': 1 for number in range(33)}]},
        {f's{number}': [[], {}] for number in range(17)},
        {'s': [[[0, -1]], {}]},
        {'s': [[[0, 1]], {'t': 10**12}]},
        [],
    ],
)
def test_waiting_beyond_its_bounds_is_malformed(waiting):
    state = PeerState(
        name='vm-1', zone='z', occupancy={}, work_totals=WorkTotals()
    )
    fields = orjson.loads(peer_state_to_bytes(state, _SENT_S))
    fields['y'] = waiting
    datagram = orjson.dumps(fields)
    assert peer_state_from_bytes(datagram, _RECEIVED_S).is_err()


# Guards against reports that grow though nothing waits.
def test_report_without_waiting_requests_is_as_before():
    state = PeerState(
        name='vm-1',
        zone='z',
        occupancy={},
        work_totals=WorkTotals(),
        zones={'y': ZoneLoad(occupancy={}, work_totals=WorkTotals())},
    )
    fields = orjson.loads(peer_state_to_bytes(state, _SENT_S))
    assert set(fields) == {'n', 'z', 'o', 'm', 'zs'}


# Guards against a load report that all other VMs drop, as a route has a very
# low priority.
def test_rank_beyond_its_bound_is_left_out():
    state = PeerState(
        name='vm-1',
        zone='z',
        occupancy={},
        work_totals=WorkTotals(),
        waiting={
            's': WaitingReport(
                counts_by_rank={1: 2, 1_200_000: 3}, work_by_team={}
            )
        },
    )
    decoded = peer_state_from_bytes(
        peer_state_to_bytes(state, _SENT_S), _RECEIVED_S
    ).unwrap()
    assert decoded.waiting['s'].counts_by_rank == {1: 2}
