"""Test that a background task that ends does not end the process."""

import asyncio

import attrs

from arbutusbay.node import _daemon
from arbutusbay.node._daemon import Supervisor


@attrs.define(kw_only=True)
class UnreliableTask:
    """Fail when it runs first and return when it runs again."""

    runs: int = 0
    is_done: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def run(self) -> None:
        """Run once."""
        self.runs += 1
        match self.runs:
            case 1:
                raise ValueError('unexpected')
            case 2:
                return
        self.is_done.set()
        await asyncio.Event().wait()


async def test_tasks_that_fail_or_return_are_started_again(monkeypatch):
    monkeypatch.setattr(_daemon, '_RESTART_DELAY_S', 0)
    task = UnreliableTask()
    supervisor = Supervisor(settings=None)
    supervisor.start('task', task.run)
    async with asyncio.timeout(2):
        await task.is_done.wait()
    assert not supervisor.stop_requested.is_set()
    supervisor.cancel()
