"""Read the store once beside the next source, after a source has failed.

A VM that fails costs the time until it counts as silent. Sources that are
tried one after the other would add up to more than a change may take.
"""

import asyncio

from arbutusbay.logs import get_logger
from arbutusbay.node._topic_reader import TopicReader

_LOG = get_logger('follower')


class CatchUp:
    """Read topics once, up to their ends; one such read is made at a time."""

    def __init__(self, *, readers: tuple[TopicReader, ...]) -> None:
        """Read with ``readers``, which must not wait for new records."""
        self.readers = readers
        self.task: asyncio.Task[None] | None = None

    def begin(self) -> None:
        """Begin a read, unless one is under way."""
        if self.task is not None and not self.task.done():
            return
        self.task = asyncio.create_task(self._read())

    async def stop(self) -> None:
        """End a read that is under way."""
        if self.task is None:
            return
        self.task.cancel()
        await asyncio.wait((self.task,))

    async def _read(self) -> None:
        try:
            await asyncio.gather(*map(_read_to_end, self.readers))
        except Exception:
            _LOG.exception('store not read beside another source')


async def _read_to_end(reader: TopicReader) -> None:
    """Read until all is known or the store fails, which is logged there."""
    while await reader.step():
        if reader.is_complete():
            return
