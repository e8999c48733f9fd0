"""Plan where the shared prefix of a request is held, for its placement."""

from collections.abc import Mapping, Sequence

from arbutusbay.clock import now_s
from arbutusbay.fleet import (
    Configuration,
    KVCacheStoreSpec,
    ServiceSpec,
    cache_scope,
)
from arbutusbay.logs import get_logger
from arbutusbay.node._incoming_request import IncomingRequest
from arbutusbay.node._node_state import NodeState
from arbutusbay.node._placement import Placement, request_size_of
from arbutusbay.prefixes import (
    CacheStoreSite,
    EngineCache,
    EngineCaches,
    KeptPrefix,
    PrefixLoad,
    PrefixPlan,
    PrefixPopularity,
    SharedPrefix,
    TransferSpec,
    plan_prefix,
    store_for,
)
from arbutusbay.scheduling import EngineView, engines_for_length

_LOG = get_logger('prefixes')


class PrefixPlanner:
    """Plan from the views of engines and the configuration in force.

    ``usable_stores`` are those of the last plan: the ``stores`` that the
    configuration names but for those ``left_out``.
    """

    def __init__(self, *, node_state: NodeState) -> None:
        """Read the views of engines on ``node_state``."""
        self.node_state = node_state
        self.engine_caches = EngineCaches(started_s=now_s())
        self.popularity = PrefixPopularity()
        self.stores: Sequence[KVCacheStoreSpec] | None = None
        self.left_out: frozenset[str] = frozenset()
        self.usable_stores: Sequence[CacheStoreSite] = ()

    def plan(
        self,
        incoming: IncomingRequest,
        usable: Sequence[EngineView],
        fractions: Mapping[str, float],
        moment_s: float,
    ) -> PrefixPlan | None:
        """Return the plan for a request, None where engines can't fetch."""
        service = incoming.service
        configuration = self.node_state.configuration
        if configuration is None or not _can_fetch(service):
            return None
        prefix = _shared_prefix(configuration, incoming)
        model = incoming.parsed_headers.model
        self.engine_caches.retain(self.node_state.engine_views)
        caches = [self._engine_cache(view, model, moment_s) for view in usable]
        owner_ids = engines_for_length(prefix.prompt_tokens, usable, fractions)
        return plan_prefix(
            prefix,
            caches,
            owner_ids,
            transfer=TransferSpec(
                token_s=service.kv_token_bytes / service.link_bytes_per_s,
                prefill_s_per_token=self.node_state.prefill_s_per_token,
            ),
            kept=self._kept_prefix(prefix, caches, moment_s),
            load=PrefixLoad(
                now_s=moment_s,
                attempts={
                    view.id: view.occupancy.total(moment_s).attempts
                    for view in usable
                },
                replicas=self.popularity.replicas(
                    prefix.key, len(owner_ids), moment_s
                ),
            ),
        )

    def record_sent(self, placement: Placement) -> None:
        """Count a request with a shared prefix that is sent."""
        plan = placement.prefix_plan
        if plan is None or not plan.prefix.tokens:
            return
        self.popularity.record(plan.prefix.key, placement.attempt.sent_s)
        is_first = plan.owners.get(placement.view.id) == 0
        is_saved = bool(placement.attempt_headers.kv_save_address)
        self.node_state.prefix_placements[is_first, is_saved] += 1

    def record_end(self, placement: Placement) -> None:
        """Record that a store has the prefix, if the engine has read it."""
        plan = placement.prefix_plan
        headers = placement.attempt_headers
        if plan is None or not headers.kv_save_address:
            return
        if placement.attempt.has_first_event:
            key = _saved_key(plan.prefix.key, headers.weights_version)
            self.node_state.saved_prefixes.record(key, now_s())

    def _kept_prefix(
        self,
        prefix: SharedPrefix,
        caches: Sequence[EngineCache],
        moment_s: float,
    ) -> KeptPrefix:
        return KeptPrefix(
            store=store_for(prefix, self._usable_stores(moment_s)),
            saved_versions=self._saved_versions(prefix.key, caches, moment_s),
        )

    def _usable_stores(self, moment_s: float) -> Sequence[CacheStoreSite]:
        """Return the stores without those that don't answer.

        A store that is left out leaves its prefixes to the others, and it has
        lost what it kept when it is back.
        """
        stores = self.node_state.configuration.kv_cache_stores
        left_out = self.node_state.store_health.left_out(moment_s)
        if left_out != self.left_out:
            self._record_left_out(left_out)
        elif stores is self.stores:
            return self.usable_stores
        self.stores = stores
        self.node_state.store_health.follow([store.address for store in stores])
        self.usable_stores = [
            CacheStoreSite(address=store.address, zone=store.zone)
            for store in stores
            if store.address not in left_out
        ]
        return self.usable_stores

    def _record_left_out(self, left_out: frozenset[str]) -> None:
        self.node_state.saved_prefixes.clear()
        _LOG.info(
            'stores of cache left out',
            fields={
                'stores': sorted(left_out),
                'before': sorted(self.left_out),
                'found_here': self.node_state.store_health.found_dead(),
            },
        )
        self.left_out = left_out

    def _saved_versions(
        self, name: str, caches: Sequence[EngineCache], moment_s: float
    ) -> frozenset[int | None]:
        saved = self.node_state.saved_prefixes
        versions = {cache.weights_version for cache in caches}
        return frozenset(
            version
            for version in versions
            if saved.is_saved(_saved_key(name, version), moment_s)
        )

    def _engine_cache(
        self, view: EngineView, model: str, moment_s: float
    ) -> EngineCache:
        return self.engine_caches.find(
            view.id,
            view.incarnation,
            view.expected_weights(model, moment_s),
            address=view.address,
            zone=view.zone,
            now_s=moment_s,
        )


def _saved_key(name: str, version: int | None) -> str:
    """Return the name of a prefix in the stores for a version of weights."""
    return f'{version}/{name}'


def _shared_prefix(
    configuration: Configuration, incoming: IncomingRequest
) -> SharedPrefix:
    size = request_size_of(incoming)
    scope = cache_scope(configuration, incoming.team)
    return SharedPrefix(
        key=f'{scope}/{size.affinity_key}',
        tokens=size.shared_prefix_tokens,
        prompt_tokens=size.prompt_tokens,
    )


def _can_fetch(service: ServiceSpec) -> bool:
    """Return whether the time of a fetch is known for a service."""
    return service.kv_token_bytes > 0 and service.link_bytes_per_s > 0
