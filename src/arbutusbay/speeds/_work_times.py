"""Learn how long work of one kind takes at a usual server."""

import attrs

_DECAY_PER_SAMPLE = 0.98
_MIN_SAMPLES = 4
_MIN_SAMPLES_TO_REPLACE = 12
_MIN_RELATIVE_SPREAD = 0.05
_MAX_OUTLIER = 3.0


@attrs.frozen(kw_only=True)
class WorkLine:
    """Hold how many seconds work takes at a usual server.

    That is ``fixed_s`` and ``unit_s`` for each unit.
    """

    fixed_s: float
    unit_s: float

    def is_positive(self) -> bool:
        """Return whether work takes any time."""
        return self.fixed_s > 0 or self.unit_s > 0


@attrs.define(kw_only=True)
class WorkTime:
    """Fit a fixed time and a time per unit of work to samples.

    Deviations count relative to the expected time, so that long work does not
    outweigh short work. Later samples count more. Work without units, as that
    of plain services, has its mean time. A VM with few samples of its own
    adopts the line of another one.

    ``weight`` to ``units_seconds`` are sums over samples, each weighted by the
    inverse square of its expected seconds.
    """

    samples: int = 0
    weight: float = 0.0
    units: float = 0.0
    units_squared: float = 0.0
    seconds: float = 0.0
    units_seconds: float = 0.0
    fixed_s: float = 0.0
    unit_s: float = 0.0
    is_adopted: bool = False

    @property
    def is_known(self) -> bool:
        """Return whether there are enough samples to compare others with."""
        return self.is_adopted or self.samples >= _MIN_SAMPLES

    def expected_s(self, units: float) -> float:
        """Return how long ``units`` of work take at a usual server."""
        return self.fixed_s + self.unit_s * units

    def adopt(self, line: WorkLine) -> None:
        """Use what another VM found, unless own samples show enough."""
        if self.samples < _MIN_SAMPLES_TO_REPLACE and line.is_positive():
            self.fixed_s = line.fixed_s
            self.unit_s = line.unit_s
            self.is_adopted = True

    def line(self) -> WorkLine | None:
        """Return what this VM found itself, None if it has too few samples."""
        if self.is_adopted or not self.is_known:
            return None
        return WorkLine(fixed_s=self.fixed_s, unit_s=self.unit_s)

    def record(self, units: float, duration_s: float) -> None:
        """Add work that took ``duration_s`` at a usual server."""
        if self.is_known:
            limit_s = _MAX_OUTLIER * self.expected_s(units)
            duration_s = min(duration_s, limit_s)
        expected_s = self.expected_s(units) or duration_s
        row_weight = expected_s**-2
        self._decay()
        self.samples += 1
        self.weight += row_weight
        self.units += row_weight * units
        self.units_squared += row_weight * units**2
        self.seconds += row_weight * duration_s
        self.units_seconds += row_weight * units * duration_s
        if self.samples >= _MIN_SAMPLES_TO_REPLACE:
            self.is_adopted = False
        if not self.is_adopted:
            self._fit()

    def _decay(self) -> None:
        self.weight *= _DECAY_PER_SAMPLE
        self.units *= _DECAY_PER_SAMPLE
        self.units_squared *= _DECAY_PER_SAMPLE
        self.seconds *= _DECAY_PER_SAMPLE
        self.units_seconds *= _DECAY_PER_SAMPLE

    def _fit(self) -> None:
        """Find the line of the least squares that falls nowhere below 0."""
        mean_units = self.units / self.weight
        mean_s = self.seconds / self.weight
        variance = self.units_squared / self.weight - mean_units**2
        if variance <= (_MIN_RELATIVE_SPREAD * mean_units) ** 2:
            self._set_proportional(mean_units, mean_s)
            return
        covariance = self.units_seconds / self.weight - mean_units * mean_s
        self.unit_s = max(0.0, covariance / variance)
        self.fixed_s = mean_s - self.unit_s * mean_units
        if self.fixed_s < 0:
            self.fixed_s = 0.0
            self.unit_s = self.units_seconds / self.units_squared

    def _set_proportional(self, mean_units: float, mean_s: float) -> None:
        has_units = mean_units > 0
        self.unit_s = mean_s / mean_units if has_units else 0.0
        self.fixed_s = 0.0 if has_units else mean_s
