"""Define the messages between the router and model engines.

``GenerationRequest``, ``WeightsOrder`` and ``LoadReport`` are sent as JSON
under the names of their fields.
"""

import enum

import attrs


class Priority(enum.IntEnum):
    """Rank requests inside an engine; the lowest value runs first."""

    URGENT = 0
    NORMAL = 1


@attrs.frozen(kw_only=True)
class GenerationRequest:
    """Ask an engine to generate a stream of text pieces.

    ``attempt`` identifies the attempt and is echoed in each event.
    ``incarnation`` is that of the engine which must run the request, empty
    if the request relies on no cached state. Pieces before index
    ``resume_from`` were already relayed to the client and are not sent again.
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
class GenerationStart:
    """Begin a stream and report how much of the prompt was cached."""

    cached_tokens: int
    prompt_tokens: int


@attrs.frozen(kw_only=True)
class EngineIdentity:
    """Identify the engine's incarnation and its weights version.

    The incarnation changes with each start of the engine.
    """

    incarnation: str
    weights_version: str


@attrs.frozen(kw_only=True)
class EngineMismatch:
    """Report that an engine refused because of its identity."""

    identity: EngineIdentity


@attrs.frozen(kw_only=True)
class TextPiece:
    """Carry one piece of generated text and its index in the response."""

    index: int
    text: str


@attrs.frozen(kw_only=True)
class GenerationEnd:
    """End a complete stream.

    ``pieces`` counts all pieces of the response, also those that an earlier
    attempt relayed.
    """

    pieces: int
    finish_reason: str


GenerationEvent = (
    EngineIdentity
    | EngineMismatch
    | GenerationStart
    | TextPiece
    | GenerationEnd
)


@attrs.frozen(kw_only=True)
class LoadReport:
    """Describe the load that an engine reports.

    ``running`` and ``waiting`` count requests, ``queued_tokens`` the prompt
    tokens that are not computed yet.
    """

    running: int
    waiting: int
    queued_tokens: int
    slots: int
    ready: bool
    leaving: bool


@attrs.frozen(kw_only=True)
class CacheEventPage:
    """Hold a page of cache events and the engine's load.

    ``next_sequence`` is the sequence number after which the next page
    starts. ``gap`` means that events before or within this page were
    lost.
    """

    incarnation: str
    weights_version: str
    next_sequence: int
    gap: bool
    events: list['CacheEvent']
    load: LoadReport


@attrs.frozen(kw_only=True)
class CacheEvent:
    """Report hashes of blocks that entered and left an engine's cache.

    Within an event, blocks in ``stored`` entered the cache before those in
    ``removed`` left it.
    """

    stored: list[int]
    removed: list[int]


@attrs.frozen(kw_only=True)
class WeightsOrder:
    """Order an engine to load a weights version.

    ``fence`` is the fencing token of the lease for rollouts.
    """

    weights_version: str
    fence: int
