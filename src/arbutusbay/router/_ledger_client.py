"""Record the progress of non-idempotent requests in the ledger.

Calls go to the control daemon that owns the ledger partition of the
idempotency key.
"""

import asyncio
import enum
from typing import Any

import aiohttp
from result import Err, Ok, Result

from arbutusbay.backend import ServiceResponse
from arbutusbay.coordination import partition_of_ledger_key, rank_ledger_owners
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.http import call_peer
from arbutusbay.router._shared_state import RouterState
from arbutusbay.state import MAX_STORED_BODY_BYTES
from arbutusbay.wire import LedgerReply, LedgerRequest

_OWNER_TIMEOUT_S = 1.0
_MAX_OWNERS_TRIED = 3
_MAX_ABANDON_ATTEMPTS = 60
_ABANDON_RETRY_DELAY_S = 0.5


class LedgerVerdict(enum.StrEnum):
    """List the ledger's answers to an attempt about its key.

    ``WON`` means that this attempt has claimed the key and ``IN_PROGRESS``
    that another one has; neither has a recorded outcome. ``FREE`` and
    ``ABANDONED`` mean that no claim is in force, the latter that this attempt
    was abandoned. ``KEY_REUSED`` means that the key belongs to a different
    request.
    """

    WON = 'won'
    FREE = 'free'
    ABANDONED = 'abandoned'
    IN_PROGRESS = 'in_progress'
    FINISHED = 'finished'
    KEY_REUSED = 'key_reused'


class LedgerClient:
    """Call a partition's owner, or the next candidates if that fails."""

    def __init__(
        self,
        *,
        shared_state: RouterState,
        session: aiohttp.ClientSession,
    ) -> None:
        """Create a client that finds the owners through ``shared_state``."""
        self.shared_state = shared_state
        self.session = session
        self.background_tasks: set[asyncio.Task[Any]] = set()

    async def claim(
        self,
        key: str,
        nonce: str,
        fingerprint: str,
    ) -> Result[LedgerReply, Failure]:
        """Claim ``key`` for the attempt ``nonce``.

        The request may be sent only after a reply with the verdict ``won``.
        Repeating a claim with the same nonce is safe. After a failure, which
        is of kind ``LEDGER_UNAVAILABLE``, the claim may still be recorded.
        """
        return await self._call_owner(
            LedgerRequest(
                action='claim',
                key=key,
                nonce=nonce,
                fingerprint=fingerprint,
            ),
        )

    async def look_up(
        self,
        key: str,
        nonce: str,
        fingerprint: str,
    ) -> Result[LedgerReply, Failure]:
        """Return the latest state of ``key`` in the ledger.

        Fails with ``LEDGER_UNAVAILABLE``.
        """
        return await self._call_owner(
            LedgerRequest(
                action='look_up',
                key=key,
                nonce=nonce,
                fingerprint=fingerprint,
            ),
        )

    async def record_outcome(
        self,
        key: str,
        nonce: str,
        answer: ServiceResponse,
    ) -> Result[LedgerReply, Failure]:
        """Record the response to the attempt ``nonce``.

        Omits a body over ``MAX_STORED_BODY_BYTES``. Fails with
        ``LEDGER_UNAVAILABLE``.
        """
        is_small = len(answer.body) <= MAX_STORED_BODY_BYTES
        return await self._call_owner(
            LedgerRequest(
                action='outcome',
                key=key,
                nonce=nonce,
                status=answer.status,
                content_type=answer.content_type,
                body=answer.body if is_small else b'',
            ),
        )

    def abandon(self, key: str, nonce: str) -> None:
        """Record that the attempt ``nonce`` will not be sent.

        Runs in the background and retries for a limited time.
        """
        self.keep_until_done(asyncio.create_task(self._abandon(key, nonce)))

    def keep_until_done(self, task: asyncio.Task[Any]) -> None:
        """Keep a reference to ``task`` until it is done.

        Without one, asyncio may discard the task before it finishes.
        """
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    async def _abandon(self, key: str, nonce: str) -> None:
        request = LedgerRequest(action='abandon', key=key, nonce=nonce)
        for _ in range(_MAX_ABANDON_ATTEMPTS):
            reply = await self._call_owner(request)
            if reply.is_ok():
                return
            await asyncio.sleep(_ABANDON_RETRY_DELAY_S)

    async def _call_owner(
        self,
        request: LedgerRequest,
    ) -> Result[LedgerReply, Failure]:
        partition = partition_of_ledger_key(
            request.key,
            self.shared_state.settings.ledger_partitions,
        )
        failure = Failure(
            kind=ErrorKind.LEDGER_UNAVAILABLE,
            detail='no known control daemon owns the ledger partition',
        )
        for url in self._owner_urls(partition):
            reply = await call_peer(
                self.session,
                f'{url}/peer/ledger',
                request,
                LedgerReply,
                timeout_s=_OWNER_TIMEOUT_S,
            )
            match reply:
                case Ok():
                    return reply
                case Err(call_failure):
                    failure = Failure(
                        kind=ErrorKind.LEDGER_UNAVAILABLE,
                        detail=call_failure.detail,
                    )
        return Err(failure)

    def _owner_urls(self, partition: int) -> list[str]:
        owners = rank_ledger_owners(partition, self.shared_state.active_nodes())
        known = self.shared_state.control_urls()
        urls = [known[owner] for owner in owners]
        others = rank_ledger_owners(partition, self.shared_state.settings.peers)
        urls.extend(url for url in others if url not in urls)
        return urls[:_MAX_OWNERS_TRIED]
