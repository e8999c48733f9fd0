"""Parse the JSON log lines of the daemons.

The JSON object starts at the first ``{`` of a line. Text before it, such as
the timestamp of a log collector, is ignored.
"""

from collections.abc import Iterable, Iterator, Mapping
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import attrs
import orjson

_COMMON_FIELDS = frozenset(
    ('time', 'level', 'process', 'module', 'message', 'request_id'),
)


@attrs.frozen(kw_only=True)
class LogLine:
    """Hold one parsed log line.

    ``fields`` holds the fields that aren't common to all log lines.
    ``time`` is in UTC. ``request_id`` is empty if the line belongs to no
    request.
    """

    time: datetime
    process: str
    message: str
    request_id: str
    fields: Mapping[str, Any]

    def format_text(self) -> str:
        """Format the line for a terminal."""
        fields_text = '  '.join(
            f'{name}={field_value}' for name, field_value in self.fields.items()
        )
        time_text = self.time.strftime('%H:%M:%S.%f')[:-3]
        return (
            f'{time_text}  {self.process:<22} {self.message:<28} {fields_text}'
        ).rstrip()


def read_log_files(paths: Iterable[Path]) -> list[LogLine]:
    """Return the log lines of all files, oldest first.

    Lines that aren't log lines of a daemon are skipped.

    Raises ``OSError`` for a file that can't be read.
    """
    lines = [line for path in paths for line in _read_lines(path)]
    return sorted(lines, key=lambda line: line.time)


def _read_lines(path: Path) -> Iterator[LogLine]:
    with path.open('rb') as log_file:
        for raw_line in log_file:
            start = raw_line.find(b'{')
            line = _parse_line(raw_line[start:]) if start >= 0 else None
            if line is not None:
                yield line


def _parse_line(raw_line: bytes) -> LogLine | None:
    try:
        parsed = orjson.loads(raw_line)
        return LogLine(
            time=_parse_time(parsed['time']),
            process=str(parsed['process']),
            message=str(parsed['message']),
            request_id=str(parsed.get('request_id', '')),
            fields={
                name: field_value
                for name, field_value in parsed.items()
                if name not in _COMMON_FIELDS
            },
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        # Log files also hold other output, such as tracebacks.
        return None


def _parse_time(text: str) -> datetime:
    """Return a time in UTC, which a time without an offset is taken for."""
    time = datetime.fromisoformat(text)
    if time.tzinfo is None:
        return time.replace(tzinfo=UTC)
    return time.astimezone(UTC)
