"""Running averages with exponential smoothing."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class MeanDeviation:
    """A running mean and mean deviation of values above 0; both are 0 before the first value."""

    smoothing_factor: float
    mean: float = 0.0
    deviation: float = 0.0

    def observe(self, value: float) -> None:
        """Enter one value."""
        if self.mean == 0.0:
            self.mean, self.deviation = value, value / 2
        else:
            self.deviation += self.smoothing_factor * (abs(value - self.mean) - self.deviation)
            self.mean += self.smoothing_factor * (value - self.mean)


@dataclass(slots=True)
class RelativeSize:
    """Sizes as multiples of their running mean."""

    smoothing_factor: float
    mean: float = 0.0

    def observe(self, size: float | None) -> float:
        """Enter one size and return it as a multiple of the mean; 1 where the size is not known."""
        if size is None or size <= 0:
            return 1.0
        self.mean += (size - self.mean) * (self.smoothing_factor if self.mean else 1.0)
        return size / self.mean
