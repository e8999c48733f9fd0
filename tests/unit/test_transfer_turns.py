"""Check how many long responses a relay sends at once."""

import asyncio

from arbutusbay.node._transfer_turns import TransferTurns

_WAIT_S = 0.02


async def _begin_all(turns: TransferTurns) -> list[asyncio.BaseTransport]:
    """Begin turns until none is free and return their connections."""
    connections = [asyncio.BaseTransport()]
    while await turns.begin(connections[-1], _WAIT_S):
        connections.append(asyncio.BaseTransport())
    return connections[:-1]


async def test_turn_begins_where_another_has_ended():
    turns = TransferTurns(max_turn_s=60)
    connections = await _begin_all(turns)
    assert 1 < len(connections) <= 16
    waiting = asyncio.create_task(turns.begin(asyncio.BaseTransport(), 2))
    await asyncio.sleep(_WAIT_S)
    assert not waiting.done()
    turns.end(connections[0])
    assert await waiting
    assert not await turns.begin(asyncio.BaseTransport(), _WAIT_S)


# Guards against more turns than there are, by requests on connections whose
# turn has ended or that never had one.
async def test_end_without_a_turn_frees_none():
    turns = TransferTurns(max_turn_s=60)
    connections = await _begin_all(turns)
    turns.end(asyncio.BaseTransport())
    turns.end(connections[0])
    turns.end(connections[0])
    assert await turns.begin(asyncio.BaseTransport(), _WAIT_S)
    assert not await turns.begin(asyncio.BaseTransport(), _WAIT_S)


# Guards against followers that vanish and keep all others waiting.
async def test_turns_of_vanished_followers_end():
    turns = TransferTurns(max_turn_s=0.3)
    await _begin_all(turns)
    assert await turns.begin(asyncio.BaseTransport(), 2)


# Guards against turns that are lost where waiting for them is given up.
async def test_turns_survive_many_that_gave_up_waiting():
    turns = TransferTurns(max_turn_s=60)
    connections = await _begin_all(turns)
    waiting = [
        asyncio.create_task(turns.begin(asyncio.BaseTransport(), _WAIT_S))
        for _ in range(50)
    ]
    await asyncio.sleep(_WAIT_S)
    turns.end(connections[0])
    begun = sum(await asyncio.gather(*waiting))
    free = await turns.begin(asyncio.BaseTransport(), _WAIT_S)
    assert begun + free == 1
