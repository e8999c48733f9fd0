"""Collect the samples that a VM reports to the others."""

from collections.abc import Iterable, Mapping

import attrs

from arbutusbay.speeds._work_times import WorkLine

WINDOW_S = 0.1
_REPORTED_WINDOWS = 4
MAX_REPORTED_SUMS = 48
MAX_REPORTED_SLOWDOWNS = 48
MAX_REPORTED_LINES = 8

# Server, incarnation and level of load; count and sum of the samples.
Window = dict[tuple[str, int, int], tuple[int, float]]


@attrs.frozen(kw_only=True)
class SampleSum:
    """Sum up the samples of one server at one level of load in a window.

    A sample is a logarithm, as in ``ServerSpeed``.
    """

    server: str
    incarnation: int
    level: int
    count: int
    total: float


@attrs.frozen(kw_only=True)
class ReportedSlowdown:
    """Hold the slowdown that a server reported to a VM.

    ``min_slowdown`` is the lowest one that it ever reported there.
    ``reported_s`` is on the clock of this VM.
    """

    slowdown: float
    min_slowdown: float
    reported_s: float


@attrs.frozen(kw_only=True)
class SpeedReport:
    """Hold what one VM has measured and heard lately.

    ``windows`` maps the numbers of windows to the samples in them,
    ``slowdowns`` servers to what they told the sender. ``lines`` maps
    services and kinds of work to how long that takes at a usual server.
    """

    windows: Mapping[int, tuple[SampleSum, ...]] = attrs.field(factory=dict)
    slowdowns: Mapping[str, ReportedSlowdown] = attrs.field(factory=dict)
    lines: Mapping[tuple[str, str], WorkLine] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class SampleWindows:
    """Collect this VM's own samples in short windows.

    Each window is reported several times once it has ended, so that a lost
    report loses nothing.
    """

    sums: dict[int, Window] = attrs.field(factory=dict)

    def add(
        self,
        server: str,
        incarnation: int,
        level: int,
        sample: float,
        now_s: float,
    ) -> None:
        """Add one sample to the window of ``now_s``."""
        self._drop_old(now_s)
        window = self.sums.setdefault(window_number(now_s), {})
        key = (server, incarnation, level)
        count, total = window.get(key, (0, 0.0))
        window[key] = (count + 1, total + sample)

    def ended(self, now_s: float) -> Mapping[int, tuple[SampleSum, ...]]:
        """Return the recent windows that have ended, the newest first.

        Older ones are left out where they would exceed the size of a report.
        """
        self._drop_old(now_s)
        current = window_number(now_s)
        reported = {}
        size = 0
        for number in sorted(self.sums, reverse=True):
            if number >= current:
                continue
            size += len(self.sums[number])
            if size <= MAX_REPORTED_SUMS:
                reported[number] = tuple(_sums_of(self.sums[number]))
        return reported

    def _drop_old(self, now_s: float) -> None:
        oldest = window_number(now_s) - _REPORTED_WINDOWS
        self.sums = {
            number: window
            for number, window in self.sums.items()
            if number >= oldest
        }


def window_number(now_s: float) -> int:
    """Return the number of the window of ``now_s``."""
    return int(now_s / WINDOW_S)


def _sums_of(window: Window) -> Iterable[SampleSum]:
    for (server, incarnation, level), (count, total) in window.items():
        yield SampleSum(
            server=server,
            incarnation=incarnation,
            level=level,
            count=count,
            total=total,
        )
