"""Run a case within a time limit, and clean up if it is told to end."""

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any


class CaseEndedError(Exception):
    """Report that the case got SIGTERM; what it started is ended by now."""


def run(play: Coroutine[Any, Any, Any], limit_s: float) -> Any:
    """Return what ``play`` returns; raise if it takes longer or is ended."""

    async def guarded() -> Any:
        loop = asyncio.get_running_loop()
        task = asyncio.ensure_future(play)
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(task, limit_s)

    try:
        return asyncio.run(guarded())
    except asyncio.CancelledError as error:
        raise CaseEndedError('SIGTERM') from error
