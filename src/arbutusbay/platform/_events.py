"""Split a stream of server-sent events into whole events."""

from collections.abc import Iterator

import attrs

_SEPARATOR = b'\n\n'
_ID_FIELD = b'id'
_VERSION_FIELD = b'weight-versions'


@attrs.frozen(kw_only=True)
class StreamEvent:
    """Hold the bytes of one whole event.

    ``number`` counts the events of the answer, None where the event names
    none; ``weights_version`` is set where the weights changed.
    """

    raw: bytes
    number: int | None
    weights_version: int | None


class EventSplitter:
    """Cut a stream into events; ``rest`` holds the one not yet whole."""

    def __init__(self) -> None:
        """Start at the beginning of a stream."""
        self.rest = b''

    def feed(self, chunk: bytes) -> Iterator[StreamEvent]:
        """Yield the events that ``chunk`` completes."""
        self.rest += chunk
        while True:
            end = self.rest.find(_SEPARATOR)
            if end < 0:
                return
            end += len(_SEPARATOR)
            raw = self.rest[:end]
            self.rest = self.rest[end:]
            yield _event_from(raw)


def _event_from(raw: bytes) -> StreamEvent:
    number = None
    weights_version = None
    for line in raw.split(b'\n'):
        name, _, text = line.partition(b':')
        digits = text.strip()
        if not digits.isdigit():
            continue
        if name == _ID_FIELD:
            number = int(digits)
        elif name == _VERSION_FIELD:
            weights_version = int(digits)
    return StreamEvent(
        raw=raw,
        number=number,
        weights_version=weights_version,
    )
