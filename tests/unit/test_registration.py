"""Bound what registering costs the store in a large fleet."""

import pytest

from arbutusbay.node._registration import reread_pause_s


@pytest.mark.parametrize('vm_count', [1, 21, 136, 400])
def test_all_vms_together_reread_at_most_once_a_second(vm_count):
    assert vm_count <= reread_pause_s(vm_count)


def test_a_small_fleet_mends_what_it_missed_soon():
    assert reread_pause_s(13) <= 20
