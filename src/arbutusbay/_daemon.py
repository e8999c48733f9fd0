"""Run a daemon from its command line.

This parses the arguments, loads the settings, sets up logging and runs the
daemon's services in an event loop.
"""

import argparse
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import aiomisc
import uvloop
from result import Err, Ok

from arbutusbay.logs import setup_logs
from arbutusbay.settings import load_settings

_EXIT_OK = 0
_EXIT_INVALID_SETTINGS = 2
_SHUTDOWN_MARGIN_S = 30


def run_daemon(
    *,
    name: str,
    settings_type: type[Any],
    build_services: Callable[[Any], Sequence[aiomisc.Service]],
    arguments: Sequence[str] | None = None,
) -> int:
    """Run a daemon until a signal stops it and return its exit code.

    ``name`` is the program name in messages and logs. With ``--check`` the
    settings are only validated. ``arguments`` defaults to those of the
    process. The exit code is 2 if the settings are invalid and 0 otherwise.

    Raises ``SystemExit`` if the arguments are invalid.
    """
    options = _parse_arguments(name, arguments)
    match load_settings(settings_type, options.config):
        case Err(failure):
            sys.stderr.write(f'{name}: {failure.detail}\n')
            return _EXIT_INVALID_SETTINGS
        case Ok(settings):
            if options.check:
                sys.stdout.write(f'{name}: {options.config} is valid\n')
                return _EXIT_OK
            return _run_services(name, settings, build_services)


def _parse_arguments(
    name: str,
    arguments: Sequence[str] | None,
) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog=name)
    parser.add_argument(
        '--config',
        type=Path,
        required=True,
        metavar='FILE.toml',
        help='path of the settings file',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='validate the settings and exit',
    )
    return parser.parse_args(arguments)


def _run_services(
    name: str,
    settings: Any,
    build_services: Callable[[Any], Sequence[aiomisc.Service]],
) -> int:
    setup_logs(level=settings.logs.level, process=f'{name}@{settings.node.id}')
    with aiomisc.entrypoint(
        *build_services(settings),
        log_config=False,
        loop_factory=uvloop.new_event_loop,
        shutdown_timeout=settings.drain.limit_s + _SHUTDOWN_MARGIN_S,
    ) as loop:
        loop.run_forever()
    return _EXIT_OK
