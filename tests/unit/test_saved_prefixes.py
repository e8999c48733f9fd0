"""Check what VMs tell each other of the prefixes that stores have."""

import orjson
import pytest

from arbutusbay.node._prefix_messages import saved_from_fields, saved_to_fields
from arbutusbay.prefixes import (
    MAX_REPORTED,
    MAX_REPORTED_STORES,
    Origin,
    SavedPrefixes,
    SavedReport,
)

OWN = frozenset((Origin.OWN,))
ALL = frozenset(Origin)


def report_of(saved: SavedPrefixes, now_s: float) -> SavedReport:
    """Return what a VM reports to its zone, as it arrives."""
    report = SavedReport(saved=saved.recent(OWN, now_s))
    return saved_from_fields(
        orjson.loads(orjson.dumps(saved_to_fields(report)))
    )


def test_save_of_one_vm_is_known_at_another():
    sender, receiver = SavedPrefixes(), SavedPrefixes()
    sender.record('1/shared/part', 10.0)
    receiver.merge(report_of(sender, 10.3), 10.4, is_own_zone=True)
    assert receiver.is_saved('1/shared/part', 10.5)
    assert not receiver.is_saved('2/shared/part', 10.5)
    assert not receiver.is_saved('1/team-a/part', 10.5)


def test_save_is_forgotten():
    saved = SavedPrefixes()
    saved.record('1/shared/part', 10.0)
    assert saved.is_saved('1/shared/part', 29.9)
    assert not saved.is_saved('1/shared/part', 30.1)
    saved.record('1/shared/other', 35.0)
    assert len(saved.entries) == 1


def test_vms_do_not_keep_a_save_alive_by_reports():
    first, second = SavedPrefixes(), SavedPrefixes()
    first.record('1/shared/part', 10.0)
    for step in range(300):
        moment_s = 10 + step / 10
        for sender, receiver in ((first, second), (second, first)):
            report = SavedReport(relayed=sender.recent(ALL, moment_s))
            receiver.merge(report, moment_s, is_own_zone=False)
    assert not first.is_saved('1/shared/part', 40.0)
    assert not second.is_saved('1/shared/part', 40.0)


# 100 saves/s of a fleet for a minute, twice what deployments under the hardest
# load send, and 400 VMs that report all they can at once.
def test_memory_is_bounded():
    saved = SavedPrefixes()
    for number in range(6000):
        saved.record(f'1/shared/{number}', number / 100)
    assert len(saved.entries) <= 2001
    for vm in range(400):
        hashes = tuple(range(vm * MAX_REPORTED, (vm + 1) * MAX_REPORTED))
        saved.merge(SavedReport(saved=hashes), 60.0, is_own_zone=False)
    assert len(saved.entries) <= 8192


def test_report_has_the_newest_and_no_more_than_fit_a_datagram():
    saved = SavedPrefixes()
    for number in range(200):
        saved.record(f'1/shared/{number}', 10 + number / 1000)
    reported = saved.recent(OWN, 10.5)
    assert len(reported) == MAX_REPORTED
    receiver = SavedPrefixes()
    receiver.merge(SavedReport(saved=reported), 10.5, is_own_zone=True)
    assert receiver.is_saved('1/shared/199', 10.5)


def test_only_saves_of_the_wanted_origins_are_reported():
    saved = SavedPrefixes()
    saved.record('own', 1.0)
    saved.merge(SavedReport(saved=(1,), relayed=(2,)), 1.0, is_own_zone=True)
    saved.merge(SavedReport(saved=(3,)), 1.0, is_own_zone=False)
    assert set(saved.recent(frozenset((Origin.ZONE,)), 1.0)) == {1}
    assert set(saved.recent(frozenset((Origin.OTHER_ZONE,)), 1.0)) == {2, 3}


def test_empty_report_takes_no_bytes():
    assert saved_to_fields(SavedReport()) == {}
    assert saved_from_fields({}) == SavedReport()


@pytest.mark.parametrize(
    'fields',
    [
        {'s': 7},
        {'s': ['x']},
        {'r': [-1]},
        {'r': [2**32]},
        {'s': [0.5]},
        {'d': 7},
        {'d': [7]},
    ],
)
def test_malformed_report_is_refused(fields):
    with pytest.raises(ValueError, match='k'):
        saved_from_fields(fields)


def test_report_beyond_the_bound_is_cut():
    fields = {'s': list(range(MAX_REPORTED * 9)), 'd': ['x' for _ in range(99)]}
    report = saved_from_fields(fields)
    assert len(report.saved) == MAX_REPORTED
    assert len(report.dead_stores) == MAX_REPORTED_STORES
