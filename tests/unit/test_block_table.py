"""Check the compact table of block hashes against a plain set."""

import random

from arbutusbay.control import BlockTable

_SEED = 11
_STEPS = 30_000
_RANGE = 4000


def test_table_behaves_like_a_set():
    rng = random.Random(_SEED)
    table = BlockTable()
    expected: set[int] = set()
    for _ in range(_STEPS):
        block_hash = rng.randrange(1, _RANGE) << rng.choice((0, 20, 52))
        if rng.randrange(2):
            table.add(block_hash)
            expected.add(block_hash)
        else:
            table.discard(block_hash)
            expected.discard(block_hash)
        assert len(table) == len(expected)
    for block_hash in range(1, _RANGE):
        assert (block_hash in table) == (block_hash in expected)


def test_clear_forgets_everything():
    table = BlockTable()
    table.add(5)
    table.clear()
    assert 5 not in table
    assert not len(table)


def test_zero_is_a_hash_like_others():
    table = BlockTable()
    table.add(0)
    assert 0 in table
    table.discard(0)
    assert 0 not in table
