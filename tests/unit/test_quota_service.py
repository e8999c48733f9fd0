"""Check the limits of teams that control daemons decide on together."""

import pytest
from attrs import evolve

from arbutusbay.control._quota_renewals import QuotaRenewals
from arbutusbay.quota import partition_of, rank_owners
from arbutusbay.state import Quota, QuotaUnit
from arbutusbay.wire import QuotaAsk, QuotaLoan, QuotaReturn
from tests.own_quota_world import TEAM, build_world

_QUOTA = Quota(unit=QuotaUnit.REQUESTS, rate_per_s=5, burst=5)
_STEP_S = 0.1
_VMS = 3
_ASK = QuotaAsk(team=TEAM, cost=1, key=0, patience_ms=0)


async def ask_all(world, duration_s: float) -> int:
    """Ask once a step at each live VM; return how many were granted."""
    granted = 0
    for step in range(int(duration_s / _STEP_S)):
        world.moment_s += _STEP_S
        await world.renew()
        for number, (node, service) in enumerate(world.services.items()):
            if node not in world.lost:
                ask = evolve(_ASK, key=step * _VMS + number + 1)
                granted += (await service.ask(ask)).unwrap().is_granted
    return granted


def first_owner(world) -> str:
    """Return the VM that owns the team's partition."""
    return rank_owners(partition_of(TEAM), sorted(world.services))[0]


# Guards against a limit that each VM applies for itself.
async def test_limit_holds_over_all_vms(monkeypatch):
    world = build_world(monkeypatch, count=_VMS, quota=_QUOTA)
    granted = await ask_all(world, 20)
    assert 80 < granted <= 105


# Guards against an owner that is lost and takes the limit with it, and against
# two owners that grant more together.
async def test_limit_holds_as_the_owner_is_lost(monkeypatch):
    world = build_world(monkeypatch, count=_VMS, quota=_QUOTA)
    before = await ask_all(world, 10)
    world.lost.add(first_owner(world))
    after = await ask_all(world, 10)
    assert before + after <= 105
    # Two of three VMs lend their share, after the lease at the lost one.
    assert after > 20


# Guards against a caller that is told nothing, or a time that is not true.
async def test_refusal_says_when_to_return(monkeypatch):
    world = build_world(monkeypatch, count=_VMS, quota=_QUOTA)
    await ask_all(world, 5)
    service = world.services['vm-1']
    refused = (await service.ask(_ASK)).unwrap()
    assert not refused.is_granted
    assert 0 < refused.retry_after_ms <= 2000
    costly = (await service.ask(evolve(_ASK, cost=6))).unwrap()
    assert costly.is_final


# Guards against tokens of requests that did not run which are lost.
async def test_what_did_not_run_goes_back(monkeypatch):
    world = build_world(monkeypatch, count=_VMS, quota=_QUOTA)
    await ask_all(world, 5)
    owner = first_owner(world)
    other = next(node for node in world.services if node != owner)
    bucket = world.services[owner].shares.of_team(TEAM).owner.buckets[TEAM]
    before = bucket.level
    await world.services[other].give_back(
        QuotaReturn(team=TEAM, cost=2, owner=owner)
    )
    assert bucket.level == pytest.approx(before + 2)


@pytest.mark.parametrize('quota', [None, Quota(rate_per_s=0, burst=0)])
async def test_team_without_a_limit_is_granted(monkeypatch, quota):
    world = build_world(monkeypatch, count=1, quota=quota)
    reply = (await world.services['vm-1'].ask(_ASK)).unwrap()
    assert (reply.is_granted, reply.owner) == (True, '')


# Guards against a limit that a VM alone grants as it knows no other yet.
async def test_limit_is_divided_before_the_vms_are_known(monkeypatch):
    world = build_world(monkeypatch, count=1, quota=_QUOTA)
    world.services['vm-1'].shared_state.live_hosts_by_vm = {}
    assert await ask_all(world, 10) == 0


# Guards against messages that break an owner.
@pytest.mark.parametrize(
    'loan',
    [
        QuotaLoan(node='x', partition=200),
        QuotaLoan(node='x', partition=0, team=TEAM, cost=float('nan')),
        QuotaLoan(node='x', partition=0, team=TEAM, cost=-1),
        QuotaLoan(node='x', partition=0, team=TEAM, burst=float('inf')),
    ],
)
def test_malformed_loan_is_refused(monkeypatch, loan):
    world = build_world(monkeypatch, count=1, quota=_QUOTA)
    assert world.services['vm-1'].receive(loan).is_err()


# Guards against a VM that takes one lender for the whole fleet, as it has not
# read the first limit of a partition yet.
async def test_partition_without_a_limit_here_knows_the_fleet(monkeypatch):
    world = build_world(monkeypatch, count=_VMS, quota=None)
    service = world.services['vm-1']
    reply = service.receive(
        QuotaLoan(
            node='vm-2',
            partition=partition_of(TEAM),
            lease_ms=1000,
            team=TEAM,
            cost=1,
            version=7,
            rate_per_s=5,
            burst=5,
        )
    ).unwrap()
    assert reply.share == pytest.approx(1 / _VMS)


# Guards against an owner that was suspended and counts a share as lent that
# its VM has lent to another one meanwhile.
async def test_lease_that_came_in_a_pause_counts_from_its_start(monkeypatch):
    world = build_world(monkeypatch, count=_VMS, quota=_QUOTA)
    service = world.services['vm-1']
    renewals = QuotaRenewals(quota=service)
    await renewals.prepare()
    await renewals.step()
    partition = partition_of(TEAM)
    world.moment_s += 5
    service.receive(
        QuotaLoan(node='vm-2', partition=partition, lease_ms=1200)
    ).unwrap()
    lent = service.shares.partitions[partition].owner.expiry_by_vm
    assert 'vm-2' not in lent
