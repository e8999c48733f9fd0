"""Split a byte stream of server-sent events (SSE) into events."""

from collections.abc import Iterator

import attrs

_EVENT_SEPARATOR = b'\n\n'
_ID_FIELD = b'id'
_WEIGHTS_VERSION_FIELD = b'weight-versions'


@attrs.frozen(kw_only=True)
class ServerSentEvent:
    """Represent one complete event.

    ``raw_bytes`` includes the blank line that ends it. ``event_id`` is the
    event's id, its position in the response, or None without a numeric id.
    ``weights_version`` is None unless the event reports a change of weights.
    """

    raw_bytes: bytes
    event_id: int | None
    weights_version: int | None


class ServerSentEventParser:
    """Split a stream into events; ``buffer`` holds the incomplete one."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.buffer = b''

    def parse_chunk(self, chunk: bytes) -> Iterator[ServerSentEvent]:
        """Buffer ``chunk`` and yield the events that are now complete."""
        self.buffer += chunk
        while True:
            end = self.buffer.find(_EVENT_SEPARATOR)
            if end < 0:
                return
            end += len(_EVENT_SEPARATOR)
            raw = self.buffer[:end]
            self.buffer = self.buffer[end:]
            yield _parse_event(raw)


def _parse_event(raw: bytes) -> ServerSentEvent:
    event_id = None
    weights_version = None
    for line in raw.split(b'\n'):
        name, _, text = line.partition(b':')
        digits = text.strip()
        if not digits.isdigit():
            continue
        if name == _ID_FIELD:
            event_id = int(digits)
        elif name == _WEIGHTS_VERSION_FIELD:
            weights_version = int(digits)
    return ServerSentEvent(
        raw_bytes=raw,
        event_id=event_id,
        weights_version=weights_version,
    )
