"""Tell how long moving KV cache keeps the links busy."""

from collections.abc import Collection, Sequence

from arbutusbay.prefixes._types import CacheStoreSite

_OTHER_ZONE_FACTOR = 2


def zone_factor(zone: str, other_zone: str) -> int:
    """Return how many times as long as within a zone a transfer takes."""
    return 1 if zone == other_zone else _OTHER_ZONE_FACTOR


def token_link_s(
    token_bytes: int,
    stores: Sequence[CacheStoreSite],
    engine_zones: Collection[str],
) -> float:
    """Return how long saving a token takes of the time of all stores' links.

    It is 0 if that of one isn't known.
    """
    if not engine_zones or not all(store.link_bytes_per_s for store in stores):
        return 0.0
    links = sum(
        store.link_bytes_per_s / zone_factor(store.zone, zone)
        for store in stores
        for zone in engine_zones
    )
    return token_bytes * len(engine_zones) / links if links else 0.0
