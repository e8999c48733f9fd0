"""Measure costs and fit a line through them by problem size."""

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
    """Describe a cost as a linear function of the problem size.

    ``slope`` is in ``unit`` per item and ``intercept`` in ``unit``.
    ``residual`` is the largest distance of a measurement from the line,
    relative to the largest measurement.
    """

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
    """Fit a least-squares line through ``measured``, one value per size.

    Raises ``ValueError`` if the lengths of ``sizes`` and ``measured`` differ.
    """
    line = statistics.linear_regression(sizes, measured)
    residuals = [
        abs(value - line.intercept - line.slope * size)
        for size, value in zip(sizes, measured, strict=True)
    ]
    return Slope(
        name=name,
        unit=unit,
        sizes=sizes,
        slope=line.slope,
        intercept=line.intercept,
        residual=max(residuals) / max(abs(value) for value in measured),
    )


def min_cpu_time_us(action: Callable[[], Any]) -> float:
    """Return the lowest CPU time of three runs of ``action``, in µs."""
    return min(_cpu_time_s(action) for _ in range(_REPEATS)) * _US_PER_S


def measure_allocated_bytes(build: Callable[[], Any]) -> float:
    """Return the bytes allocated for the object that ``build`` returns."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = [build()]
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    kept.clear()
    return after - before


def _cpu_time_s(action: Callable[[], Any]) -> float:
    started_s = time.process_time()
    action()
    return time.process_time() - started_s
