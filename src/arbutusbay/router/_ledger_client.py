"""Record the steps of non-idempotent requests with ledger owners."""

import asyncio
import enum
from typing import Any

import aiohttp
from result import Err, Ok, Result

from arbutusbay.backend import ServiceAnswer
from arbutusbay.coordination import ledger_owners, ledger_partition
from arbutusbay.errors import ErrorKind, Failure
from arbutusbay.http import call_peer
from arbutusbay.router._blackboard import RouterBoard
from arbutusbay.state import MAX_STORED_BODY_BYTES
from arbutusbay.wire import LedgerReply, LedgerRequest

_OWNER_TIMEOUT_S = 1.0
_MAX_OWNERS = 3
_ABANDON_TRIES = 60
_ABANDON_PAUSE_S = 0.5


class Verdict(enum.StrEnum):
    """Name what the ledger says about a key."""

    WON = 'won'
    FREE = 'free'
    ABANDONED = 'abandoned'
    IN_PROGRESS = 'in_progress'
    FINISHED = 'finished'
    KEY_REUSED = 'key_reused'


class LedgerClient:
    """Ask the owner of a key's partition, then the next in order."""

    def __init__(
        self,
        *,
        board: RouterBoard,
        session: aiohttp.ClientSession,
    ) -> None:
        """Find owners through ``board``."""
        self.board = board
        self.session = session
        self.background: set[asyncio.Task[Any]] = set()

    async def claim(
        self,
        key: str,
        nonce: str,
        fingerprint: str,
    ) -> Result[LedgerReply, Failure]:
        """Claim ``key`` for the attempt ``nonce``.

        Repeating a claim with its nonce is safe. Only a reply with the
        verdict ``won`` allows to send.
        """
        return await self._ask(
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
        """Return the state of ``key`` at the end of the log."""
        return await self._ask(
            LedgerRequest(
                action='look_up',
                key=key,
                nonce=nonce,
                fingerprint=fingerprint,
            ),
        )

    async def put_outcome(
        self,
        key: str,
        nonce: str,
        answer: ServiceAnswer,
    ) -> Result[LedgerReply, Failure]:
        """Record the answer; a large body is left out."""
        is_small = len(answer.body) <= MAX_STORED_BODY_BYTES
        return await self._ask(
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
        """Record in the background that ``nonce`` is never sent."""
        self.keep(asyncio.create_task(self._abandon(key, nonce)))

    def keep(self, task: asyncio.Task[Any]) -> None:
        """Hold ``task`` until it is done, whoever waits for it."""
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def _abandon(self, key: str, nonce: str) -> None:
        request = LedgerRequest(action='abandon', key=key, nonce=nonce)
        for _ in range(_ABANDON_TRIES):
            reply = await self._ask(request)
            if reply.is_ok():
                return
            await asyncio.sleep(_ABANDON_PAUSE_S)

    async def _ask(
        self,
        request: LedgerRequest,
    ) -> Result[LedgerReply, Failure]:
        partition = ledger_partition(
            request.key,
            self.board.settings.ledger_partitions,
        )
        failure = Failure(
            kind=ErrorKind.LEDGER_UNAVAILABLE,
            detail='no control daemon could record the key',
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
                case Err(found):
                    failure = Failure(
                        kind=ErrorKind.LEDGER_UNAVAILABLE,
                        detail=found.detail,
                    )
        return Err(failure)

    def _owner_urls(self, partition: int) -> list[str]:
        owners = ledger_owners(partition, self.board.live_nodes())
        known = self.board.control_urls()
        urls = [known[owner] for owner in owners]
        others = ledger_owners(partition, self.board.settings.peers)
        urls.extend(url for url in others if url not in urls)
        return urls[:_MAX_OWNERS]
