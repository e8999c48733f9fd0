"""Expose the decisions on which engines hold shared prefixes of prompts."""

from arbutusbay.prefixes._engine_caches import EngineCaches
from arbutusbay.prefixes._plan import (
    KeptPrefix,
    PrefixLoad,
    PrefixPlan,
    plan_prefix,
    store_for,
)
from arbutusbay.prefixes._popularity import PrefixPopularity
from arbutusbay.prefixes._saved import (
    MAX_PREFIX_HASH,
    MAX_REPORTED,
    Origin,
    SavedPrefixes,
    SavedReport,
)
from arbutusbay.prefixes._store_health import (
    MAX_REPORTED_STORES,
    StoreHealth,
)
from arbutusbay.prefixes._types import (
    CacheStoreSite,
    EngineCache,
    SharedPrefix,
    TransferSpec,
)

__all__ = (
    'MAX_PREFIX_HASH',
    'MAX_REPORTED',
    'MAX_REPORTED_STORES',
    'CacheStoreSite',
    'EngineCache',
    'EngineCaches',
    'KeptPrefix',
    'Origin',
    'PrefixLoad',
    'PrefixPlan',
    'PrefixPopularity',
    'SavedPrefixes',
    'SavedReport',
    'SharedPrefix',
    'StoreHealth',
    'TransferSpec',
    'plan_prefix',
    'store_for',
)
