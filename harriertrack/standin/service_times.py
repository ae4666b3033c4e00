"""Draws from a service time distribution with mean 1: the ratio of a request's service time to the mean."""

from __future__ import annotations

import math
from typing import Any

from harriertrack.config.settings import ServiceTimeDistribution

BLOCK = 4096  # draws per call of scipy: single draws would cost more than the rest of the model


def distribution(kind: ServiceTimeDistribution, cv: float) -> Any:
    """Return the frozen scipy distribution with mean 1 and coefficient of variation `cv`; None for FIXED.

    EXPONENTIAL always has a coefficient of 1. Raises ValueError for a coefficient outside the supported
    range.
    """
    if kind is ServiceTimeDistribution.FIXED or not cv:
        return None
    from scipy import stats  # slow to import; not needed for fixed service times

    if not 0.01 <= cv <= 10:
        raise ValueError(f"a coefficient of variation of {cv} is outside 0.01 to 10")
    match kind:
        case ServiceTimeDistribution.EXPONENTIAL:
            return stats.expon()
        case ServiceTimeDistribution.GAMMA:
            return stats.gamma(1 / cv**2, scale=cv**2)
        case ServiceTimeDistribution.LOGNORMAL:
            sigma = math.sqrt(math.log1p(cv**2))
            return stats.lognorm(sigma, scale=math.exp(-(sigma**2) / 2))
        case ServiceTimeDistribution.WEIBULL:
            shape = _weibull_shape(cv)
            return stats.weibull_min(shape, scale=1 / math.gamma(1 + 1 / shape))


def _weibull_shape(cv: float) -> float:
    """Return the shape for a coefficient of variation, which decreases with the shape."""

    from scipy.optimize import brentq

    def excess(shape: float) -> float:
        log_ratio = math.lgamma(1 + 2 / shape) - 2 * math.lgamma(1 + 1 / shape)
        return log_ratio - math.log1p(cv**2)

    return float(brentq(excess, 0.1, 200.0))


class ServiceTimes:
    """A sequence of factors with mean 1, determined by its seed."""

    def __init__(self, kind: ServiceTimeDistribution, cv: float, seed: int) -> None:
        self._distribution = distribution(kind, cv)
        self._unused: list[float] = []
        if self._distribution is not None:
            import numpy as np

            self._rng = np.random.default_rng(seed)

    def draw(self) -> float:
        """Draw the next factor."""
        if self._distribution is None:
            return 1.0
        if not self._unused:
            self._unused = self._distribution.rvs(size=BLOCK, random_state=self._rng).tolist()
        return self._unused.pop()
