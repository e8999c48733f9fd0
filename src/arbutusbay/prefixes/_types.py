"""Define shared prefixes and the places that may hold their KV cache."""

import attrs


@attrs.frozen(kw_only=True)
class SharedPrefix:
    """Identify the part of a prompt that other requests share.

    ``key`` names it and the scope of teams that may read it, whatever the
    weights; ``root_key`` names its first segment alike, empty if it has no
    other. ``prompt_tokens`` is the size of the whole prompt.
    """

    key: str
    tokens: int
    prompt_tokens: int = 0
    root_key: str = ''


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
    """Locate a store of KV cache outside the engines.

    ``link_bytes_per_s`` is 0 if it isn't known.
    """

    address: str
    zone: str = ''
    link_bytes_per_s: float = 0.0


@attrs.frozen(kw_only=True)
class TransferSpec:
    """Tell how long it takes to move cache to an engine, or to prefill it.

    ``token_s`` is the time to move the cache of one token over the engine's
    own link, within a zone.
    """

    token_s: float
    prefill_s_per_token: float
