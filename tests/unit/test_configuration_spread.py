"""Check how a configuration reaches the followers of a zone's reader."""

import asyncio

import aiohttp
import pytest

from arbutusbay.node import _record_encoder
from arbutusbay.node._relay_messages import relay_response_from_bytes
from arbutusbay.spread import encode_records
from tests.spread_builders import build_sized_record
from tests.spread_world import MBIT, decode_once, running_zone

_TINY_BYTES = 500
_SMALL_BYTES = 26_000
_LARGE_BYTES = 250_000
_FOLLOWERS = 50
_MANY_FOLLOWERS = 70
_LINK_BITS_S = 10 * MBIT
_SETTLE_S = 0.5
_BASE64_RATIO = 4 / 3
_ENCODED_RATIO = 0.1


@pytest.fixture(autouse=True)
def shared_decoding(monkeypatch):
    """Let the VMs of this process share the work of decoding."""
    decode_once(monkeypatch)


# Guards against a transfer that is broken off after a time that does not
# depend on its size, and begun anew for the same bytes.
@pytest.mark.parametrize(
    ('is_of_old_build', 'sent_ratio'),
    [(True, _BASE64_RATIO), (False, _ENCODED_RATIO)],
)
async def test_transfer_longer_than_a_poll_arrives_at_once(
    is_of_old_build, sent_ratio
):
    transfer_s = 1.5
    size_bytes = 6 * _SMALL_BYTES
    sent_bytes = size_bytes * sent_ratio
    rate_bits_s = sent_bytes * 8 / transfer_s
    async with running_zone(
        followers=1,
        rate_bits_s=rate_bits_s,
        first=build_sized_record(_TINY_BYTES),
        is_of_old_build=is_of_old_build,
    ) as zone:
        zone.relay.write(build_sized_record(size_bytes, version=2))
        await zone.arrivals_s(2, 2 * transfer_s)
        assert zone.link.crossed_bytes < 1.3 * sent_bytes
        assert not zone.followers[0].has_avoided_a_source()


# Guards against a reader's link that is filled by a change of a few bytes.
@pytest.mark.parametrize(
    ('size_bytes', 'spread_s'), [(_SMALL_BYTES, 0.5), (_LARGE_BYTES, 1.5)]
)
async def test_change_reaches_a_zone_in_time_for_a_tenth_of_the_bytes(
    size_bytes, spread_s
):
    async with running_zone(
        followers=_FOLLOWERS,
        rate_bits_s=_LINK_BITS_S,
        first=build_sized_record(size_bytes),
    ) as zone:
        await zone.watch(_SETTLE_S)
        before_bytes = zone.link.crossed_bytes
        zone.relay.write(build_sized_record(size_bytes, version=2, changed=2))
        arrivals_s = await zone.arrivals_s(2, 8)
        spread_bytes = zone.link.crossed_bytes - before_bytes
    assert arrivals_s[-1] - arrivals_s[0] < spread_s
    whole_bytes = size_bytes * _BASE64_RATIO * _FOLLOWERS
    assert spread_bytes < whole_bytes / 10


# Guards against a zone whose VMs wait for the whole configuration one after the
# other, where the reader was started anew and has no version that they have.
@pytest.mark.parametrize(
    ('size_bytes', 'spread_s'), [(_SMALL_BYTES, 0.5), (_LARGE_BYTES, 1.5)]
)
async def test_whole_configuration_reaches_a_zone_in_time(size_bytes, spread_s):
    async with running_zone(
        followers=_FOLLOWERS,
        rate_bits_s=_LINK_BITS_S,
        first=build_sized_record(size_bytes),
        relay_first=build_sized_record(_TINY_BYTES),
    ) as zone:
        await zone.watch(_SETTLE_S)
        zone.relay.write(build_sized_record(size_bytes, version=2, changed=2))
        arrivals_s = await zone.arrivals_s(2, 8)
    assert arrivals_s[-1] - arrivals_s[0] < spread_s


# Guards against changes that come faster than they spread: polls that fail,
# versions that go back, and data too old to check keys that were revoked.
async def test_changes_in_quick_succession_stop_no_follower():
    async with running_zone(
        followers=_FOLLOWERS,
        rate_bits_s=_LINK_BITS_S,
        first=build_sized_record(_LARGE_BYTES),
    ) as zone:
        await zone.watch(_SETTLE_S)
        for version in range(2, 14):
            record = build_sized_record(
                _LARGE_BYTES, version=version, changed=version
            )
            zone.relay.write(record)
            await zone.watch(0.2)
        await zone.arrivals_s(13, 3)
        for follower in zone.followers:
            assert follower.seen == sorted(follower.seen)
            assert not follower.has_avoided_a_source()


# Guards against a VM that is not ready, or serves by an old configuration,
# because a relay of an earlier build does not encode records.
async def test_changes_arrive_from_a_relay_of_an_earlier_build():
    async with running_zone(
        followers=3,
        rate_bits_s=_LINK_BITS_S,
        first=build_sized_record(_SMALL_BYTES),
        is_of_old_build=True,
    ) as zone:
        await asyncio.sleep(0.1)
        zone.relay.write(build_sized_record(_SMALL_BYTES, version=2, changed=2))
        await zone.arrivals_s(2, 2)


# Guards against an error in the log of a relay for each follower that ended, or
# gave up, while its response was under way.
async def test_follower_that_leaves_during_its_response_stops_nothing(caplog):
    async with running_zone(
        followers=2,
        rate_bits_s=MBIT,
        first=build_sized_record(_LARGE_BYTES),
        relay_first=build_sized_record(_TINY_BYTES),
    ) as zone:
        zone.relay.write(build_sized_record(_LARGE_BYTES, version=2, changed=2))
        await asyncio.sleep(0.1)
        zone.leave(zone.followers.pop())
        await zone.arrivals_s(2, 3)
    assert not caplog.records


# Guards against a VM that stays at an old version because its source is gone in
# the middle of the transfer: the next one sends what is missing.
async def test_relay_that_ends_during_a_transfer_is_replaced():
    async with running_zone(
        followers=1,
        rate_bits_s=MBIT / 8,
        first=build_sized_record(_LARGE_BYTES),
        relay_first=build_sized_record(_TINY_BYTES),
        has_second_relay=True,
    ) as zone:
        for relay in (zone.relay, zone.second_relay):
            relay.write(build_sized_record(_LARGE_BYTES, version=2, changed=2))
        await asyncio.sleep(0.3)
        assert zone.followers[0].version() == 1
        await zone.relay.stop()
        await zone.arrivals_s(2, 2)


# Guards against a follower that gets the whole configuration, or none, because
# it has missed some versions or the reader has discarded the one that it has.
@pytest.mark.parametrize(
    ('missed', 'is_small'), [(1, True), (3, True), (60, False)]
)
async def test_follower_that_missed_versions_gets_the_newest(missed, is_small):
    first = build_sized_record(_LARGE_BYTES)
    async with running_zone(
        followers=1, rate_bits_s=_LINK_BITS_S, first=first
    ) as zone:
        before_bytes = zone.link.crossed_bytes
        newest = missed + 1
        for version in range(2, newest + 1):
            zone.relay.write(
                build_sized_record(
                    _LARGE_BYTES, version=version, changed=version
                )
            )
        await zone.arrivals_s(newest, 2)
        sent_bytes = zone.link.crossed_bytes - before_bytes
    assert (sent_bytes < _LARGE_BYTES / 50) == is_small
    assert zone.followers[0].version() == newest


# Guards against an older configuration in force after the store came back from
# a copy, and against followers that stay in the former era.
async def test_restored_store_reverts_nothing_and_later_versions_arrive():
    async with running_zone(
        followers=3,
        rate_bits_s=_LINK_BITS_S,
        first=build_sized_record(_SMALL_BYTES, version=5, changed=5),
    ) as zone:
        copy = build_sized_record(_SMALL_BYTES, version=3, changed=3)
        zone.relay.write(copy, era=2, is_complete=True)
        await zone.watch(0.5)
        zone.relay.write(
            build_sized_record(_SMALL_BYTES, version=6, changed=6), era=2
        )
        await zone.arrivals_s(6, 2)
        for follower in zone.followers:
            assert follower.seen == [5, 6]
            assert follower.operator_topic.end.era == 2


# Guards against a configuration that does not arrive, or that nobody wrote, if
# encoded records are damaged: they are asked for as JSON, of the same source.
async def test_damaged_records_are_asked_for_as_json(monkeypatch):
    monkeypatch.setattr(_record_encoder, 'encode_records', _encode_damaged)
    async with running_zone(
        followers=3,
        rate_bits_s=_LINK_BITS_S,
        first=build_sized_record(_SMALL_BYTES),
    ) as zone:
        record = build_sized_record(_SMALL_BYTES, version=2, changed=2)
        zone.relay.write(record)
        await zone.arrivals_s(2, 2)
        for follower in zone.followers:
            assert follower.operator_topic.latest_records['config'] == record
            assert not follower.has_avoided_a_source()


# Guards against a build without encoded records that gets what it can't decode.
async def test_follower_of_an_earlier_build_gets_json():
    async with running_zone(
        followers=0,
        rate_bits_s=_LINK_BITS_S,
        first=build_sized_record(_SMALL_BYTES),
    ) as zone:
        host, port = zone.relay.address
        positions = {'operator': '-1', 'servers': '-1', 'hold_ms': '0'}
        async with aiohttp.ClientSession() as session:
            response = await session.get(
                f'http://{host}:{port}/relay', params=positions
            )
            decoded = relay_response_from_bytes(await response.read()).unwrap()
    assert decoded.operator.records == (build_sized_record(_SMALL_BYTES),)


def _encode_damaged(*encoded):
    body = bytearray(encode_records(*encoded))
    body[-1] ^= 1
    return bytes(body)


# Guards against data that is too old to check keys that were revoked, and other
# records that wait, because a whole configuration is under way elsewhere.
async def test_small_changes_overtake_wholes_of_other_followers():
    async with running_zone(
        followers=_FOLLOWERS,
        rate_bits_s=_LINK_BITS_S,
        first=build_sized_record(_LARGE_BYTES),
        relay_first=build_sized_record(_TINY_BYTES),
    ) as zone:
        quick = zone.followers.pop()
        others = zone.followers
        zone.relay.write(build_sized_record(_LARGE_BYTES, version=2, changed=2))
        quick.write(build_sized_record(_LARGE_BYTES, version=2, changed=2))
        await asyncio.sleep(0.1)
        zone.relay.write(build_sized_record(_LARGE_BYTES, version=3, changed=3))
        zone.followers = [quick]
        await zone.arrivals_s(3, 1)
        assert any(follower.version() < 2 for follower in others)


# Guards against whole configurations that fill the reader's link for longer
# than followers wait for a sign of it: they gave up one after the other.
async def test_wholes_that_fill_the_link_reach_all_followers_in_turn():
    async with running_zone(
        followers=_MANY_FOLLOWERS,
        rate_bits_s=_LINK_BITS_S,
        first=build_sized_record(_LARGE_BYTES),
        relay_first=build_sized_record(_TINY_BYTES),
    ) as zone:
        await zone.watch(_SETTLE_S)
        zone.relay.write(build_sized_record(_LARGE_BYTES, version=2, changed=2))
        await zone.arrivals_s(2, 4)
        assert not any(
            follower.has_avoided_a_source() for follower in zone.followers
        )
