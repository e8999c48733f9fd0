"""Order candidates for a key by rendezvous hashing."""

from collections.abc import Iterable

import xxhash


def rendezvous_order(key: str, candidates: Iterable[str]) -> list[str]:
    """Return ``candidates`` from the highest to the lowest score.

    Processes that know the same candidates agree with no shared state.
    """
    return sorted(
        candidates,
        key=lambda candidate: (_score(key, candidate), candidate),
        reverse=True,
    )


def _score(key: str, candidate: str) -> int:
    return xxhash.xxh64_intdigest(f'{key}\0{candidate}'.encode())
