"""Compute the chained hashes that identify prompt blocks in KV caches.

Engines report their cached blocks by the same hashes.
"""

import attrs
import xxhash


@attrs.frozen(kw_only=True)
class CacheNamespace:
    """Hold what a cached block depends on besides the text of the prompt."""

    team: str
    model: str
    adapter: str
    weights_version: str


def compute_block_hashes(
    namespace: CacheNamespace,
    prompt: bytes,
    block_bytes: int,
) -> list[int]:
    """Return one 64-bit hash for each full block of ``prompt``.

    Each hash covers the namespace and all text up to the end of its block,
    so equal hashes mean equal prefixes. An incomplete last block has none.
    """
    block_hash = _hash_namespace(namespace)
    hashes = []
    for end in range(block_bytes, len(prompt) + 1, block_bytes):
        block = prompt[end - block_bytes : end]
        block_hash = xxhash.xxh64_intdigest(block, seed=block_hash)
        hashes.append(block_hash)
    return hashes


def _hash_namespace(namespace: CacheNamespace) -> int:
    namespace_text = '\0'.join(
        (
            namespace.team,
            namespace.model,
            namespace.adapter,
            namespace.weights_version,
        )
    )
    return xxhash.xxh64_intdigest(namespace_text.encode())
