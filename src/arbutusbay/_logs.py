"""Write logs as JSON lines with logbook.

Records of the standard ``logging`` module are included from level WARNING.
"""

import logging
import os
import sys
from collections import deque
from typing import Any

import logbook
import orjson
from logbook.compat import RedirectLoggingHandler

_STDOUT = 1
_MAX_BUFFER_BYTES = 262_144


def get_logger(name: str) -> logbook.Logger:
    """Return a logger that writes ``name`` as the module of each record."""
    return logbook.Logger(name)


def setup_logs(*, level: str, process: str) -> None:
    """Write all logs of this process to standard error.

    ``level`` is the lowest level that is written; ``process`` is the process
    name in each line.
    """
    handler = logbook.StreamHandler(sys.stderr, level=level)
    handler.formatter = lambda record, _: _format_record(record, process)
    handler.push_application()
    _redirect_standard_logging()


def setup_nonblocking_logs(
    *, level: str, process: str
) -> 'NonblockingLineWriter':
    """Write all logs of this process to standard output without blocking.

    ``level`` is the lowest level that is written; ``process`` is the process
    name in each line. The caller has to flush the returned writer from time
    to time, as lines wait in its buffer while the pipe is full.
    """
    writer = NonblockingLineWriter(descriptor=_STDOUT)
    handler = _NonblockingHandler(writer=writer, level=level)
    handler.formatter = lambda record, _: _format_record(record, process)
    handler.push_application()
    _redirect_standard_logging()
    return writer


class NonblockingLineWriter:
    """Write lines to a file descriptor without blocking.

    Lines are buffered while the descriptor accepts no data, and dropped when
    the buffer is full or on a write error. ``dropped_lines`` and
    ``written_lines`` count lines.
    """

    def __init__(self, *, descriptor: int) -> None:
        """Set ``descriptor`` to non-blocking mode and write to it."""
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.buffer: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.dropped_lines = 0
        self.written_lines = 0

    def write(self, line: bytes) -> None:
        """Append ``line`` to the buffer and flush the buffer.

        Drops the line if the buffer has no space for it.
        """
        if self.buffered_bytes + len(line) > _MAX_BUFFER_BYTES:
            self.dropped_lines += 1
            return
        self.buffer.append(line)
        self.buffered_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write buffered lines until the descriptor accepts no more data.

        Drops all buffered lines on a write error.
        """
        while self.buffer:
            line = self.buffer[0]
            try:
                count = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                self._drop_buffer()
                return
            self.buffered_bytes -= count
            if count < len(line):
                self.buffer[0] = line[count:]
                return
            self.buffer.popleft()
            self.written_lines += 1

    def _drop_buffer(self) -> None:
        self.dropped_lines += len(self.buffer)
        self.buffer.clear()
        self.buffered_bytes = 0


class _NonblockingHandler(logbook.Handler):
    """Pass formatted records to a ``NonblockingLineWriter``."""

    def __init__(self, *, writer: NonblockingLineWriter, level: str) -> None:
        """Write records of ``level`` and above to ``writer``."""
        super().__init__(level=level)
        self.writer = writer

    def emit(self, record: logbook.LogRecord) -> None:
        """Write ``record`` as one line."""
        self.writer.write(f'{self.format(record)}\n'.encode())


def _redirect_standard_logging() -> None:
    root = logging.getLogger()
    root.handlers = [RedirectLoggingHandler()]
    root.setLevel(logging.WARNING)


def _format_record(record: logbook.LogRecord, process: str) -> str:
    fields: dict[str, Any] = {
        'time': record.time.isoformat(),
        'level': record.level_name,
        'process': process,
        'module': record.channel,
        'message': record.message,
    }
    fields.update(record.kwargs.get('fields', {}))
    if record.exc_info:
        fields['exception'] = record.formatted_exception
    return _line_from_fields(fields)


def _line_from_fields(fields: dict[str, Any]) -> str:
    """Return one line of JSON, whatever the fields hold.

    Texts of requests may hold bytes that are no UTF-8, and numbers may exceed
    64 bits; all fields are then written as texts.
    """
    try:
        return orjson.dumps(fields, default=str).decode()
    except TypeError:
        texts = {
            str(name): str(found).encode(errors='replace').decode()
            for name, found in fields.items()
        }
        return orjson.dumps(texts).decode()
