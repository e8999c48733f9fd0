"""Keep encoded records, so that they are encoded once for all followers."""

from collections import OrderedDict

from arbutusbay.spread._encoding import RecordEncoding

_MAX_ENTRIES = 16
_MAX_BYTES = 4_194_304


class EncodingCache:
    """Keep the encodings that were used last.

    ``max_entries`` and ``max_bytes`` bound what is kept.
    """

    def __init__(
        self,
        *,
        max_entries: int = _MAX_ENTRIES,
        max_bytes: int = _MAX_BYTES,
    ) -> None:
        """Start empty."""
        self.max_entries = max_entries
        self.max_bytes = max_bytes
        self.bodies: OrderedDict[RecordEncoding, bytes] = OrderedDict()
        self.held_bytes = 0

    def find(self, encoding: RecordEncoding) -> bytes | None:
        """Return the body of ``encoding``, None if it is not held."""
        body = self.bodies.get(encoding)
        if body is not None:
            self.bodies.move_to_end(encoding)
        return body

    def add(self, encoding: RecordEncoding, body: bytes) -> None:
        """Keep ``body`` and discard those that were not used for longest."""
        self.bodies[encoding] = body
        self.held_bytes += len(body)
        while self._is_over_limits():
            _, discarded = self.bodies.popitem(last=False)
            self.held_bytes -= len(discarded)

    def _is_over_limits(self) -> bool:
        return (
            len(self.bodies) > self.max_entries
            or self.held_bytes > self.max_bytes
        )
