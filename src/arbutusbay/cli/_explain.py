"""Implement ``explain``, which prints the log lines of one request."""

import argparse
import sys
from collections.abc import Sequence

from arbutusbay.cli._causes import describe_cause, find_context_lines
from arbutusbay.cli._log_reader import LogLine, read_log_files

_EXIT_OK = 0
_EXIT_NOT_FOUND = 1
_EXIT_INVALID = 2
_MAX_PRINTED_LINES = 60


def explain(options: argparse.Namespace) -> int:
    """Print the log lines of the request ``options.id`` and why it ended.

    Reads the log files ``options.files`` and returns the exit code.
    """
    try:
        lines = read_log_files(options.files)
    except OSError as error:
        sys.stderr.write(f'arbutusbay: {error}\n')
        return _EXIT_INVALID
    request_lines = [line for line in lines if line.request_id == options.id]
    if not request_lines:
        sys.stderr.write(
            f'arbutusbay: none of {len(lines)} log lines has the request id '
            f'{options.id}\n',
        )
        return _EXIT_NOT_FOUND
    context_lines = find_context_lines(lines, request_lines)
    _print_lines(f'request {options.id}', request_lines)
    if context_lines:
        _print_lines(
            'on the same VM or backend server around that time', context_lines
        )
    sys.stdout.write(f'cause: {describe_cause(request_lines, context_lines)}\n')
    return _EXIT_OK


def _print_lines(title: str, lines: Sequence[LogLine]) -> None:
    sys.stdout.write(f'{title}\n')
    for line in lines[:_MAX_PRINTED_LINES]:
        sys.stdout.write(f'  {line.format_text()}\n')
    omitted = len(lines) - _MAX_PRINTED_LINES
    if omitted > 0:
        sys.stdout.write(f'  and {omitted} more lines\n')
