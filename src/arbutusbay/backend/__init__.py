"""Expose the clients of model engines and plain HTTP services."""

from arbutusbay.backend._blocks import CacheIdentity, chain_hashes
from arbutusbay.backend._engine import EngineClient
from arbutusbay.backend._engine_messages import (
    CacheEvent,
    CacheEvents,
    EngineIdentity,
    Generation,
    LoadReport,
    Piece,
    Priority,
    StreamEnd,
    StreamEvent,
    StreamStart,
    WeightsOrder,
)
from arbutusbay.backend._plain_service import (
    KEY_HEADER,
    ServiceAnswer,
    ServiceCall,
    call_service,
)

__all__ = (
    'KEY_HEADER',
    'CacheEvent',
    'CacheEvents',
    'CacheIdentity',
    'EngineClient',
    'EngineIdentity',
    'Generation',
    'LoadReport',
    'Piece',
    'Priority',
    'ServiceAnswer',
    'ServiceCall',
    'StreamEnd',
    'StreamEvent',
    'StreamStart',
    'WeightsOrder',
    'call_service',
    'chain_hashes',
)
