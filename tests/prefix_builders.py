"""Build prefixes, the places that hold them, and a fleet that reads them."""

import collections
import random

import attrs

from arbutusbay.prefixes import (
    CacheStoreSite,
    EngineCache,
    KeptPrefix,
    PrefixLoad,
    PrefixPlan,
    PrefixPopularity,
    SavedPrefixes,
    SharedPrefix,
    TransferSpec,
    plan_prefix,
    store_for,
)
from arbutusbay.scheduling import (
    EngineView,
    ModelRequestSize,
    Occupancy,
    PlacementContext,
    choose_model_engine,
)

FORMS = 4
FORM_TOKENS = 2520
SUBJECT_TOKENS = 3780
OWN_TOKENS = 2890
DECODE_S = 0.2
# The end of the run, and the way to VMs of other zones.
SAVE_REPORT_S = 0.9
# What was last used longer ago is rarely asked for again.
REUSE_S = 10.0
PREFILL_S_PER_TOKEN = 1 / 69_800
TRANSFER = TransferSpec(
    token_s=131_072 * 8 / 550e9, prefill_s_per_token=PREFILL_S_PER_TOKEN
)
ZONES = ('plateau', 'harbour', 'hill')
STORES = tuple(
    CacheStoreSite(address=f'10.0.0.{number}:1', zone=zone)
    for number, zone in enumerate(ZONES)
)


def build_prefix(key: str = 'shared/part-1') -> SharedPrefix:
    """Return a prefix of the size that long prompts share."""
    return SharedPrefix(key=key, tokens=FORM_TOKENS + SUBJECT_TOKENS)


def form_of(key: str) -> str:
    """Return the form with which the prompts about a subject begin."""
    scope, _, _ = key.rpartition('/')
    return f'{scope}/form-{sum(key.encode()) % FORMS}'


def build_caches(count: int = 6, **changes) -> list[EngineCache]:
    """Return the caches of engines that have been filled for long."""
    return [
        EngineCache(
            id=f'engine-{number}',
            address=f'10.1.0.{number}:1',
            zone=ZONES[number % len(ZONES)],
            weights_version=1,
            **changes,
        )
        for number in range(count)
    ]


def build_plan(
    caches, *, prefix=None, token_s=None, stores=STORES, load=None, **kept
) -> PrefixPlan:
    """Return the plan in which each of the engines may own the prefix.

    ``kept`` is what is known of the prefix in its store.
    """
    prefix = prefix or build_prefix()
    return plan_prefix(
        prefix,
        caches,
        [cache.id for cache in caches],
        transfer=attrs.evolve(TRANSFER, token_s=token_s or TRANSFER.token_s),
        kept=KeptPrefix(store=store_for(prefix, stores), **kept),
        load=load or PrefixLoad(now_s=0.0),
    )


class LeastRecentlyUsed:
    """Keep prefixes and what nobody shares, as an engine or a store does."""

    def __init__(self, capacity_tokens: int) -> None:
        """Hold up to ``capacity_tokens``."""
        self.capacity_tokens = capacity_tokens
        self.held: collections.OrderedDict[str, int] = collections.OrderedDict()

    def use(self, key: str, tokens: int) -> None:
        """Hold a part as the last one used."""
        self.held[key] = tokens
        self.held.move_to_end(key)
        while sum(self.held.values()) > self.capacity_tokens:
            self.held.popitem(last=False)


@attrs.define(kw_only=True)
class Run:
    """Describe a request at an engine."""

    engine_id: str
    begins_s: float
    ends_s: float
    uncached_tokens: int


class Fleet:
    """Place requests as many VMs do that see each other's late reports.

    Within ``report_s`` no VM sees what another one sent. Prompts have 2,890
    tokens of their own behind ``prefix_tokens`` that others share. The key of a
    prefix is that of a scope and of a subject, which has one of four forms.
    """

    def __init__(
        self,
        *,
        vms: int,
        engines: int,
        engine_tokens: int,
        store_tokens: int,
        token_s: float = TRANSFER.token_s,
    ) -> None:
        """Create a fleet with three stores."""
        self.token_s = token_s
        self.popularities = [PrefixPopularity() for _ in range(vms)]
        self.caches = build_caches(engines)
        self.views = [
            EngineView(
                id=cache.id,
                service='language',
                address=cache.address,
                zone=cache.zone,
                slots=64,
            )
            for cache in self.caches
        ]
        self.rng = random.Random(7)
        self.engine_tokens = engine_tokens
        self.memory = {
            cache.address: LeastRecentlyUsed(engine_tokens)
            for cache in self.caches
        }
        for store in STORES:
            self.memory[store.address] = LeastRecentlyUsed(store_tokens)
        self.runs: list[Run] = []
        self.sent = collections.Counter()
        self.shared_tokens = 0
        self.read_again_tokens = 0
        self.busy_until_s = collections.Counter()
        self.last_used_s: dict[str, float] = {}
        self.saved = SavedPrefixes()
        self.unreported: list[tuple[float, str]] = []
        self.saves = 0
        self.is_reporting = True
        self.now_s = 0.0
        self.version = 1
        self.emptied_s = dict.fromkeys(self.views_by_id(), float('-inf'))

    def play(self, subjects, weights, *, per_s, seconds, report_s=0.1) -> None:
        """Place requests for ``subjects``, drawn by ``weights``."""
        for _ in range(int(seconds / report_s)):
            self.now_s += report_s
            moment_s = self.now_s
            self.runs = [run for run in self.runs if run.ends_s > moment_s]
            if self.is_reporting:
                self._report(moment_s)
            keys = self.rng.choices(subjects, weights, k=int(per_s * report_s))
            for key in keys:
                self.place(key, moment_s)

    def place(self, key: str, moment_s: float) -> str:
        """Place a request; return the engine."""
        prefix = build_prefix(key)
        views = self.views_by_id()
        popularity = self.rng.choice(self.popularities)
        replicas = popularity.replicas(key, len(self.caches), moment_s)
        popularity.record(key, moment_s)
        caches = [
            attrs.evolve(
                cache,
                filled_since_s=self.emptied_s[cache.id],
            )
            for cache in self.caches
        ]
        is_saved = self.saved.is_saved(f'{self.version}/{key}', moment_s)
        plan = build_plan(
            caches,
            prefix=prefix,
            load=PrefixLoad(
                now_s=moment_s,
                attempts={
                    name: view.occupancy.total(moment_s).attempts
                    for name, view in views.items()
                },
                replicas=replicas,
            ),
            token_s=self.token_s,
            saved_versions={1} if is_saved else (),
        )
        choice = choose_model_engine(
            ModelRequestSize(
                prompt_tokens=prefix.tokens + OWN_TOKENS,
                output_tokens=9,
                shared_prefix_tokens=prefix.tokens,
                affinity_key=key,
            ),
            self.views,
            placement_context=PlacementContext(
                own_zone=self.rng.choice(ZONES),
                cache_capacity_tokens=self.engine_tokens,
                short_prompt_fractions=dict.fromkeys(plan.caches, 0.0),
                prefix_hit_saving=1.0,
                max_queued_tokens=20_000,
                now_s=moment_s,
                prefix_plan=plan,
            ),
            rng=self.rng,
        )
        engine_id = choice.engine.id
        self.sent[engine_id] += 1
        read_tokens = OWN_TOKENS + self._read(plan, engine_id, moment_s)
        begins_s = (
            max(moment_s, self.busy_until_s[engine_id])
            + read_tokens * PREFILL_S_PER_TOKEN
        )
        self.busy_until_s[engine_id] = begins_s
        self.runs.append(
            Run(
                engine_id=engine_id,
                begins_s=begins_s,
                ends_s=begins_s + DECODE_S,
                uncached_tokens=choice.uncached_tokens,
            )
        )
        return engine_id

    def restart(self, engine_id: str) -> None:
        """Replace an engine's cache by an empty one."""
        address = self.views_by_id()[engine_id].address
        self.memory[address] = LeastRecentlyUsed(self.engine_tokens)
        self.emptied_s[engine_id] = self.now_s

    def load_weights(self) -> None:
        """Let all engines load other weights, so that no cache is of use."""
        self.version += 1
        for engine_id in self.views_by_id():
            self.restart(engine_id)

    def views_by_id(self) -> dict[str, EngineView]:
        """Return the views of the engines by their ids."""
        return {view.id: view for view in self.views}

    def busiest_to_mean(self) -> float:
        """Return the requests of the busiest engine over their mean."""
        return max(self.sent.values()) * len(self.views) / self.sent.total()

    def _read(self, plan: PrefixPlan, engine_id: str, moment_s: float) -> int:
        """Return how many shared tokens the engine reads; hold them there."""
        subject = plan.prefix.key
        memory = self.memory[plan.caches[engine_id].address]
        source = self.memory.get(plan.source_of(engine_id))
        store = self.memory.get(plan.save_address(engine_id))
        read_tokens = 0
        for name, tokens in (
            (form_of(subject), FORM_TOKENS),
            (subject, SUBJECT_TOKENS),
        ):
            key = f'{self.version}/{name}'
            is_found = read_tokens == 0 and key in memory.held
            if (
                not is_found
                and source
                and key in source.held
                and not read_tokens
            ):
                source.use(key, tokens)
                is_found = True
            self.shared_tokens += tokens
            if not is_found:
                read_tokens += tokens
                if moment_s - self.last_used_s.get(key, -60) < REUSE_S:
                    self.read_again_tokens += tokens
            self.last_used_s[key] = moment_s
            memory.use(key, tokens)
            if store:
                store.use(key, tokens)
        own_key = f'own-{self.shared_tokens}'
        memory.use(own_key, OWN_TOKENS)
        if store:
            store.use(own_key, OWN_TOKENS)
            self.saves += 1
            key = f'{self.version}/{subject}'
            self.unreported.append((moment_s + SAVE_REPORT_S, key))
        return read_tokens

    def _report(self, moment_s: float) -> None:
        """Tell all VMs what runs at each engine, and what was saved."""
        while self.unreported and self.unreported[0][0] <= moment_s:
            self.saved.record(self.unreported.pop(0)[1], moment_s)
        for view in self.views:
            runs = [run for run in self.runs if run.engine_id == view.id]
            view.occupancy.record_report(
                'others',
                Occupancy(
                    attempts=len(runs),
                    uncached_tokens=sum(
                        run.uncached_tokens
                        for run in runs
                        if run.begins_s > moment_s
                    ),
                    kv_tokens=len(runs) * 6000,
                ),
                moment_s,
            )
