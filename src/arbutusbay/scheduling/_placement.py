"""Choose the backend server that is predicted to answer first."""

import random
from collections.abc import Collection, Mapping, Sequence

import attrs

from arbutusbay.hashing import rendezvous_order
from arbutusbay.scheduling._engine_view import EngineView, Occupancy
from arbutusbay.scheduling._sides import is_long_prompt

_AFFINITY_REPLICAS = 2
_RUNNING_TOKENS = 40
_OTHER_ZONE_TOKENS = 60
_TIE_TOKENS = 100
_ERROR_COST = 3.0
_HALF = 0.5
_SHORT_ELSEWHERE_TOKENS = 5000
_PAUSED_STREAM_TOKENS = 8000
_LONG_ELSEWHERE_TOKENS = 12_000


@attrs.frozen(kw_only=True)
class ModelWork:
    """Describe a request for a model.

    ``shared_tokens`` of the prompt are parts that other requests share;
    ``affinity_key`` names the longest shared prefix.
    """

    prompt_tokens: int
    output_tokens: int
    shared_tokens: int
    affinity_key: str

    @property
    def resident_tokens(self) -> int:
        """Return the memory that a run takes, in tokens.

        Shared parts are partly in memory for other runs already.
        """
        own = self.prompt_tokens + self.output_tokens
        return own - self.shared_tokens // 2


@attrs.frozen(kw_only=True)
class ModelSetting:
    """Hold what placement of requests for models depends on.

    ``short_fractions`` says how far each engine is for short prompts;
    ``capacity_tokens`` is an engine's memory, 0 where unknown.
    ``holder_saving`` is the share of the work on a shared prefix that an
    engine saves by holding it, which a store of kept cache makes smaller.
    ``room_tokens`` bounds the prompt tokens that may wait at an engine.
    """

    own_zone: str
    capacity_tokens: int
    short_fractions: Mapping[str, float]
    holder_saving: float
    room_tokens: float
    now_s: float


@attrs.frozen(kw_only=True)
class Choice:
    """Name the chosen engine and what the attempt is expected to cost.

    Without ``has_room`` the request should rather wait.
    """

    engine: EngineView
    uncached_tokens: int
    cost: float
    has_room: bool = True


def usable_engines(
    engines: Collection[EngineView],
    now_s: float,
) -> list[EngineView]:
    """Return engines that take work, avoiding those that just failed."""
    able = [engine for engine in engines if not engine.is_draining]
    speaking = [engine for engine in able if not engine.is_silent(now_s)]
    able = speaking or able
    idle = [engine for engine in able if not engine.is_loading(now_s)] or able
    return [engine for engine in idle if not engine.is_avoided(now_s)] or idle


def choose_for_model(
    work: ModelWork,
    engines: Sequence[EngineView],
    *,
    setting: ModelSetting,
    rng: random.Random,
) -> Choice | None:
    """Return the engine with the least work before the first token.

    Engines that are first in rendezvous order of the shared prefix are
    expected to hold it, with no message between VMs.
    """
    if not engines:
        return None
    holders = frozenset(
        rendezvous_order(work.affinity_key, _own_side(work, engines, setting))[
            :_AFFINITY_REPLICAS
        ],
    )
    choices = [
        _model_choice(work, engine, engine.id in holders, setting)
        for engine in engines
    ]
    choices = [choice for choice in choices if choice.has_room] or choices
    best = min(choice.cost for choice in choices)
    return rng.choice(
        [choice for choice in choices if choice.cost <= best + _TIE_TOKENS],
    )


def choose_for_plain(
    engines: Sequence[EngineView],
    *,
    own_zone: str,
    now_s: float,
    rng: random.Random,
) -> Choice | None:
    """Return the backend server with the least work in progress."""
    if not engines:
        return None
    ranked = [
        (
            round(_plain_cost(engine, now_s), 1),
            engine.zone != own_zone,
            rng.random(),
            position,
        )
        for position, engine in enumerate(engines)
    ]
    cost, _, _, position = min(ranked)
    return Choice(engine=engines[position], uncached_tokens=0, cost=cost)


def _plain_cost(engine: EngineView, now_s: float) -> float:
    out = engine.occupancy(now_s).attempts
    excess = max(0, out - engine.slots + 1)
    errors = 1 + _ERROR_COST * engine.current_error_share(now_s)
    load = 1 + out / max(1, engine.slots) + excess
    return load * engine.current_slowdown(now_s) * errors


def _model_choice(
    work: ModelWork,
    engine: EngineView,
    is_holder: bool,
    setting: ModelSetting,
) -> Choice:
    uncached = work.prompt_tokens
    if is_holder:
        uncached -= int(work.shared_tokens * setting.holder_saving)
    out = engine.occupancy(setting.now_s)
    slowdown = engine.current_slowdown(setting.now_s)
    tokens = out.uncached_tokens + uncached
    # An engine that computes no prompt takes one of any length.
    is_in_time = (
        not out.uncached_tokens or tokens * slowdown <= setting.room_tokens
    )
    cost = tokens + _crowd_tokens(work, engine, out, setting)
    return Choice(
        engine=engine,
        uncached_tokens=uncached,
        cost=cost * slowdown + _detour_tokens(work, engine, setting),
        has_room=is_in_time and _has_slot(work, engine, out, setting),
    )


def _crowd_tokens(
    work: ModelWork,
    engine: EngineView,
    out: Occupancy,
    setting: ModelSetting,
) -> float:
    """Return what other runs at ``engine`` cost, in prompt tokens."""
    running = max(out.attempts, engine.running if out.attempts else 0)
    tokens = running * _RUNNING_TOKENS
    resident = out.resident_tokens + work.resident_tokens
    if setting.capacity_tokens and resident > setting.capacity_tokens:
        tokens += resident - setting.capacity_tokens
    return tokens


def _detour_tokens(
    work: ModelWork,
    engine: EngineView,
    setting: ModelSetting,
) -> float:
    """Return what it costs that ``engine`` is not meant for ``work``."""
    tokens = _other_side_tokens(work, engine, setting)
    if engine.is_load_announced(setting.now_s):
        tokens += _PAUSED_STREAM_TOKENS
    if engine.zone != setting.own_zone:
        tokens += _OTHER_ZONE_TOKENS
    return tokens


def _has_slot(
    work: ModelWork,
    engine: EngineView,
    out: Occupancy,
    setting: ModelSetting,
) -> bool:
    """Tell whether ``engine`` takes the attempt besides those it has."""
    if not out.attempts:
        return True
    if engine.slots and out.attempts >= engine.slots:
        return False
    is_long = is_long_prompt(work.prompt_tokens)
    if is_long and _is_for_short(engine, setting):
        return False
    resident = out.resident_tokens + work.resident_tokens
    return not setting.capacity_tokens or resident <= setting.capacity_tokens


def _other_side_tokens(
    work: ModelWork,
    engine: EngineView,
    setting: ModelSetting,
) -> float:
    fraction = setting.short_fractions.get(engine.id, _HALF)
    if is_long_prompt(work.prompt_tokens):
        return fraction * _LONG_ELSEWHERE_TOKENS
    return (1 - fraction) * _SHORT_ELSEWHERE_TOKENS


def _is_for_short(engine: EngineView, setting: ModelSetting) -> bool:
    return setting.short_fractions.get(engine.id, 0) > _HALF


def _own_side(
    work: ModelWork,
    engines: Sequence[EngineView],
    setting: ModelSetting,
) -> list[str]:
    """Return the engines meant for the length of the prompt."""
    is_long = is_long_prompt(work.prompt_tokens)
    return [
        engine.id
        for engine in engines
        if _is_for_short(engine, setting) != is_long
    ] or [engine.id for engine in engines]
