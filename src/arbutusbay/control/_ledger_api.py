"""Answer routers that record steps of non-idempotent requests."""

from collections.abc import Callable, Mapping
from types import MappingProxyType

from result import Err, Result

from arbutusbay.control._ledger_partition import LedgerPartition
from arbutusbay.control._shared_state import ControlBoard
from arbutusbay.coordination import ledger_partition
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.hosting import LogClient
from arbutusbay.state import Abandon, Claim, KeyState, Outcome
from arbutusbay.wire import LedgerReply, LedgerRequest


class Ledger:
    """Hold the partitions that routers asked this daemon about."""

    def __init__(self, *, board: ControlBoard, log: LogClient) -> None:
        """Read settings from ``board`` and use ``log`` for all streams."""
        self.settings = board.settings.ledger
        self.log = log
        self.partitions: dict[int, LedgerPartition] = {}

    async def answer(
        self,
        request: LedgerRequest,
    ) -> Result[LedgerReply, Failure]:
        """Record or look up one step and return the key's state."""
        partition = self._partition_of(request.key)
        if request.action == 'look_up':
            entry = await partition.look_up(request.key)
        else:
            record = _RECORD_BUILDERS.get(request.action)
            if record is None:
                return _bad_action(request.action)
            entry = await partition.commit(record(request))
        return entry.map(lambda found: reply_from_entry(found, request))

    def _partition_of(self, key: str) -> LedgerPartition:
        number = ledger_partition(key, self.settings.partitions)
        if number not in self.partitions:
            self.partitions[number] = LedgerPartition(
                number=number,
                log=self.log,
                window_ms=self.settings.window_s * 1000,
            )
        return self.partitions[number]


def reply_from_entry(entry: KeyState, request: LedgerRequest) -> LedgerReply:
    """Return what the state of a key means for the asking attempt."""
    if entry.claimant is None:
        dead = request.nonce in entry.abandoned
        return LedgerReply(verdict='abandoned' if dead else 'free')
    if _is_other_request(entry, request):
        return LedgerReply(verdict='key_reused')
    if entry.outcome is not None:
        return LedgerReply(
            verdict='finished',
            status=entry.outcome.status,
            content_type=entry.outcome.content_type,
            body=entry.outcome.body,
        )
    if entry.claimant == request.nonce:
        return LedgerReply(verdict='won')
    return LedgerReply(verdict='in_progress')


def _is_other_request(entry: KeyState, request: LedgerRequest) -> bool:
    return bool(request.fingerprint) and (
        entry.fingerprint != request.fingerprint
    )


def _claim(request: LedgerRequest) -> Claim:
    return Claim(
        key=request.key,
        nonce=request.nonce,
        fingerprint=request.fingerprint,
    )


def _abandon(request: LedgerRequest) -> Abandon:
    return Abandon(key=request.key, nonce=request.nonce)


def _outcome(request: LedgerRequest) -> Outcome:
    return Outcome(
        key=request.key,
        nonce=request.nonce,
        status=request.status,
        content_type=request.content_type,
        body=request.body,
    )


_RecordBuilder = Callable[[LedgerRequest], Claim | Abandon | Outcome]

_RECORD_BUILDERS: Mapping[str, _RecordBuilder] = MappingProxyType(
    {
        'claim': _claim,
        'abandon': _abandon,
        'outcome': _outcome,
    }
)


def _bad_action(action: str) -> Err[Failure]:
    return Err(
        Failure(
            kind=ErrorKind.BAD_MESSAGE,
            detail=f'unknown ledger action {action!r}',
        ),
    )
