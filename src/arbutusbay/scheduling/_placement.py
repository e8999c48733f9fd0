"""Choose the backend server for an attempt by its estimated cost.

The cost of an engine is the estimated work before the first token, counted
in prompt tokens: queued prefill, running requests, KV cache overcommitment
and penalties for engines that are meant for other requests.
"""

import enum
import random
from collections import Counter
from collections.abc import Collection, Mapping, Sequence

import attrs

from arbutusbay.hashing import rank_by_rendezvous_hash
from arbutusbay.prefixes import PrefixPlan
from arbutusbay.scheduling._engine_view import EngineView
from arbutusbay.scheduling._occupancy import Occupancy
from arbutusbay.scheduling._prompt_length_partition import (
    EVEN_SPLIT,
    engines_for_length,
    is_long_prompt,
    serves_short_prompts,
)
from arbutusbay.scheduling._speed_choice import (
    choose_by_speed,
    differ_in_speed,
    draw_by_speed,
    error_factor,
    excess_requests,
    momentary_factor,
    time_factor,
)

_AFFINITY_REPLICAS = 2
_RUNNING_REQUEST_COST_TOKENS = 40
_EXCESS_REQUEST_COST_TOKENS = 400
_OTHER_ZONE_COST_TOKENS = 60
_TIE_MARGIN_TOKENS = 100
_LATE_REPORTS_TIE_MARGIN_TOKENS = 1000
_SHORT_PROMPT_MISMATCH_TOKENS = 5000
_PLANNED_LOAD_COST_TOKENS = 8000
_LONG_PROMPT_MISMATCH_TOKENS = 12_000


@attrs.frozen(kw_only=True)
class ModelRequestSize:
    """Describe the work of a request for a model, in tokens.

    ``shared_prefix_tokens`` of the prompt belong to a prefix that other
    requests share; ``affinity_key`` identifies the longest shared prefix.
    """

    prompt_tokens: int
    output_tokens: int
    shared_prefix_tokens: int
    affinity_key: str

    @property
    def kv_tokens(self) -> int:
        """Return the KV cache that the request occupies, in tokens.

        Only half of the shared prefix counts, because other requests often
        keep it in the cache already.
        """
        total_tokens = self.prompt_tokens + self.output_tokens
        return total_tokens - self.shared_prefix_tokens // 2


@attrs.frozen(kw_only=True)
class PlacementContext:
    """Hold the inputs for the placement of requests for models.

    ``cache_capacity_tokens`` is the KV cache size of an engine, 0 if unknown.
    ``short_prompt_fractions`` maps each engine to the fraction of its capacity
    that is reserved for short prompts. ``prefix_hit_saving`` is the share of
    the prefill of a shared prefix that a cache hit saves; a KV cache store
    outside the engines makes it smaller. ``prefix_plan`` tells instead what
    each engine reads, where engines can fetch from each other.
    ``max_queued_tokens`` limits the uncached prompt tokens at an engine,
    multiplied by its slowdown. With ``has_late_reports`` others
    may have placed much that is not known yet, so engines whose costs differ
    more count as alike.
    """

    own_zone: str
    cache_capacity_tokens: int
    short_prompt_fractions: Mapping[str, float]
    prefix_hit_saving: float
    max_queued_tokens: float
    now_s: float
    prefix_plan: PrefixPlan | None = None
    has_late_reports: bool = False


class Lack(enum.Enum):
    """Name why an engine has no capacity for a request.

    ``PARTITION``: it is for prompts of another length. ``PREFILL``: too many
    prompt tokens are queued there.
    """

    PLACES = 'places'
    PARTITION = 'partition'
    MEMORY = 'memory'
    PREFILL = 'prefill'


@attrs.frozen(kw_only=True)
class EngineChoice:
    """Hold the chosen backend server and the estimated cost of the attempt.

    ``cost`` is in prompt tokens for requests for models, else a relative
    load. If ``has_capacity`` is false, the request should be queued instead;
    ``lacks`` then counts the engines of a request for a model by what they
    lack first.
    """

    engine: EngineView
    uncached_tokens: int
    cost: float
    has_capacity: bool = True
    lacks: Mapping[Lack, int] = attrs.field(factory=dict)


def eligible_engines(
    engines: Collection[EngineView],
    now_s: float,
) -> list[EngineView]:
    """Return the engines that an attempt may be sent to.

    Engines that drain, leave or asked for a pause are always left out.
    Engines that are unresponsive, loading weights or in backoff are left out
    unless no others remain.
    """
    active = [engine for engine in engines if engine.accepts_requests(now_s)]
    responsive = [
        engine for engine in active if not engine.is_unresponsive(now_s)
    ]
    active = responsive or active
    ready = [
        engine for engine in active if not engine.is_loading_weights(now_s)
    ] or active
    return [
        engine for engine in ready if not engine.is_in_backoff(now_s)
    ] or ready


def next_acceptance_s(
    engines: Collection[EngineView], now_s: float
) -> float | None:
    """Return when the first of ``engines`` accepts requests again.

    The time is in seconds on the clock of ``now_s``. None means that no engine
    that stays has asked for a pause.
    """
    return min(
        (
            engine.rejects_until_s
            for engine in engines
            if engine.rejects_until_s > now_s and not engine.is_departing
        ),
        default=None,
    )


def choose_model_engine(
    request_size: ModelRequestSize,
    engines: Sequence[EngineView],
    *,
    placement_context: PlacementContext,
    rng: random.Random,
) -> EngineChoice | None:
    """Return the engine with the lowest cost, None without engines.

    The first engines in the rendezvous order of the affinity key are assumed
    to have the shared prefix cached. All VMs compute the same order, so they
    agree on these engines without communication. Among engines of nearly the
    same cost the choice is random.
    """
    if not engines:
        return None
    uncached_tokens = _uncached_tokens(request_size, engines, placement_context)
    choices = [
        _model_choice(
            request_size, engine, uncached_tokens[engine.id], placement_context
        )
        for engine in engines
    ]
    fitting = [choice for choice in choices if choice.has_capacity]
    if fitting:
        return _cheapest(fitting, placement_context, rng)
    cheapest = _cheapest(choices, placement_context, rng)
    return attrs.evolve(cheapest, lacks=_count_lacks(choices))


def choose_plain_server(
    engines: Sequence[EngineView],
    *,
    own_zone: str,
    now_s: float,
    rng: random.Random,
) -> EngineChoice | None:
    """Return the least loaded backend server, None without servers.

    On equal load, servers of the VM's own zone are preferred. Servers of
    different speeds get work in proportion to these instead. The choice has
    capacity if any server has a free slot. It has, too, while this VM has no
    call at any of them: then nothing would show it that places come free.
    """
    if not engines:
        return None
    has_capacity = any(
        _has_free_slot(engine, now_s) for engine in engines
    ) or not any(engine.occupancy.open_attempts for engine in engines)
    if differ_in_speed(engines):
        server = choose_by_speed(engines, now_s=now_s, rng=rng)
        return EngineChoice(
            engine=server,
            uncached_tokens=0,
            cost=_server_cost(server, now_s),
            has_capacity=has_capacity,
        )
    ranked = [
        (
            round(_server_cost(engine, now_s), 1),
            engine.zone != own_zone,
            rng.random(),
            position,
        )
        for position, engine in enumerate(engines)
    ]
    cost, _, _, position = min(ranked)
    return EngineChoice(
        engine=engines[position],
        uncached_tokens=0,
        cost=cost,
        has_capacity=has_capacity,
    )


def _has_free_slot(engine: EngineView, now_s: float) -> bool:
    """Return whether a call begins at once; so it may without known slots."""
    attempts = engine.occupancy.total(now_s).attempts
    return engine.slots <= 0 or attempts < engine.slots


def _server_cost(engine: EngineView, now_s: float) -> float:
    attempts = engine.occupancy.total(now_s).attempts
    excess = excess_requests(engine, attempts)
    load = 1 + attempts / max(1, engine.slots) + excess
    return load * time_factor(engine, now_s) * error_factor(engine, now_s)


def _cheapest(
    choices: Sequence[EngineChoice],
    placement_context: PlacementContext,
    rng: random.Random,
) -> EngineChoice:
    """Return one of the choices of nearly the lowest cost."""
    best = min(choices, key=_cost)
    near = [
        choice
        for choice in choices
        if _is_near(choice, best, placement_context)
    ]
    engines = [choice.engine for choice in near]
    position = draw_by_speed(engines, now_s=placement_context.now_s, rng=rng)
    return near[position]


def _is_near(
    choice: EngineChoice,
    best: EngineChoice,
    placement_context: PlacementContext,
) -> bool:
    """Return whether the cost of a choice is nearly that of the best one.

    Late reports make what waits uncertain, but not what an engine would read.
    """
    excess_tokens = choice.cost - best.cost
    if excess_tokens <= _TIE_MARGIN_TOKENS:
        return True
    reads_more = choice.uncached_tokens > best.uncached_tokens
    if reads_more or not placement_context.has_late_reports:
        return False
    return excess_tokens <= _LATE_REPORTS_TIE_MARGIN_TOKENS


def _cost(choice: EngineChoice) -> float:
    return choice.cost


def _count_lacks(choices: Sequence[EngineChoice]) -> Mapping[Lack, int]:
    return Counter(lack for choice in choices for lack in choice.lacks)


def _uncached_tokens(
    request_size: ModelRequestSize,
    engines: Sequence[EngineView],
    placement_context: PlacementContext,
) -> Mapping[str, int]:
    """Return how many prompt tokens each engine will likely prefill, by id."""
    prompt_tokens = request_size.prompt_tokens
    plan = placement_context.prefix_plan
    if plan is not None:
        own_tokens = prompt_tokens - request_size.shared_prefix_tokens
        return {
            engine.id: own_tokens + plan.read_tokens(engine.id)
            for engine in engines
        }
    prefix_engines = frozenset(
        rank_by_rendezvous_hash(
            request_size.affinity_key,
            engines_for_length(
                prompt_tokens,
                engines,
                placement_context.short_prompt_fractions,
            ),
        )[:_AFFINITY_REPLICAS],
    )
    saved_tokens = int(
        request_size.shared_prefix_tokens * placement_context.prefix_hit_saving
    )
    saved = {engine_id: saved_tokens for engine_id in prefix_engines}
    return {
        engine.id: prompt_tokens - saved.get(engine.id, 0) for engine in engines
    }


def _model_choice(
    request_size: ModelRequestSize,
    engine: EngineView,
    uncached_tokens: int,
    placement_context: PlacementContext,
) -> EngineChoice:
    occupancy = engine.occupancy.total(placement_context.now_s)
    factor = time_factor(engine, placement_context.now_s)
    tokens = occupancy.uncached_tokens + uncached_tokens
    lack = _find_lack(request_size, engine, occupancy, placement_context)
    # An engine without queued prefill accepts a prompt of any length.
    is_over = tokens * factor > placement_context.max_queued_tokens
    if lack is None and occupancy.uncached_tokens and is_over:
        lack = Lack.PREFILL
    waiting = occupancy.uncached_tokens + _contention_tokens(
        request_size, engine, occupancy, placement_context
    )
    return EngineChoice(
        engine=engine,
        uncached_tokens=uncached_tokens,
        cost=uncached_tokens * momentary_factor(engine, placement_context.now_s)
        + waiting * factor
        + _penalty_tokens(request_size, engine, placement_context),
        has_capacity=lack is None,
        lacks={} if lack is None else {lack: 1},
    )


def _contention_tokens(
    request_size: ModelRequestSize,
    engine: EngineView,
    occupancy: Occupancy,
    placement_context: PlacementContext,
) -> float:
    """Return the cost of the other requests at an engine, in tokens."""
    running = max(
        occupancy.attempts,
        engine.running_requests if occupancy.attempts else 0,
    )
    taken = engine.speed.taken_requests(engine.slots)
    excess = min(excess_requests(engine, running), max(0, engine.slots - taken))
    tokens = running * _RUNNING_REQUEST_COST_TOKENS
    tokens += excess * _EXCESS_REQUEST_COST_TOKENS
    needed_kv_tokens = occupancy.kv_tokens + request_size.kv_tokens
    if (
        placement_context.cache_capacity_tokens
        and needed_kv_tokens > placement_context.cache_capacity_tokens
    ):
        tokens += needed_kv_tokens - placement_context.cache_capacity_tokens
    return tokens


def _penalty_tokens(
    request_size: ModelRequestSize,
    engine: EngineView,
    placement_context: PlacementContext,
) -> float:
    """Return the penalty for an engine that suits the request less.

    The penalty is in prompt tokens and is not scaled by the slowdown.
    """
    tokens = _length_mismatch_tokens(request_size, engine, placement_context)
    if engine.is_weights_load_planned(placement_context.now_s):
        tokens += _PLANNED_LOAD_COST_TOKENS
    if engine.zone != placement_context.own_zone:
        tokens += _OTHER_ZONE_COST_TOKENS
    if placement_context.prefix_plan is not None:
        tokens += placement_context.prefix_plan.copy_cost_tokens(engine.id)
    return tokens


def _find_lack(
    request_size: ModelRequestSize,
    engine: EngineView,
    occupancy: Occupancy,
    placement_context: PlacementContext,
) -> Lack | None:
    """Return what keeps the engine from running the attempt beside others."""
    if not occupancy.attempts:
        return None
    if engine.slots and occupancy.attempts >= engine.slots:
        return Lack.PLACES
    is_long = is_long_prompt(request_size.prompt_tokens)
    if is_long and serves_short_prompts(
        engine, placement_context.short_prompt_fractions
    ):
        return Lack.PARTITION
    needed_kv_tokens = occupancy.kv_tokens + request_size.kv_tokens
    capacity_tokens = placement_context.cache_capacity_tokens
    if capacity_tokens and needed_kv_tokens > capacity_tokens:
        return Lack.MEMORY
    return None


def _length_mismatch_tokens(
    request_size: ModelRequestSize,
    engine: EngineView,
    placement_context: PlacementContext,
) -> float:
    fraction = placement_context.short_prompt_fractions.get(
        engine.id, EVEN_SPLIT
    )
    if is_long_prompt(request_size.prompt_tokens):
        return fraction * _LONG_PROMPT_MISMATCH_TOKENS
    return (1 - fraction) * _SHORT_PROMPT_MISMATCH_TOKENS
