"""Tell how long moving KV cache takes."""

_OTHER_ZONE_FACTOR = 2


def zone_factor(zone: str, other_zone: str) -> int:
    """Return how many times as long as within a zone a transfer takes."""
    return 1 if zone == other_zone else _OTHER_ZONE_FACTOR
