"""Build configurations and requests of the users' platform for tests."""

import functools
from typing import Any

import attrs

from arbutusbay.platform import DeploymentLimits, Endpoint, VMSettings
from emulator.fleet import Fleet, FleetNode, wait_until
from emulator.fleet_engine import EngineOptions

ENGINE_SERVICE = 'language'
PLAIN_SERVICE = 'desk'
MODEL = 'roll-advisor'
KEY = 'key-of-till-rolls'
OTHER_KEY = 'key-of-pharmacy'
ENGINE_HOST = 'language.example'
PLAIN_HOST = 'desk.example'


def build_route(name: str, **changes: Any) -> dict[str, Any]:
    """Return one route of the platform's configuration."""
    route = {
        'name': name,
        'host': ENGINE_HOST,
        'path_prefix': '/ask/',
        'kind': 'streaming',
        'timeout_ms': 5000,
        'target_latency_ms': 600,
        'target_gap_ms': 300,
        'priority': 1,
        'service': ENGINE_SERVICE,
        'max_attempts': 1,
        'public': False,
        'sticky': True,
        'resumable': False,
    }
    return {**route, **changes}


def build_routes() -> list[dict[str, Any]]:
    """Return a stream, a resumable one, an order and a lookup."""
    plain = {
        'host': PLAIN_HOST,
        'service': PLAIN_SERVICE,
        'timeout_ms': 2000,
        'target_latency_ms': 400,
        'sticky': False,
    }
    return [
        build_route('ask'),
        build_route(
            'note',
            path_prefix='/note/',
            resumable=True,
            max_attempts=2,
        ),
        build_route('order', path_prefix='/order/', kind='unsafe', **plain),
        build_route(
            'look',
            path_prefix='/look/',
            kind='safe',
            **{**plain, 'max_attempts': 2},
        ),
    ]


def build_teams(*, keys: tuple[str, ...] = (KEY,)) -> list[dict[str, Any]]:
    """Return two teams, the second one isolated."""
    return [
        {'name': 'till-rolls', 'api_keys': list(keys), 'isolated': False},
        {'name': 'pharmacy', 'api_keys': [OTHER_KEY], 'isolated': True},
    ]


def build_configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a whole configuration."""
    configuration = {
        'version': version,
        'routes': build_routes(),
        'services': [
            {
                'name': ENGINE_SERVICE,
                'health_check_path': '/health',
                'max_connections': 100,
                'engine': {
                    'slots': 8,
                    'kv_capacity_tokens': 100_000,
                    'models': [{'name': MODEL}],
                },
            },
            {'name': PLAIN_SERVICE, 'health_check_path': '/health'},
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 100_000,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        },
        'tenants': build_teams(),
    }
    return {**configuration, **changes}


def build_engine(number: int, **changes: Any) -> EngineOptions:
    """Return options of a model engine."""
    options = EngineOptions(
        id=f'engine-{number}',
        service=ENGINE_SERVICE,
        zone='plateau',
        model=MODEL,
    )
    return attrs.evolve(options, **changes)


def build_plain(number: int) -> EngineOptions:
    """Return options of a plain backend server."""
    return EngineOptions(
        id=f'desk-{number}',
        service=PLAIN_SERVICE,
        zone='plateau',
    )


def build_request_headers(
    attempt_id: str,
    *,
    host: str = ENGINE_HOST,
    key: str = KEY,
    **changes: str,
) -> dict[str, str]:
    """Return the headers of a client's request."""
    headers = {
        'Host': host,
        'Attempt-Id': attempt_id,
        'Authorization': f'Bearer {key}',
        'Deadline-Ms': '5000',
    }
    if host == ENGINE_HOST:
        headers['Model'] = MODEL
        headers['Token-Counts'] = '900,20'
        headers['Prompt-Prefix'] = 'aa01:400,bb02:300,cc03:200'
    return {**headers, **changes}


def build_raw_request(path: str, attempt_id: str, body: bytes) -> bytes:
    """Return a client's request as it goes over the wire."""
    headers = {
        **build_request_headers(attempt_id),
        'Content-Length': str(len(body)),
    }
    lines = [f'{name}: {told}\r\n' for name, told in headers.items()]
    head = f'POST {path} HTTP/1.1\r\n{"".join(lines)}\r\n'
    return head.encode() + body


async def start_fleet(
    fleet: Fleet,
    *,
    engines: int = 2,
    plain: int = 2,
    nodes: int = 1,
    **engine_changes: Any,
) -> list[FleetNode]:
    """Start engines and daemons and wait until they are ready."""
    fleet.configure(build_configuration())
    for number in range(engines):
        await fleet.add_engine(build_engine(number, **engine_changes))
    for number in range(plain):
        await fleet.add_engine(build_plain(number))
    return [await fleet.add_node('plateau') for _ in range(nodes)]


async def start_one(fleet: Fleet, **options: Any) -> FleetNode:
    """Start engines and a single daemon."""
    nodes = await start_fleet(fleet, **options)
    return nodes[0]


async def wait_ready(nodes: list[FleetNode], session: Any) -> None:
    """Wait until all daemons want connections."""
    for node in nodes:
        await wait_until(
            functools.partial(node.is_ready, session),
            f'{node.name} ready',
        )


def build_vm_settings() -> VMSettings:
    """Return the settings of one VM."""
    return VMSettings(
        name='vm-1',
        zone='plateau',
        ip='127.0.0.1',
        frontend=Endpoint(host='127.0.0.1', port=1),
        readiness_endpoint=Endpoint(host='127.0.0.1', port=2),
        control=None,
        peer_ports=(3, 4),
        store=Endpoint(host='127.0.0.1', port=5),
        bounds=DeploymentLimits(
            drain_timeout_s=2,
            shutdown_grace_s=8,
            key_revocation_s=5,
            config_apply_s=2,
            lease_s=1,
            resume_slack_s=0.1,
            weights_switch_s=8,
            retry_ratio=0.2,
            retry_slack=60,
            retry_window_s=10,
            fails_closed=True,
        ),
    )
