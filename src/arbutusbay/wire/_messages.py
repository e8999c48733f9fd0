"""Typed messages between the processes of arbutusbay.

Each class mirrors the struct of its name in ``arbutusbay.capnp``.
Offsets are positions in the platform's log, -1 before the first record.
"""

import attrs

NO_OFFSET = -1


@attrs.frozen(kw_only=True)
class Member:
    """Describe one VM as the membership protocol knows it."""

    node: str
    host: str
    zone: str
    incarnation: int
    counter: int = 0
    config_offset: int = NO_OFFSET
    router_offset: int = NO_OFFSET
    leaving: bool = False


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Carry the freshest members that the sender knows, itself first."""

    sender: str
    members: list[Member]


@attrs.frozen(kw_only=True)
class ResourceEntry:
    """Carry one resource; ``spec`` is JSON, ``version`` its log offset."""

    kind: str
    name: str
    spec: str
    version: int


@attrs.frozen(kw_only=True)
class ConfigRequest:
    """Ask for configuration newer than ``after``, waiting up to ``wait_ms``."""

    after: int
    wait_ms: int
    node: str


@attrs.frozen(kw_only=True)
class ResourceKey:
    """Name one resource."""

    kind: str
    name: str


@attrs.frozen(kw_only=True)
class ConfigReply:
    """Answer with the configuration at ``offset`` when ``changed``.

    ``entries`` holds all resources when ``full``; otherwise what was put
    since the asker's offset, and ``removed`` what was deleted since.
    """

    offset: int
    entries: list[ResourceEntry]
    members: list[Member]
    changed: bool
    leaving: list[str]
    full: bool = True
    removed: list[ResourceKey] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class LedgerRequest:
    """Ask the owner of a key's partition to record or look up one step."""

    action: str
    key: str
    nonce: str
    fingerprint: str = ''
    status: int = 0
    content_type: str = ''
    body: bytes = b''


@attrs.frozen(kw_only=True)
class LedgerReply:
    """Answer with the state of the key after the request's own record."""

    verdict: str
    status: int = 0
    content_type: str = ''
    body: bytes = b''


@attrs.frozen(kw_only=True)
class LookupRequest:
    """Ask how much of a prefix each engine of ``pool`` holds.

    ``hashes`` are chained block hashes, shortest prefix first.
    """

    pool: str
    hashes: list[int]


@attrs.frozen(kw_only=True)
class EngineView:
    """Describe one engine as its index owner knows it.

    ``depth`` counts the hashes of the request that the engine holds;
    ``age_ms`` is the age of the load report.
    """

    name: str
    incarnation: str
    weights_version: str
    depth: int = 0
    running: int = 0
    waiting: int = 0
    queued_tokens: int = 0
    slots: int = 0
    age_ms: int = 0
    ready: bool = True
    leaving: bool = False


@attrs.frozen(kw_only=True)
class LookupReply:
    """Answer a lookup with the engines that the owner watches."""

    engines: list[EngineView]
