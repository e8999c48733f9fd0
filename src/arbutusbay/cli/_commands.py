"""Implement the commands of the command-line client.

Each command returns the exit code of the process.
"""

import argparse
import sys
from types import MappingProxyType
from typing import Any

import attrs
from result import Err, Ok

from arbutusbay.cli._api_client import ApiClient
from arbutusbay.cli._output import build_resource_rows, print_json, print_table
from arbutusbay.cli._resource_files import read_resource_file
from arbutusbay.errors import ErrorKind, Failure

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_INTERRUPTED = 130

_EXIT_CODES = MappingProxyType(
    {
        ErrorKind.INVALID_RESOURCE: EXIT_INVALID,
        ErrorKind.BAD_REQUEST: EXIT_INVALID,
        ErrorKind.VERSION_CONFLICT: EXIT_CONFLICT,
        ErrorKind.PEER_UNREACHABLE: EXIT_UNREACHABLE,
        ErrorKind.LOG_UNAVAILABLE: EXIT_UNREACHABLE,
    }
)
_RESOURCE_HEADERS = ('KIND', 'NAME', 'VERSION', 'CONDITIONS')


def report_failure(failure: Failure) -> int:
    """Print ``failure`` to standard error and return its exit code."""
    sys.stderr.write(f'arbutusbay: {failure.kind.value}: {failure.detail}\n')
    return _EXIT_CODES.get(failure.kind, EXIT_REFUSED)


def validate(options: argparse.Namespace) -> int:
    """Validate a resource file without contacting a server."""
    match read_resource_file(options.file):
        case Err(failure):
            return report_failure(failure)
        case Ok(resources):
            sys.stdout.write(f'{len(resources)} resources are valid\n')
    return EXIT_OK


async def apply(client: ApiClient, options: argparse.Namespace) -> int:
    """Declare the resources of a file in order, up to the first failure."""
    match read_resource_file(options.file):
        case Err(failure):
            return report_failure(failure)
        case Ok(resources):
            pass
    applied = []
    for resource in resources:
        match await client.apply(resource):
            case Err(failure):
                sys.stderr.write(f'{resource.kind}/{resource.name}: ')
                return report_failure(failure)
            case Ok(result):
                applied.append(result)
    if options.output == 'json':
        print_json([attrs.asdict(result) for result in applied])
    else:
        print_table(
            [attrs.astuple(result) for result in applied],
            ('KIND', 'NAME', 'ACTION', 'VERSION'),
        )
    return EXIT_OK


async def get(client: ApiClient, options: argparse.Namespace) -> int:
    """Print all resources of a kind, or the named one."""
    path = f'/api/v1/{options.kind}'
    if options.name:
        path = f'{path}/{options.name}'
    match await client.get(path):
        case Err(failure):
            return report_failure(failure)
        case Ok(response):
            pass
    if options.output == 'json':
        print_json(response)
    else:
        items = response.get('items', [response])
        print_table(build_resource_rows(items), _RESOURCE_HEADERS)
    return EXIT_OK


async def delete(client: ApiClient, options: argparse.Namespace) -> int:
    """Delete one resource."""
    match await client.delete(options.kind, options.name):
        case Err(failure):
            return report_failure(failure)
        case Ok(response):
            sys.stdout.write(
                f'{options.kind}/{options.name} deleted '
                f'at {response["deleted_at"]}\n',
            )
    return EXIT_OK


async def watch(client: ApiClient, options: argparse.Namespace) -> int:
    """Print changes until the daemon closes the stream."""
    async for change in client.watch():
        match change:
            case Err(failure):
                return report_failure(failure)
            case Ok(fields):
                _print_change(fields, options.output)
    return EXIT_OK


async def status(client: ApiClient, options: argparse.Namespace) -> int:
    """Print the VMs, their configuration offsets and the engines."""
    match await client.get('/api/v1/status'):
        case Err(failure):
            return report_failure(failure)
        case Ok(response):
            pass
    if options.output == 'json':
        print_json(response)
    else:
        _print_status(response)
    return EXIT_OK


async def dump(client: ApiClient, options: argparse.Namespace) -> int:
    """Print the debug state of the daemon at ``options.process``, a URL."""
    process = ApiClient(session=client.session, url=options.process)
    match await process.get('/debug/state'):
        case Err(failure):
            return report_failure(failure)
        case Ok(response):
            print_json(response)
    return EXIT_OK


def _print_change(change: Any, output: str) -> None:
    if output == 'json':
        print_json(change)
    else:
        sys.stdout.write(_format_change(change))
    sys.stdout.flush()


def _format_change(change: Any) -> str:
    version = change.get('version', '')
    return f'{change["type"]} {change["kind"]}/{change["name"]} {version}\n'


def _print_status(response: Any) -> None:
    sys.stdout.write(
        f'offset {response["offset"]}, in force on all routers: '
        f'{response["lowest_offset_in_force"]}, '
        f'log reachable: {response["log_reachable"]}, '
        f'lease: {response["lease_holder"]}\n\n',
    )
    print_table(
        [
            (
                member['node'],
                member['zone'],
                member['host'],
                member['config_offset'],
                member['router_offset'],
                member['leaving'],
            )
            for member in response['members']
        ],
        ('VM', 'ZONE', 'HOST', 'CONTROL', 'ROUTER', 'LEAVING'),
    )
    sys.stdout.write('\n')
    print_table(
        [
            (
                pool,
                engine['name'],
                engine['weights_version'],
                engine['ready'],
                engine['running'],
                engine['waiting'],
                engine['age_ms'],
            )
            for pool, engines in response['pools'].items()
            for engine in engines
        ],
        (
            'POOL',
            'ENGINE',
            'WEIGHTS',
            'READY',
            'RUNNING',
            'WAITING',
            'AGE MS',
        ),
    )
