"""Parse arguments, read the settings and start the node daemon."""

import argparse
import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import NoReturn

import uvloop
from result import Err, Ok

from arbutusbay.logs import setup_nonblocking_logs
from arbutusbay.node._daemon import serve
from arbutusbay.platform import read_settings, settings_path_from_environment

_EXIT_INVALID_SETTINGS = 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon until a signal stops it, then end the process.

    Returns the exit status if there is nothing to run.
    """
    options = _parse_arguments(arguments)
    path = options.settings or settings_path_from_environment()
    match read_settings(path):
        case Err(failure):
            sys.stderr.write(f'arbutusbay-node: {failure.detail}\n')
            return _EXIT_INVALID_SETTINGS
        case Ok(settings):
            pass
    if options.check:
        sys.stdout.write(f'arbutusbay-node: {path} is valid\n')
        return 0
    log_writer = setup_nonblocking_logs(level='INFO', process=settings.name)
    uvloop.run(serve(settings, log_writer))
    _end_process()


def _end_process() -> NoReturn:
    """End the process at once, as a planned stop leaves it little time.

    The end of the interpreter would only free memory and threads.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)


def _parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog='arbutusbay-node',
        description='Route requests on one VM of the platform.',
        epilog='example: arbutusbay-node --settings local.toml --check',
    )
    parser.add_argument(
        '--settings',
        type=Path,
        metavar='FILE.toml',
        help='settings file (default: the path given by the platform)',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='validate the settings file and exit',
    )
    return parser.parse_args(arguments)
