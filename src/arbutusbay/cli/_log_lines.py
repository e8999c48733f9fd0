"""Read the JSON lines that daemons log, whatever stands before them."""

from collections.abc import Iterable, Iterator, Mapping
from datetime import datetime
from pathlib import Path
from typing import Any

import attrs
import orjson

_OWN_FIELDS = frozenset(
    ('time', 'level', 'process', 'module', 'message', 'request_id'),
)


@attrs.frozen(kw_only=True)
class LogLine:
    """Hold one line; ``fields`` are those that belong to its message."""

    time: datetime
    process: str
    message: str
    request_id: str
    fields: Mapping[str, Any]

    def text(self) -> str:
        """Return the line for a reader."""
        told = '  '.join(f'{name}={told}' for name, told in self.fields.items())
        clock = self.time.strftime('%H:%M:%S.%f')[:-3]
        return f'{clock}  {self.process:<22} {self.message:<28} {told}'.rstrip()


def lines_of_files(paths: Iterable[Path]) -> list[LogLine]:
    """Return the lines of all files, oldest first; others are passed over.

    Raises ``OSError`` for a file that can't be read.
    """
    lines = [line for path in paths for line in _lines_of(path)]
    return sorted(lines, key=lambda line: line.time)


def _lines_of(path: Path) -> Iterator[LogLine]:
    with path.open('rb') as opened:
        for raw in opened:
            start = raw.find(b'{')
            line = _line_from(raw[start:]) if start >= 0 else None
            if line is not None:
                yield line


def _line_from(raw: bytes) -> LogLine | None:
    try:
        told = orjson.loads(raw)
        return LogLine(
            time=datetime.fromisoformat(told['time']),
            process=str(told['process']),
            message=str(told['message']),
            request_id=str(told.get('request_id', '')),
            fields={
                name: field_value
                for name, field_value in told.items()
                if name not in _OWN_FIELDS
            },
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        # Not every line of a file has to be ours.
        return None
