"""Compute the chained hashes that identify prompt blocks in KV caches.

Engines report their cached blocks by the same hashes.
"""

import attrs
import xxhash


@attrs.frozen(kw_only=True)
class CacheNamespace:
    """Hold what a cached block depends on besides the prompt's text."""

    team: str
    model: str
    adapter: str
    weights_version: str


def compute_block_hashes(
    identity: CacheNamespace,
    prompt: bytes,
    block_bytes: int,
) -> list[int]:
    """Return one 64-bit hash for each full block of ``prompt``.

    Each hash covers the identity and all text up to the block's end, so
    equal hashes mean equal prefixes. A shorter last block gets none.
    """
    block_hash = _hash_identity(identity)
    hashes = []
    for end in range(block_bytes, len(prompt) + 1, block_bytes):
        block = prompt[end - block_bytes : end]
        block_hash = xxhash.xxh64_intdigest(block, seed=block_hash)
        hashes.append(block_hash)
    return hashes


def _hash_identity(identity: CacheNamespace) -> int:
    identity_text = '\0'.join(
        (
            identity.team,
            identity.model,
            identity.adapter,
            identity.weights_version,
        )
    )
    return xxhash.xxh64_intdigest(identity_text.encode())
