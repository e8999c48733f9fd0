"""Rank candidates for a key by rendezvous hashing.

Adding or removing a candidate keeps the relative order of all others.
"""

import functools
from collections.abc import Iterable

import xxhash

_CACHED_RANKINGS = 512


def rank_by_rendezvous_hash(key: str, candidates: Iterable[str]) -> list[str]:
    """Return ``candidates`` by descending score for ``key``.

    Processes with the same candidates compute the same order without
    communicating. Recent rankings are cached: most callers rank the same
    VMs or engines many times a second.
    """
    return list(_rank(key, tuple(candidates)))


@functools.lru_cache(_CACHED_RANKINGS)
def _rank(key: str, candidates: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(
        sorted(
            candidates,
            key=lambda candidate: (_score(key, candidate), candidate),
            reverse=True,
        )
    )


def _score(key: str, candidate: str) -> int:
    return xxhash.xxh64_intdigest(f'{key}\0{candidate}'.encode())
