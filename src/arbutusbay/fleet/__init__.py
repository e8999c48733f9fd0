"""Model the fleet: its configuration, services, backend servers and VMs."""

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
