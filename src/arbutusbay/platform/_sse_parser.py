"""Split a byte stream of server-sent events (SSE) into events."""

import re
from collections.abc import Iterator

import attrs

_LINE_START = re.compile(rb'[^\r\n]')
_EVENT_ENDS = (b'\n\n', b'\r\n\r\n', b'\r\r')
_NUMBER_FIELD = re.compile(
    rb'(id|weight-versions):[ \t\v\f]*([0-9]{1,15})[ \t\v\f]*'
)
_NUMBER_FIELD_STARTS = (b'id:', b'weight-versions:')
_FIELD_START = re.compile(rb'(?:\A|[\r\n])[^:\r\n]')
_LONGEST_EVENT_END_BYTES = 4
_UNKNOWN = -1
_KEPT_BYTES = 16_384
_MAX_EVENT_BYTES = 1_048_576
_MAX_UNNUMBERED_BYTES = 131_072
_ID_FIELD = b'id'
_WEIGHTS_VERSION_FIELD = b'weight-versions'


@attrs.frozen(kw_only=True)
class ServerSentEvent:
    """Represent one complete event.

    ``raw_bytes`` includes the blank lines before it and the one at its end.
    ``event_id`` is the event's id, its position in the response, or None
    without a numeric id.
    ``weights_version`` is None unless the event reports a change of weights.
    An event that ``is_comment`` has nothing but comments.
    """

    raw_bytes: bytes
    event_id: int | None
    weights_version: int | None
    is_comment: bool = False


class _EndSearch:
    """Find the ends of events in one buffer, which is searched only once.

    ``places`` holds where each form of an end comes next, without those that
    don't come any more.
    """

    def __init__(self, buffer: bytes) -> None:
        """Search in ``buffer``."""
        self.buffer = buffer
        self.places = dict.fromkeys(_EVENT_ENDS, _UNKNOWN)

    def find(self, start: int) -> int | None:
        """Return the place behind the first end from ``start`` on, if any."""
        first = None
        for form, known in tuple(self.places.items()):
            place = known if known >= start else self._search(form, start)
            if place >= 0 and (first is None or place < first[0]):
                first = (place, len(form))
        return first and sum(first)

    def _search(self, form: bytes, start: int) -> int:
        place = self.buffer.find(form, start)
        if place < 0:
            self.places.pop(form)
        else:
            self.places[form] = place
        return place


class ServerSentEventParser:
    """Split a stream into events; ``buffer`` holds the incomplete one.

    A blank line ends an event only if another line came before it. The first
    ``searched_bytes`` of the buffer hold no end of an event; it ``has_line``
    unless they are blank lines. ``unnumbered_bytes`` came in complete events
    since the last one with a number.
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.buffer = b''
        self.searched_bytes = 0
        self.has_line = False
        self.unnumbered_bytes = 0

    def parse_chunk(self, chunk: bytes) -> Iterator[ServerSentEvent]:
        """Buffer ``chunk`` and yield the events that are now complete.

        None follows once too much came without an event.
        """
        self.buffer += chunk
        start = 0
        ends = _EndSearch(self.buffer)
        while not self._has_unnumbered_excess() and self._find_end(ends):
            event = _parse_event(self.buffer[start : self.searched_bytes])
            start = self.searched_bytes
            self._count(event)
            if start > _KEPT_BYTES:
                self._drop(start)
                start = 0
                ends = _EndSearch(self.buffer)
            yield event
        self._drop(start)

    def take_blank_rest(self) -> ServerSentEvent | None:
        """Return the blank lines behind the last event, if there are any."""
        if self.has_line or not self.buffer:
            return None
        return _parse_event(self.buffer)

    def is_overflowing(self) -> bool:
        """Return whether too much came without an event, or without its end."""
        limit_bytes = (
            _MAX_EVENT_BYTES if self.has_line else _MAX_UNNUMBERED_BYTES
        )
        return self._has_unnumbered_excess() or len(self.buffer) > limit_bytes

    def _has_unnumbered_excess(self) -> bool:
        return self.unnumbered_bytes > _MAX_UNNUMBERED_BYTES

    def _find_end(self, ends: _EndSearch) -> bool:
        """Search for the end of the next event; return whether it is there."""
        if not self.has_line:
            line = _LINE_START.search(self.buffer, self.searched_bytes)
            if line is None:
                self.searched_bytes = len(self.buffer)
                return False
            self.has_line = True
            self.searched_bytes = line.end()
        end = ends.find(self.searched_bytes)
        if end is None:
            self.searched_bytes = max(
                self.searched_bytes, len(self.buffer) - _LONGEST_EVENT_END_BYTES
            )
            return False
        self.has_line = False
        self.searched_bytes = end
        return True

    def _drop(self, size: int) -> None:
        """Drop the events at the start of the buffer."""
        self.buffer = self.buffer[size:]
        self.searched_bytes -= size

    def _count(self, event: ServerSentEvent) -> None:
        if event.event_id is None:
            self.unnumbered_bytes += len(event.raw_bytes)
        else:
            self.unnumbered_bytes = 0


def _parse_event(raw: bytes) -> ServerSentEvent:
    numbers = _parse_numbers(raw.splitlines())
    return ServerSentEvent(
        raw_bytes=raw,
        event_id=numbers.get(_ID_FIELD),
        weights_version=numbers.get(_WEIGHTS_VERSION_FIELD),
        is_comment=_FIELD_START.search(raw) is None,
    )


def _parse_numbers(lines: list[bytes]) -> dict[bytes, int]:
    """Return the numeric fields by name; the last one of a name counts."""
    numbers = {}
    for line in lines:
        if not line.startswith(_NUMBER_FIELD_STARTS):
            continue
        found = _NUMBER_FIELD.fullmatch(line)
        if found is not None:
            numbers[found[1]] = int(found[2])
    return numbers
