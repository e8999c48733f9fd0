"""Write logs as JSON lines with logbook."""

import logging
import sys
from typing import Any

import logbook
import orjson
from logbook.compat import RedirectLoggingHandler


def get_logger(name: str) -> logbook.Logger:
    """Return the logger of one module."""
    return logbook.Logger(name)


def setup_logs(*, level: str, process: str) -> None:
    """Send all logs of this process to standard error as JSON lines."""
    handler = logbook.StreamHandler(sys.stderr, level=level)
    handler.formatter = lambda record, _: _line_from_record(record, process)
    handler.push_application()
    _redirect_standard_logging()


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
