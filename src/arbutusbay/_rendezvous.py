"""Rank candidates for a key by rendezvous hashing.

Adding or removing a candidate keeps the relative order of all others.
"""

from collections.abc import Iterable

import xxhash


def rank_by_rendezvous_hash(key: str, candidates: Iterable[str]) -> list[str]:
    """Return ``candidates`` by descending score for ``key``.

    Processes with the same candidates compute the same order without
    communicating.
    """
    return sorted(
        candidates,
        key=lambda candidate: (_score(key, candidate), candidate),
        reverse=True,
    )


def _score(key: str, candidate: str) -> int:
    return xxhash.xxh64_intdigest(f'{key}\0{candidate}'.encode())
