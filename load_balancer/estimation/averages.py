"""Running averages with exponential smoothing."""

from __future__ import annotations


class MeanDeviation:
    """A running mean and mean deviation of positive values.

    Attributes:
        mean: the mean, 0 before the first value.
        deviation: the mean absolute deviation from the mean, 0 before the first value.
    """

    __slots__ = ("_smoothing_factor", "deviation", "mean")

    def __init__(self, smoothing_factor: float) -> None:
        self.mean = 0.0
        self.deviation = 0.0
        self._smoothing_factor = smoothing_factor

    def observe(self, value: float) -> None:
        """Add a value to the mean and the deviation."""
        if self.mean == 0.0:
            self.mean, self.deviation = value, value / 2
        else:
            self.deviation += self._smoothing_factor * (abs(value - self.mean) - self.deviation)
            self.mean += self._smoothing_factor * (value - self.mean)


class RelativeSize:
    """Converts sizes into multiples of their running mean."""

    __slots__ = ("_mean", "_smoothing_factor")

    def __init__(self, smoothing_factor: float) -> None:
        self._mean = 0.0
        self._smoothing_factor = smoothing_factor

    def observe(self, size: float | None) -> float:
        """Add a size to the mean and return it as a multiple of the mean.

        A size that is None or not positive counts as unknown: the mean does not change, and the result is 1.
        """
        if size is None or size <= 0:
            return 1.0
        self._mean += (size - self._mean) * (self._smoothing_factor if self._mean else 1.0)
        return size / self._mean
