"""Split a byte stream of server-sent events (SSE) into events."""

import re
from collections.abc import Iterator

import attrs

_EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_NUMBER = re.compile(rb'[0-9]{1,15}')
_LONGEST_EVENT_END_BYTES = 4
_MAX_EVENT_BYTES = 1_048_576
_COMMENT_START = b':'
_ID_FIELD = b'id'
_WEIGHTS_VERSION_FIELD = b'weight-versions'


@attrs.frozen(kw_only=True)
class ServerSentEvent:
    """Represent one complete event.

    ``raw_bytes`` includes the blank line that ends it. ``event_id`` is the
    event's id, its position in the response, or None without a numeric id.
    ``weights_version`` is None unless the event reports a change of weights.
    An event that ``is_comment`` has nothing but comments.
    """

    raw_bytes: bytes
    event_id: int | None
    weights_version: int | None
    is_comment: bool = False


class ServerSentEventParser:
    """Split a stream into events; ``buffer`` holds the incomplete one.

    The first ``searched_bytes`` of the buffer hold no end of an event.
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.buffer = b''
        self.searched_bytes = 0

    def parse_chunk(self, chunk: bytes) -> Iterator[ServerSentEvent]:
        """Buffer ``chunk`` and yield the events that are now complete."""
        self.buffer += chunk
        while True:
            found = _EVENT_END.search(self.buffer, self.searched_bytes)
            if found is None:
                self.searched_bytes = max(
                    0, len(self.buffer) - _LONGEST_EVENT_END_BYTES
                )
                return
            raw = self.buffer[: found.end()]
            self.buffer = self.buffer[found.end() :]
            self.searched_bytes = 0
            yield _parse_event(raw)

    def is_overflowing(self) -> bool:
        """Return whether the incomplete event exceeds the size limit."""
        return len(self.buffer) > _MAX_EVENT_BYTES


def _parse_event(raw: bytes) -> ServerSentEvent:
    event_id = None
    weights_version = None
    lines = raw.splitlines()
    for line in lines:
        name, _, text = line.partition(b':')
        digits = text.strip()
        if not _NUMBER.fullmatch(digits):
            continue
        if name == _ID_FIELD:
            event_id = int(digits)
        elif name == _WEIGHTS_VERSION_FIELD:
            weights_version = int(digits)
    return ServerSentEvent(
        raw_bytes=raw,
        event_id=event_id,
        weights_version=weights_version,
        is_comment=all(
            line.startswith(_COMMENT_START) for line in lines if line
        ),
    )
