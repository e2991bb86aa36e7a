"""Least squares for the capacity page: value = base + slope x size ** power, and how well that holds."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

POWERS = (0, 1, 2, 3)
# A higher power is taken only where it leaves a tenth less than the lower one did: noise alone favours it.
BETTER_BY = 0.9


@dataclass(frozen=True, slots=True)
class Fit:
    """One quantity by size."""

    power: int
    slope: float
    base: float
    residual: float  # root of the mean squared residual, as a share of the largest value

    def at(self, size: float) -> float:
        """The value at a size."""
        return self.base + (self.slope * size**self.power if self.power else 0.0)


def fit_power(sizes: Sequence[float], values: Sequence[float], power: int) -> Fit:
    """The best slope and base for one power; neither may be below zero."""
    x, y = np.asarray(sizes, float) ** power, np.asarray(values, float)
    scale = float(np.abs(y).max()) or 1.0
    if power == 0:
        slope, base = 0.0, float(y.mean())
    else:
        slope, base = (float(v) for v in np.polyfit(x, y, 1))
        if base < 0:
            slope, base = float((x @ y) / (x @ x)), 0.0
        if slope < 0:
            slope, base = 0.0, float(y.mean())
    residual = float(np.sqrt(np.mean((base + slope * x * (power > 0) - y) ** 2))) / scale
    return Fit(power, slope, base, residual)


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """The lowest power that describes the values about as well as any."""
    best = fit_power(sizes, values, POWERS[0])
    for power in POWERS[1:]:
        other = fit_power(sizes, values, power)
        if other.residual < BETTER_BY * best.residual:
            best = other
    return best


def exponent(sizes: Sequence[float], values: Sequence[float]) -> float:
    """The slope of the values on logarithmic axes: 1 for linear growth, 2 for quadratic."""
    return float(np.polyfit(np.log(sizes), np.log(np.maximum(values, 1e-12)), 1)[0])
