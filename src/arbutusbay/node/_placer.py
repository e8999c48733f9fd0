"""Choose a backend server for each attempt and account for it."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs

from arbutusbay.logs import get_logger
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._clock import now_s
from arbutusbay.node._incoming import IncomingRequest
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
    weights_of,
)

_LOG = get_logger('placement')
_WEIGHTS_MARGIN_S = 1.0
_SAVING_WITH_STORE = 0.4
_WARM_SHARE = 0.75
_MOST_URGENT = 0
_LEAST_URGENT = 9
_SHARED_BY_ALL = 'shared'


@attrs.frozen(kw_only=True)
class Placement:
    """Bind one attempt to a backend server."""

    choice: Choice
    orders: AttemptOrders
    attempt: Attempt

    @property
    def view(self) -> EngineView:
        """Return the chosen backend server."""
        return self.choice.engine


@attrs.frozen(kw_only=True)
class Choosable:
    """Bound the choice: all but ``excluded``, or ``only`` some."""

    excluded: frozenset[str] = frozenset()
    only: frozenset[str] | None = None

    def admits(self, view: EngineView) -> bool:
        """Tell whether ``view`` may be chosen."""
        if self.only is not None:
            return view.id in self.only
        return view.id not in self.excluded


class Placer:
    """Place attempts and learn from what became of them."""

    def __init__(self, *, board: NodeBoard) -> None:
        """Read and update the views on ``board``."""
        self.board = board

    def place(
        self,
        incoming: IncomingRequest,
        choosable: Choosable,
        *,
        weights_version: int | None = None,
        resume_after: int = 0,
    ) -> Placement | None:
        """Return where the next attempt goes, None if nowhere.

        ``weights_version`` admits only engines that run it.
        """
        moment_s = now_s()
        views = [
            view
            for view in self.board.views_of(incoming.service.name)
            if choosable.admits(view)
            and self._runs_wanted_weights(view, incoming, weights_version)
        ]
        usable = usable_engines(views, moment_s)
        choice = self._choose(incoming, usable, moment_s)
        if choice is None:
            return None
        self._log_choice(incoming, choice, len(usable), moment_s)
        return Placement(
            choice=choice,
            orders=self._orders(incoming, choice.engine, resume_after),
            attempt=Attempt(
                sent_s=moment_s,
                uncached_tokens=choice.uncached_tokens,
                resident_tokens=_resident_tokens(incoming),
            ),
        )

    @contextmanager
    def occupying(self, placement: Placement) -> Iterator[None]:
        """Count the attempt as out while the block runs."""
        placement.view.out.add(placement.attempt)
        self.board.notify_load()
        try:
            yield
        finally:
            placement.view.out.discard(placement.attempt)
            self.board.notify_load()

    def put_load(self, view: EngineView, load: EngineLoad | None) -> None:
        """Take up the load that an answer told."""
        if load is not None:
            view.put_load(
                running=load.running,
                waiting=load.waiting,
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
        if version is not None and version > view.weights.get(model, -1):
            view.weights[model] = version
            self.board.notify_load()

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
        incoming: IncomingRequest,
        wanted: int | None,
    ) -> bool:
        model = incoming.head.model
        if not incoming.is_for_model:
            return True
        version = weights_of(view, model)
        if version is None or wanted not in {None, version}:
            return False
        target = self.board.catalog.targets.get(model)
        if target is None:
            return True
        limit_s = self.board.settings.bounds.weights_s - _WEIGHTS_MARGIN_S
        return not target.is_overdue(version, now_s(), limit_s)

    def _choose(
        self,
        incoming: IncomingRequest,
        usable: list[EngineView],
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
                self.board.views_of(incoming.service.name),
                self.board.short_share(),
            ),
            holder_saving=_SAVING_WITH_STORE
            if self._cache_store_address()
            else 1.0,
            now_s=moment_s,
        )
        work = work_of(incoming)
        choice = choose_for_model(
            work,
            usable,
            setting=setting,
            rng=self.board.rng,
        )
        if choice is not None:
            self.board.mix.put(
                prompt_tokens=incoming.head.prompt_tokens,
                uncached_tokens=int(
                    work.prompt_tokens - work.shared_tokens * _WARM_SHARE,
                ),
                output_tokens=incoming.head.max_output_tokens,
                now_s=moment_s,
            )
        return choice

    def _log_choice(
        self,
        incoming: IncomingRequest,
        choice: Choice,
        candidates: int,
        moment_s: float,
    ) -> None:
        view = choice.engine
        out = view.occupancy(moment_s)
        _LOG.info(
            'placed',
            fields={
                'request_id': incoming.id,
                'server': view.id,
                'candidates': candidates,
                'cost': round(choice.cost, 1),
                'uncached': choice.uncached_tokens,
                'ahead': out.uncached_tokens,
                'attempts': out.attempts,
                'weights': weights_of(view, incoming.head.model),
                'slowdown': view.slowdown,
                'load_age_ms': int((moment_s - view.reported_s) * 1000),
            },
        )

    def _orders(
        self,
        incoming: IncomingRequest,
        view: EngineView,
        resume_after: int,
    ) -> AttemptOrders:
        team = incoming.team
        remaining_s = max(0.001, incoming.remaining_s())
        name = team.name if team else ''
        if not incoming.is_for_model:
            return AttemptOrders(
                instance=view.id,
                remaining_s=remaining_s,
                team=name,
                priority=_priority(incoming),
                resume_after=resume_after,
            )
        version = weights_of(view, incoming.head.model)
        store = self._cache_store_address()
        return AttemptOrders(
            instance=view.id,
            remaining_s=remaining_s,
            team=name,
            priority=_priority(incoming),
            weights_version=version,
            cache_salt=_cache_salt(incoming, version),
            fetch_from=store,
            save_to=store,
            resume_after=resume_after,
        )

    def _cache_store_address(self) -> str:
        configuration = self.board.configuration
        if configuration is None or not configuration.cache_stores:
            return ''
        return configuration.cache_stores[0].address


def work_of(incoming: IncomingRequest) -> ModelWork:
    """Return what placement needs to know of a request for a model."""
    head = incoming.head
    shared = head.parts[:-1]
    return ModelWork(
        model=head.model,
        prompt_tokens=head.prompt_tokens,
        output_tokens=head.max_output_tokens,
        shared_tokens=sum(part.tokens for part in shared),
        affinity_key=shared[-1].id if shared else incoming.id,
    )


def _resident_tokens(incoming: IncomingRequest) -> int:
    head = incoming.head
    return head.prompt_tokens + head.max_output_tokens


def _priority(incoming: IncomingRequest) -> int:
    return min(_LEAST_URGENT, max(_MOST_URGENT, incoming.route.priority))


def _cache_salt(incoming: IncomingRequest, version: int | None) -> str:
    team = incoming.team
    scope = _SHARED_BY_ALL
    if team is not None and team.is_isolated:
        scope = f'team-{team.name}'
    return f'{scope}-{version}'
