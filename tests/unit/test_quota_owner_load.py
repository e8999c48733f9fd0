"""Check what an owner of limits has to do in a large fleet.

Load: 400 VMs ask for 5,000 requests a second of 16 teams, of which a few are
large; no VM knows what the others ask.
"""

import random
import time

import pytest

from arbutusbay.quota import (
    AskedGrant,
    LimitShares,
    OfferedShare,
    QuotaBounds,
    QuotaRequest,
    QuotaTerms,
    RenewLease,
    plan_renewal,
)

_TERMS = QuotaTerms(version=1, rate_per_s=1e6, burst=1e6)
_BOUNDS = QuotaBounds(window_s=8.0, overshoot=0.1)
_VMS = 400
_REQUESTS_PER_S = 5000
_TEAMS = tuple(f'team-{number}' for number in range(16))
_TICK_S = 0.1
_RUN_S = 3
_DECISIONS = 1500


def start_vm(name: str, vm_count: int, teams: tuple[str, ...]) -> LimitShares:
    """Return a VM of a fleet whose teams all have a limit."""
    shares = LimitShares(own_vm=name, bounds=_BOUNDS, now_s=0)
    shares.apply_vms(list_vms(vm_count), vm_count, 0)
    shares.apply_limits(dict.fromkeys(teams, _TERMS), 1, 0)
    return shares


def list_vms(vm_count: int) -> list[str]:
    """Return the names of a fleet."""
    return [f'frontend-{number}' for number in range(vm_count)]


def choose_teams(rng: random.Random, count: int) -> list[str]:
    """Return the teams of some requests; the first ones send most."""
    weights = [1 / (rank + 1) for rank in range(len(_TEAMS))]
    return rng.choices(_TEAMS, weights, k=count)


# Guards against renewals beside requests that renew the leases already: an
# owner then has one message for each request of its partition, and no more.
def test_owners_get_one_message_a_request():
    rng = random.Random(5)
    fleet = [start_vm(name, _VMS, _TEAMS) for name in list_vms(_VMS)]
    asked = 0
    renewed = 0
    for tick in range(int(_RUN_S / _TICK_S)):
        now_s = tick * _TICK_S
        for team in choose_teams(rng, int(_REQUESTS_PER_S * _TICK_S)):
            shares = rng.choice(fleet)
            partition = shares.of_team(team)
            owner = shares.choose_owner(partition)
            shares.offer(partition, owner, now_s)
            asked += 1
        for shares in fleet:
            for partition in shares.used:
                if RenewLease() in plan_renewal(shares, partition, now_s):
                    owner = shares.choose_owner(partition)
                    shares.offer(partition, owner, now_s)
                    renewed += 1
    assert asked == _REQUESTS_PER_S * _RUN_S
    assert renewed <= 2 * _VMS + 0.02 * asked


# Guards against decisions that look at each VM or each team.
@pytest.mark.parametrize('rate_per_s', (1e6, 1.0))
def test_decision_costs_the_same_in_a_large_fleet(rate_per_s):
    many = tuple(f'team-{number}' for number in range(78))
    small_s = min(time_decisions(3, ('team-0',), rate_per_s) for _ in range(3))
    large_s = min(time_decisions(_VMS, many, rate_per_s) for _ in range(3))
    assert large_s <= 2 * small_s


def time_decisions(
    vm_count: int, teams: tuple[str, ...], rate_per_s: float
) -> float:
    """Return the processor time of decisions on requests of one team."""
    shares = start_vm('frontend-0', vm_count, teams)
    names = list_vms(vm_count)
    partition = shares.of_team('team-0')
    terms = QuotaTerms(version=2, rate_per_s=rate_per_s, burst=rate_per_s)
    asked = [
        AskedGrant(
            vm=names[number % vm_count],
            offered=OfferedShare(lease_s=5.0, adds_start_credit=False),
            team='team-0',
            request=QuotaRequest(cost=1, key=number, patience_s=2.0),
            terms=terms,
        )
        for number in range(_DECISIONS)
    ]
    for number in range(vm_count):
        shares.decide(partition, asked[number], 0, received_s=0)
    began_s = time.process_time()
    for number, grant in enumerate(asked):
        now_s = number / 2500
        shares.decide(partition, grant, now_s, received_s=now_s)
    return time.process_time() - began_s
