"""Check that a lease claim is retried when another append wins the race."""

import attrs
from result import Err, Ok

from arbutusbay.node._lease import WEIGHTS_LEASE_NAME, Lease
from arbutusbay.node._node_state import NodeState
from arbutusbay.platform import ConditionFailed, LatestRecords
from tests.fleet_builders import build_vm_settings

_RACES = 2


@attrs.define(kw_only=True)
class ContendedStore:
    """Fake a store in which another VM appends just before a claim.

    ``races`` is how many more claims lose in this way.
    """

    races: int
    end: int = 5
    appends: int = 0

    async def read_latest(self, topic, *, timeout_s):
        """Return no records and the end offset of the topic."""
        return Ok(LatestRecords(records=(), end=self.end))

    async def append(self, topic, key, payload, *, timeout_s, expected_end):
        """Append unless ``expected_end`` is no longer the end offset."""
        self.appends += 1
        if self.races:
            self.races -= 1
            self.end += 1
        if expected_end != self.end:
            return Err(ConditionFailed(end=self.end))
        self.end += 1
        return Ok(self.end - 1)


def build_lease(store) -> Lease:
    """Return the weights lease of ``vm-1``, which no VM has claimed yet."""
    return Lease(
        name=WEIGHTS_LEASE_NAME,
        holder='vm-1',
        node_state=NodeState(settings=build_vm_settings()),
        store=store,
    )


async def test_claim_is_retried_at_once_after_a_lost_race():
    store = ContendedStore(races=_RACES)
    assert await build_lease(store).acquire_or_renew() == 5 + _RACES
    assert store.appends == 1 + _RACES


async def test_claiming_stops_after_repeated_lost_races():
    store = ContendedStore(races=100)
    assert await build_lease(store).acquire_or_renew() is None
    assert store.appends < 10
