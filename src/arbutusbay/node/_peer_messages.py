"""Encode what a VM tells the others about its attempts and engines."""

from collections.abc import Mapping, Sequence
from typing import Any

import attrs
import orjson
from result import Err, Ok, Result

from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.scheduling import AnnouncedLoad, Occupancy, WorkSums

_MIX_UNIT = 1000
_MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class LoadedWeights:
    """Hold the weights versions of one start of an engine."""

    incarnation: int
    versions: Mapping[str, int]


@attrs.frozen(kw_only=True)
class ZoneLoad:
    """Sum up what the VMs of an availability zone have out."""

    occupancy: Mapping[str, Occupancy]
    mix: WorkSums


@attrs.frozen(kw_only=True)
class PeerState:
    """Hold all that one VM tells; maps are keyed by backend server.

    ``silent`` names engines that the sender suspects; ``loads`` come from
    the VM that leads a rollout, ``fence`` from the last holder of the
    lease for it; ``weights`` are those that changed lately. ``zones`` come
    from the speakers of a zone, keyed by zone.
    """

    name: str
    zone: str
    occupancy: Mapping[str, Occupancy]
    mix: WorkSums
    silent: tuple[str, ...] = ()
    loads: Mapping[str, AnnouncedLoad] = attrs.field(factory=dict)
    weights: Mapping[str, LoadedWeights] = attrs.field(factory=dict)
    fence: int | None = None
    zones: Mapping[str, ZoneLoad] = attrs.field(factory=dict)


def peer_state_to_bytes(state: PeerState, now_s: float) -> bytes:
    """Return ``state`` as JSON with short names, as it is sent often.

    Clocks differ between VMs, so times are sent as counted from ``now_s``.
    """
    fields: dict[str, Any] = {
        'n': state.name,
        'z': state.zone,
        'o': _occupancy_fields(state.occupancy),
        'm': _mix_fields(state.mix),
    }
    if state.silent:
        fields['s'] = state.silent
    if state.loads:
        fields['l'] = {
            server: (
                load.model,
                load.version,
                _ms_until(load.from_s, now_s),
                _ms_until(load.until_s, now_s),
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
            zone: (_occupancy_fields(load.occupancy), _mix_fields(load.mix))
            for zone, load in state.zones.items()
        }
    return orjson.dumps(fields)


def peer_state_from_bytes(
    datagram: bytes,
    now_s: float,
) -> Result[PeerState, Failure]:
    """Return the state in ``datagram``, or ``BAD_MESSAGE``."""
    try:
        return Ok(_state_from_json(orjson.loads(datagram), now_s))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(
            Failure(kind=ErrorKind.BAD_MESSAGE, detail=f'peer: {error!r}'),
        )


def _state_from_json(fields: Mapping[str, Any], now_s: float) -> PeerState:
    fence = fields.get('f')
    return PeerState(
        name=str(fields['n']),
        zone=str(fields['z']),
        occupancy=_occupancy_by_server(fields['o']),
        mix=_mix(*fields['m']),
        silent=tuple(str(server) for server in fields.get('s', ())),
        loads={
            str(server): _announced_load(now_s, *told)
            for server, told in fields.get('l', {}).items()
        },
        weights={
            str(server): _loaded_weights(*told)
            for server, told in fields.get('w', {}).items()
        },
        fence=None if fence is None else int(fence),
        zones={
            str(zone): ZoneLoad(
                occupancy=_occupancy_by_server(occupancy),
                mix=_mix(*mix),
            )
            for zone, (occupancy, mix) in fields.get('zs', {}).items()
        },
    )


def _occupancy_fields(
    occupancy: Mapping[str, Occupancy],
) -> dict[str, tuple[int, int, int]]:
    return {
        server: (out.attempts, out.uncached_tokens, out.resident_tokens)
        for server, out in occupancy.items()
    }


def _mix_fields(mix: WorkSums) -> tuple[int, int]:
    return int(mix.short / _MIX_UNIT), int(mix.long / _MIX_UNIT)


def _mix(short: int, long: int) -> WorkSums:
    return WorkSums(
        short=float(short) * _MIX_UNIT,
        long=float(long) * _MIX_UNIT,
    )


def _occupancy_by_server(
    told: Mapping[str, Sequence[int]],
) -> dict[str, Occupancy]:
    return {
        str(server): _occupancy(*numbers) for server, numbers in told.items()
    }


def _occupancy(attempts: int, uncached: int, resident: int) -> Occupancy:
    return Occupancy(
        attempts=int(attempts),
        uncached_tokens=int(uncached),
        resident_tokens=int(resident),
    )


def _ms_until(moment_s: float, now_s: float) -> int:
    return int((moment_s - now_s) * _MS_PER_S)


def _announced_load(
    now_s: float,
    model: str,
    version: int,
    from_ms: int,
    until_ms: int,
) -> AnnouncedLoad:
    return AnnouncedLoad(
        model=str(model),
        version=int(version),
        from_s=now_s + int(from_ms) / _MS_PER_S,
        until_s=now_s + int(until_ms) / _MS_PER_S,
    )


def _loaded_weights(
    incarnation: int,
    versions: Mapping[str, int],
) -> LoadedWeights:
    return LoadedWeights(
        incarnation=int(incarnation),
        versions={
            str(model): int(version) for model, version in versions.items()
        },
    )
