"""Define the base class of services that run one step after another."""

import asyncio

from aiomisc import Service

from arbutusbay.logs import get_logger

_LOG = get_logger('controller')
_ERROR_RETRY_DELAY_S = 0.5


class Controller(Service):
    """Run ``prepare`` once, then ``step`` in a loop until cancelled.

    An exception in ``step`` is logged, and the loop continues after a delay.
    """

    async def start(self) -> None:
        """Run the loop and set ``start_event`` after ``prepare``.

        An exception in ``prepare`` is raised.
        """
        await self.prepare()
        self.start_event.set()
        while True:
            try:
                await self.step()
            except Exception:
                _LOG.exception(
                    '{}: step failed; the loop continues after a delay',
                    type(self).__name__,
                )
                await asyncio.sleep(_ERROR_RETRY_DELAY_S)

    async def prepare(self) -> None:
        """Initialize what ``step`` needs; by default do nothing."""

    async def step(self) -> None:
        """Run one iteration, including the wait before the next one.

        Raises ``NotImplementedError`` unless a subclass overrides it.
        """
        raise NotImplementedError
