"""Hold a lease by conditional appends of claims to the store."""

from result import Err, Ok

from arbutusbay.clock import milliseconds, now_s
from arbutusbay.fleet import LeaseClaim
from arbutusbay.logs import get_logger
from arbutusbay.node._coordination import read_coordination_topic
from arbutusbay.node._node_state import NodeState
from arbutusbay.platform import (
    ConditionFailed,
    DeploymentLimits,
    StoreClient,
    StorePosition,
    Topic,
    encode_lease_claim,
)
from arbutusbay.scheduling import (
    LeaseDurations,
    ObservedClaim,
    ObservedEra,
    can_claim,
    fencing_token,
    is_claim_valid,
)

_LOG = get_logger('lease')
_STORE_TIMEOUT_S = 0.8
_VALIDITY_RATIO = 0.5
_MAX_CLAIM_ATTEMPTS = 3
WEIGHTS_LEASE_NAME = 'weights'
_TAKEOVER_MARGIN_S = 0.2


def lease_durations_from_bounds(bounds: DeploymentLimits) -> LeaseDurations:
    """Return the timings that keep the terms of two holders apart.

    A takeover waits until the last claim has expired, then for the lease
    time, and then for as long as load orders of a suspended VM may still
    arrive, plus a safety margin.
    """
    validity_s = bounds.lease_s * _VALIDITY_RATIO
    slack_s = bounds.resume_slack_s + _TAKEOVER_MARGIN_S
    return LeaseDurations(
        validity_s=validity_s,
        takeover_after_s=validity_s + bounds.lease_s + slack_s,
    )


class Lease:
    """Claim, renew and check one lease.

    The position of a claim gives its fencing token (``fence``). ``end`` is the
    end of the topic, None if the topic has to be read again. A claim made
    before the store was restored is void. ``awaited_fence`` is the fencing
    token of the last claim of another VM that this VM waited for,
    ``tenure_fence`` that of this VM's first claim after another VM's.
    """

    def __init__(
        self,
        *,
        name: str,
        holder: str,
        node_state: NodeState,
        store: StoreClient,
    ) -> None:
        """Claim the lease ``name`` for ``holder``."""
        self.name = name
        self.holder = holder
        self.node_state = node_state
        self.store = store
        self.durations = lease_durations_from_bounds(node_state.settings.bounds)
        self.end: StorePosition | None = None
        self.claim_era: int | None = None
        self.fence: int | None = None
        self.claim_sent_s = float('-inf')
        self.claim_number = 0
        self.awaited_fence: int | None = None
        self.tenure_fence: int | None = None

    def valid_fence(self) -> int | None:
        """Return the fencing token while the lease is held, else None."""
        is_era_current = self.claim_era == self.node_state.store_era.number
        if is_era_current and is_claim_valid(
            self.claim_sent_s, now_s(), self.durations
        ):
            return self.fence
        return None

    def is_last_holder(self) -> bool:
        """Return whether this VM made the newest known claim."""
        return self.last_holder() == self.holder

    def last_holder(self) -> str | None:
        """Return the VM that made the newest known claim, None without one."""
        known = self.node_state.catalog.leases.get(self.name)
        return known.claim.holder if known else None

    def free_since_s(self) -> float:
        """Return when the newest known claim of another VM ends, or ended.

        Minus infinity without such a claim.
        """
        known = self.node_state.catalog.leases.get(self.name)
        if known is None or known.claim.holder == self.holder:
            return float('-inf')
        return known.observed_s + self.durations.takeover_after_s

    async def acquire_or_renew(self) -> int | None:
        """Return the fencing token, claiming or renewing the lease if needed.

        None means that another VM may hold the lease, the store failed, or
        each attempt conflicted with another append.
        """
        fence = self.valid_fence()
        if fence is not None:
            return fence
        for _ in range(_MAX_CLAIM_ATTEMPTS):
            if not self._is_end_current() and not await self._read_claims():
                return None
            if not self._can_claim():
                self.log_wait()
                return None
            if not await self._append_claim(self.end):
                break
        return self.valid_fence()

    def log_wait(self) -> None:
        """Log, once for each claim of another VM, that this VM waits."""
        known = self.node_state.catalog.leases.get(self.name)
        if known is None or known.fence == self.awaited_fence:
            return
        self.awaited_fence = known.fence
        _LOG.info(
            'lease held by another VM',
            fields={
                'lease': self.name,
                'holder': known.claim.holder,
                'fence': known.fence,
                'claim_age_ms': milliseconds(now_s() - known.observed_s),
                'takeover_after_ms': milliseconds(
                    self.durations.takeover_after_s
                ),
            },
        )

    def _is_end_current(self) -> bool:
        era = self.node_state.store_era.number
        return self.end is not None and self.end.era == era

    def _can_claim(self) -> bool:
        known = self.node_state.catalog.leases.get(self.name)
        observed = None
        if known is not None:
            observed = ObservedClaim(
                holder=known.claim.holder, observed_s=known.observed_s
            )
        era = self.node_state.store_era.first_read or ObservedEra(
            observed_s=now_s(), is_restored=False, is_first=False
        )
        return can_claim(self.holder, observed, era, now_s(), self.durations)

    async def _append_claim(self, end: StorePosition) -> bool:
        """Append a claim at ``end``; return whether another append came first.

        A claim that the store appended in a later era does not count: offsets
        are assigned again there, so the condition proves nothing.
        """
        self.claim_number += 1
        claim = LeaseClaim(
            name=self.name,
            holder=self.holder,
            claim_number=self.claim_number,
        )
        key, payload = encode_lease_claim(claim)
        sent_s = now_s()
        appended = await self.store.append(
            Topic.COORDINATION,
            key,
            payload,
            timeout_s=_STORE_TIMEOUT_S,
            expected_end=end.offset,
        )
        match appended:
            case Ok(position) if position.era == end.era:
                self._record_claim(claim, position, sent_s)
                return False
            case Ok(position):
                self.node_state.observe_store_era(position.era)
                self.end = None
                _LOG.info(
                    'lease claim void; store was restored',
                    fields={'lease': self.name, 'era': position.era},
                )
                return False
            case Err(failure):
                self.end = None
                is_conflict = isinstance(failure, ConditionFailed)
                _LOG.info(
                    'lease not claimed',
                    fields={
                        'lease': self.name,
                        'conflict': is_conflict,
                        'failure': repr(failure),
                    },
                )
                return is_conflict

    def _record_claim(
        self, claim: LeaseClaim, position: StorePosition, sent_s: float
    ) -> None:
        fence = fencing_token(store_era=position.era, offset=position.offset)
        if self.tenure_fence is None or not self.is_last_holder():
            self.tenure_fence = fence
        self.fence = fence
        self.claim_era = position.era
        self.claim_sent_s = sent_s
        self.end = StorePosition(era=position.era, offset=position.offset + 1)
        self.node_state.catalog.update_claim(claim, fence, now_s())
        _LOG.info(
            'lease claimed',
            fields={'lease': self.name, 'fence': fence},
        )

    async def _read_claims(self) -> bool:
        read = await read_coordination_topic(
            self.node_state,
            self.store,
            timeout_s=_STORE_TIMEOUT_S,
        )
        match read:
            case Ok(found):
                self.end = found.end
                return True
            case Err(failure):
                _LOG.info(
                    'lease claims not read',
                    fields={'lease': self.name, 'failure': repr(failure)},
                )
                return False
