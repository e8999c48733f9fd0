"""Share the event loop while tasks work on what has already arrived."""

import asyncio
import time
from typing import ClassVar, Self

_LONGEST_TURN_S = 0.002
_SHORTEST_TURN_S = 0.0002
_ALL_TURNS_S = 0.02


def longest_turn_s(open_count: int) -> float:
    """Return how long each of so many tasks may run at once.

    All may have something to do in one turn of the event loop, and whoever else
    waits for it waits for all of them.
    """
    share_s = _ALL_TURNS_S / max(1, open_count)
    return min(_LONGEST_TURN_S, max(_SHORTEST_TURN_S, share_s))


class Turn:
    """Bound how long a task runs before the other tasks do.

    An await of something that is there already does not let others run.
    ``open_count`` is the number of contexts that are active in this process,
    ``longest_s`` how long each may run.
    """

    open_count: ClassVar[int] = 0
    longest_s: ClassVar[float] = _LONGEST_TURN_S

    def __init__(self) -> None:
        """Begin a turn now."""
        self.began_s = time.monotonic()

    def __enter__(self) -> Self:
        """Share the event loop with the other contexts."""
        _count_open(1)
        return self

    def __exit__(self, *_: object) -> None:
        """Leave the event loop to the other contexts."""
        _count_open(-1)

    def begin(self) -> None:
        """Begin a turn now: the task has just waited."""
        self.began_s = time.monotonic()

    async def end_if_long(self) -> None:
        """Let the other tasks run if this turn has lasted long enough."""
        if time.monotonic() - self.began_s < Turn.longest_s:
            return
        await asyncio.sleep(0)
        self.begin()


def _count_open(change: int) -> None:
    Turn.open_count += change
    Turn.longest_s = longest_turn_s(Turn.open_count)
