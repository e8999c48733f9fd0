"""Check how VMs ask for grants and find the owner, without a network."""

import asyncio
import functools

import attrs
import pytest
from aioprometheus import REGISTRY

from arbutusbay.clock import now_s
from arbutusbay.node.quota import (
    MAX_ENTRIES,
    Ask,
    RecentEntries,
    Reply,
    _client,
    _fleet_view,
    messages_to_bytes,
)
from arbutusbay.quota import QuotaRequest, QuotaTerms, partition_of, rank_owners
from tests.fleet_fakes import FakeClock
from tests.quota_builders import (
    TEAM,
    QuotaNetwork,
    build_quota,
    build_quota_configuration,
)

_LEASES_LENT_S = 0.7
_TERMS = QuotaTerms(version=1, rate_per_s=1.0, burst=10.0)
_RELAYED_LIMIT_S = 0.6
# An ask is repeated for 0.8 s at most: 5,000 a second come meanwhile.
_ASKS = 4000
_NOW_S = 100.0


@pytest.fixture(autouse=True)
def clean_registry():
    """Let each client register its metrics."""
    REGISTRY.clear()
    yield
    REGISTRY.clear()


@pytest.fixture
async def network():
    """Return a network, and stop its VMs after the test."""
    quota_network = QuotaNetwork()
    yield quota_network
    for task in quota_network.renewals:
        task.cancel()


async def start(network: QuotaNetwork, vm_count: int, **changes) -> list[str]:
    """Start VMs; return them in the order of ownership."""
    network.add_vms(vm_count, build_quota(**changes))
    network.start()
    await asyncio.sleep(_LEASES_LENT_S)
    return rank_owners(partition_of(TEAM), sorted(network.clients))


async def ask(network: QuotaNetwork, name: str, cost: float = 1) -> Reply:
    """Let a VM ask for a request of the team."""
    return await network.clients[name].ask(
        TEAM, _TERMS, QuotaRequest(cost=cost)
    )


def is_granted(reply: Reply) -> bool:
    """Return whether a reply grants the request."""
    return reply.retry_after_s is None


async def test_all_vms_ask_the_same_owner(network):
    owner, *others = await start(network, 3, rate_per_s=1000)
    replies = [await ask(network, name) for name in (owner, *others)]
    assert all(map(is_granted, replies))
    assert {reply.owner for reply in replies} == {owner}
    assert replies[0].share == pytest.approx(1)


async def test_limit_is_shared_and_refusals_tell_when_to_return(network):
    names = await start(network, 3, rate_per_s=10, burst=3)
    replies = [await ask(network, name) for name in names * 3]
    granted = [reply for reply in replies if is_granted(reply)]
    refused = [reply for reply in replies if not is_granted(reply)]
    assert len(granted) == 3
    assert all(0 < reply.retry_after_s < 1 for reply in refused)


async def test_asks_of_one_turn_share_a_datagram(network):
    owner, other, _ = await start(network, 3, rate_per_s=1000)
    for task in network.renewals:
        task.cancel()
    await asyncio.sleep(0.05)
    network.sent = 0
    await asyncio.gather(*(ask(network, other) for _ in range(5)))
    assert network.sent == 2


async def test_owner_asks_itself_without_a_message(network):
    owner, _, _ = await start(network, 3, rate_per_s=1000)
    for task in network.renewals:
        task.cancel()
    await asyncio.sleep(0.05)
    network.sent = 0
    assert is_granted(await ask(network, owner))
    assert network.sent == 0


async def test_next_vm_takes_over_from_a_silent_owner(network):
    owner, second, third = await start(network, 3, rate_per_s=1000)
    network.stop(owner)
    await asyncio.sleep(2.5)
    reply = await ask(network, third)
    assert is_granted(reply)
    assert reply.owner == second
    assert reply.share == pytest.approx(2 / 3)


async def test_ask_reaches_the_owner_around_a_lost_link(network):
    owner, second, third = await start(network, 3, rate_per_s=1000)
    network.cut.add(frozenset((owner, third)))
    await ask(network, third)
    async with asyncio.timeout(_RELAYED_LIMIT_S):
        reply = await ask(network, third)
    assert is_granted(reply)
    assert reply.owner == owner


async def test_lost_messages_cost_no_grant_twice(network):
    owner, other, _ = await start(network, 3, rate_per_s=0.01, burst=50)
    bucket = network.clients[owner].shares.of_team(TEAM).owner.buckets[TEAM]
    bucket.level = 20.0
    network.loss = 0.3
    replies = [await ask(network, other) for _ in range(8)]
    granted = sum(is_granted(reply) for reply in replies)
    assert granted > 0
    assert 20 - bucket.level <= len(replies)


async def test_what_did_not_run_is_given_back(network):
    owner, other, _ = await start(network, 3, rate_per_s=0.01, burst=3)
    await ask(network, other, cost=0.1)
    bucket = network.clients[owner].shares.of_team(TEAM).owner.buckets[TEAM]
    bucket.level = 1.0
    assert is_granted(await ask(network, other))
    assert not is_granted(await ask(network, other))
    network.clients[other].give_back(TEAM, 1, owner)
    await asyncio.sleep(0.05)
    assert is_granted(await ask(network, other))


async def test_vms_without_limits_send_nothing(network):
    network.add_vms(3, None)
    network.start()
    await asyncio.sleep(0.5)
    assert network.sent == 0


async def test_newer_configuration_of_the_owner_lifts_a_limit(network):
    owner, other, _ = await start(network, 3, rate_per_s=0.01, burst=0.01)
    state = network.clients[owner].node_state
    state.catalog.configuration = build_quota_configuration(None, 2)
    assert is_granted(await ask(network, other))


async def test_cut_off_vm_refuses_soon(network):
    names = await start(network, 3, rate_per_s=0.1, burst=1)
    network.stop(names[2])
    async with asyncio.timeout(1):
        reply = await ask(network, names[2])
    assert not is_granted(reply)


async def test_new_limit_is_in_force_at_once(network):
    owner, *others = await start(network, 3, rate_per_s=1000)
    raised = build_quota(rate_per_s=0.01, burst=0.01)
    for client in network.clients.values():
        client.node_state.catalog.configuration = build_quota_configuration(
            raised, 2
        )
    terms = attrs.evolve(_TERMS, version=2, rate_per_s=0.01, burst=0.01)
    reply = await network.clients[others[0]].ask(
        TEAM, terms, QuotaRequest(cost=1)
    )
    assert not is_granted(reply)


async def test_lease_that_is_passed_on_late_ends_as_promised(network):
    owner, second, _ = await start(network, 3, rate_per_s=1000)
    network.cut.add(frozenset((owner, second)))
    client = network.clients[second]
    partition = client.shares.of_team(TEAM)
    partition.lender.record_answer(owner)
    received_s = now_s()
    await client.ask_owner(
        partition,
        Ask(
            number=1,
            vm='vm-9',
            partition=partition.number,
            lease_s=1.2,
            adds_start_credit=True,
        ),
    )
    promised_until_s = received_s + 1.25
    assert partition.owner.expiry_by_vm['vm-9'] <= promised_until_s


# Guards against a grant that is lost as its caller leaves in the turn in which
# the reply comes: the team then gets less than its limit.
async def test_grant_of_a_caller_that_leaves_as_it_comes_goes_back(network):
    owner, other, _ = await start(network, 3, rate_per_s=0.01, burst=3)
    for task in network.renewals:
        task.cancel()
    await ask(network, other, cost=0.1)
    bucket = network.clients[owner].shares.of_team(TEAM).owner.buckets[TEAM]
    bucket.level = 1.0
    asked = asyncio.create_task(ask(network, other))
    cancel_with_reply(network.clients[other], asked)
    with pytest.raises(asyncio.CancelledError):
        await asked
    await asyncio.sleep(0.05)
    assert bucket.level == pytest.approx(1, abs=0.01)


def cancel_with_reply(client, asked: asyncio.Task) -> None:
    """Cancel a task in the turn in which a reply to it arrives."""
    client.receive = functools.partial(
        receive_and_cancel, client.receive, asked
    )


def receive_and_cancel(receive, asked: asyncio.Task, datagram, address) -> None:
    """Receive a datagram, then cancel a task."""
    receive(datagram, address)
    asked.cancel()


# Guards against a repeated ask that is charged twice, as the owner has
# forgotten its reply. Load: 5,000 asks a second to one owner, a lost reply.
async def test_repeated_ask_is_charged_once_among_5000_a_second(
    network, monkeypatch
):
    owner, other, _ = await start(network, 3, rate_per_s=0.01, burst=9000)
    # Leases don't end meanwhile, however slow this machine is.
    clock = FakeClock()
    clock.moment_s = now_s()
    monkeypatch.setattr(_client, 'now_s', clock)
    monkeypatch.setattr(_fleet_view, 'now_s', clock)
    client = network.clients[owner]
    partition = client.shares.of_team(TEAM)
    bucket = partition.owner.buckets[TEAM]
    bucket.level = 8000.0
    asks = [
        build_ask(other, partition.number, number) for number in range(_ASKS)
    ]
    address = client.fleet.address_of(other)
    for sent in (*asks, asks[0]):
        client.receive(messages_to_bytes([sent]), address)
    assert bucket.level == pytest.approx(8000 - _ASKS, abs=0.5)


def build_ask(vm: str, partition: int, number: int) -> Ask:
    """Return an ask for one request, which lends nothing."""
    return Ask(
        number=number,
        vm=vm,
        partition=partition,
        lease_s=0,
        adds_start_credit=False,
        team=TEAM,
        cost=1,
        key=number,
        version=1,
        rate_per_s=_TERMS.rate_per_s,
        burst=9000,
    )


def test_what_is_remembered_ends_with_its_time():
    entries = RecentEntries(life_s=1.0)
    entries.put('a', 1, _NOW_S)
    entries.put('b', 2, _NOW_S + 0.9)
    assert entries.get('a', _NOW_S + 0.99) == 1
    assert entries.get('a', _NOW_S + 1) is None
    entries.put('c', 3, _NOW_S + 1.1)
    assert len(entries) == 2
    assert entries.pop('b', _NOW_S + 1.1) == 2
    assert entries.pop('b', _NOW_S + 1.1) is None


def test_flood_is_remembered_within_a_bound():
    entries = RecentEntries(life_s=1.0)
    for number in range(MAX_ENTRIES + 10):
        entries.put(number, number, _NOW_S)
    assert len(entries) == MAX_ENTRIES
