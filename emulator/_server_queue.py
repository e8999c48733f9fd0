"""Queue requests at an emulated server whose slots are taken."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from http import HTTPStatus

import attrs
from aiohttp import web


@attrs.define(kw_only=True)
class ServerQueue:
    """Let ``slots`` requests run at once and ``length`` others wait.

    ``held`` counts both.
    """

    slots: int
    length: int
    held: int = 0
    free_slots: asyncio.Semaphore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with all slots free."""
        self.free_slots = asyncio.Semaphore(self.slots)

    async def execute(
        self,
        request: web.Request,
        execute: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Execute ``request`` in its turn.

        Reject it if the queue is full or its deadline passes there.
        """
        if self.held >= self.slots + self.length:
            return _rejection(request)
        with self._place():
            if not await self._take_slot(request):
                return _rejection(request)
            try:
                return await execute(request)
            finally:
                self.free_slots.release()

    @contextmanager
    def _place(self) -> Iterator[None]:
        self.held += 1
        try:
            yield
        finally:
            self.held -= 1

    async def _take_slot(self, request: web.Request) -> bool:
        patience_s = int(request.headers['Deadline-Ms']) / 1000
        try:
            async with asyncio.timeout(patience_s):
                return await self.free_slots.acquire()
        except TimeoutError:
            return False


def _rejection(request: web.Request) -> web.Response:
    return web.Response(
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        headers={
            'Not-Executed': '1',
            'Attempt-Id': request.headers['Attempt-Id'],
        },
    )
