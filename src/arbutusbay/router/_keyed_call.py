"""Run a non-idempotent call with an idempotency key at most once."""

import asyncio
import time
import uuid

import attrs
from result import Err, Ok, Result

from arbutusbay.backend import ServiceAnswer, ServiceCall
from arbutusbay.errors import ErrorKind, Failure, RunState
from arbutusbay.router._ledger_client import LedgerClient, Verdict
from arbutusbay.router._service_calls import ServiceCalls
from arbutusbay.wire import LedgerReply

_POLL_S = 0.05
_OUTCOME_TIMEOUT_S = 0.5
_MAX_CLAIM_AGE_S = 20.0


@attrs.frozen(kw_only=True)
class KeyedCall:
    """Hold a call, its scoped key and a digest of its content."""

    key: str
    fingerprint: str
    pool: str
    call: ServiceCall
    may_repeat: bool
    deadline_s: float


class KeyedCalls:
    """Claim, send, record; or return what the ledger already knows."""

    def __init__(
        self,
        *,
        ledger: LedgerClient,
        calls: ServiceCalls,
    ) -> None:
        """Record with ``ledger`` and send with ``calls``."""
        self.ledger = ledger
        self.calls = calls

    async def run(self, keyed: KeyedCall) -> Result[ServiceAnswer, Failure]:
        """Return the one answer of ``keyed`` or a truthful refusal.

        Each round uses a nonce of its own; another round follows only when
        the claim that was ahead has been abandoned.
        """
        while True:
            answer = await self._attempt(keyed, uuid.uuid4().hex)
            if answer is not None:
                return answer
            if time.monotonic() + _POLL_S > keyed.deadline_s:
                return _not_run('the earlier attempts were given up')
            await asyncio.sleep(_POLL_S)

    async def _attempt(
        self,
        keyed: KeyedCall,
        nonce: str,
    ) -> Result[ServiceAnswer, Failure] | None:
        claimed_s = time.monotonic()
        try:
            claim = await self.ledger.claim(
                keyed.key,
                nonce,
                keyed.fingerprint,
            )
        except asyncio.CancelledError:
            self.ledger.abandon(keyed.key, nonce)
            raise
        if claim.is_err():
            self.ledger.abandon(keyed.key, nonce)
            return _unavailable(claim.unwrap_err())
        reply = claim.unwrap()
        if Verdict(reply.verdict) is Verdict.WON:
            return await self._send_if_fresh(keyed, nonce, claimed_s)
        return await self._follow(keyed, nonce, reply)

    async def _send_if_fresh(
        self,
        keyed: KeyedCall,
        nonce: str,
        claimed_s: float,
    ) -> Result[ServiceAnswer, Failure]:
        if time.monotonic() - claimed_s > _MAX_CLAIM_AGE_S:
            self.ledger.abandon(keyed.key, nonce)
            return _not_run('the claim took too long')
        sending = asyncio.create_task(self._send(keyed, nonce))
        self.ledger.keep(sending)
        return await asyncio.shield(sending)

    async def _send(
        self,
        keyed: KeyedCall,
        nonce: str,
    ) -> Result[ServiceAnswer, Failure]:
        answer = await self.calls.send_once(keyed.pool, keyed.call)
        match answer:
            case Ok(found):
                await self._record(keyed, nonce, found)
            case Err(failure) if failure.told_run_state is RunState.NOT_RUN:
                self.ledger.abandon(keyed.key, nonce)
            case Err() if keyed.may_repeat:
                return await self._repeat(keyed, nonce)
        return answer

    async def _record(
        self,
        keyed: KeyedCall,
        nonce: str,
        answer: ServiceAnswer,
    ) -> None:
        recording = asyncio.create_task(
            self.ledger.put_outcome(keyed.key, nonce, answer),
        )
        self.ledger.keep(recording)
        await asyncio.wait((recording,), timeout=_OUTCOME_TIMEOUT_S)

    async def _repeat(
        self,
        keyed: KeyedCall,
        nonce: str,
    ) -> Result[ServiceAnswer, Failure]:
        answer = await self.calls.send_idempotent(keyed.pool, keyed.call)
        match answer:
            case Ok(found):
                await self._record(keyed, nonce, found)
                return answer
        return _unknown('the backend server did not answer')

    async def _follow(
        self,
        keyed: KeyedCall,
        nonce: str,
        reply: LedgerReply,
    ) -> Result[ServiceAnswer, Failure] | None:
        while True:
            match Verdict(reply.verdict):
                case Verdict.FINISHED:
                    return Ok(_recorded_answer(reply))
                case Verdict.KEY_REUSED:
                    return _key_reused()
                case Verdict.IN_PROGRESS if keyed.may_repeat:
                    return await self._repeat(keyed, nonce)
                case Verdict.FREE | Verdict.ABANDONED | Verdict.WON:
                    self.ledger.abandon(keyed.key, nonce)
                    return None
            if time.monotonic() + _POLL_S > keyed.deadline_s:
                return _in_progress()
            await asyncio.sleep(_POLL_S)
            look_up = await self.ledger.look_up(
                keyed.key,
                nonce,
                keyed.fingerprint,
            )
            if look_up.is_err():
                return _in_progress()
            reply = look_up.unwrap()


def _recorded_answer(reply: LedgerReply) -> ServiceAnswer:
    return ServiceAnswer(
        status=reply.status,
        content_type=reply.content_type,
        body=reply.body,
    )


def _unavailable(failure: Failure) -> Err[Failure]:
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


def _unknown(detail: str) -> Err[Failure]:
    return Err(Failure(kind=ErrorKind.OUTCOME_UNKNOWN, detail=detail))


def _in_progress() -> Err[Failure]:
    return Err(
        Failure(
            kind=ErrorKind.IN_PROGRESS,
            detail='another attempt with this key has no recorded outcome',
        ),
    )


def _key_reused() -> Err[Failure]:
    return Err(
        Failure(
            kind=ErrorKind.KEY_REUSED,
            detail='this key was used for a different request',
        ),
    )
