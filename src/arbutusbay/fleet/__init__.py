"""Model the fleet: its configuration, services, backend servers and VMs."""

from arbutusbay.fleet._cache_scope import cache_scope
from arbutusbay.fleet._catalog import FleetCatalog, LeaseState, TrackedTarget
from arbutusbay.fleet._types import (
    BackendServer,
    ClientLimits,
    Configuration,
    KVCacheStoreSpec,
    LeaseClaim,
    QuotaSpec,
    QuotaUnit,
    RequestKind,
    RouteSpec,
    RouteTarget,
    ServiceSpec,
    TeamSpec,
    VMRegistration,
    WeightsTarget,
)

__all__ = (
    'BackendServer',
    'ClientLimits',
    'Configuration',
    'FleetCatalog',
    'KVCacheStoreSpec',
    'LeaseClaim',
    'LeaseState',
    'QuotaSpec',
    'QuotaUnit',
    'RequestKind',
    'RouteSpec',
    'RouteTarget',
    'ServiceSpec',
    'TeamSpec',
    'TrackedTarget',
    'VMRegistration',
    'WeightsTarget',
    'cache_scope',
)
