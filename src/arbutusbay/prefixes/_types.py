"""Define shared prefixes and the places that may hold their KV cache."""

import attrs


@attrs.frozen(kw_only=True)
class SharedPrefix:
    """Identify the part of a prompt that other requests share.

    ``key`` names it and the scope of teams that may read it, whatever the
    weights. ``prompt_tokens`` is the size of the whole prompt.
    """

    key: str
    tokens: int
    prompt_tokens: int = 0


@attrs.frozen(kw_only=True)
class EngineCache:
    """Describe an engine as a holder of KV cache.

    Cache of one ``weights_version`` is of no use to another; None if it isn't
    known. The engine has been filling its cache since its start or its last
    load of weights, at ``filled_since_s``.
    """

    id: str
    address: str
    zone: str
    weights_version: int | None
    filled_since_s: float = float('-inf')


@attrs.frozen(kw_only=True)
class CacheStoreSite:
    """Locate a store of KV cache outside the engines."""

    address: str
    zone: str = ''


@attrs.frozen(kw_only=True)
class TransferSpec:
    """Tell how long it takes to move cache to an engine, or to prefill it.

    ``token_s`` is the time to move the cache of one token over the engine's
    own link, within a zone.
    """

    token_s: float
    prefill_s_per_token: float
