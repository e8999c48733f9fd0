"""Choose a backend server for each attempt and count those in flight."""

from collections import Counter
from collections.abc import Mapping

import attrs

from arbutusbay.admission import ExpectedPlaces, ReturningPlaces
from arbutusbay.clock import milliseconds, now_s
from arbutusbay.fleet import (
    Configuration,
    ServiceSpec,
    TrackedTarget,
    cache_scope,
)
from arbutusbay.logs import get_logger
from arbutusbay.node._incoming_request import IncomingRequest
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._placement import (
    Placement,
    PlacementRequest,
    request_size_of,
)
from arbutusbay.node._prefix_planner import PrefixPlanner
from arbutusbay.node._stop_decision import stop_fields
from arbutusbay.platform import AttemptHeaders
from arbutusbay.prefixes import PrefixPlan
from arbutusbay.scheduling import (
    Attempt,
    EngineChoice,
    EngineView,
    PlacementContext,
    choose_model_engine,
    choose_plain_server,
    eligible_engines,
    has_tiers,
    next_acceptance_s,
    outdated_engines,
    short_prompt_fractions,
    time_factor,
)

_LOG = get_logger('placement')
_WEIGHTS_SEND_MARGIN_S = 2.0
_WEIGHTS_START_MARGIN_S = 0.2
_PREFIX_SAVING_WITH_CACHE_STORE = 0.4
_EXPECTED_PREFIX_HIT_SHARE = 0.75
_QUEUED_PREFILL_LATENCY_SHARE = 0.6
_MIN_REMAINING_S = 0.001
_HIGHEST_PRIORITY = 0
_LOWEST_PRIORITY = 9
_PARTITION_LIFETIME_S = 0.1
_INITIAL_HOLDING_S = 1.0
_HOLDING_SMOOTHING = 0.1


@attrs.frozen(kw_only=True)
class Partition:
    """Hold the fraction of each engine that is for short prompts."""

    computed_s: float
    fractions: Mapping[str, float]


class Placer:
    """Choose backend servers and count the attempts in flight on each.

    ``partitions`` holds the last partition of each service's engines,
    ``holding_s`` the mean time for which its attempts had a place.
    """

    def __init__(self, *, node_state: NodeState) -> None:
        """Read and update the views of servers on ``node_state``."""
        self.node_state = node_state
        self.partitions: dict[str, Partition] = {}
        self.holding_s: dict[str, float] = {}
        self.prefix_planner = PrefixPlanner(node_state=node_state)

    def find_placement(self, request: PlacementRequest) -> Placement | None:
        """Return the best placement now, None if no server is eligible.

        Nothing is counted until ``commit``. The returned placement may lack
        capacity; see ``Placement.has_capacity``.
        """
        moment_s = now_s()
        incoming = request.incoming
        size = request_size_of(incoming)
        views = self.node_state.views_of_service(incoming.service.name)
        self.node_state.speeds.refresh(incoming.service.name, views, moment_s)
        _expect_prefill(self.node_state, incoming.service, views, moment_s)
        usable = eligible_engines(
            [
                view
                for view in views
                if request.allows_server(view)
                and self._runs_allowed_weights(view, request, moment_s)
            ],
            moment_s,
        )
        fractions = self._short_prompt_fractions(
            incoming.service.name, views, moment_s
        )
        plan = None
        if incoming.is_model_request and usable:
            plan = self.prefix_planner.plan(
                incoming, usable, fractions, moment_s
            )
        choice = self._choose_server(
            incoming, usable, fractions, plan, moment_s
        )
        if choice is None:
            return None
        attempt_headers = self._build_attempt_headers(
            request, choice.engine, plan, moment_s
        )
        return Placement(
            choice=choice,
            attempt_headers=attempt_headers,
            start_by_s=self._start_by_s(
                incoming.parsed_headers.model, attempt_headers.weights_version
            ),
            attempt=Attempt(
                sent_s=moment_s,
                uncached_tokens=choice.uncached_tokens,
                queued_ahead_tokens=choice.engine.occupancy.total(
                    moment_s
                ).uncached_tokens,
                kv_tokens=size.kv_tokens,
                fetch_source=attempt_headers.kv_fetch_address,
            ),
            model=incoming.parsed_headers.model,
            candidate_count=len(usable),
            prefix_plan=plan,
        )

    def next_acceptance_s(self, request: PlacementRequest) -> float | None:
        """Return when a server that asked for a pause may get ``request``.

        None means that no such server is among the allowed ones.
        """
        views = self.node_state.views_of_service(request.incoming.service.name)
        allowed = [view for view in views if request.allows_server(view)]
        return next_acceptance_s(allowed, now_s())

    def returning_places(self, service: str) -> list[ReturningPlaces]:
        """Return when engines that load weights or asked for a pause are back.

        This VM gets an equal part of the places of each.
        """
        moment_s = now_s()
        vms = len(self.node_state.members.live(moment_s))
        views = self.node_state.views_of_service(service)
        returns = [
            (view, _returns_s(view, moment_s))
            for view in views
            if not view.is_departing
        ]
        return [
            ReturningPlaces(at_s=returns_s, places=view.slots / vms)
            for view, returns_s in returns
            if returns_s > moment_s
        ]

    def held_places(self, service: str) -> ExpectedPlaces:
        """Return how many places this VM's attempts have, and for how long."""
        attempts = sum(
            view.occupancy.local_total().attempts
            for view in self.node_state.views_of_service(service)
        )
        return ExpectedPlaces(
            places=max(1, attempts),
            within_s=self.holding_s.get(service, _INITIAL_HOLDING_S),
            is_limit=False,
        )

    def has_accepting_engine(self, service: str) -> bool:
        """Return whether an engine neither loads weights nor asked for a pause.

        True if there is no engine that would be back.
        """
        moment_s = now_s()
        staying = [
            view
            for view in self.node_state.views_of_service(service)
            if not view.is_departing
        ]
        return not staying or any(
            _returns_s(view, moment_s) <= moment_s for view in staying
        )

    def count_obstacles(self, request: PlacementRequest) -> str:
        """Return why no server is eligible, each counted once."""
        views = self.node_state.views_of_service(request.incoming.service.name)
        if not views:
            return 'none is registered'
        moment_s = now_s()
        obstacles = Counter(
            self._obstacle(view, request, moment_s) for view in views
        )
        counts = [f'{count} {name}' for name, count in obstacles.items()]
        return ', '.join((f'of {len(views)}', *counts))

    def will_get_weights(
        self, incoming: IncomingRequest, version: int | None
    ) -> bool:
        """Return whether an engine without ``version`` is to load it."""
        model = incoming.parsed_headers.model
        target = self.node_state.catalog.targets.get(model)
        if target is None or target.version != version:
            return False
        views = self.node_state.views_of_service(incoming.service.name)
        return bool(outdated_engines(views, model, version))

    def record_arrival(self, incoming: IncomingRequest) -> None:
        """Count an arriving model request in the recent work.

        The recent work decides how many engines are assigned to short and to
        long prompts. It counts requests before they are placed, because
        otherwise prompts of a length without an engine would never be assigned
        one.
        """
        size = request_size_of(incoming)
        self.node_state.recent_work.record_request(
            prompt_tokens=size.prompt_tokens,
            uncached_tokens=int(
                size.prompt_tokens
                - size.shared_prefix_tokens * _EXPECTED_PREFIX_HIT_SHARE,
            ),
            output_tokens=size.output_tokens,
            now_s=now_s(),
        )

    def commit(self, request: PlacementRequest, placement: Placement) -> None:
        """Count the attempt as in flight until ``release``."""
        self._log_placement(request, placement)
        self.prefix_planner.record_sent(placement)
        placement.view.occupancy.open_attempt(placement.attempt)
        self.node_state.notify_report_changed()

    def release(self, placement: Placement) -> None:
        """Stop counting the attempt as in flight."""
        self._record_holding(placement)
        self.prefix_planner.record_end(placement)
        placement.view.occupancy.close_attempt(placement.attempt)
        self.node_state.notify_report_changed()

    def _record_holding(self, placement: Placement) -> None:
        service = placement.view.service
        held_s = now_s() - placement.attempt.sent_s
        mean_s = self.holding_s.get(service, held_s)
        self.holding_s[service] = mean_s + _HOLDING_SMOOTHING * (
            held_s - mean_s
        )

    def _obstacle(
        self, view: EngineView, request: PlacementRequest, moment_s: float
    ) -> str:
        if not request.allows_server(view):
            return 'tried'
        if view.is_departing:
            return 'leaves'
        if not view.accepts_requests(moment_s):
            return 'paused'
        if not self._runs_allowed_weights(view, request, moment_s):
            return 'without its weights'
        return 'usable'

    def _runs_allowed_weights(
        self,
        view: EngineView,
        request: PlacementRequest,
        moment_s: float,
    ) -> bool:
        """Return whether ``view`` runs weights that may serve ``request``.

        A version that the operator's target replaced may be served only for
        a limited time.
        """
        incoming = request.incoming
        model = incoming.parsed_headers.model
        if not incoming.is_model_request:
            return True
        version = view.expected_weights(model, moment_s)
        required = request.resume_point.weights_version
        if version is None or required not in {None, version}:
            return False
        target = self.node_state.catalog.targets.get(model)
        if target is None:
            return True
        limit_s = (
            self.node_state.settings.bounds.weights_switch_s
            - _WEIGHTS_SEND_MARGIN_S
        )
        return not target.is_version_expired(version, moment_s, limit_s)

    def _start_by_s(self, model: str, version: int | None) -> float:
        """Return until when work on a version may begin, infinity if always.

        An engine begins with the first event, which may be long after the
        request was sent.
        """
        target = self.node_state.catalog.targets.get(model)
        if target is None or version is None:
            return float('inf')
        limit_s = (
            self.node_state.settings.bounds.weights_switch_s
            - _WEIGHTS_START_MARGIN_S
        )
        return target.replaced_s(version) + limit_s

    def _choose_server(
        self,
        incoming: IncomingRequest,
        usable: list[EngineView],
        fractions: Mapping[str, float],
        plan: PrefixPlan | None,
        moment_s: float,
    ) -> EngineChoice | None:
        if not incoming.is_model_request:
            return choose_plain_server(
                usable,
                own_zone=self.node_state.settings.zone,
                now_s=moment_s,
                rng=self.node_state.rng,
            )
        placement_context = PlacementContext(
            own_zone=self.node_state.settings.zone,
            cache_capacity_tokens=incoming.service.kv_capacity_tokens,
            short_prompt_fractions=fractions,
            prefix_plan=plan,
            prefix_hit_saving=_PREFIX_SAVING_WITH_CACHE_STORE
            if self._cache_store_address()
            else 1.0,
            max_queued_tokens=incoming.route.target_latency_s
            * _QUEUED_PREFILL_LATENCY_SHARE
            / self.node_state.prefill_s_per_token,
            now_s=moment_s,
            has_late_reports=_has_late_reports(
                self.node_state, incoming.service
            ),
        )
        return choose_model_engine(
            request_size_of(incoming),
            usable,
            placement_context=placement_context,
            rng=self.node_state.rng,
        )

    def _short_prompt_fractions(
        self, service: str, views: list[EngineView], moment_s: float
    ) -> Mapping[str, float]:
        """Return the partition of the service's engines, kept for a moment.

        It follows work that is averaged over seconds.
        """
        known = self.partitions.get(service)
        is_outdated = (
            known is None
            or moment_s - known.computed_s > _PARTITION_LIFETIME_S
            or len(known.fractions) != len(views)
        )
        if is_outdated:
            known = Partition(
                computed_s=moment_s,
                fractions=short_prompt_fractions(
                    views, self.node_state.short_prompt_share()
                ),
            )
            self.partitions[service] = known
        return known.fractions

    def _log_placement(
        self, request: PlacementRequest, placement: Placement
    ) -> None:
        view = placement.view
        moment_s = placement.attempt.sent_s
        occupancy = view.occupancy.total(moment_s)
        _LOG.info(
            'placed',
            fields={
                'request_id': request.incoming.attempt_id,
                'server': view.id,
                'candidates': placement.candidate_count,
                'cost': round(placement.choice.cost, 1),
                'uncached': placement.choice.uncached_tokens,
                'ahead': occupancy.uncached_tokens,
                'attempts': occupancy.attempts,
                'weights': placement.attempt_headers.weights_version,
                'outdated_ms': _outdated_ms(
                    placement,
                    self.node_state.catalog.targets.get(placement.model),
                ),
                'prefix_rank': _prefix_rank(placement),
                'prefix_source': placement.attempt_headers.kv_fetch_address,
                'is_saved': bool(placement.attempt_headers.kv_save_address),
                'slowdown': view.slowdown,
                'speed': round(view.speed.current_speed, 3),
                'load_age_ms': int((moment_s - view.load_reported_s) * 1000),
                **stop_fields(self.node_state),
            },
        )

    def _build_attempt_headers(
        self,
        request: PlacementRequest,
        view: EngineView,
        plan: PrefixPlan | None,
        moment_s: float,
    ) -> AttemptHeaders:
        incoming = request.incoming
        team = incoming.team
        remaining_s = max(_MIN_REMAINING_S, incoming.remaining_s())
        attempt_headers = AttemptHeaders(
            instance=view.id,
            time_to_deadline_s=remaining_s,
            team=team.name if team else '',
            priority=_priority(incoming),
            resume_after_event_id=request.resume_point.event_id,
        )
        if not incoming.is_model_request:
            return attempt_headers
        version = view.expected_weights(incoming.parsed_headers.model, moment_s)
        save_address = self._cache_store_address()
        fetch_address = save_address
        if plan is not None:
            fetch_address = plan.source_of(view.id)
            save_address = plan.save_address(view.id)
        return attrs.evolve(
            attempt_headers,
            weights_version=version,
            cache_salt=_cache_salt(
                self.node_state.configuration, incoming, version
            ),
            kv_fetch_address=fetch_address,
            kv_save_address=save_address,
        )

    def _cache_store_address(self) -> str:
        configuration = self.node_state.configuration
        if configuration is None or not configuration.kv_cache_stores:
            return ''
        return configuration.kv_cache_stores[0].address


def _has_late_reports(node_state: NodeState, service: ServiceSpec) -> bool:
    """Return whether other VMs place much at engines before it is known."""
    members = node_state.members.members
    return bool(service.kv_capacity_tokens) and has_tiers(len(members))


def _expect_prefill(
    node_state: NodeState,
    service: ServiceSpec,
    views: list[EngineView],
    moment_s: float,
) -> None:
    """Expect engines to work on what others reported some time ago.

    That matters where reports of other zones are later than engines, in a
    fleet of two tiers.
    """
    tokens_per_s = 0.0
    if _has_late_reports(node_state, service):
        tokens_per_s = 1 / node_state.prefill_s_per_token
    for view in views:
        view.occupancy.drain_tokens_per_s = tokens_per_s / time_factor(
            view, moment_s
        )


def _cache_salt(
    configuration: Configuration | None,
    incoming: IncomingRequest,
    version: int | None,
) -> str:
    """Return under which name cached parts are read and written.

    The ``configuration`` in force now decides, which may be newer than the one
    that accepted the request.
    """
    return f'{cache_scope(configuration, incoming.team)}-{version}'


def _prefix_rank(placement: Placement) -> int | None:
    """Return the place of the engine among the owners of the prefix."""
    plan = placement.prefix_plan
    return plan.owners.get(placement.view.id) if plan else None


def _returns_s(view: EngineView, moment_s: float) -> float:
    """Return when a load of weights or a requested pause ends, if any."""
    returns_s = max(moment_s, view.rejects_until_s)
    if view.is_loading_weights(moment_s):
        return max(returns_s, view.planned_load.finish_s)
    return returns_s


def _outdated_ms(
    placement: Placement, target: TrackedTarget | None
) -> int | None:
    """Return for how long the expected weights have been replaced."""
    version = placement.attempt_headers.weights_version
    if version is None or target is None:
        return None
    return milliseconds(placement.attempt.sent_s - target.replaced_s(version))


def _priority(incoming: IncomingRequest) -> int:
    return min(
        _LOWEST_PRIORITY, max(_HIGHEST_PRIORITY, incoming.route.priority)
    )
