"""Expose the clients of model engines and of other HTTP services."""

from arbutusbay.backend._block_hashes import (
    CacheNamespace,
    compute_block_hashes,
)
from arbutusbay.backend._engine_client import EngineClient
from arbutusbay.backend._engine_messages import (
    CacheEvent,
    CacheEventPage,
    EngineIdentity,
    EngineMismatch,
    GenerationEnd,
    GenerationEvent,
    GenerationRequest,
    GenerationStart,
    LoadReport,
    Priority,
    TextPiece,
    WeightsOrder,
)
from arbutusbay.backend._http_service import (
    IDEMPOTENCY_KEY_HEADER,
    ServiceCall,
    ServiceResponse,
    accept_response,
    call_service,
)

__all__ = (
    'IDEMPOTENCY_KEY_HEADER',
    'CacheEvent',
    'CacheEventPage',
    'CacheNamespace',
    'EngineClient',
    'EngineIdentity',
    'EngineMismatch',
    'GenerationEnd',
    'GenerationEvent',
    'GenerationRequest',
    'GenerationStart',
    'LoadReport',
    'Priority',
    'ServiceCall',
    'ServiceResponse',
    'TextPiece',
    'WeightsOrder',
    'accept_response',
    'call_service',
    'compute_block_hashes',
)
