"""Call the owner of a partition on another VM, and wait for its reply."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import attrs

from arbutusbay.clock import now_s
from arbutusbay.node.quota._messages import Ask, Release, Reply
from arbutusbay.node.quota._outbox import Address, Outbox
from arbutusbay.node.quota._recent_entries import RecentEntries

_RESEND_AFTER_S = 0.1
_SILENCE_LIMIT_S = 0.3
# The VM that an ask was passed on by may find the owner silent itself.
_FORWARDED_LIMIT_S = 0.8
_MAX_FIRST_NUMBER = 1_000_000_000_000
# How late a reply may come whose grant is returned.
_GIVEN_UP_LIFE_S = 10.0


@attrs.define(kw_only=True, eq=False)
class PendingCall:
    """Hold a call that has no reply yet."""

    replied: asyncio.Future[Reply]
    is_forwarded: bool = False


class PeerCalls:
    """Match replies with the calls that wait for them.

    ``given_up`` holds the latest calls that nobody waits for any more.
    """

    def __init__(
        self,
        *,
        outbox: Outbox,
        rng: random.Random,
        return_unused: Callable[[Ask | Release, Reply], None],
    ) -> None:
        """Send calls through ``outbox``.

        ``return_unused`` is called with each reply that nobody waits for.
        """
        self.outbox = outbox
        self.return_unused = return_unused
        # Another process at this address may have used the lower numbers.
        self.last_number = rng.randrange(_MAX_FIRST_NUMBER)
        self.pending: dict[int, PendingCall] = {}
        self.given_up: RecentEntries[int, Ask | Release] = RecentEntries(
            life_s=_GIVEN_UP_LIFE_S
        )

    def next_number(self) -> int:
        """Return a number that no call of this VM had."""
        self.last_number += 1
        return self.last_number

    async def call(self, address: Address, call: Ask | Release) -> Reply | None:
        """Send ``call``, again if needed; return the reply, None if none."""
        loop = asyncio.get_running_loop()
        pending = PendingCall(replied=loop.create_future())
        self.pending[call.number] = pending
        started_s = loop.time()
        try:
            while not pending.replied.done():
                if not self._may_wait(pending, loop.time() - started_s):
                    self.given_up.put(call.number, call, now_s())
                    return None
                self.outbox.add(address, call)
                await _wait_once(pending.replied)
            return pending.replied.result()
        except asyncio.CancelledError:
            if pending.replied.done():
                self.return_unused(call, pending.replied.result())
            else:
                self.given_up.put(call.number, call, now_s())
            raise
        finally:
            self.pending.pop(call.number, None)

    def receive_reply(self, reply: Reply) -> None:
        """Pass a reply to its call, or return it if that was given up."""
        pending = self.pending.get(reply.number)
        if pending is not None:
            if not pending.replied.done():
                pending.replied.set_result(reply)
            return
        call = self.given_up.pop(reply.number, now_s())
        if call is not None:
            self.return_unused(call, reply)

    def receive_forwarded(self, number: int) -> None:
        """Wait longer for the reply to a call that was passed on."""
        pending = self.pending.get(number)
        if pending is not None:
            pending.is_forwarded = True

    def _may_wait(self, pending: PendingCall, waited_s: float) -> bool:
        limit_s = _SILENCE_LIMIT_S
        if pending.is_forwarded:
            limit_s = _FORWARDED_LIMIT_S
        return waited_s < limit_s


async def _wait_once(replied: asyncio.Future[Reply]) -> None:
    """Wait for a reply until the call should be sent again.

    After a pause of this VM, a reply may be there that was not read yet: the
    timer then ends first, and the turn behind it reads the reply.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_RESEND_AFTER_S):
            await asyncio.shield(replied)
    if not replied.done():
        await asyncio.sleep(0)
        await asyncio.sleep(0)
