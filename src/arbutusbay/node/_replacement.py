"""Reserve a place elsewhere before an attempt is given up."""

import asyncio
from collections.abc import Coroutine
from contextlib import AbstractAsyncContextManager
from typing import Any

import attrs

from arbutusbay.clock import now_s
from arbutusbay.node._dispatcher import Dispatcher
from arbutusbay.node._pending_attempt import Opened, PendingAttempt
from arbutusbay.node._placement import Placement, PlacementRequest
from arbutusbay.node._placer import Placer
from arbutusbay.node._retry_token import RetryToken
from arbutusbay.scheduling import RetryBudget


@attrs.define(kw_only=True)
class Replacement:
    """Hold the place that one request has reserved, if any.

    A reserved place counts as an attempt in flight until ``release``, or until
    the attempt ends that ``take`` was called for. ``pending`` is the attempt
    that was sent there already, which ``watcher`` waits for. ``retry_token``
    covers an attempt that has no reserved place.
    """

    placer: Placer
    dispatcher: Dispatcher
    budget: RetryBudget
    reserved: Placement | None = None
    pending: PendingAttempt | None = None
    watcher: asyncio.Task[None] | None = None
    retry_token: RetryToken = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Hold no token yet."""
        self.retry_token = RetryToken(budget=self.budget)

    def try_reserve(
        self, request: PlacementRequest, *, must_be_better: bool
    ) -> bool:
        """Reserve a place and return whether there is one.

        If it ``must_be_better``, only a server that nothing speaks against
        and that has capacity now is considered. Withdraws a token of the retry
        budget.
        """
        placement = self.placer.find_placement(request)
        if placement is None:
            return False
        if must_be_better and not _is_better(placement):
            return False
        if not self.budget.try_withdraw(now_s()):
            return False
        self.placer.commit(request, placement)
        self.reserved = placement
        return True

    def send(
        self, sending: AbstractAsyncContextManager[Opened]
    ) -> PendingAttempt:
        """Send the request to the reserved place by entering ``sending``."""
        self.pending = PendingAttempt(placement=self.reserved, sending=sending)
        return self.pending

    def watch(self, watching: Coroutine[Any, Any, None]) -> None:
        """Run ``watching`` until the place is taken or released."""
        self.watcher = asyncio.create_task(watching)

    def take(self) -> Placement | None:
        """Return the reserved place, if any, which the caller must release."""
        placement = self.reserved
        self.reserved = None
        watcher = self.watcher
        self.watcher = None
        if watcher is not None and watcher is not asyncio.current_task():
            watcher.cancel()
        return placement

    def take_pending(self, placement: Placement) -> PendingAttempt | None:
        """Return the attempt that was sent to ``placement``, if any."""
        pending = self.pending
        if pending is None or pending.placement is not placement:
            return None
        self.pending = None
        return pending

    def release(self) -> None:
        """Release the reserved place and token, and end the attempt there."""
        self.retry_token.release()
        pending = self.pending
        self.pending = None
        if pending is not None:
            pending.close()
        placement = self.take()
        if placement is not None:
            self.dispatcher.release(placement)


def _is_better(placement: Placement) -> bool:
    return placement.has_capacity and placement.view.is_dependable(now_s())
