"""Least squares for the capacity page: fits value = base + slope x size ** power and gives the residual."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

POWERS = (0, 1, 2, 3)
# Noise alone favours a higher power, so one is accepted only if it reduces the residual by a tenth at least.
MAX_RESIDUAL_RATIO = 0.9


@dataclass(frozen=True, slots=True)
class Fit:
    """The fit of one quantity by size: value = base + slope x size ** power."""

    power: int
    slope: float
    base: float
    residual: float  # root mean square, as a share of the largest value

    def at(self, size: float) -> float:
        """Return the fitted value at a size."""
        return self.base + (self.slope * size**self.power if self.power else 0.0)


def fit_power(sizes: Sequence[float], values: Sequence[float], power: int) -> Fit:
    """Fit slope and base for one power by least squares; both are at least zero."""
    x, y = np.asarray(sizes, float) ** power, np.asarray(values, float)
    scale = float(np.abs(y).max()) or 1.0
    if power == 0:
        slope, base = 0.0, float(y.mean())
    else:
        slope, base = (float(coefficient) for coefficient in np.polyfit(x, y, 1))
        if base < 0:
            slope, base = float((x @ y) / (x @ x)), 0.0
        if slope < 0:
            slope, base = 0.0, float(y.mean())
    residual = float(np.sqrt(np.mean((base + slope * x * (power > 0) - y) ** 2))) / scale
    return Fit(power, slope, base, residual)


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit all powers, and return the lowest one that describes the values about as well as any."""
    best = fit_power(sizes, values, POWERS[0])
    for power in POWERS[1:]:
        candidate = fit_power(sizes, values, power)
        if candidate.residual < MAX_RESIDUAL_RATIO * best.residual:
            best = candidate
    return best


def exponent(sizes: Sequence[float], values: Sequence[float]) -> float:
    """Return the slope on logarithmic axes: 1 for linear growth, 2 for quadratic growth."""
    return float(np.polyfit(np.log(sizes), np.log(np.maximum(values, 1e-12)), 1)[0])
