"""Running averages."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class MeanDeviation:
    """A running mean and mean deviation of values above 0, by exponential steps; both 0 before the first."""

    step: float
    mean: float = 0.0
    deviation: float = 0.0

    def observe(self, value: float) -> None:
        """Take in one value."""
        if self.mean == 0.0:
            self.mean, self.deviation = value, value / 2
        else:
            self.deviation += self.step * (abs(value - self.mean) - self.deviation)
            self.mean += self.step * (value - self.mean)


@dataclass(slots=True)
class RelativeSize:
    """Sizes as multiples of their running mean."""

    step: float
    mean: float = 0.0

    def observe(self, size: float | None) -> float:
        """Take in one size and compare it with the mean; 1 where it is not known."""
        if size is None or size <= 0:
            return 1.0
        self.mean += (size - self.mean) * (self.step if self.mean else 1.0)
        return size / self.mean
