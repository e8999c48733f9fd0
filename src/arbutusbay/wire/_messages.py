"""Define the messages between the processes of arbutusbay.

Each class mirrors the struct of the same name in ``arbutusbay.capnp``.
Offsets are positions in the platform's log, ``NO_OFFSET`` before the first
record.
"""

import attrs

NO_OFFSET = -1


@attrs.frozen(kw_only=True)
class Member:
    """Describe one VM in the membership protocol.

    ``incarnation`` rises with each start of its control daemon, ``counter``
    with each update of this description. ``config_offset`` and
    ``router_offset`` are the offsets of the configurations that its control
    daemon and its router have.
    """

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
    """Carry the newest known state of each member, the sender first."""

    sender: str
    members: list[Member]


@attrs.frozen(kw_only=True)
class ResourceEntry:
    """Carry one resource.

    ``spec`` is JSON, ``version`` the log offset at which it was written.
    """

    kind: str
    name: str
    spec: str
    version: int


@attrs.frozen(kw_only=True)
class ConfigRequest:
    """Ask for a configuration newer than the offset ``after``.

    The reply may be delayed by up to ``wait_ms`` milliseconds until there
    is one.
    """

    after: int
    wait_ms: int
    node: str


@attrs.frozen(kw_only=True)
class ResourceKey:
    """Identify one resource."""

    kind: str
    name: str


@attrs.frozen(kw_only=True)
class ConfigReply:
    """Reply with the configuration at ``offset`` if it ``changed``.

    ``entries`` holds all resources if ``full`` is set. Otherwise it holds
    those put since the requested offset and ``removed`` those deleted since.
    ``leaving`` names the hosts of VMs that are about to leave.
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
    """Ask the owner of an idempotency key to record or look up a step.

    A VM owns a key by owning its ledger partition. ``nonce`` identifies the
    attempt, ``fingerprint`` the request that uses the key. ``status``,
    ``content_type`` and ``body`` hold the response to record.
    """

    action: str
    key: str
    nonce: str
    fingerprint: str = ''
    status: int = 0
    content_type: str = ''
    body: bytes = b''


@attrs.frozen(kw_only=True)
class LedgerReply:
    """Reply with the state of the key after the requested step.

    ``verdict`` is the state as seen by the requesting attempt. If the
    attempt that claimed the key has finished, the other attributes hold its
    recorded response.
    """

    verdict: str
    status: int = 0
    content_type: str = ''
    body: bytes = b''


@attrs.frozen(kw_only=True)
class LookupRequest:
    """Ask how much of a prefix each engine of ``pool`` has cached.

    ``hashes`` are chained block hashes, shortest prefix first.
    """

    pool: str
    hashes: list[int]


@attrs.frozen(kw_only=True)
class EngineView:
    """Describe one engine as known to the VM that owns its cache index.

    ``depth`` counts the leading hashes of the lookup request that the engine
    has cached. ``age_ms`` is the age of the load report in
    milliseconds.
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
    """Reply to a lookup with the engines whose cache index the VM owns."""

    engines: list[EngineView]


@attrs.frozen(kw_only=True)
class EndSuspect:
    """Name a prompt segment that an engine had when it ended."""

    model: str
    segment: str
    depth: int
    is_starting: bool


@attrs.frozen(kw_only=True)
class EndEntry:
    """Report that an engine ended ``age_ms`` milliseconds ago."""

    incarnation: str
    age_ms: int
    suspects: list[EndSuspect]


@attrs.frozen(kw_only=True)
class AnswerEntry:
    """Count recent sound responses; the last started ``age_ms`` ago."""

    model: str
    segment: str
    count: int
    age_ms: int


@attrs.frozen(kw_only=True)
class VerdictEntry:
    """State whether a prompt segment is quarantined, since ``age_ms``."""

    model: str
    segment: str
    revision: int
    is_quarantined: bool
    age_ms: int
    probes: int


@attrs.frozen(kw_only=True)
class QuarantineExchange:
    """Report prompt segments to a control daemon; it replies in kind.

    The reply may be delayed by up to ``wait_ms`` milliseconds until another
    router has reported something new.
    """

    reporter: str
    ends: list[EndEntry]
    answers: list[AnswerEntry]
    verdicts: list[VerdictEntry]
    wait_ms: int = 0


@attrs.frozen(kw_only=True)
class QuotaAsk:
    """Ask a control daemon for a grant of a team's limit.

    ``key`` is the same if the caller returns with the request, which it would
    do after up to ``patience_ms``.
    """

    team: str
    cost: float
    key: int
    patience_ms: int


@attrs.frozen(kw_only=True)
class QuotaLoan:
    """Lend the share of a VM to the owner of a partition, and ask for a grant.

    The share of ``node`` is lent for ``lease_ms``, 0 for no time, or taken
    back if it ``is_released``. An empty ``team`` asks for nothing. The limit
    is the one that the VM has, written at the offset ``version``.
    """

    node: str
    partition: int
    lease_ms: int = 0
    is_released: bool = False
    team: str = ''
    cost: float = 0.0
    key: int = 0
    patience_ms: int = 0
    version: int = NO_OFFSET
    rate_per_s: float = 0.0
    burst: float = 0.0


@attrs.frozen(kw_only=True)
class QuotaReply:
    """Reply to an ask or a loan.

    A request that is not granted will be after ``retry_after_ms``, or never if
    that ``is_final``. ``share`` is the part of the fleet that lends its share
    to ``owner``, which is empty for a team without a limit.
    """

    is_granted: bool
    is_final: bool = False
    retry_after_ms: int = 0
    owner: str = ''
    share: float = 0.0


@attrs.frozen(kw_only=True)
class QuotaReturn:
    """Return to ``owner`` what a request cost that certainly did not run."""

    team: str
    cost: float
    owner: str
