"""Build configurations, engines and requests of the users' platform.

The helpers that start daemons on this platform are here as well.
"""

import functools
import json
from typing import Any

import attrs

from arbutusbay.platform import DeploymentLimits, Endpoint, VMSettings
from emulator.fleet import Fleet, FleetNode, wait_for_condition
from emulator.fleet_engine import EngineOptions

ENGINE_SERVICE = 'language'
PLAIN_SERVICE = 'desk'
MODEL = 'roll-advisor'
API_KEY = 'key-of-till-rolls'
ISOLATED_TEAM_API_KEY = 'key-of-pharmacy'
# The scope of the teams that are not isolated while the pharmacy is.
SHARED_CACHE_SCOPE = 'shared-20b04a4f018b89f3'
ENGINE_HOST = 'language.example'
PLAIN_HOST = 'desk.example'
ODD_ADDRESSES = (
    '[::1:80',
    '..:80',
    'a\u00adb:80',
    '/:80',
    '10.0.0.999:80',
    '127.0.0.01:80',
    '\x00:80',
    '::1:80',
    'localhost:80',
    ':80',
    '127.0.0.1:0',
    '127.0.0.1:65536',
    '127.0.0.1:\uff18\uff10',
    '127.0.0.1:080',
    '127.0.0.1: 80',
    f'127.0.0.1:{8:05000d}',
    '127.0.0.1',
    '0.0.0.0:80',
    '224.0.0.1:80',
    '255.255.255.255:80',
)
ODD_SERVER_IDS = ('odd\r\nid: x', 'odd\x00', 'odd id', 'odd-\u00fc')
ODD_NUMBERS = (-1, 1.5, True, '8', None, 2**53, 2**64 - 1, 1e300, [])
_NESTINGS = (300, 900, 960, 990, 1010)


def build_route(name: str, **changes: Any) -> dict[str, Any]:
    """Return one route, by default a stream that cannot be resumed."""
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
    """Return routes for streams, resumable streams, orders and lookups.

    Orders are unsafe to repeat; lookups are safe to repeat.
    """
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


def build_teams(*, keys: tuple[str, ...] = (API_KEY,)) -> list[dict[str, Any]]:
    """Return two teams, of which the second does not share its cache."""
    return [
        {'name': 'till-rolls', 'api_keys': list(keys), 'isolated': False},
        {
            'name': 'pharmacy',
            'api_keys': [ISOLATED_TEAM_API_KEY],
            'isolated': True,
        },
    ]


def build_configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a complete configuration."""
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
    """Return the options of a model engine."""
    options = EngineOptions(
        id=f'engine-{number}',
        service=ENGINE_SERVICE,
        zone='plateau',
        model=MODEL,
    )
    return attrs.evolve(options, **changes)


def build_plain_server(number: int) -> EngineOptions:
    """Return the options of a backend server without a model."""
    return EngineOptions(
        id=f'desk-{number}',
        service=PLAIN_SERVICE,
        zone='plateau',
    )


def build_registration(**changes: Any) -> dict[str, Any]:
    """Return the registration of a model engine in the store."""
    registration = {
        'service': ENGINE_SERVICE,
        'address': '127.0.0.1:1',
        'zone': 'plateau',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'models': [{'name': MODEL, 'version': 1, 'adapters': []}],
        'sequence': 1,
        'born': 1,
    }
    return {**registration, **changes}


def build_unreadable_registrations() -> list[bytes]:
    """Return records that hold no JSON object, or one without fields."""
    return [b'[]', b'{', b'\x00\xff', b'{}', b'"', b'null']


def build_nested_registrations() -> list[bytes]:
    """Return registrations with lists in lists as one of their fields."""
    return [
        build_nested_registration(field, depth)
        for field in ('service', 'address', 'zone', 'state', 'slots', 'born')
        for depth in _NESTINGS
    ]


def build_misaddressed_registrations() -> list[bytes]:
    """Return registrations with addresses that no server can have."""
    return [
        json.dumps(
            build_registration(service=service, address=address, models=[])
        ).encode()
        for service in (ENGINE_SERVICE, PLAIN_SERVICE)
        for address in ODD_ADDRESSES
    ]


def build_out_of_range_registrations() -> list[bytes]:
    """Return registrations with a number that is none or out of range."""
    documents = [
        build_registration(**{field: number})
        for field in ('slots', 'born', 'sequence')
        for number in ODD_NUMBERS
    ]
    documents += [
        build_registration(models=[{'name': MODEL, 'version': number}])
        for number in ODD_NUMBERS
    ]
    return [json.dumps(document).encode() for document in documents]


def build_odd_registrations() -> list[bytes]:
    """Return registrations that are malformed in one way each."""
    return [
        *build_unreadable_registrations(),
        *build_nested_registrations(),
        *build_misaddressed_registrations(),
        *build_out_of_range_registrations(),
    ]


def build_nested_registration(field: str, depth: int) -> bytes:
    """Return a registration with lists in lists as one of its fields."""
    text = json.dumps(build_registration(**{field: 'NESTED'}))
    return text.replace('"NESTED"', build_nested_json(depth)).encode()


def build_nested_json(depth: int) -> str:
    """Return ``depth`` lists in each other as JSON."""
    return f'{"[" * depth}{"]" * depth}'


def build_request_headers(
    attempt_id: str,
    *,
    host: str = ENGINE_HOST,
    key: str = API_KEY,
    **changes: str,
) -> dict[str, str]:
    """Return the headers that a client sends."""
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
    """Return a client's request as bytes for a raw connection."""
    headers = {
        **build_request_headers(attempt_id),
        'Content-Length': str(len(body)),
    }
    lines = [
        f'{name}: {field_value}\r\n' for name, field_value in headers.items()
    ]
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
    """Configure the platform and start engines, plain servers and daemons.

    The daemons are not ready yet when this returns; see
    ``wait_until_ready``.
    """
    fleet.configure(build_configuration())
    for number in range(engines):
        await fleet.add_engine(build_engine(number, **engine_changes))
    for number in range(plain):
        await fleet.add_engine(build_plain_server(number))
    return [await fleet.add_node('plateau') for _ in range(nodes)]


async def start_single_node(fleet: Fleet, **options: Any) -> FleetNode:
    """Start engines, plain servers and one daemon."""
    nodes = await start_fleet(fleet, **options)
    return nodes[0]


async def wait_until_ready(nodes: list[FleetNode], session: Any) -> None:
    """Wait until all daemons report that they are ready."""
    for node in nodes:
        await wait_for_condition(
            functools.partial(node.is_ready, session),
            f'{node.name} ready',
        )


def build_vm_settings() -> VMSettings:
    """Return the settings of a VM without a control endpoint."""
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
