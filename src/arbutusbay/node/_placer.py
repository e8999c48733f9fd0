"""Choose a backend server for each attempt and account for it."""

import attrs

from arbutusbay.logs import get_logger
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._clock import now_s
from arbutusbay.node._incoming import IncomingRequest
from arbutusbay.node._placement import Demand, Placement, work_of
from arbutusbay.platform import AttemptOrders, EngineLoad
from arbutusbay.scheduling import (
    Attempt,
    Choice,
    EngineView,
    ModelSetting,
    ModelWork,
    Outcome,
    choose_for_model,
    choose_for_plain,
    short_fractions,
    usable_engines,
)

_LOG = get_logger('placement')
_WEIGHTS_MARGIN_S = 1.0
_SAVING_WITH_STORE = 0.4
_WARM_SHARE = 0.75
_ROOM_SHARE = 0.6
_LEAST_TIME_S = 0.001
_MOST_URGENT = 0
_LEAST_URGENT = 9
_SHARED_BY_ALL = 'shared'


class Placer:
    """Place attempts and learn from what became of them."""

    def __init__(self, *, board: NodeBoard) -> None:
        """Read and update the views on ``board``."""
        self.board = board

    def find(self, demand: Demand) -> Placement | None:
        """Return where an attempt would go now, None if nowhere."""
        moment_s = now_s()
        incoming = demand.incoming
        work = work_of(incoming)
        views = self.board.views_of(incoming.service.name)
        admitted = [
            view
            for view in views
            if demand.admits(view)
            and self._runs_wanted_weights(view, demand, moment_s)
        ]
        usable = usable_engines(admitted, moment_s)
        choice = self._choose(incoming, usable, views, work, moment_s)
        if choice is None:
            return None
        return Placement(
            choice=choice,
            orders=self._orders(demand, choice.engine, moment_s),
            attempt=Attempt(
                sent_s=moment_s,
                uncached_tokens=choice.uncached_tokens,
                ahead_tokens=choice.engine.occupancy(moment_s).uncached_tokens,
                resident_tokens=work.resident_tokens,
            ),
            model=incoming.head.model,
            candidates=len(usable),
        )

    def put_arrival(self, incoming: IncomingRequest) -> None:
        """Count a request for a model, whether it finds a place or not.

        Were only placed ones counted, a kind that finds no engine meant
        for it would never get one.
        """
        work = work_of(incoming)
        self.board.mix.put(
            prompt_tokens=work.prompt_tokens,
            uncached_tokens=int(
                work.prompt_tokens - work.shared_tokens * _WARM_SHARE,
            ),
            output_tokens=work.output_tokens,
            now_s=now_s(),
        )

    def commit(self, demand: Demand, placement: Placement) -> None:
        """Count the attempt as out, until it is released."""
        self._log_choice(demand, placement)
        placement.view.out.add(placement.attempt)
        self.board.notify_load()

    def release(self, placement: Placement) -> None:
        """No longer count the attempt as out."""
        placement.view.out.discard(placement.attempt)
        self.board.notify_load()

    def put_load(self, view: EngineView, load: EngineLoad | None) -> None:
        """Take up the load that an answer told."""
        if load is not None:
            view.put_load(
                running=load.running,
                slowdown=load.slowdown,
                now_s=now_s(),
            )

    def put_weights(
        self,
        view: EngineView,
        model: str,
        version: int | None,
    ) -> None:
        """Take up the weights version that an answer told."""
        if version is None or view.weights.get(model) == version:
            return
        view.put_answered_weights(model, version, now_s())
        self.board.notify_load()

    def put_mismatch(self, placement: Placement, instance: str) -> None:
        """Learn from a refusal because something else was expected.

        Another instance has the address, or the weights have changed: an
        order may be carried out late. Then the named version is expected
        next, or the registered one if that was wrong.
        """
        view = placement.view
        expected = placement.orders.weights_version
        model = placement.model
        if expected is None or instance not in {'', view.id}:
            view.put_failure(now_s())
            return
        target = self.board.catalog.targets.get(model)
        registered = self.board.catalog.servers.get(view.id)
        guess = target.version if target else expected
        if guess == expected and registered is not None:
            guess = registered.weights.get(model, expected)
        view.load = None
        self.put_weights(view, model, guess)
        _LOG.info(
            'weights expected anew',
            fields={'server': view.id, 'before': expected, 'now': guess},
        )

    def put_failure(self, view: EngineView, outcome: Outcome) -> None:
        """Avoid a backend server that failed an attempt."""
        if outcome is Outcome.REJECTED:
            return
        if outcome is Outcome.RAN_AND_FAILED:
            view.put_result(1, now_s())
            return
        pause_s = view.put_failure(now_s())
        _LOG.info(
            'server avoided',
            fields={
                'server': view.id,
                'outcome': outcome.value,
                'failures': view.failures,
                'pause_s': pause_s,
            },
        )

    def _runs_wanted_weights(
        self,
        view: EngineView,
        demand: Demand,
        moment_s: float,
    ) -> bool:
        incoming = demand.incoming
        model = incoming.head.model
        if not incoming.is_for_model:
            return True
        version = view.expected_weights(model, moment_s)
        if version is None or demand.weights_version not in {None, version}:
            return False
        target = self.board.catalog.targets.get(model)
        if target is None:
            return True
        limit_s = self.board.settings.bounds.weights_s - _WEIGHTS_MARGIN_S
        return not target.is_overdue(version, moment_s, limit_s)

    def _choose(
        self,
        incoming: IncomingRequest,
        usable: list[EngineView],
        views: list[EngineView],
        work: ModelWork,
        moment_s: float,
    ) -> Choice | None:
        if not incoming.is_for_model:
            return choose_for_plain(
                usable,
                own_zone=self.board.settings.zone,
                now_s=moment_s,
                rng=self.board.rng,
            )
        setting = ModelSetting(
            own_zone=self.board.settings.zone,
            capacity_tokens=incoming.service.kv_capacity_tokens,
            short_fractions=short_fractions(
                views,
                self.board.short_share(),
            ),
            holder_saving=_SAVING_WITH_STORE
            if self._cache_store_address()
            else 1.0,
            room_tokens=incoming.route.target_latency_s
            * _ROOM_SHARE
            / self.board.prefill_s,
            now_s=moment_s,
        )
        return choose_for_model(
            work,
            usable,
            setting=setting,
            rng=self.board.rng,
        )

    def _log_choice(self, demand: Demand, placement: Placement) -> None:
        view = placement.view
        moment_s = placement.attempt.sent_s
        out = view.occupancy(moment_s)
        _LOG.info(
            'placed',
            fields={
                'request_id': demand.incoming.id,
                'server': view.id,
                'candidates': placement.candidates,
                'cost': round(placement.choice.cost, 1),
                'uncached': placement.choice.uncached_tokens,
                'ahead': out.uncached_tokens,
                'attempts': out.attempts,
                'weights': placement.orders.weights_version,
                'slowdown': view.slowdown,
                'load_age_ms': int((moment_s - view.reported_s) * 1000),
            },
        )

    def _orders(
        self,
        demand: Demand,
        view: EngineView,
        moment_s: float,
    ) -> AttemptOrders:
        incoming = demand.incoming
        team = incoming.team
        remaining_s = max(_LEAST_TIME_S, incoming.remaining_s())
        orders = AttemptOrders(
            instance=view.id,
            remaining_s=remaining_s,
            team=team.name if team else '',
            priority=_priority(incoming),
            resume_after=demand.resume_after,
        )
        if not incoming.is_for_model:
            return orders
        version = view.expected_weights(incoming.head.model, moment_s)
        store = self._cache_store_address()
        return attrs.evolve(
            orders,
            weights_version=version,
            cache_salt=_cache_salt(incoming, version),
            fetch_from=store,
            save_to=store,
        )

    def _cache_store_address(self) -> str:
        configuration = self.board.configuration
        if configuration is None or not configuration.cache_stores:
            return ''
        return configuration.cache_stores[0].address


def _priority(incoming: IncomingRequest) -> int:
    return min(_LEAST_URGENT, max(_MOST_URGENT, incoming.route.priority))


def _cache_salt(incoming: IncomingRequest, version: int | None) -> str:
    team = incoming.team
    scope = _SHARED_BY_ALL
    if team is not None and team.is_isolated:
        scope = f'team-{team.name}'
    return f'{scope}-{version}'
