"""Run coroutines beside a test."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Coroutine
from typing import Any


@contextlib.asynccontextmanager
async def running(
    *coroutines: Coroutine[Any, Any, None],
) -> AsyncIterator[None]:
    """Run ``coroutines`` while the context is active, then cancel them.

    Raises the error of one that has failed by then.
    """
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    try:
        yield
        for task in tasks:
            if task.done() and not task.cancelled():
                task.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
