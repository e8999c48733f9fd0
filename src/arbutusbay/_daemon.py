"""Start a daemon: arguments, settings, logs, event loop, services."""

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
_EXIT_SETTINGS = 2
_STOP_MARGIN_S = 30


def run_daemon(
    *,
    name: str,
    settings_type: type[Any],
    build_services: Callable[[Any], Sequence[aiomisc.Service]],
    arguments: Sequence[str] | None = None,
) -> int:
    """Run a daemon until a signal stops it and return its exit code."""
    options = _parse(name, arguments)
    match load_settings(settings_type, options.config):
        case Err(failure):
            sys.stderr.write(f'{name}: {failure.detail}\n')
            return _EXIT_SETTINGS
        case Ok(settings):
            if options.check:
                sys.stdout.write(f'{name}: {options.config} is valid\n')
                return _EXIT_OK
            return _serve(name, settings, build_services)


def _parse(
    name: str,
    arguments: Sequence[str] | None,
) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog=name)
    parser.add_argument(
        '--config',
        type=Path,
        required=True,
        metavar='FILE.toml',
        help='settings of this process',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='check the settings and exit',
    )
    return parser.parse_args(arguments)


def _serve(
    name: str,
    settings: Any,
    build_services: Callable[[Any], Sequence[aiomisc.Service]],
) -> int:
    setup_logs(level=settings.logs.level, process=f'{name}@{settings.node.id}')
    with aiomisc.entrypoint(
        *build_services(settings),
        log_config=False,
        loop_factory=uvloop.new_event_loop,
        shutdown_timeout=settings.drain.limit_s + _STOP_MARGIN_S,
    ) as loop:
        loop.run_forever()
    return _EXIT_OK
