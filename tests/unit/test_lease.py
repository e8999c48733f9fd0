"""Claim a lease while others append to the same partition."""

import attrs
from result import Err, Ok

from arbutusbay.node._board import NodeBoard
from arbutusbay.node._lease import WEIGHTS_LEASE, Lease
from arbutusbay.platform import ConditionFailed, NewestRecords
from tests.fleet_builders import build_vm_settings

_RACES = 2


@attrs.define(kw_only=True)
class RacedStore:
    """Stand in for the store; other VMs append just before the first claims."""

    races: int
    end: int = 5
    appends: int = 0

    async def newest(self, topic, *, timeout_s):
        """Return no records and where the partition ends."""
        return Ok(NewestRecords(records=(), end=self.end))

    async def append(self, topic, key, payload, *, timeout_s, expected_end):
        """Append unless somebody was faster."""
        self.appends += 1
        if self.races:
            self.races -= 1
            self.end += 1
        if expected_end != self.end:
            return Err(ConditionFailed(end=self.end))
        self.end += 1
        return Ok(self.end - 1)


def build_lease(store) -> Lease:
    """Return the weights lease as a VM of its own holds it."""
    return Lease(
        name=WEIGHTS_LEASE,
        holder='vm-1',
        board=NodeBoard(settings=build_vm_settings()),
        store=store,
    )


async def test_claim_that_lost_a_race_is_repeated_at_once():
    store = RacedStore(races=_RACES)
    assert await build_lease(store).ensure() == 5 + _RACES
    assert store.appends == 1 + _RACES


async def test_claims_that_always_lose_are_given_up():
    store = RacedStore(races=100)
    assert await build_lease(store).ensure() is None
    assert store.appends < 10
