"""Check the choice of the source that a VM reads the store from."""

from arbutusbay.fleet import VMRecord
from arbutusbay.scheduling import (
    FollowVM,
    ReadStore,
    source_name,
    sources_in_order,
)

ZONES = ('plateau', 'hann')


def build_vms(count: int = 8) -> dict[str, VMRecord]:
    return {
        f'vm-{number}': VMRecord(
            name=f'vm-{number}',
            address=f'127.0.0.{number}:1',
            zone=ZONES[number % 2],
            started_ms=0,
        )
        for number in range(count)
    }


def first_sources(vms, silent=()):
    return {name: sources_in_order(name, vms, silent)[0] for name in vms}


def test_one_vm_per_zone_reads_the_store_and_others_follow_it():
    vms = build_vms()
    first = first_sources(vms)
    readers = {
        vms[name].zone: name
        for name, source in first.items()
        if source == ReadStore()
    }
    assert set(readers) == set(ZONES)
    for name, source in first.items():
        if isinstance(source, FollowVM):
            assert source.vm.name == readers[vms[name].zone]


def test_silent_reader_is_replaced():
    vms = build_vms()
    reader = next(
        name
        for name, source in first_sources(vms).items()
        if source == ReadStore()
    )
    new_readers = [
        name
        for name, source in first_sources(vms, {reader}).items()
        if source == ReadStore() and name != reader
    ]
    assert vms[reader].zone in {vms[name].zone for name in new_readers}


def test_every_other_vm_is_a_source():
    vms = build_vms()
    for name in vms:
        names = {
            source_name(source) for source in sources_in_order(name, vms, ())
        }
        assert names == (vms.keys() - {name}) | {'store'}


def test_single_vm_reads_the_store():
    vms = build_vms(1)
    assert list(sources_in_order('vm-0', vms, ())) == [ReadStore()]
