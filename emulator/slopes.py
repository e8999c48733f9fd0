"""Measure the marginal CPU, memory and network cost of each kind of item.

Writes a table to docs/SLOPES.md. Every slope is fitted over at least three
sizes; the residual is the largest distance of a measurement from the line,
relative to the largest measurement.
"""

import random
import sys
from collections.abc import Sequence
from functools import partial
from http import HTTPStatus
from pathlib import Path

from tabulate import tabulate

from arbutusbay.config_messages import (
    apply_config_reply,
    build_resource_entries,
)
from arbutusbay.control import (
    BlockHashSet,
    ControlSettings,
    ControlState,
    LedgerPartition,
    merge_member,
)
from arbutusbay.hosting import LogRecord
from arbutusbay.settings import NodeSettings, PlatformSettings
from arbutusbay.state import (
    BackendServer,
    Claim,
    ConfigState,
    Outcome,
    Put,
    ResourceId,
    Team,
    apply_config_record,
    decode_config_record,
    encode_config_record,
    encode_ledger_batch,
)
from arbutusbay.wire import (
    ConfigReply,
    Heartbeat,
    Member,
    decode_message,
    encode_message,
)
from emulator._node_costs import measure_node
from emulator._placement_cost import measure_placement
from emulator._process_costs import measure_processes
from emulator._slope import (
    Slope,
    fit_line,
    measure_allocated_bytes,
    min_cpu_time_us,
)

_OUTPUT_PATH = Path(__file__).resolve().parent.parent / 'docs' / 'SLOPES.md'
_BLOCK_COUNTS = (50_000, 100_000, 200_000)
_PREFIX_LENGTHS = (8, 16, 32)
_LOOKUP_REPEATS = 2000
_MEMBER_COUNTS = (4, 8, 17)
_HEARTBEAT_REPEATS = 300
_RESOURCE_COUNTS = (250, 500, 1000)
_KEY_COUNTS = (2000, 4000, 8000)
_SEED = 1
_HASH_BITS = 64
_DEDUPLICATION_WINDOW_MS = 86_400_000


def main() -> None:
    """Measure all slopes, write the page and print the table."""
    slopes = [
        *_index_slopes(),
        *_membership_slopes(),
        *_config_slopes(),
        *_ledger_slopes(),
        measure_placement(),
        *measure_processes(),
        *measure_node(),
    ]
    table = tabulate(
        [
            (
                slope.name,
                round(slope.slope, 2),
                slope.unit,
                round(slope.intercept),
                f'{slope.residual:.1%}',
                ', '.join(f'{size}' for size in slope.sizes),
            )
            for slope in slopes
        ],
        headers=('what', 'slope', 'unit', 'intercept', 'residual', 'sizes'),
        tablefmt='github',
    )
    _OUTPUT_PATH.write_text(
        f'# Slopes\n\nWritten by `make slopes` on one machine.\n\n{table}\n',
        encoding='utf-8',
    )
    sys.stdout.write(f'{table}\n')


def _index_slopes() -> list[Slope]:
    return [
        fit_line(
            'index, processor time a stored block',
            'µs',
            _BLOCK_COUNTS,
            [
                min_cpu_time_us(partial(_build_table, size))
                for size in _BLOCK_COUNTS
            ],
        ),
        fit_line(
            'index, processor time a block stored and evicted',
            'µs',
            _BLOCK_COUNTS,
            [
                min_cpu_time_us(partial(_store_and_evict, size))
                for size in _BLOCK_COUNTS
            ],
        ),
        fit_line(
            'index, memory a block',
            'bytes',
            _BLOCK_COUNTS,
            [_build_table(size).size_bytes() for size in _BLOCK_COUNTS],
        ),
        _lookup_slope(),
    ]


def _lookup_slope() -> Slope:
    table = _build_table(_BLOCK_COUNTS[0])
    hashes = _random_hashes(_BLOCK_COUNTS[0])
    measured = [
        min_cpu_time_us(partial(_look_up, table, hashes[:length]))
        for length in _PREFIX_LENGTHS
    ]
    return fit_line(
        'index, processor time a hash looked up',
        'µs',
        _PREFIX_LENGTHS,
        [total_us / _LOOKUP_REPEATS for total_us in measured],
    )


def _membership_slopes() -> list[Slope]:
    return [
        fit_line(
            'membership, processor time a member sent and received',
            'µs',
            _MEMBER_COUNTS,
            [
                min_cpu_time_us(partial(_exchange_heartbeats, size))
                / _HEARTBEAT_REPEATS
                for size in _MEMBER_COUNTS
            ],
        ),
        fit_line(
            'membership, bytes a member in a heartbeat',
            'bytes',
            _MEMBER_COUNTS,
            [
                len(encode_message(_build_heartbeat(size, 1)))
                for size in _MEMBER_COUNTS
            ],
        ),
    ]


def _config_slopes() -> list[Slope]:
    states = [_build_config(size) for size in _RESOURCE_COUNTS]
    replies = [_build_reply(state) for state in states]
    payloads = [encode_message(reply) for reply in replies]
    return [
        fit_line(
            'configuration, memory a resource',
            'bytes',
            _RESOURCE_COUNTS,
            [
                measure_allocated_bytes(partial(_build_config, size))
                for size in _RESOURCE_COUNTS
            ],
        ),
        fit_line(
            'configuration, bytes a resource sent to a router',
            'bytes',
            _RESOURCE_COUNTS,
            [len(payload) for payload in payloads],
        ),
        fit_line(
            'configuration, processor time a resource sent',
            'µs',
            _RESOURCE_COUNTS,
            [
                min_cpu_time_us(partial(_encode_reply, state))
                for state in states
            ],
        ),
        fit_line(
            'configuration, processor time a known resource received',
            'µs',
            _RESOURCE_COUNTS,
            [
                min_cpu_time_us(partial(_decode_reply, state, payload))
                for state, payload in zip(states, payloads, strict=True)
            ],
        ),
        fit_line(
            'configuration, processor time a record folded, by resources',
            'µs',
            _RESOURCE_COUNTS,
            [
                min_cpu_time_us(partial(_apply_one_record, state))
                for state in states
            ],
        ),
        fit_line(
            'configuration, memory a team',
            'bytes',
            _RESOURCE_COUNTS,
            [
                measure_allocated_bytes(partial(_build_teams, size))
                for size in _RESOURCE_COUNTS
            ],
        ),
    ]


def _ledger_slopes() -> list[Slope]:
    return [
        fit_line(
            'ledger, processor time a claim and outcome folded',
            'µs',
            _KEY_COUNTS,
            [
                min_cpu_time_us(partial(_build_ledger, size))
                for size in _KEY_COUNTS
            ],
        ),
        fit_line(
            'ledger, memory a key with outcome',
            'bytes',
            _KEY_COUNTS,
            [
                measure_allocated_bytes(partial(_build_ledger, size))
                for size in _KEY_COUNTS
            ],
        ),
        fit_line(
            'ledger, bytes of log a key with outcome',
            'bytes',
            _KEY_COUNTS,
            [
                sum(len(batch) for batch in _ledger_batches(size))
                for size in _KEY_COUNTS
            ],
        ),
    ]


def _random_hashes(size: int) -> list[int]:
    rng = random.Random(_SEED)
    return [rng.getrandbits(_HASH_BITS) for _ in range(size)]


def _build_table(size: int) -> BlockHashSet:
    table = BlockHashSet()
    for block_hash in _random_hashes(size):
        table.add(block_hash)
    return table


def _store_and_evict(size: int) -> None:
    table = _build_table(size)
    for block_hash in _random_hashes(size):
        table.discard(block_hash)


def _look_up(table: BlockHashSet, hashes: Sequence[int]) -> None:
    for _ in range(_LOOKUP_REPEATS):
        all(block_hash in table for block_hash in hashes)


def _build_control_state() -> ControlState:
    return ControlState(
        settings=ControlSettings(
            node=NodeSettings(id='vm-0', host='127.0.0.1', zone='zone-a'),
            platform=PlatformSettings(log_url='-', vms_url='-'),
        ),
        incarnation=1,
    )


def _build_heartbeat(size: int, counter: int) -> Heartbeat:
    members = [
        Member(
            node=f'vm-{number}',
            host=f'10.20.30.{number}',
            zone='zone-a',
            incarnation=1,
            counter=counter,
        )
        for number in range(1, size + 1)
    ]
    return Heartbeat(sender='vm-1', members=members)


def _exchange_heartbeats(size: int) -> None:
    shared_state = _build_control_state()
    for counter in range(_HEARTBEAT_REPEATS):
        payload = encode_message(_build_heartbeat(size, counter))
        for member in decode_message(Heartbeat, payload).unwrap().members:
            merge_member(shared_state, member)


def _build_server_record(number: int) -> Put:
    return Put(
        id=ResourceId(kind='backend-server', name=f'engine-{number}'),
        spec=BackendServer(
            pool='language',
            url=f'http://10.20.30.40:{number}',
            zone='zone-a',
        ),
        expects=None,
        nonce=f'{number}',
    )


def _build_config(size: int) -> ConfigState:
    state = ConfigState()
    for number in range(size):
        state = apply_config_record(state, number, _build_server_record(number))
    return state


def _build_teams(size: int) -> list[Team]:
    return [Team(api_key_digests=[f'{number:064x}']) for number in range(size)]


def _apply_one_record(state: ConfigState) -> None:
    record = decode_config_record(
        encode_config_record(_build_server_record(0))
    ).unwrap()
    apply_config_record(state, state.offset + 1, record)


def _build_reply(state: ConfigState) -> ConfigReply:
    return ConfigReply(
        offset=state.offset,
        entries=build_resource_entries(state),
        members=[],
        changed=True,
        leaving=[],
    )


def _encode_reply(state: ConfigState) -> bytes:
    return encode_message(_build_reply(state))


def _decode_reply(known_state: ConfigState, payload: bytes) -> None:
    apply_config_reply(
        known_state, decode_message(ConfigReply, payload).unwrap()
    )


def _ledger_batches(size: int) -> list[bytes]:
    return [
        encode_ledger_batch(
            (
                Claim(key=f'team/orders/{number:032x}', nonce=f'{number:032x}'),
                Outcome(
                    key=f'team/orders/{number:032x}',
                    nonce=f'{number:032x}',
                    status=HTTPStatus.OK,
                    content_type='application/json',
                    body=b'{"booked": true}',
                ),
            )
        )
        for number in range(size)
    ]


def _build_ledger(size: int) -> LedgerPartition:
    partition = LedgerPartition(
        number=0, log=None, key_retention_ms=_DEDUPLICATION_WINDOW_MS
    )
    for offset, payload in enumerate(_ledger_batches(size)):
        partition.apply_log_record(
            LogRecord(offset=offset, time_ms=0, payload=payload)
        )
    return partition


if __name__ == '__main__':
    main()
