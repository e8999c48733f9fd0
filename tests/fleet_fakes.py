"""Fake the clock and the platform's store inside the process of a test."""

import attrs
from result import Ok

from arbutusbay.platform import KeyedRecord, LatestRecords, ReadPage


@attrs.define(kw_only=True)
class FakeClock:
    """Return ``moment_s``, which the test advances, as the present time."""

    moment_s: float = 100.0

    def __call__(self) -> float:
        """Return the present time in seconds."""
        return self.moment_s


@attrs.define(kw_only=True)
class ScriptedStore:
    """Return prepared results; ``calls`` names the reads in their order.

    ``pages`` holds the records, the next offset and the era of each read.
    """

    pages: list[tuple[list[KeyedRecord], int, int]]
    latest: LatestRecords
    calls: list[str] = attrs.field(factory=list)

    async def read(self, topic, offset, *, wait_s, timeout_s):
        """Return the next page."""
        self.calls.append(topic.value)
        records, end, era = self.pages.pop(0)
        return Ok(
            ReadPage(records=tuple(records), next_offset=end, end=end, era=era)
        )

    async def read_latest(self, topic, *, timeout_s):
        """Return the newest record of each key."""
        self.calls.append('newest')
        return Ok(self.latest)
