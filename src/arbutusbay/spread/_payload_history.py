"""Keep the last payloads of records, named by their digests."""

from collections.abc import Collection

import attrs
import xxhash

_MIN_PAYLOAD_BYTES = 1024
_MAX_PAYLOADS = 16
_MAX_BYTES = 8_388_608


def payload_digest(payload: bytes) -> str:
    """Return the digest that names ``payload`` on all VMs."""
    return xxhash.xxh3_128_hexdigest(payload)


@attrs.frozen(kw_only=True)
class KnownPayload:
    """Hold a payload and the key of its record."""

    key: str
    payload: bytes


class PayloadHistory:
    """Keep the newest payload of each key and some earlier ones.

    ``max_payloads`` and ``max_bytes`` bound what is kept; the newest of each
    key are kept beyond them. Payloads of less than ``min_payload_bytes`` are
    not kept: they are sent whole at little cost.
    """

    def __init__(
        self,
        *,
        min_payload_bytes: int = _MIN_PAYLOAD_BYTES,
        max_payloads: int = _MAX_PAYLOADS,
        max_bytes: int = _MAX_BYTES,
    ) -> None:
        """Start empty."""
        self.min_payload_bytes = min_payload_bytes
        self.max_payloads = max_payloads
        self.max_bytes = max_bytes
        self.payloads: dict[str, KnownPayload] = {}
        self.newest: dict[str, str] = {}
        self.held_bytes = 0

    def record(self, key: str, payload: bytes) -> None:
        """Record the newest payload of ``key``, empty if it was deleted."""
        if len(payload) < self.min_payload_bytes:
            self.newest.pop(key, None)
        else:
            digest = payload_digest(payload)
            self.newest.pop(key, None)
            self.newest[key] = digest
            self._discard(digest)
            self.payloads[digest] = KnownPayload(key=key, payload=payload)
            self.held_bytes += len(payload)
        self._discard_oldest()

    def newest_digests(self) -> list[str]:
        """Return the digests of the newest payloads, one for each key.

        At most ``max_payloads`` are named, those that changed last.
        """
        return list(self.newest.values())[-self.max_payloads :]

    def find(self, digest: str) -> bytes | None:
        """Return the payload that ``digest`` names, None if it is not held."""
        known = self.payloads.get(digest)
        return known.payload if known else None

    def find_base(self, key: str, digests: Collection[str]) -> str:
        """Return the first of ``digests`` that names a held payload of ``key``.

        It is empty if there is none.
        """
        for digest in digests:
            known = self.payloads.get(digest)
            if known is not None and known.key == key:
                return digest
        return ''

    def _discard(self, digest: str) -> None:
        known = self.payloads.pop(digest, None)
        if known is not None:
            self.held_bytes -= len(known.payload)

    def _discard_oldest(self) -> None:
        kept = set(self.newest.values())
        earlier = [digest for digest in self.payloads if digest not in kept]
        for digest in earlier:
            if not self._is_over_limits():
                return
            self._discard(digest)

    def _is_over_limits(self) -> bool:
        return (
            len(self.payloads) > self.max_payloads
            or self.held_bytes > self.max_bytes
        )
