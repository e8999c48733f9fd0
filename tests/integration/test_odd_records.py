"""Show that odd entries of other writers cost no request and stop no VM.

The entries lie among those of sound servers in the store, or arrive as
datagrams between VMs. Each of them is malformed in one way: nested deeply, a
number out of range, an address that is none.
"""

import asyncio
import functools
import json
import socket
from collections import Counter
from collections.abc import Callable

import pytest

from emulator.fleet import SERVERS_TOPIC, Fleet, FleetNode, wait_for_condition
from tests.fleet_builders import (
    ODD_SERVER_IDS,
    PLAIN_SERVICE,
    build_engine,
    build_misaddressed_registrations,
    build_nested_json,
    build_nested_registrations,
    build_odd_registrations,
    build_out_of_range_registrations,
    build_plain_server,
    build_registration,
    build_unreadable_registrations,
    start_fleet,
    wait_until_ready,
)
from tests.fleet_clients import request_service, request_stream

_REQUESTS = 25
_DISCOVERY_S = 5.0
_REREAD_S = 1.5
_DATAGRAM_NESTING = 990


def read_log(node: FleetNode) -> list[dict[str, object]]:
    """Return the log lines of a daemon."""
    return [json.loads(line) for line in node.log_path.read_text().splitlines()]


def error_lines(node: FleetNode) -> list[dict[str, object]]:
    """Return the log lines of a daemon that report an unexpected error."""
    return [
        line
        for line in read_log(node)
        if line['level'] in {'ERROR', 'CRITICAL'} or 'exception' in line
    ]


def has_registered(node: FleetNode, server_id: str) -> bool:
    """Return whether a daemon has logged that it uses a server."""
    return any(
        line['message'] == 'server registered' and line['server'] == server_id
        for line in read_log(node)
    )


def skipped_lines(node: FleetNode, server_id: str) -> list[str]:
    """Return the messages that name the record of a server as malformed."""
    return [
        str(line['message'])
        for line in read_log(node)
        if f'skipped: {server_id}: ' in str(line['message'])
    ]


def append_odd_registrations(
    fleet: Fleet,
    build_payloads: Callable[[], list[bytes]] = build_odd_registrations,
) -> list[str]:
    """Write odd entries into the list of servers and return their ids."""
    topic = fleet.store.topic(SERVERS_TOPIC)
    names = []
    for number, payload in enumerate(build_payloads()):
        names.append(f'odd-{number}')
        topic.append(names[-1], payload)
    return names


async def wait_until_followed(nodes: list[FleetNode], server_id: str) -> None:
    """Wait until all daemons use a server that was added now."""
    for node in nodes:
        await wait_for_condition(
            functools.partial(has_registered, node, server_id),
            f'{node.name} uses {server_id}',
            limit_s=_DISCOVERY_S,
        )


async def assert_all_served(http, node: FleetNode, prefix: str) -> None:
    """Check that lookups, orders and streams are served."""
    statuses = Counter()
    for number in range(_REQUESTS):
        path = ('/look/1', '/order/1')[number % 2]
        method = ('GET', 'POST')[number % 2]
        plain = await request_service(
            http, node, f'{prefix}-p{number}', path, method
        )
        stream = await request_stream(http, node, f'{prefix}-s{number}')
        statuses.update((plain[0], stream[0]))
    assert statuses == {200: 2 * _REQUESTS}


# Guards against a list of servers that is no longer followed after an entry
# that cannot be decoded, or followed without the entries beside it.
async def test_odd_entries_do_not_stop_following_the_list(fleet, http):
    nodes = await start_fleet(fleet, nodes=2)
    await wait_until_ready(nodes, http)
    append_odd_registrations(fleet)
    await fleet.add_engine(build_engine(7))
    append_odd_registrations(fleet)
    await wait_until_followed(nodes, 'engine-7')
    await fleet.add_engine(build_engine(8))
    await wait_until_followed(nodes, 'engine-8')
    late = await fleet.add_node('plateau')
    await wait_until_ready([late], http)
    await wait_until_followed([late], 'engine-8')
    for node in (*nodes, late):
        assert node.process.returncode is None
        assert not error_lines(node)


# Guards against requests that are sent to an address that is none, and
# answered with 500 or 502, while sound servers have places.
@pytest.mark.parametrize(
    'build_payloads',
    [
        build_unreadable_registrations,
        build_nested_registrations,
        build_misaddressed_registrations,
        build_out_of_range_registrations,
    ],
)
async def test_odd_entries_cost_no_request(fleet, http, build_payloads):
    nodes = await start_fleet(fleet)
    await wait_until_ready(nodes, http)
    names = append_odd_registrations(fleet, build_payloads)
    await fleet.add_engine(build_plain_server(7))
    await wait_until_followed(nodes, 'desk-7')
    await assert_all_served(http, nodes[0], 'odd')
    assert not [name for name in names if has_registered(nodes[0], name)]
    assert not error_lines(nodes[0])


# Guards against 500 for requests that name an odd id in a header.
async def test_odd_server_ids_cost_no_request(fleet, http):
    nodes = await start_fleet(fleet)
    await wait_until_ready(nodes, http)
    topic = fleet.store.topic(SERVERS_TOPIC)
    for server_id in ODD_SERVER_IDS:
        document = build_registration(
            service=PLAIN_SERVICE, address=fleet.engines[-1].address, models=[]
        )
        topic.append(server_id, json.dumps(document).encode())
    await fleet.add_engine(build_plain_server(7))
    await wait_until_followed(nodes, 'desk-7')
    await assert_all_served(http, nodes[0], 'ids')
    assert not error_lines(nodes[0])


# Guards against a log line for each read of the same odd entry.
async def test_an_odd_entry_is_logged_once(fleet, http):
    nodes = await start_fleet(fleet)
    await wait_until_ready(nodes, http)
    names = append_odd_registrations(fleet)
    topic = fleet.store.topic(SERVERS_TOPIC)
    for number in range(3):
        # Expired records make the daemon read the newest of each key again.
        await fleet.add_engine(build_engine(10 + number))
        append_odd_registrations(fleet)
        topic.first_offset = topic.next_offset
        await wait_until_followed(nodes, f'engine-{10 + number}')
    counts = {name: len(skipped_lines(nodes[0], name)) for name in names}
    assert counts == dict.fromkeys(names, 1)


# Guards against a VM that hears no other VM any more after one datagram.
@pytest.mark.parametrize(
    'fields',
    [
        {'s': 'NESTED'},
        {'l': {'engine-0': ['m', 1, '9' * 4000, 1]}},
        {'m': ['nan', 'inf']},
        {'m': [1e308, 1e308]},
        {'f': 2**64 - 1},
        {'w': {'engine-0': [1, {'roll-advisor': 1e300}]}},
        {'o': {'engine-0': [1, 1e300, 1e300]}},
    ],
    ids=lambda fields: next(iter(fields)),
)
async def test_odd_datagrams_do_not_stop_reports(fleet, http, fields):
    nodes = await start_fleet(fleet, nodes=2)
    await wait_until_ready(nodes, http)
    nested = build_nested_json(_DATAGRAM_NESTING)
    state = {'n': 'odd', 'z': 'plateau', 'o': {}, 'm': [0, 0], **fields}
    datagram = json.dumps(state).replace('"NESTED"', nested).encode()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(datagram, nodes[0].peer_address)
    await asyncio.sleep(_REREAD_S)
    valid = {'n': 'later', 'z': 'plateau', 'o': {}, 'm': [0, 0]}
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(json.dumps(valid).encode(), nodes[0].peer_address)
    await wait_for_condition(
        lambda: (
            'later'
            in {
                line.get('vm')
                for line in read_log(nodes[0])
                if line['message'] == 'vm discovered'
            }
        ),
        'the VM hears others',
        limit_s=_DISCOVERY_S,
    )
    assert (await request_stream(http, nodes[0], 'd1'))[0] == 200
    assert not error_lines(nodes[0])


# Guards against odd records of VMs and leases that keep a VM from joining.
async def test_odd_coordination_records_do_not_stop_a_vm(fleet, http):
    topic = fleet.store.topic('keyed.arbutusbay')
    nested = build_nested_json(_DATAGRAM_NESTING)
    for key, field in (('vm/odd', 'address'), ('lease/weights', 'holder')):
        topic.append(key, f'{{"{field}":{nested}}}'.encode())
    for number, address in enumerate(('..:80', '127.0.0.1:0', '[::1:80')):
        topic.append(
            f'vm/odd-{number}',
            json.dumps(
                {'address': address, 'zone': 'plateau', 'started_ms': 1}
            ).encode(),
        )
    nodes = await start_fleet(fleet, nodes=2)
    await wait_until_ready(nodes, http)
    await assert_all_served(http, nodes[1], 'coord')
    for node in nodes:
        assert not error_lines(node)


def test_builder_of_odd_entries_changes_one_field_of_a_sound_entry():
    sound = json.dumps(build_registration()).encode()
    assert sound not in build_odd_registrations()
