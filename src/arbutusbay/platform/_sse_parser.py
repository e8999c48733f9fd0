"""Split a byte stream of server-sent events (SSE) into events."""

from collections.abc import Iterator

import attrs

_EVENT_SEPARATOR = b'\n\n'
_ID_FIELD = b'id'
_WEIGHTS_VERSION_FIELD = b'weight-versions'


@attrs.frozen(kw_only=True)
class StreamEvent:
    """Represent one complete event.

    ``raw`` includes the blank line that ends it. ``number`` is the event's
    id, its position in the response, or None without a numeric id.
    ``weights_version`` is set where the weights changed.
    """

    raw: bytes
    number: int | None
    weights_version: int | None


class ServerSentEventParser:
    """Split a stream into events; ``rest`` buffers the incomplete one."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.rest = b''

    def feed(self, chunk: bytes) -> Iterator[StreamEvent]:
        """Buffer ``chunk`` and yield the events that are now complete."""
        self.rest += chunk
        while True:
            end = self.rest.find(_EVENT_SEPARATOR)
            if end < 0:
                return
            end += len(_EVENT_SEPARATOR)
            raw = self.rest[:end]
            self.rest = self.rest[end:]
            yield _parse_event(raw)


def _parse_event(raw: bytes) -> StreamEvent:
    number = None
    weights_version = None
    for line in raw.split(b'\n'):
        name, _, text = line.partition(b':')
        digits = text.strip()
        if not digits.isdigit():
            continue
        if name == _ID_FIELD:
            number = int(digits)
        elif name == _WEIGHTS_VERSION_FIELD:
            weights_version = int(digits)
    return StreamEvent(
        raw=raw,
        number=number,
        weights_version=weights_version,
    )
