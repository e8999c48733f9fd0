"""Hold a lease by appending claims under a condition to the store."""

from result import Err, Ok

from arbutusbay.fleet import LeaseClaim
from arbutusbay.logs import get_logger
from arbutusbay.node._board import NodeBoard
from arbutusbay.node._clock import now_s
from arbutusbay.node._coordination import read_coordination
from arbutusbay.platform import (
    Bounds,
    ConditionFailed,
    StoreClient,
    Topic,
    record_from_claim,
)
from arbutusbay.scheduling import (
    LeaseTimes,
    SeenClaim,
    is_claim_valid,
    may_claim,
)

_LOG = get_logger('lease')
_ANSWER_S = 0.8
_CLAIM_SHARE = 0.5
_CLAIM_TRIES = 3
WEIGHTS_LEASE = 'weights'
_MARGIN_S = 0.2


def times_from_bounds(bounds: Bounds) -> LeaseTimes:
    """Return the times that keep two holders apart."""
    valid_s = bounds.lease_s * _CLAIM_SHARE
    slack_s = bounds.thaw_slack_s + _MARGIN_S
    return LeaseTimes(
        valid_s=valid_s,
        takeover_s=valid_s + bounds.lease_s + slack_s,
    )


class Lease:
    """Claim, renew and check one lease; its fence is the claim's offset."""

    def __init__(
        self,
        *,
        name: str,
        holder: str,
        board: NodeBoard,
        store: StoreClient,
    ) -> None:
        """Claim the lease ``name`` for ``holder``."""
        self.name = name
        self.holder = holder
        self.board = board
        self.store = store
        self.times = times_from_bounds(board.settings.bounds)
        self.end: int | None = None
        self.fence: int | None = None
        self.sent_s = float('-inf')
        self.round = 0

    def valid_fence(self) -> int | None:
        """Return the fence while the lease is held, else None."""
        if is_claim_valid(self.sent_s, now_s(), self.times):
            return self.fence
        return None

    def is_last_holder(self) -> bool:
        """Tell whether this VM made the newest claim that is known."""
        held = self.board.catalog.leases.get(self.name)
        return held is not None and held.claim.holder == self.holder

    async def ensure(self) -> int | None:
        """Return the fence of a valid claim, claiming if need be."""
        fence = self.valid_fence()
        if fence is not None:
            return fence
        for _ in range(_CLAIM_TRIES):
            if self.end is None and not await self._read():
                return None
            if not self._may_claim():
                return None
            if not await self._claim():
                break
        return self.valid_fence()

    def _may_claim(self) -> bool:
        held = self.board.catalog.leases.get(self.name)
        seen = None
        if held is not None:
            seen = SeenClaim(holder=held.claim.holder, seen_s=held.seen_s)
        return may_claim(self.holder, seen, now_s(), self.times)

    async def _claim(self) -> bool:
        """Append a claim; tell whether another record came in between."""
        self.round += 1
        claim = LeaseClaim(
            name=self.name,
            holder=self.holder,
            round=self.round,
        )
        key, payload = record_from_claim(claim)
        sent_s = now_s()
        appended = await self.store.append(
            Topic.COORDINATION,
            key,
            payload,
            timeout_s=_ANSWER_S,
            expected_end=self.end,
        )
        match appended:
            case Ok(offset):
                self.fence = offset
                self.sent_s = sent_s
                self.end = offset + 1
                self.board.catalog.put_claim(claim, offset, now_s())
                _LOG.info(
                    'lease claimed',
                    fields={'lease': self.name, 'fence': offset},
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

    async def _read(self) -> bool:
        read = await read_coordination(
            self.board,
            self.store,
            timeout_s=_ANSWER_S,
        )
        match read:
            case Ok(end):
                self.end = end
                return True
            case Err(failure):
                _LOG.info(
                    'lease not read',
                    fields={'lease': self.name, 'failure': repr(failure)},
                )
                return False
