"""Write logs as JSON lines with logbook."""

import logging
import os
import sys
from collections import deque
from typing import Any

import logbook
import orjson
from logbook.compat import RedirectLoggingHandler

_STDOUT = 1
_MAX_PENDING_BYTES = 262_144


def get_logger(name: str) -> logbook.Logger:
    """Return the logger of one module."""
    return logbook.Logger(name)


def setup_logs(*, level: str, process: str) -> None:
    """Send all logs of this process to standard error as JSON lines."""
    handler = logbook.StreamHandler(sys.stderr, level=level)
    handler.formatter = lambda record, _: _line_from_record(record, process)
    handler.push_application()
    _redirect_standard_logging()


def setup_nonblocking_logs(*, level: str, process: str) -> 'LineWriter':
    """Send all logs to standard output; a full pipe drops lines."""
    writer = LineWriter(descriptor=_STDOUT)
    handler = _NonblockingHandler(writer=writer, level=level)
    handler.formatter = lambda record, _: _line_from_record(record, process)
    handler.push_application()
    _redirect_standard_logging()
    return writer


class LineWriter:
    """Write lines without ever blocking, and count what is dropped."""

    def __init__(self, *, descriptor: int) -> None:
        """Write to ``descriptor``, which is set to non-blocking."""
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.pending: deque[bytes] = deque()
        self.pending_bytes = 0
        self.dropped = 0
        self.written = 0

    def write(self, line: bytes) -> None:
        """Write ``line``, or keep it while the pipe is full."""
        if self.pending_bytes + len(line) > _MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self.pending.append(line)
        self.pending_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as much as the pipe takes."""
        while self.pending:
            line = self.pending[0]
            try:
                count = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                self._drop_pending()
                return
            self.pending_bytes -= count
            if count < len(line):
                self.pending[0] = line[count:]
                return
            self.pending.popleft()
            self.written += 1

    def _drop_pending(self) -> None:
        self.dropped += len(self.pending)
        self.pending.clear()
        self.pending_bytes = 0


class _NonblockingHandler(logbook.Handler):
    """Hand formatted records to a writer that never blocks."""

    def __init__(self, *, writer: LineWriter, level: str) -> None:
        """Write records of ``level`` and above."""
        super().__init__(level=level)
        self.writer = writer

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record as a line."""
        self.writer.write(f'{self.format(record)}\n'.encode())


def _redirect_standard_logging() -> None:
    root = logging.getLogger()
    root.handlers = [RedirectLoggingHandler()]
    root.setLevel(logging.WARNING)


def _line_from_record(record: logbook.LogRecord, process: str) -> str:
    line: dict[str, Any] = {
        'time': record.time.isoformat(),
        'level': record.level_name,
        'process': process,
        'module': record.channel,
        'message': record.message,
    }
    line.update(record.kwargs.get('fields', {}))
    if record.exc_info:
        line['exception'] = record.formatted_exception
    return orjson.dumps(line, default=str).decode()
