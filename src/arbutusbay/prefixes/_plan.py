"""Decide which engine owns a shared prefix and where others fetch it.

The owner is the first engine in the rendezvous order of the prefix, so all
VMs agree on it without a message. An engine with much more than the mean load
takes none (consistent hashing with bounded loads): the engines behind it do,
in this order, and copy the prefix instead of reading it: from the store of
the prefix, or from the owner where there is no store.
"""

from collections.abc import Collection, Mapping, Sequence

import attrs

from arbutusbay.hashing import rank_by_rendezvous_hash
from arbutusbay.prefixes._transfers import zone_factor
from arbutusbay.prefixes._types import (
    CacheStoreSite,
    EngineCache,
    SharedPrefix,
    TransferSpec,
)

# A new cache is half filled with what its engine is asked for after this.
_FILL_HALF_LIFE_S = 2.0
# What a source may have dropped makes a fetch worth less.
_SOURCE_HIT_SHARE = 0.9
# The engines behind the owner are cheaper the earlier they come.
_COPY_COST_DECAY = 0.5
# An engine with more than this times the mean attempts comes last for now.
_MAX_LOAD_FACTOR = 1.5
_MIN_LOAD_BOUND = 1


@attrs.frozen(kw_only=True)
class KeptPrefix:
    """Tell what is known of a prefix outside the engines.

    ``store`` keeps it, None if there is no store. It was saved lately for
    ``saved_versions`` of the weights.
    """

    store: CacheStoreSite | None = None
    saved_versions: Collection[int | None] = ()


@attrs.frozen(kw_only=True)
class PrefixLoad:
    """Tell how busy the engines are and how often the prefix is asked for.

    ``attempts`` are those in flight at each engine at ``now_s``. ``replicas``
    engines should hold the prefix.
    """

    now_s: float
    attempts: Mapping[str, int] = attrs.field(factory=dict)
    replicas: int = 1


@attrs.frozen(kw_only=True)
class PrefixPlan:
    """Tell what each engine would read of a shared prefix, and from where.

    ``owners`` maps engines to their rank, from 0, in the order in which they
    take requests with the prefix, ``caches`` the engines that may be chosen to
    what is known of their caches; ``kept`` is what is known of the store. The
    first replicas of the owners take requests alike.
    """

    prefix: SharedPrefix
    owners: Mapping[str, int]
    caches: Mapping[str, EngineCache]
    transfer: TransferSpec
    kept: KeptPrefix
    load: PrefixLoad

    @property
    def store(self) -> CacheStoreSite | None:
        """Return the store that keeps the prefix, None if none does."""
        return self.kept.store

    def read_tokens(self, engine_id: str) -> int:
        """Return how many tokens of the prefix an engine will likely read.

        What no store got lately was not read lately either.
        """
        cache = self.caches[engine_id]
        if self.store and not self.is_saved_for(engine_id):
            return self.prefix.tokens
        fetched = 0.0
        if self.source_of(engine_id):
            fetched = _SOURCE_HIT_SHARE * self._source_share(cache)
        return int(
            self.prefix.tokens * (1 - self._own_share(cache)) * (1 - fetched)
        )

    def is_saved_for(self, engine_id: str) -> bool:
        """Return whether the store has the prefix for an engine's weights."""
        version = self.caches[engine_id].weights_version
        return version in self.kept.saved_versions

    def copy_cost_tokens(self, engine_id: str) -> float:
        """Return what another copy costs, as a number of prompt tokens.

        It takes the place of as much that is read or fetched again later. The
        engines behind the owner are cheaper the earlier they come, so that few
        of them hold the prefix.
        """
        rank = self.owners.get(engine_id, len(self.owners))
        excess = max(0, rank - self.load.replicas + 1)
        if not excess:
            return 0.0
        return (1 - _COPY_COST_DECAY**excess) * self.prefix.tokens

    def source_of(self, engine_id: str) -> str:
        """Return the address that an engine fetches from, empty for none.

        A fetch that takes longer than reading isn't worth it.
        """
        cache = self.caches[engine_id]
        source = self.store or self._owner_for(cache)
        if source is None or not self._is_worth_fetching(cache, source.zone):
            return ''
        return source.address

    def save_address(self, engine_id: str) -> str:
        """Return the store that an engine saves to, empty for none."""
        if self.store is None or self.is_saved_for(engine_id):
            return ''
        return self.store.address

    def _own_share(self, cache: EngineCache) -> float:
        rank = self.owners.get(cache.id, len(self.owners))
        return self._filled_share(cache) if rank < self.load.replicas else 0.0

    def _source_share(self, cache: EngineCache) -> float:
        if self.store:
            return 1.0
        owner = self._owner_for(cache)
        return self._filled_share(owner) if owner else 0.0

    def _filled_share(self, cache: EngineCache) -> float:
        """Return how much of what it is asked for an engine holds."""
        age_s = self.load.now_s - cache.filled_since_s
        return 1 - 0.5 ** (age_s / _FILL_HALF_LIFE_S)

    def _owner_for(self, cache: EngineCache) -> EngineCache | None:
        """Return the owner if it is another engine that may help ``cache``."""
        owner = self.caches.get(next(iter(self.owners), ''))
        if owner is None or owner is cache:
            return None
        is_same_version = owner.weights_version == cache.weights_version
        return owner if is_same_version else None

    def _is_worth_fetching(self, cache: EngineCache, source_zone: str) -> bool:
        """Return whether a fetch takes no longer than reading.

        Reading holds up the other requests of an engine, a fetch doesn't.
        """
        if not self.prefix.tokens:
            return False
        fetch_s = self.transfer.token_s * zone_factor(source_zone, cache.zone)
        return fetch_s <= self.transfer.prefill_s_per_token


def plan_prefix(
    prefix: SharedPrefix,
    caches: Sequence[EngineCache],
    owner_ids: Sequence[str],
    *,
    transfer: TransferSpec,
    kept: KeptPrefix,
    load: PrefixLoad,
) -> PrefixPlan:
    """Return the plan for a prefix that ``owner_ids`` of ``caches`` may own."""
    caches_by_id = {cache.id: cache for cache in caches}
    ranked = _overloaded_last(
        rank_by_rendezvous_hash(prefix.key, owner_ids), load.attempts
    )
    return PrefixPlan(
        prefix=prefix,
        owners={engine_id: rank for rank, engine_id in enumerate(ranked)},
        caches=caches_by_id,
        transfer=transfer,
        kept=kept,
        load=load,
    )


def store_for(
    prefix: SharedPrefix, stores: Sequence[CacheStoreSite]
) -> CacheStoreSite | None:
    """Return the store that keeps a prefix, None if none does.

    Each prefix has one store, whatever the engine, so that the stores
    together keep as much as they can and the loss of an engine moves nothing.
    """
    if not stores or not prefix.tokens:
        return None
    by_address = {store.address: store for store in stores}
    return by_address[rank_by_rendezvous_hash(prefix.key, by_address)[0]]


def _overloaded_last(
    ranked: Sequence[str], attempts: Mapping[str, int]
) -> list[str]:
    """Return the engines in order, those with too much load at the end."""
    total = sum(attempts.get(engine_id, 0) for engine_id in ranked)
    bound = _MIN_LOAD_BOUND + _MAX_LOAD_FACTOR * total / max(1, len(ranked))
    return sorted(
        ranked, key=lambda engine_id: attempts.get(engine_id, 0) > bound
    )
