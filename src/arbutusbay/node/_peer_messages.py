"""Encode and decode the load reports that VMs send each other.

A report is one UDP datagram with a JSON object.
"""

from collections.abc import Mapping, Sequence
from typing import Any

import attrs
import orjson
from result import Err, Ok, Result

from arbutusbay.checked_values import (
    require_count,
    require_integer,
    require_number,
    require_text,
)
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.node._quarantine_messages import (
    quarantine_from_fields,
    quarantine_to_fields,
)
from arbutusbay.quarantine import QuarantineReport
from arbutusbay.scheduling import Occupancy, PlannedWeightsLoad, WorkTotals

_WORK_UNIT_TOKENS = 1000
_MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class LoadedWeights:
    """Hold the weights version per model of one incarnation of an engine."""

    incarnation: int
    versions: Mapping[str, int]


@attrs.frozen(kw_only=True)
class ZoneLoad:
    """Hold the total load that the VMs of an availability zone cause.

    ``occupancy`` is keyed by backend server.
    """

    occupancy: Mapping[str, Occupancy]
    work_totals: WorkTotals


@attrs.frozen(kw_only=True)
class PeerState:
    """Hold the state that one VM reports.

    Maps are keyed by backend server, except ``zones``, which is keyed by
    availability zone and reported by aggregators only. ``suspected_engines``
    names the engines that the sender suspects to be stalled, and
    ``leaving_engines`` the incarnation of those that shut down. ``loads`` holds
    planned weights loads, reported by the VM that runs the rollout, and
    ``fence`` is the fencing token, reported by the last holder of the
    rollout's lease. ``weights`` holds the engines whose weights changed
    recently, ``quarantine`` what the sender knows of prompt segments that crash
    engines.
    """

    name: str
    zone: str
    occupancy: Mapping[str, Occupancy]
    work_totals: WorkTotals
    suspected_engines: tuple[str, ...] = ()
    leaving_engines: Mapping[str, int] = attrs.field(factory=dict)
    loads: Mapping[str, PlannedWeightsLoad] = attrs.field(factory=dict)
    weights: Mapping[str, LoadedWeights] = attrs.field(factory=dict)
    fence: int | None = None
    zones: Mapping[str, ZoneLoad] = attrs.field(factory=dict)
    quarantine: QuarantineReport = attrs.field(factory=QuarantineReport)


def peer_state_to_bytes(state: PeerState, now_s: float) -> bytes:
    """Return ``state`` as JSON, with short keys because reports are frequent.

    Clocks differ between VMs, so times are encoded relative to ``now_s``,
    in milliseconds.
    """
    fields: dict[str, Any] = {
        'n': state.name,
        'z': state.zone,
        'o': _occupancies_to_fields(state.occupancy),
        'm': _work_to_fields(state.work_totals),
    }
    if state.suspected_engines:
        fields['s'] = state.suspected_engines
    if state.leaving_engines:
        fields['g'] = state.leaving_engines
    if state.loads:
        fields['l'] = {
            server: (
                load.model,
                load.version,
                _relative_ms(load.start_s, now_s),
                _relative_ms(load.finish_s, now_s),
            )
            for server, load in state.loads.items()
        }
    if state.weights:
        fields['w'] = {
            server: (loaded.incarnation, loaded.versions)
            for server, loaded in state.weights.items()
        }
    if state.fence is not None:
        fields['f'] = state.fence
    if state.zones:
        fields['zs'] = {
            zone: (
                _occupancies_to_fields(load.occupancy),
                _work_to_fields(load.work_totals),
            )
            for zone, load in state.zones.items()
        }
    quarantine = quarantine_to_fields(state.quarantine, now_s)
    if quarantine:
        fields['q'] = quarantine
    return orjson.dumps(fields)


def peer_state_from_bytes(
    datagram: bytes,
    now_s: float,
) -> Result[PeerState, Failure]:
    """Return the state in ``datagram``, or a ``BAD_MESSAGE`` failure.

    Times in the state are on the clock of the receiver, which shows
    ``now_s`` seconds.
    """
    try:
        return Ok(_state_from_fields(orjson.loads(datagram), now_s))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(
            Failure(
                kind=ErrorKind.BAD_MESSAGE,
                detail=f'peer: {error!r}',
            ),
        )


def _state_from_fields(fields: Mapping[str, Any], now_s: float) -> PeerState:
    fence = fields.get('f')
    return PeerState(
        name=require_text(fields['n'], 'n'),
        zone=require_text(fields['z'], 'z'),
        occupancy=_occupancies_from_fields(fields['o']),
        work_totals=_work_from_fields(*fields['m']),
        suspected_engines=tuple(
            require_text(server, 's') for server in fields.get('s', ())
        ),
        leaving_engines={
            server: require_count(incarnation, 'g')
            for server, incarnation in fields.get('g', {}).items()
        },
        loads={
            server: _load_from_fields(now_s, *encoded)
            for server, encoded in fields.get('l', {}).items()
        },
        weights={
            server: _weights_from_fields(*encoded)
            for server, encoded in fields.get('w', {}).items()
        },
        fence=None if fence is None else require_count(fence, 'f'),
        zones={
            zone: ZoneLoad(
                occupancy=_occupancies_from_fields(occupancy),
                work_totals=_work_from_fields(*totals),
            )
            for zone, (occupancy, totals) in fields.get('zs', {}).items()
        },
        quarantine=quarantine_from_fields(fields.get('q', {}), now_s),
    )


def _occupancies_to_fields(
    occupancies: Mapping[str, Occupancy],
) -> dict[str, tuple[int, int, int]]:
    return {
        server: (
            occupancy.attempts,
            occupancy.uncached_tokens,
            occupancy.kv_tokens,
        )
        for server, occupancy in occupancies.items()
    }


def _work_to_fields(totals: WorkTotals) -> tuple[int, int]:
    return int(totals.short_prompt_work / _WORK_UNIT_TOKENS), int(
        totals.long_prompt_work / _WORK_UNIT_TOKENS
    )


def _work_from_fields(short: int, long: int) -> WorkTotals:
    return WorkTotals(
        short_prompt_work=require_number(short, 'm') * _WORK_UNIT_TOKENS,
        long_prompt_work=require_number(long, 'm') * _WORK_UNIT_TOKENS,
    )


def _occupancies_from_fields(
    encoded: Mapping[str, Sequence[int]],
) -> dict[str, Occupancy]:
    return {
        server: _occupancy_from_fields(*numbers)
        for server, numbers in encoded.items()
    }


def _occupancy_from_fields(
    attempts: int,
    uncached_tokens: int,
    kv_tokens: int,
) -> Occupancy:
    return Occupancy(
        attempts=require_count(attempts, 'attempts'),
        uncached_tokens=require_count(uncached_tokens, 'uncached tokens'),
        kv_tokens=require_count(kv_tokens, 'kv tokens'),
    )


def _relative_ms(moment_s: float, now_s: float) -> int:
    return int((moment_s - now_s) * _MS_PER_S)


def _load_from_fields(
    now_s: float,
    model: str,
    version: int,
    start_ms: int,
    finish_ms: int,
) -> PlannedWeightsLoad:
    return PlannedWeightsLoad(
        model=require_text(model, 'model'),
        version=require_count(version, 'version'),
        start_s=now_s + require_integer(start_ms, 'start') / _MS_PER_S,
        finish_s=now_s + require_integer(finish_ms, 'finish') / _MS_PER_S,
    )


def _weights_from_fields(
    incarnation: int,
    versions: Mapping[str, int],
) -> LoadedWeights:
    return LoadedWeights(
        incarnation=require_count(incarnation, 'incarnation'),
        versions={
            model: require_count(version, 'version')
            for model, version in versions.items()
        },
    )
