"""Check how announcements of weights loads are encoded and what is refused."""

import pytest
from result import Err, Ok

from arbutusbay.node._load_messages import (
    DATAGRAM_TYPE,
    LoadAnnouncement,
    announcement_from_bytes,
    announcement_to_bytes,
)
from arbutusbay.node._peer_messages import LoadedWeights
from arbutusbay.scheduling import PlannedWeightsLoad

MODEL = 'roll-advisor'
_SENT_S = 40.0
_RECEIVED_S = 900.0
_STEP_S = 0.02
_ENGINES = 30
# What one packet of a network carries without fragments.
_PACKET_BYTES = 1400


def build_load(start_s: float) -> PlannedWeightsLoad:
    return PlannedWeightsLoad(
        model=MODEL, version=2, start_s=start_s, finish_s=start_s + 0.6
    )


def build_announcement() -> LoadAnnouncement:
    """Return what is announced in the middle of a rollout to 30 engines."""
    names = [f'i-{number:010x}' for number in range(_ENGINES)]
    return LoadAnnouncement(
        zone='plateau',
        loads={
            name: build_load(_SENT_S + position // 10 * 0.6)
            for position, name in enumerate(names)
        },
        weights={
            name: LoadedWeights(
                incarnation=1_787_000_000_000, versions={MODEL: 2}
            )
            for name in names[:10]
        },
    )


def test_announcement_is_read_on_the_clock_of_the_receiver():
    sent = build_announcement()
    datagram = announcement_to_bytes(sent, _SENT_S)
    match announcement_from_bytes(datagram, _RECEIVED_S):
        case Ok(received):
            pass
    assert received.weights == sent.weights
    assert received.loads.keys() == sent.loads.keys()
    for name, load in received.loads.items():
        expected_s = sent.loads[name].start_s - _SENT_S + _RECEIVED_S
        assert abs(load.start_s - expected_s) <= _STEP_S
        assert (load.model, load.version) == (MODEL, 2)


def test_announcement_of_a_large_rollout_fits_a_packet():
    datagram = announcement_to_bytes(build_announcement(), _SENT_S)
    assert len(datagram) <= _PACKET_BYTES


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'[]',
        b'{}',
        b'{"z":1,"l":[],"w":[]}',
        b'{"z":"a","l":{},"w":[]}',
        b'{"z":"a","l":[["m",2,0]],"w":[]}',
        b'{"z":"a","l":[["m",-2,0,1,["e"]]],"w":[]}',
        b'{"z":"a","l":[["m",2,0,99999999999,["e"]]],"w":[]}',
        b'{"z":"a","l":[["m",2,0.5,1,["e"]]],"w":[]}',
        b'{"z":"a","l":[["m",2,0,1,[7]]],"w":[]}',
        b'{"z":"a","l":[],"w":[["m",2,[["e","x"]]]]}',
        b'{"z":"a","l":[],"w":[["m",2,["e"]]]}',
    ],
)
def test_malformed_announcement_is_refused(content):
    parsed = announcement_from_bytes(DATAGRAM_TYPE + content, _RECEIVED_S)
    assert isinstance(parsed, Err)
