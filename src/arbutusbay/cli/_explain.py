"""Print the way of one request through the logs, and its cause."""

import argparse
import sys
from collections.abc import Sequence

from arbutusbay.cli._causes import cause_of, lines_around
from arbutusbay.cli._log_lines import LogLine, lines_of_files

_EXIT_OK = 0
_EXIT_NOT_FOUND = 1
_EXIT_INVALID = 2
_MOST_LINES = 60


def explain(options: argparse.Namespace) -> int:
    """Explain the request ``options.id`` from the files of all VMs."""
    try:
        lines = lines_of_files(options.files)
    except OSError as error:
        sys.stderr.write(f'arbutusbay: {error}\n')
        return _EXIT_INVALID
    told = [line for line in lines if line.request_id == options.id]
    if not told:
        sys.stderr.write(
            f'arbutusbay: none of {len(lines)} lines bears the id '
            f'{options.id}\n',
        )
        return _EXIT_NOT_FOUND
    around = lines_around(lines, told)
    _print_lines(f'request {options.id}', told)
    if around:
        _print_lines('on the same VM or backend server, by then', around)
    sys.stdout.write(f'cause: {cause_of(told, around)}\n')
    return _EXIT_OK


def _print_lines(title: str, lines: Sequence[LogLine]) -> None:
    sys.stdout.write(f'{title}\n')
    for line in lines[:_MOST_LINES]:
        sys.stdout.write(f'  {line.text()}\n')
    left_out = len(lines) - _MOST_LINES
    if left_out > 0:
        sys.stdout.write(f'  and {left_out} lines more\n')
