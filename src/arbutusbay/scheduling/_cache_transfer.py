"""Decide whether an engine fetches a shared prefix or computes it.

Transfers of one KV cache store run one after another. Short prefixes that
are fetched wait behind long ones, although an engine computes them sooner.
"""

import attrs

_SETUP_S = 0.005
_OTHER_ZONE_FACTOR = 2


@attrs.frozen(kw_only=True)
class CacheTransfer:
    """Describe the transfer of a prefix between a store and an engine.

    ``token_bytes`` is the size of the cache of one token. The link carries
    ``link_bytes_per_s``, half of it from another availability zone. Both are
    0 if unknown; the transfer then takes only its set-up time.
    """

    prefix_tokens: int
    token_bytes: int
    link_bytes_per_s: float
    is_in_other_zone: bool

    def duration_s(self) -> float:
        """Return the time that the transfer takes on an idle link."""
        if not self.link_bytes_per_s:
            return _SETUP_S
        copy_s = self.prefix_tokens * self.token_bytes / self.link_bytes_per_s
        factor = _OTHER_ZONE_FACTOR if self.is_in_other_zone else 1
        return _SETUP_S + copy_s * factor

    def is_worthwhile(self, prefill_s_per_token: float) -> bool:
        """Return whether it is faster than computing the prefix."""
        return self.duration_s() < self.prefix_tokens * prefill_s_per_token
