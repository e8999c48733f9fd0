"""Check at what rate datagrams are released, and in what order."""

from arbutusbay.pacing import DatagramPacer, Lane

_RATE = 1000.0
_BURST = 300.0
_PAYLOAD = bytes(100)


def build_pacer() -> DatagramPacer:
    return DatagramPacer(bytes_per_s=_RATE, burst_bytes=_BURST)


def put_reports(pacer, ports, payload: bytes = _PAYLOAD) -> None:
    for port in ports:
        pacer.put(Lane.REPORTS, ('vm', port), payload)


def take_ports(pacer, now_s: float) -> list[int]:
    return [due.address[1] for due in pacer.take_due(now_s)]


def test_burst_is_sent_at_once_and_the_rest_at_the_rate():
    pacer = build_pacer()
    put_reports(pacer, range(20))
    assert len(take_ports(pacer, 0.0)) == 3
    sent = 3
    for step in range(1, 11):
        sent += len(take_ports(pacer, step / 10))
        assert sent * 100 <= _BURST + _RATE * step / 10 + 100
    assert sent >= 12


def test_each_vm_is_sent_the_newest_state_in_its_turn():
    pacer = build_pacer()
    put_reports(pacer, range(8))
    assert take_ports(pacer, 0.0) == [0, 1, 2]
    put_reports(pacer, range(8), b'n' * 100)
    assert take_ports(pacer, 0.5) == [3, 4, 5]
    put_reports(pacer, range(8), b'm' * 100)
    due = list(pacer.take_due(1.0))
    assert [sent.address[1] for sent in due] == [6, 7, 0]
    assert {sent.payload[:1] for sent in due} == {b'm'}
    assert pacer.replaced_count[Lane.REPORTS] == 10


def test_announcements_get_three_of_four_bytes():
    pacer = build_pacer()
    put_reports(pacer, range(10))
    for port in range(10, 20):
        pacer.put(Lane.ANNOUNCEMENTS, ('vm', port), _PAYLOAD)
    assert take_ports(pacer, 0.0) == [10, 0, 11]
    assert take_ports(pacer, 1.0) == [12, 13, 1]
    assert pacer.sent_bytes == {Lane.ANNOUNCEMENTS: 400, Lane.REPORTS: 200}


def test_datagram_larger_than_the_burst_is_sent():
    pacer = build_pacer()
    put_reports(pacer, (1, 2), bytes(1000))
    assert take_ports(pacer, 0.0) == [1]
    wait_s = pacer.wait_s(0.0)
    assert not take_ports(pacer, wait_s / 2)
    assert take_ports(pacer, wait_s + 0.001) == [2]
    assert pacer.wait_s(2.0) is None
