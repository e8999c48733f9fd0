"""Fit a line through measurements of growing sizes."""

import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any

import attrs

_REPEATS = 3
_US_PER_S = 1_000_000


@attrs.frozen(kw_only=True)
class Slope:
    """Hold a fitted line; ``residual`` is relative to the largest value."""

    name: str
    unit: str
    sizes: Sequence[int]
    slope: float
    intercept: float
    residual: float


def fit_line(
    name: str,
    unit: str,
    sizes: Sequence[int],
    measured: Sequence[float],
) -> Slope:
    """Return the least-squares line through ``measured``."""
    line = statistics.linear_regression(sizes, measured)
    distances = [
        abs(found - line.intercept - line.slope * size)
        for size, found in zip(sizes, measured, strict=True)
    ]
    return Slope(
        name=name,
        unit=unit,
        sizes=sizes,
        slope=line.slope,
        intercept=line.intercept,
        residual=max(distances) / max(abs(found) for found in measured),
    )


def processor_us(action: Callable[[], Any]) -> float:
    """Return the least processor time of ``action`` in microseconds."""
    return min(_processor_s(action) for _ in range(_REPEATS)) * _US_PER_S


def memory_bytes(build: Callable[[], Any]) -> float:
    """Return the memory that the object made by ``build`` holds."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = [build()]
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    kept.clear()
    return after - before


def _processor_s(action: Callable[[], Any]) -> float:
    started_s = time.process_time()
    action()
    return time.process_time() - started_s
