"""Define the settings of the control daemon."""

import attrs

from arbutusbay.settings import (
    DrainSettings,
    LogSettings,
    NodeSettings,
    PlatformSettings,
    between,
)


@attrs.frozen(kw_only=True)
class MembershipSettings:
    """Set the timing of the membership protocol, in milliseconds.

    A heartbeat is sent every ``heartbeat_ms``. A member counts as dead after
    ``dead_after_ms`` without an update. The platform's list of VMs is polled
    every ``vm_list_ms``.
    """

    heartbeat_ms: int = attrs.field(default=500, validator=between(50, 10_000))
    dead_after_ms: int = attrs.field(
        default=4000,
        validator=between(200, 60_000),
    )
    vm_list_ms: int = attrs.field(default=1000, validator=between(100, 5000))


@attrs.frozen(kw_only=True)
class LedgerSettings:
    """Set the size and the retention of the idempotency ledger.

    A key is kept for ``window_s`` seconds after its first record. The
    platform must keep the records of the log for longer. ``partitions`` must
    equal the routers' setting ``ledger_partitions``.
    """

    partitions: int = attrs.field(default=4, validator=between(1, 64))
    window_s: int = attrs.field(default=86_400, validator=between(1, 604_800))


@attrs.frozen(kw_only=True)
class LeaseSettings:
    """Set the timing of the controllers' lease and of snapshots.

    The lease lasts ``ttl_ms`` milliseconds. Its holder writes a snapshot of
    the configuration every ``snapshot_s`` seconds. An order to load
    weights can reach a backend server up to ``longest_order_ms`` milliseconds
    after it was sent; then an unfinished order may be sent again.
    """

    ttl_ms: int = attrs.field(default=5000, validator=between(200, 120_000))
    snapshot_s: int = attrs.field(default=3600, validator=between(1, 86_400))
    longest_order_ms: int = attrs.field(
        default=5000,
        validator=between(0, 600_000),
    )


@attrs.frozen(kw_only=True)
class ControlSettings:
    """Hold all settings of one control daemon.

    ``peers`` are URLs of other control daemons, from which the configuration
    is fetched if the platform is down at a cold start.
    """

    node: NodeSettings
    platform: PlatformSettings
    peers: list[str] = attrs.field(factory=list)
    membership: MembershipSettings = MembershipSettings()
    ledger: LedgerSettings = LedgerSettings()
    lease: LeaseSettings = LeaseSettings()
    logs: LogSettings = LogSettings()
    drain: DrainSettings = DrainSettings(notice_ms=1000, limit_s=10)
