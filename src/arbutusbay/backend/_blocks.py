"""Compute the chained hashes that identify cached prompt blocks."""

import attrs
import xxhash


@attrs.frozen(kw_only=True)
class CacheIdentity:
    """Name what a cached block depends on besides the text before it."""

    team: str
    model: str
    adapter: str
    weights_version: str


def chain_hashes(
    identity: CacheIdentity,
    prompt: bytes,
    block_bytes: int,
) -> list[int]:
    """Return one 64-bit hash for each full block of ``prompt``.

    Each hash covers the identity and all text up to the block's end.
    """
    chained = _root_hash(identity)
    hashes = []
    for end in range(block_bytes, len(prompt) + 1, block_bytes):
        block = prompt[end - block_bytes : end]
        chained = xxhash.xxh64_intdigest(block, seed=chained)
        hashes.append(chained)
    return hashes


def _root_hash(identity: CacheIdentity) -> int:
    root = '\0'.join(
        (
            identity.team,
            identity.model,
            identity.adapter,
            identity.weights_version,
        )
    )
    return xxhash.xxh64_intdigest(root.encode())
