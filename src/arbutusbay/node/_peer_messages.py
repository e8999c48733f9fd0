"""Encode and decode the load reports that VMs send each other.

A report is one UDP datagram with a JSON object.
"""

from collections.abc import Mapping, Sequence
from typing import Any

import attrs
import orjson
from result import Err, Ok, Result

from arbutusbay.checked_values import (
    MAX_INTEGER,
    require_boolean,
    require_count,
    require_integer,
    require_number,
    require_text,
)
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.fairness import ReturnWindow, WaitingReport
from arbutusbay.node._prefix_messages import (
    saved_from_fields,
    saved_to_fields,
)
from arbutusbay.node._quarantine_messages import (
    quarantine_from_fields,
    quarantine_to_fields,
)
from arbutusbay.node._speed_messages import (
    speeds_from_fields,
    speeds_to_fields,
)
from arbutusbay.node._waiting_messages import (
    returns_from_fields,
    returns_to_fields,
    waiting_from_fields,
    waiting_to_fields,
)
from arbutusbay.prefixes import SavedReport
from arbutusbay.quarantine import QuarantineReport
from arbutusbay.scheduling import Occupancy, PlannedWeightsLoad, WorkTotals
from arbutusbay.speeds import SpeedReport

_WORK_UNIT_TOKENS = 1000
_MS_PER_S = 1000
_MAX_FENCE = 9_223_372_036_854_775_807
_MAX_LOAD_TIME_MS = 3_600_000
# Sums over the VMs of a zone stay below ``MAX_INTEGER``.
_MAX_VM_TOTAL = 2_000_000_000_000


@attrs.frozen(kw_only=True)
class LoadedWeights:
    """Hold the weights version per model of one incarnation of an engine."""

    incarnation: int
    versions: Mapping[str, int]


@attrs.frozen(kw_only=True)
class ZoneLoad:
    """Hold the total load that the VMs of an availability zone cause.

    ``occupancy`` is keyed by backend server, ``waiting`` by service.
    """

    occupancy: Mapping[str, Occupancy]
    work_totals: WorkTotals
    waiting: Mapping[str, WaitingReport] = attrs.field(factory=dict)


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
    recently, ``quarantine`` what the sender has on prompt segments that crash
    engines, ``waiting`` what waits at the sender, by service, and ``returns``
    the requests that it expects back, by their keys. ``saved_prefixes`` holds
    what the stores got recently, ``speeds`` how long work took at which server.
    ``is_leaving`` means that the sender stops.
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
    waiting: Mapping[str, WaitingReport] = attrs.field(factory=dict)
    returns: Mapping[int, ReturnWindow] = attrs.field(factory=dict)
    saved_prefixes: SavedReport = attrs.field(factory=SavedReport)
    speeds: SpeedReport = attrs.field(factory=SpeedReport)
    is_leaving: bool = False


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
    if state.is_leaving:
        fields['x'] = True
    if state.waiting:
        fields['y'] = waiting_to_fields(state.waiting)
    zones_waiting = {
        zone: waiting_to_fields(load.waiting)
        for zone, load in state.zones.items()
        if load.waiting
    }
    if zones_waiting:
        fields['yz'] = zones_waiting
    if state.returns:
        fields['r'] = returns_to_fields(state.returns, now_s)
    quarantine = quarantine_to_fields(state.quarantine, now_s)
    if quarantine:
        fields['q'] = quarantine
    saved = saved_to_fields(state.saved_prefixes)
    if saved:
        fields['k'] = saved
    speeds = speeds_to_fields(state.speeds, now_s)
    if speeds:
        fields['v'] = speeds
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
    zones_waiting = fields.get('yz', {})
    return PeerState(
        name=require_text(fields['n'], 'n'),
        zone=require_text(fields['z'], 'z'),
        occupancy=_occupancies_from_fields(fields['o'], _MAX_VM_TOTAL),
        work_totals=_work_from_fields(fields['m'], _MAX_VM_TOTAL),
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
        fence=None
        if fence is None
        else require_count(fence, 'f', highest=_MAX_FENCE),
        zones={
            zone: ZoneLoad(
                occupancy=_occupancies_from_fields(occupancy, MAX_INTEGER),
                work_totals=_work_from_fields(totals, MAX_INTEGER),
                waiting=waiting_from_fields(zones_waiting.get(zone, {})),
            )
            for zone, (occupancy, totals) in fields.get('zs', {}).items()
        },
        quarantine=quarantine_from_fields(fields.get('q', {}), now_s),
        waiting=waiting_from_fields(fields.get('y', {})),
        returns=returns_from_fields(fields.get('r', ()), now_s),
        saved_prefixes=saved_from_fields(fields.get('k', {})),
        speeds=speeds_from_fields(fields.get('v', {}), now_s),
        is_leaving=require_boolean(fields.get('x', False), 'x'),
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


def _work_from_fields(encoded: Sequence[int], highest: int) -> WorkTotals:
    short, long = (
        require_number(total, 'm', highest=highest) * _WORK_UNIT_TOKENS
        for total in encoded
    )
    return WorkTotals(short_prompt_work=short, long_prompt_work=long)


def _occupancies_from_fields(
    encoded: Mapping[str, Sequence[int]], highest: int
) -> dict[str, Occupancy]:
    return {
        server: _occupancy_from_fields(numbers, highest)
        for server, numbers in encoded.items()
    }


def _occupancy_from_fields(encoded: Sequence[int], highest: int) -> Occupancy:
    attempts, uncached_tokens, kv_tokens = (
        require_count(number, 'o', highest=highest) for number in encoded
    )
    return Occupancy(
        attempts=attempts,
        uncached_tokens=uncached_tokens,
        kv_tokens=kv_tokens,
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
        start_s=_load_moment_s(start_ms, now_s),
        finish_s=_load_moment_s(finish_ms, now_s),
    )


def _load_moment_s(relative_ms: int, now_s: float) -> float:
    offset_ms = require_integer(
        relative_ms,
        'l',
        lowest=-_MAX_LOAD_TIME_MS,
        highest=_MAX_LOAD_TIME_MS,
    )
    return now_s + offset_ms / _MS_PER_S


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
