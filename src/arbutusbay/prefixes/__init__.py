"""Expose the decisions on where shared prefixes of prompts live."""

from arbutusbay.prefixes._cache_ages import CacheAges
from arbutusbay.prefixes._plan import PrefixPlan, plan_prefix
from arbutusbay.prefixes._popularity import PrefixPopularity
from arbutusbay.prefixes._saved import (
    MAX_REPORTED,
    Origin,
    SavedPrefixes,
    SavedReport,
)
from arbutusbay.prefixes._types import (
    CacheStoreSite,
    EngineCache,
    SharedPrefix,
    TransferSpec,
)

__all__ = (
    'MAX_REPORTED',
    'CacheAges',
    'CacheStoreSite',
    'EngineCache',
    'Origin',
    'PrefixPlan',
    'PrefixPopularity',
    'SavedPrefixes',
    'SavedReport',
    'SharedPrefix',
    'TransferSpec',
    'plan_prefix',
)
