"""Run non-idempotent calls with an idempotency key at most once."""

import asyncio
import time
import uuid
from collections.abc import Coroutine
from typing import Any

import attrs
from result import Err, Ok, Result

from arbutusbay.backend import ServiceCall, ServiceResponse, accept_response
from arbutusbay.clock import now_s
from arbutusbay.errors import ErrorKind, Failure, RunState
from arbutusbay.logs import get_logger
from arbutusbay.router._ledger_client import LedgerClient, LedgerVerdict
from arbutusbay.router._service_calls import ServiceCaller
from arbutusbay.wire import LedgerReply

_LOG = get_logger('services')
_POLL_INTERVAL_S = 0.05
_RECORD_OUTCOME_TIMEOUT_S = 0.5
_MAX_CLAIM_AGE_S = 20.0


@attrs.frozen(kw_only=True)
class KeyedCall:
    """Hold a call with an idempotency key.

    ``key`` is scoped to the team and the route, and ``fingerprint`` is a
    digest of the request. ``may_repeat`` means that the call may be sent
    again, because every backend server of the pool deduplicates by key.
    ``deadline_s`` is in seconds on the monotonic clock.
    """

    key: str
    fingerprint: str
    pool: str
    call: ServiceCall
    may_repeat: bool
    deadline_s: float


class KeyedCallRunner:
    """Claim the key, send the call and record its outcome.

    Returns the recorded outcome if the key has one already.
    """

    def __init__(
        self,
        *,
        ledger: LedgerClient,
        service_caller: ServiceCaller,
    ) -> None:
        """Claim keys in ``ledger`` and send through ``service_caller``."""
        self.ledger = ledger
        self.service_caller = service_caller

    async def run(self, keyed: KeyedCall) -> Result[ServiceResponse, Failure]:
        """Return the response to the call, or the recorded one if there is one.

        Makes another attempt, with a new nonce, only if the claim that
        blocked the last one was abandoned.

        Fails with ``LEDGER_UNAVAILABLE``, ``IN_PROGRESS``, ``KEY_REUSED``,
        ``OUTCOME_UNKNOWN``, ``OVERLOADED`` or the failure of the backend
        server.
        """
        while True:
            answer = await self._attempt(keyed, uuid.uuid4().hex)
            if answer is not None:
                return answer
            if time.monotonic() + _POLL_INTERVAL_S > keyed.deadline_s:
                return _not_run('earlier attempts with this key were abandoned')
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _attempt(
        self,
        keyed: KeyedCall,
        nonce: str,
    ) -> Result[ServiceResponse, Failure] | None:
        claimed_s = now_s()
        try:
            claim = await _before_deadline(
                keyed,
                self.ledger.claim(keyed.key, nonce, keyed.fingerprint),
            )
        except asyncio.CancelledError:
            self.ledger.abandon(keyed.key, nonce)
            raise
        if claim.is_err():
            self.ledger.abandon(keyed.key, nonce)
            return _ledger_unavailable(claim.unwrap_err())
        reply = claim.unwrap()
        if LedgerVerdict(reply.verdict) is LedgerVerdict.WON:
            return await self._send_unless_stale(keyed, nonce, claimed_s)
        return await self._wait_for_outcome(keyed, nonce, reply)

    async def _send_unless_stale(
        self,
        keyed: KeyedCall,
        nonce: str,
        claimed_s: float,
    ) -> Result[ServiceResponse, Failure]:
        if now_s() - claimed_s > _MAX_CLAIM_AGE_S:
            self.ledger.abandon(keyed.key, nonce)
            return _not_run('claiming the idempotency key took too long')
        send_task = asyncio.create_task(self._send(keyed, nonce))
        self.ledger.keep_until_done(send_task)
        return await asyncio.shield(send_task)

    async def _send(
        self,
        keyed: KeyedCall,
        nonce: str,
    ) -> Result[ServiceResponse, Failure]:
        answer = await self.service_caller.send_non_idempotent(
            keyed.pool, _with_time_left(keyed)
        )
        match answer:
            case Ok(response):
                await self._record_outcome(keyed, nonce, response)
            case Err(failure) if failure.is_not_run:
                self.ledger.abandon(keyed.key, nonce)
            case Err() if keyed.may_repeat:
                return await self._resend(keyed, nonce)
        return answer

    async def _record_outcome(
        self,
        keyed: KeyedCall,
        nonce: str,
        answer: ServiceResponse,
    ) -> None:
        outcome_task = asyncio.create_task(
            self.ledger.record_outcome(keyed.key, nonce, answer),
        )
        self.ledger.keep_until_done(outcome_task)
        await asyncio.wait((outcome_task,), timeout=_RECORD_OUTCOME_TIMEOUT_S)

    async def _resend(
        self,
        keyed: KeyedCall,
        nonce: str,
    ) -> Result[ServiceResponse, Failure]:
        answer = await self.service_caller.send_idempotent(
            keyed.pool, _with_time_left(keyed)
        )
        match answer:
            case Ok(response):
                await self._record_outcome(keyed, nonce, response)
                return answer
        return _outcome_unknown('no backend server responded')

    async def _wait_for_outcome(
        self,
        keyed: KeyedCall,
        nonce: str,
        reply: LedgerReply,
    ) -> Result[ServiceResponse, Failure] | None:
        while True:
            match LedgerVerdict(reply.verdict):
                case LedgerVerdict.FINISHED:
                    return _recorded_answer(reply)
                case LedgerVerdict.KEY_REUSED:
                    return _key_reused()
                case LedgerVerdict.IN_PROGRESS if keyed.may_repeat:
                    return await self._resend(keyed, nonce)
                case (
                    LedgerVerdict.FREE
                    | LedgerVerdict.ABANDONED
                    | LedgerVerdict.WON
                ):
                    self.ledger.abandon(keyed.key, nonce)
                    return None
            if time.monotonic() + _POLL_INTERVAL_S > keyed.deadline_s:
                return _in_progress()
            await asyncio.sleep(_POLL_INTERVAL_S)
            look_up = await _before_deadline(
                keyed,
                self.ledger.look_up(keyed.key, nonce, keyed.fingerprint),
            )
            if look_up.is_err():
                return _in_progress()
            reply = look_up.unwrap()


async def _before_deadline(
    keyed: KeyedCall,
    ledger_call: Coroutine[Any, Any, Result[LedgerReply, Failure]],
) -> Result[LedgerReply, Failure]:
    """Return the reply of the ledger, or a failure at the deadline."""
    left_s = max(0.0, keyed.deadline_s - time.monotonic())
    try:
        async with asyncio.timeout(left_s):
            return await ledger_call
    except TimeoutError:
        detail = 'no reply of the ledger before the deadline'
        _LOG.info(
            'ledger too slow',
            fields={'pool': keyed.pool, 'left_s': left_s, 'detail': detail},
        )
        return Err(Failure(kind=ErrorKind.LEDGER_UNAVAILABLE, detail=detail))


def _with_time_left(keyed: KeyedCall) -> ServiceCall:
    """Return the call with the time that is left until the deadline."""
    left_s = max(0.0, keyed.deadline_s - time.monotonic())
    return attrs.evolve(keyed.call, timeout_s=left_s)


def _recorded_answer(reply: LedgerReply) -> Result[ServiceResponse, Failure]:
    return accept_response(reply.status, reply.content_type, reply.body)


def _ledger_unavailable(failure: Failure) -> Err[Failure]:
    return Err(
        Failure(
            kind=ErrorKind.LEDGER_UNAVAILABLE,
            detail=(
                'this attempt was not sent, but an earlier one with the same '
                f'key may have run: {failure.detail}'
            ),
        ),
    )


def _not_run(detail: str) -> Err[Failure]:
    return Err(
        Failure(
            kind=ErrorKind.OVERLOADED,
            detail=detail,
            run_state=RunState.NOT_RUN,
        ),
    )


def _outcome_unknown(detail: str) -> Err[Failure]:
    return Err(Failure(kind=ErrorKind.OUTCOME_UNKNOWN, detail=detail))


def _in_progress() -> Err[Failure]:
    return Err(
        Failure(
            kind=ErrorKind.IN_PROGRESS,
            detail='another attempt with this key has no recorded outcome yet',
        ),
    )


def _key_reused() -> Err[Failure]:
    return Err(
        Failure(
            kind=ErrorKind.KEY_REUSED,
            detail='this idempotency key was used for a different request',
        ),
    )
