"""Expose what is in force: its types and the fold over the store."""

from arbutusbay.fleet._catalog import Catalog, HeldLease, NamedTarget
from arbutusbay.fleet._types import (
    BackendServer,
    CacheStoreSpec,
    ClientLimits,
    Configuration,
    LeaseClaim,
    RequestKind,
    RouteRule,
    ServiceSpec,
    TeamAccess,
    VMRecord,
    WeightedService,
    WeightsTarget,
)

__all__ = (
    'BackendServer',
    'CacheStoreSpec',
    'Catalog',
    'ClientLimits',
    'Configuration',
    'HeldLease',
    'LeaseClaim',
    'NamedTarget',
    'RequestKind',
    'RouteRule',
    'ServiceSpec',
    'TeamAccess',
    'VMRecord',
    'WeightedService',
    'WeightsTarget',
)
