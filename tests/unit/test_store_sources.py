"""Check the choice of the source that a VM reads the store from."""

from arbutusbay.fleet import VMRegistration
from arbutusbay.scheduling import (
    DirectRead,
    PeerRead,
    rank_sources,
    source_name,
)

ZONES = ('plateau', 'hann')


def build_vms(count: int = 8) -> dict[str, VMRegistration]:
    return {
        f'vm-{number}': VMRegistration(
            name=f'vm-{number}',
            address=f'127.0.0.{number}:1',
            zone=ZONES[number % 2],
            started_ms=0,
        )
        for number in range(count)
    }


def first_sources(vms, unreachable_names=()):
    return {name: rank_sources(name, vms, unreachable_names)[0] for name in vms}


def test_one_vm_per_zone_reads_the_store_and_others_follow_it():
    vms = build_vms()
    first = first_sources(vms)
    readers = {
        vms[name].zone: name
        for name, source in first.items()
        if source == DirectRead()
    }
    assert set(readers) == set(ZONES)
    for name, source in first.items():
        if isinstance(source, PeerRead):
            assert source.vm.name == readers[vms[name].zone]


def test_silent_reader_is_replaced():
    vms = build_vms()
    reader = next(
        name
        for name, source in first_sources(vms).items()
        if source == DirectRead()
    )
    new_readers = [
        name
        for name, source in first_sources(vms, {reader}).items()
        if source == DirectRead() and name != reader
    ]
    assert vms[reader].zone in {vms[name].zone for name in new_readers}


def test_every_other_vm_is_a_source():
    vms = build_vms()
    for name in vms:
        names = {source_name(source) for source in rank_sources(name, vms, ())}
        assert names == (vms.keys() - {name}) | {'store'}


def test_single_vm_reads_the_store():
    vms = build_vms(1)
    assert list(rank_sources('vm-0', vms, ())) == [DirectRead()]
