"""Check the rate at which the fleet rereads VM records from the store."""

import pytest

from arbutusbay.node._registration import reread_interval_s


@pytest.mark.parametrize('vm_count', [1, 21, 136, 400])
def test_fleet_rereads_at_most_once_a_second(vm_count):
    assert vm_count <= reread_interval_s(vm_count)


def test_small_fleet_rereads_at_least_every_20_seconds():
    assert reread_interval_s(13) <= 20
