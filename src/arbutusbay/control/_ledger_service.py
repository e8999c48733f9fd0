"""Handle ledger requests of routers for non-idempotent requests."""

from collections.abc import Callable, Mapping
from types import MappingProxyType

from result import Err, Result

from arbutusbay.control._ledger_partition import LedgerPartition
from arbutusbay.control._shared_state import ControlState
from arbutusbay.coordination import partition_of_ledger_key
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.hosting import LogClient
from arbutusbay.state import Abandon, Claim, KeyState, Outcome
from arbutusbay.wire import LedgerReply, LedgerRequest


class LedgerService:
    """Hold the ledger partitions that routers have used on this daemon.

    A partition is created by its first request.
    """

    def __init__(self, *, shared_state: ControlState, log: LogClient) -> None:
        """Create a ledger that stores its records in ``log``."""
        self.settings = shared_state.settings.ledger
        self.log = log
        self.partitions: dict[int, LedgerPartition] = {}

    async def process_request(
        self,
        request: LedgerRequest,
    ) -> Result[LedgerReply, Failure]:
        """Record or look up one step and return the resulting state of the key.

        Fails with ``BAD_MESSAGE`` if the action is unknown and with
        ``LOG_UNAVAILABLE`` or ``LOG_RATE_LIMITED`` if the log can't be used.
        """
        partition = self._partition_of(request.key)
        if request.action == 'look_up':
            entry = await partition.look_up(request.key)
        else:
            build_record = _RECORD_BUILDERS.get(request.action)
            if build_record is None:
                return _unknown_action(request.action)
            entry = await partition.commit(build_record(request))
        return entry.map(
            lambda key_state: build_ledger_reply(key_state, request)
        )

    def _partition_of(self, key: str) -> LedgerPartition:
        number = partition_of_ledger_key(key, self.settings.partitions)
        if number not in self.partitions:
            self.partitions[number] = LedgerPartition(
                number=number,
                log=self.log,
                key_retention_ms=self.settings.window_s * 1000,
            )
        return self.partitions[number]


def build_ledger_reply(entry: KeyState, request: LedgerRequest) -> LedgerReply:
    """Return the reply that ``entry`` means for the requesting attempt."""
    if entry.claimant is None:
        is_abandoned = request.nonce in entry.abandoned
        return LedgerReply(verdict='abandoned' if is_abandoned else 'free')
    if _reuses_key(entry, request):
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


def _reuses_key(entry: KeyState, request: LedgerRequest) -> bool:
    return bool(request.fingerprint) and (
        entry.fingerprint != request.fingerprint
    )


def _build_claim(request: LedgerRequest) -> Claim:
    return Claim(
        key=request.key,
        nonce=request.nonce,
        fingerprint=request.fingerprint,
    )


def _build_abandon(request: LedgerRequest) -> Abandon:
    return Abandon(key=request.key, nonce=request.nonce)


def _build_outcome(request: LedgerRequest) -> Outcome:
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
        'claim': _build_claim,
        'abandon': _build_abandon,
        'outcome': _build_outcome,
    }
)


def _unknown_action(action: str) -> Err[Failure]:
    return Err(
        Failure(
            kind=ErrorKind.BAD_MESSAGE,
            detail=f'unknown ledger action {action!r}',
        ),
    )
