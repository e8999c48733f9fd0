"""Run the steps of a controller for as long as the process lives."""

import asyncio

from aiomisc import Service

from arbutusbay.logs import get_logger

_LOG = get_logger('controller')
_PAUSE_AFTER_ERROR_S = 0.5


class Controller(Service):
    """Repeat ``step``; an unexpected error is logged and does not end it."""

    async def start(self) -> None:
        """Prepare, then step until cancelled."""
        await self.prepare()
        self.start_event.set()
        while True:
            try:
                await self.step()
            except Exception:
                _LOG.exception('{} failed', type(self).__name__)
                await asyncio.sleep(_PAUSE_AFTER_ERROR_S)

    async def prepare(self) -> None:
        """Set up what the steps need."""

    async def step(self) -> None:
        """Do one round of work and wait for the next."""
        raise NotImplementedError
