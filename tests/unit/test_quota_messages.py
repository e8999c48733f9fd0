"""Check that messages about rate limits survive encoding and decoding."""

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutusbay.node.quota import (
    DATAGRAM_TYPE,
    Ask,
    Forwarded,
    GiveBack,
    Release,
    Reply,
    messages_from_bytes,
    messages_to_bytes,
)
from arbutusbay.quota import PARTITION_COUNT

_EXAMPLES = 100
_NUMBERS = st.integers(0, 2**50)
_AMOUNTS = st.floats(0, 1e9)
_PARTITIONS = st.integers(0, PARTITION_COUNT - 1)
_NAMES = st.text(max_size=20)
_ODD_VALUES = (None, -1, 1e300, 'x', [], {}, True, 'y' * 300)


def build_messages():
    """Return a strategy for all kinds of messages."""
    return st.one_of(
        st.builds(
            Ask,
            number=_NUMBERS,
            vm=_NAMES,
            partition=_PARTITIONS,
            lease_s=st.floats(0, 60),
            adds_start_credit=st.booleans(),
            team=_NAMES,
            cost=_AMOUNTS,
            key=_NUMBERS,
            patience_s=_AMOUNTS,
            version=_NUMBERS,
            rate_per_s=_AMOUNTS,
            burst=_AMOUNTS,
            is_relayed=st.booleans(),
        ),
        st.builds(
            Reply,
            number=_NUMBERS,
            owner=_NAMES,
            retry_after_s=st.none() | _AMOUNTS | st.just(float('inf')),
            share=st.floats(0, 1),
        ),
        st.builds(Forwarded, number=_NUMBERS),
        st.builds(Release, number=_NUMBERS, vm=_NAMES, partition=_PARTITIONS),
        st.builds(GiveBack, partition=_PARTITIONS, team=_NAMES, cost=_AMOUNTS),
    )


@given(st.lists(build_messages(), max_size=4))
@settings(max_examples=_EXAMPLES, derandomize=True, deadline=None)
def test_messages_survive_a_round_trip(messages):
    datagram = messages_to_bytes(messages)
    assert messages_from_bytes(datagram).ok_value == messages


@pytest.mark.parametrize(
    'content', (b'', b'{', b'{}', b'[1]', b'[["z"]]', b'[["a"]]', b'[[]]')
)
def test_malformed_datagrams_are_rejected(content):
    assert messages_from_bytes(DATAGRAM_TYPE + content).is_err()


@pytest.mark.parametrize('position', (1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12))
@pytest.mark.parametrize('odd', _ODD_VALUES)
def test_odd_values_are_rejected_or_harmless(position, odd):
    ask = Ask(
        number=1, vm='v', partition=0, lease_s=1.0, adds_start_credit=False
    )
    fields = orjson.loads(messages_to_bytes([ask])[1:])[0]
    fields[position] = odd
    decoded = messages_from_bytes(DATAGRAM_TYPE + orjson.dumps([fields]))
    assert decoded.is_err() or isinstance(decoded.ok_value[0], Ask)
