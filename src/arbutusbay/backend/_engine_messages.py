"""Hold what is asked of model engines and what they answer."""

import enum

import attrs


class Priority(enum.IntEnum):
    """Order work inside an engine, lowest first."""

    URGENT = 0
    NORMAL = 1


@attrs.frozen(kw_only=True)
class Generation:
    """Ask an engine for a stream of pieces.

    ``incarnation`` is empty when the request relies on no cached state;
    pieces before ``resume_from`` were relayed already.
    """

    attempt: str
    team: str
    model: str
    adapter: str
    weights_version: str
    incarnation: str
    prompt: str
    max_tokens: int
    priority: Priority
    resume_from: int = 0


@attrs.frozen(kw_only=True)
class StreamStart:
    """Open a stream and tell how much of the prompt was cached."""

    cached_tokens: int
    prompt_tokens: int


@attrs.frozen(kw_only=True)
class EngineIdentity:
    """Tell which life of the engine answers, with which weights."""

    incarnation: str
    weights_version: str


@attrs.frozen(kw_only=True)
class Piece:
    """Carry one piece of text at its index in the answer."""

    index: int
    text: str


@attrs.frozen(kw_only=True)
class StreamEnd:
    """Close a stream that is whole; ``pieces`` counts from the start."""

    pieces: int
    finish_reason: str


StreamEvent = EngineIdentity | StreamStart | Piece | StreamEnd


@attrs.frozen(kw_only=True)
class LoadReport:
    """Describe an engine's load as it reported it."""

    running: int
    waiting: int
    queued_tokens: int
    slots: int
    ready: bool
    leaving: bool


@attrs.frozen(kw_only=True)
class CacheEvents:
    """Hold a page of cache events and the engine's load.

    Hashes in ``removed`` left the cache after those in ``stored`` entered
    it within the same event. ``gap`` tells that entries were lost.
    """

    incarnation: str
    weights_version: str
    next_sequence: int
    gap: bool
    events: list['CacheEvent']
    load: LoadReport


@attrs.frozen(kw_only=True)
class CacheEvent:
    """Tell which blocks entered and left an engine's cache."""

    stored: list[int]
    removed: list[int]


@attrs.frozen(kw_only=True)
class WeightsOrder:
    """Order an engine to load a weights version."""

    weights_version: str
    fence: int
