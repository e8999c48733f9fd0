"""Read arguments and settings and start the daemon of one VM."""

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

import uvloop
from result import Err, Ok

from arbutusbay.logs import setup_nonblocking_logs
from arbutusbay.node._daemon import serve
from arbutusbay.platform import read_settings, settings_path

_EXIT_SETTINGS = 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon until a signal stops it; return the exit code."""
    options = _parse(arguments)
    path = options.settings or settings_path()
    match read_settings(path):
        case Err(failure):
            sys.stderr.write(f'arbutusbay-node: {failure.detail}\n')
            return _EXIT_SETTINGS
        case Ok(settings):
            pass
    if options.check:
        sys.stdout.write(f'arbutusbay-node: {path} is valid\n')
        return 0
    writer = setup_nonblocking_logs(level='INFO', process=settings.name)
    uvloop.run(serve(settings, writer))
    return 0


def _parse(arguments: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog='arbutusbay-node',
        description='Route requests on one VM of the platform.',
        epilog='example: arbutusbay-node --settings local.toml --check',
    )
    parser.add_argument(
        '--settings',
        type=Path,
        metavar='FILE.toml',
        help='settings file; by default the one that the platform names',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='check the settings and exit',
    )
    return parser.parse_args(arguments)
