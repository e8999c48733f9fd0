"""Share the event loop while one task works on what has already arrived."""

import asyncio
import time

_LONGEST_TURN_S = 0.002


class Turn:
    """Bound how long a task runs before the other tasks do.

    An await of something that is there already does not let others run.
    """

    def __init__(self) -> None:
        """Begin a turn now."""
        self.began_s = time.monotonic()

    def begin(self) -> None:
        """Begin a turn now: the task has just waited."""
        self.began_s = time.monotonic()

    async def end_if_long(self) -> None:
        """Let the other tasks run if this turn has lasted long enough."""
        if time.monotonic() - self.began_s < _LONGEST_TURN_S:
            return
        await asyncio.sleep(0)
        self.begin()
