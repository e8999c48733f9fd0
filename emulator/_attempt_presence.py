"""Record which attempts have reached an emulated engine."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager


class AttemptPresence:
    """Hold the attempts that arrived, that are present and were broken off.

    An attempt arrives when its head is read, whether it runs or not. The engine
    broke those off that were present as it ended.
    """

    def __init__(self) -> None:
        """Start without attempts."""
        self.arrived: set[str] = set()
        self.broken_off: set[str] = set()
        self._present: Counter[str] = Counter()

    @contextmanager
    def hold(self, attempt_id: str) -> Iterator[None]:
        """Hold an attempt as present while the context is active."""
        self.arrived.add(attempt_id)
        self._present[attempt_id] += 1
        try:
            yield
        finally:
            self._present[attempt_id] -= 1

    def break_off(self) -> None:
        """Record the attempts that are present as broken off."""
        self.broken_off.update(+self._present)
