"""Parse the arguments of the command-line client and run a command."""

import argparse
import asyncio
import os
import sys
from collections.abc import Sequence
from pathlib import Path

from arbutusbay.cli import _commands
from arbutusbay.cli._api_client import ApiClient
from arbutusbay.cli._explain import explain
from arbutusbay.http import new_client_session
from arbutusbay.state import SPEC_TYPES

_DEFAULT_SERVER = 'http://127.0.0.1:8081'
_RESOURCE_KINDS = tuple(SPEC_TYPES)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run ``arbutusbay`` and exit with the exit code of the command.

    After an interrupt from the keyboard the code is 130, as in shells.
    """
    options = _build_parser().parse_args(arguments)
    try:
        code = _run(options)
    except KeyboardInterrupt:
        code = _commands.EXIT_INTERRUPTED
    sys.exit(code)


def _run(options: argparse.Namespace) -> int:
    match options.command:
        case 'validate':
            return _commands.validate(options)
        case 'explain':
            return explain(options)
    return asyncio.run(_run_with_client(options))


async def _run_with_client(options: argparse.Namespace) -> int:
    async with new_client_session() as session:
        client = ApiClient(session=session, url=options.server)
        command = getattr(_commands, options.command)
        return await command(client, options)


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='arbutusbay',
        description='Manage the resources of an arbutusbay deployment.',
        epilog=(
            'Exit codes: 0 success, 1 refused, 2 invalid input, 3 version '
            'conflict, 4 server or log unreachable, 130 interrupted.'
        ),
    )
    parser.add_argument(
        '--server',
        default=os.environ.get('ARBUTUSBAY_SERVER', _DEFAULT_SERVER),
        help='URL of any control daemon (or set ARBUTUSBAY_SERVER)',
    )
    subparsers = parser.add_subparsers(dest='command', required=True)
    _add_file_command(
        subparsers, 'apply', 'create or update the resources of a file'
    )
    _add_file_command(
        subparsers, 'validate', 'validate a file without contacting a server'
    )
    _add_kind_command(subparsers, 'get', 'print resources', name_nargs='?')
    _add_kind_command(
        subparsers, 'delete', 'delete a resource', name_nargs=None
    )
    for name, help_text in (
        ('watch', 'print changes as they happen'),
        ('status', 'print VMs, their configuration offsets and engines'),
    ):
        _add_output_option(subparsers.add_parser(name, help=help_text))
    _add_explain_command(subparsers)
    dump = subparsers.add_parser(
        'dump', help='print the debug state of a daemon'
    )
    dump.add_argument('process', metavar='URL', help='URL of the daemon')
    return parser


def _add_explain_command(subparsers: object) -> None:
    command = subparsers.add_parser(
        'explain',
        help='print the log lines of a request and why it ended',
        epilog='Example: arbutusbay explain 8c3e18b3cc04896b vm-*.log',
    )
    command.add_argument('id', help='Attempt-Id of the request')
    command.add_argument('files', nargs='+', type=Path, metavar='FILE')


def _add_file_command(subparsers: object, name: str, help_text: str) -> None:
    command = subparsers.add_parser(name, help=help_text)
    command.add_argument('-f', '--file', type=Path, required=True)
    _add_output_option(command)


def _add_kind_command(
    subparsers: object,
    name: str,
    help_text: str,
    *,
    name_nargs: str | None,
) -> None:
    command = subparsers.add_parser(name, help=help_text)
    command.add_argument('kind', choices=_RESOURCE_KINDS)
    command.add_argument('name', nargs=name_nargs)
    _add_output_option(command)


def _add_output_option(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        '-o',
        '--output',
        choices=('table', 'json'),
        default='table',
    )
