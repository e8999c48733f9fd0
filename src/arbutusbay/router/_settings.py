"""Define the settings of the router."""

import attrs

from arbutusbay.policy import PolicyName
from arbutusbay.settings import (
    DrainSettings,
    LogSettings,
    NodeSettings,
    between,
)


@attrs.frozen(kw_only=True)
class LimitSettings:
    """Limit retries, queues and lookups.

    ``max_attempts`` limits consecutive attempts that relay no output.
    ``retry_ratio`` limits retries to a fraction of the requests.
    ``queue_length`` limits the requests that wait for one pool.
    ``lookup_ms`` limits the time of a cache index lookup.
    """

    max_attempts: int = attrs.field(default=3, validator=between(1, 10))
    retry_ratio: float = attrs.field(default=0.2, validator=between(0, 1))
    queue_length: int = attrs.field(default=2000, validator=between(1, 10**6))
    lookup_ms: int = attrs.field(default=20, validator=between(1, 1000))


@attrs.frozen(kw_only=True)
class RouterSettings:
    """Hold all settings of one router.

    ``peers`` are URLs of control daemons on other VMs, used if the one on
    this VM does not answer. ``ledger_partitions`` must equal the setting of
    the control daemons.
    """

    node: NodeSettings
    peers: list[str] = attrs.field(factory=list)
    policy: PolicyName = PolicyName.COST
    ledger_partitions: int = attrs.field(default=4, validator=between(1, 64))
    limits: LimitSettings = LimitSettings()
    logs: LogSettings = LogSettings()
    drain: DrainSettings = DrainSettings()
