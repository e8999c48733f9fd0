"""Read a monotonic clock that also counts time spent suspended."""

import math
import time


def now_s() -> float:
    """Return seconds since the VM booted, including time suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def milliseconds(duration_s: float) -> int | None:
    """Return a duration in whole milliseconds, None if it is unbounded."""
    return int(duration_s * 1000) if math.isfinite(duration_s) else None
