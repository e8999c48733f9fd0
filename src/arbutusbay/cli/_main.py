"""Parse the operators' command line and run one command."""

import argparse
import asyncio
import os
import sys
from collections.abc import Sequence
from pathlib import Path

from arbutusbay.cli import _commands
from arbutusbay.cli._client import ApiClient
from arbutusbay.cli._explain import explain
from arbutusbay.http import new_session
from arbutusbay.state import SPEC_TYPES

_DEFAULT_SERVER = 'http://127.0.0.1:8081'
_KINDS = tuple(SPEC_TYPES)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run ``arbutusbay`` and exit with the command's code."""
    options = _build_parser().parse_args(arguments)
    try:
        code = _run(options)
    except KeyboardInterrupt:
        code = _commands.EXIT_OK
    sys.exit(code)


def _run(options: argparse.Namespace) -> int:
    match options.command:
        case 'validate':
            return _commands.validate(options)
        case 'explain':
            return explain(options)
    return asyncio.run(_run_with_client(options))


async def _run_with_client(options: argparse.Namespace) -> int:
    async with new_session() as session:
        client = ApiClient(session=session, url=options.server)
        command = getattr(_commands, options.command)
        return await command(client, options)


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='arbutusbay',
        description='Declare and watch resources of arbutusbay.',
        epilog=(
            'Exit codes: 0 done, 1 refused, 2 invalid input, 3 version '
            'conflict, 4 server or log not reachable.'
        ),
    )
    parser.add_argument(
        '--server',
        default=os.environ.get('ARBUTUSBAY_SERVER', _DEFAULT_SERVER),
        help='URL of any control daemon (or set ARBUTUSBAY_SERVER)',
    )
    commands = parser.add_subparsers(dest='command', required=True)
    _add_file_command(commands, 'apply', 'declare the resources of a file')
    _add_file_command(commands, 'validate', 'check a file without a server')
    _add_kind_command(commands, 'get', 'print resources', name_count='?')
    _add_kind_command(commands, 'delete', 'remove a resource', name_count=None)
    for name, text in (
        ('watch', 'print changes as they happen'),
        ('status', 'print members and engines'),
    ):
        _add_output(commands.add_parser(name, help=text))
    _add_explain(commands)
    dump = commands.add_parser('dump', help='print the state of a process')
    dump.add_argument('process', metavar='URL', help='URL of the process')
    return parser


def _add_explain(commands: object) -> None:
    command = commands.add_parser(
        'explain',
        help="print a request's way and cause from the VMs' logs",
        epilog='Example: arbutusbay explain 8c3e18b3cc04896b vm-*.log',
    )
    command.add_argument('id', help='the Attempt-Id of the request')
    command.add_argument('files', nargs='+', type=Path, metavar='FILE')


def _add_file_command(commands: object, name: str, text: str) -> None:
    command = commands.add_parser(name, help=text)
    command.add_argument('-f', '--file', type=Path, required=True)
    _add_output(command)


def _add_kind_command(
    commands: object,
    name: str,
    text: str,
    *,
    name_count: str | None,
) -> None:
    command = commands.add_parser(name, help=text)
    command.add_argument('kind', choices=_KINDS)
    command.add_argument('name', nargs=name_count)
    _add_output(command)


def _add_output(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        '-o',
        '--output',
        choices=('table', 'json'),
        default='table',
    )
