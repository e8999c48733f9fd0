"""Encode and decode announcements of weights loads.

An announcement is one UDP datagram: ``DATAGRAM_TYPE`` and a JSON object. Loads
of the same version that take place at about the same time are written once
with all their engines, since the datagram goes to each VM of the fleet.
"""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any

import attrs
import orjson
from result import Err, Ok, Result

from arbutusbay.checked_values import (
    require_count,
    require_integer,
    require_list,
    require_text,
)
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.node._peer_messages import LoadedWeights
from arbutusbay.scheduling import PlannedWeightsLoad

DATAGRAM_TYPE = b'L'
_STEPS_PER_S = 50
_MAX_STEPS = 180_000
_MAX_ENGINES = 4096


@attrs.frozen(kw_only=True)
class LoadAnnouncement:
    """Announce when engines load weights, and which have loaded them.

    Both are keyed by backend server. ``zone`` is that of the sender.
    """

    zone: str
    loads: Mapping[str, PlannedWeightsLoad] = attrs.field(factory=dict)
    weights: Mapping[str, LoadedWeights] = attrs.field(factory=dict)


def announcement_to_bytes(
    announcement: LoadAnnouncement, now_s: float
) -> bytes:
    """Return the datagram, with times relative to ``now_s``."""
    return DATAGRAM_TYPE + orjson.dumps(
        {
            'z': announcement.zone,
            'l': _loads_to_rows(announcement.loads, now_s),
            'w': _weights_to_rows(announcement.weights),
        }
    )


def announcement_from_bytes(
    datagram: bytes, now_s: float
) -> Result[LoadAnnouncement, Failure]:
    """Return the announcement, or a ``BAD_MESSAGE`` failure.

    Times are on the clock of the receiver, which shows ``now_s`` seconds.
    """
    try:
        return Ok(
            _from_fields(orjson.loads(datagram[len(DATAGRAM_TYPE) :]), now_s)
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(
            Failure(
                kind=ErrorKind.BAD_MESSAGE,
                detail=f'load announcement: {error!r}',
            ),
        )


def _loads_to_rows(
    loads: Mapping[str, PlannedWeightsLoad], now_s: float
) -> list[tuple[Any, ...]]:
    engines: dict[tuple[str, int, int, int], list[str]] = {}
    for engine, load in loads.items():
        key = (
            load.model,
            load.version,
            _steps(load.start_s - now_s),
            _steps(load.finish_s - now_s),
        )
        engines.setdefault(key, []).append(engine)
    return [(*key, names) for key, names in engines.items()]


def _weights_to_rows(
    weights: Mapping[str, LoadedWeights],
) -> list[tuple[Any, ...]]:
    engines: dict[tuple[str, int], list[tuple[str, int]]] = {}
    for engine, loaded in weights.items():
        for model_version in loaded.versions.items():
            row = (engine, loaded.incarnation)
            engines.setdefault(model_version, []).append(row)
    return [(*key, rows) for key, rows in engines.items()]


def _from_fields(fields: Mapping[str, Any], now_s: float) -> LoadAnnouncement:
    loads: dict[str, PlannedWeightsLoad] = {}
    for load_row in _rows(fields['l']):
        loads.update(_loads_from_row(now_s, *load_row))
    weights: dict[str, LoadedWeights] = {}
    for weights_row in _rows(fields['w']):
        for engine, loaded in _weights_from_row(*weights_row):
            known = weights.get(engine, loaded)
            weights[engine] = attrs.evolve(
                loaded, versions={**known.versions, **loaded.versions}
            )
    return LoadAnnouncement(
        zone=require_text(fields['z'], 'z'), loads=loads, weights=weights
    )


def _loads_from_row(
    now_s: float, model: str, version: int, start: int, finish: int, names: Any
) -> dict[str, PlannedWeightsLoad]:
    load = PlannedWeightsLoad(
        model=require_text(model, 'model'),
        version=require_count(version, 'version'),
        start_s=now_s + _seconds(start),
        finish_s=now_s + _seconds(finish),
    )
    return {require_text(name, 'l'): load for name in _rows(names)}


def _weights_from_row(
    model: str, version: int, rows: Any
) -> Iterator[tuple[str, LoadedWeights]]:
    versions = {require_text(model, 'model'): require_count(version, 'version')}
    for engine, incarnation in _rows(rows):
        yield (
            require_text(engine, 'w'),
            LoadedWeights(
                incarnation=require_count(incarnation, 'incarnation'),
                versions=versions,
            ),
        )


def _rows(encoded: Any) -> Sequence[Any]:
    return require_list(encoded, 'rows')[:_MAX_ENGINES]


def _steps(offset_s: float) -> int:
    return max(-_MAX_STEPS, min(_MAX_STEPS, round(offset_s * _STEPS_PER_S)))


def _seconds(steps: Any) -> float:
    checked = require_integer(
        steps, 'time', lowest=-_MAX_STEPS, highest=_MAX_STEPS
    )
    return checked / _STEPS_PER_S
