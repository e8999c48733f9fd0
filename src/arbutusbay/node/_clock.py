"""Read a monotonic clock that also counts time spent suspended."""

import time


def now_s() -> float:
    """Return seconds since the VM booted, including time suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
