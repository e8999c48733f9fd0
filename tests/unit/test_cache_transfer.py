"""Test when a shared prefix is fetched: short ones behind long ones lose.

Most requests of some deployments share a prefix of a hundred tokens, and a
few one of ten thousand. One store serves both.
"""

import pytest

from arbutusbay.scheduling import CacheTransfer

_PREFILL_S_PER_TOKEN = 0.00001


def build_transfer(tokens: int, **changes) -> CacheTransfer:
    """Return a transfer over a link of 8 GB/s."""
    fields = {
        'prefix_tokens': tokens,
        'token_bytes': 20_000,
        'link_bytes_per_s': 8e9,
        'is_in_other_zone': False,
        **changes,
    }
    return CacheTransfer(**fields)


@pytest.mark.parametrize(
    ('tokens', 'is_worthwhile'), [(90, False), (500, False), (13_000, True)]
)
def test_only_long_prefixes_are_fetched(tokens, is_worthwhile):
    transfer = build_transfer(tokens)
    assert transfer.is_worthwhile(_PREFILL_S_PER_TOKEN) is is_worthwhile


def test_transfer_from_another_zone_takes_twice_as_long():
    near = build_transfer(13_000).duration_s()
    far = build_transfer(13_000, is_in_other_zone=True).duration_s()
    assert near < far < 2 * near


def test_slow_link_makes_computing_faster():
    transfer = build_transfer(13_000, link_bytes_per_s=5e8)
    assert not transfer.is_worthwhile(_PREFILL_S_PER_TOKEN)


def test_unknown_link_counts_with_its_set_up_time():
    transfer = build_transfer(13_000, link_bytes_per_s=0)
    assert transfer.is_worthwhile(_PREFILL_S_PER_TOKEN)
