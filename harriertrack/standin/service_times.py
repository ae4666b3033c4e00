"""How long work takes beside its mean: draws of a service distribution with mean 1."""

from __future__ import annotations

import math
from typing import Any

from harriertrack.config.settings import ServiceTimeDistribution

BLOCK = 4096  # draws made at once: one by one, scipy would cost more than the rest of the model


def distribution(kind: ServiceTimeDistribution, cv: float) -> Any:
    """Return the frozen scipy distribution with mean 1 and coefficient of variation `cv`; None for FIXED.

    EXPONENTIAL has a coefficient of 1 whatever is asked. Raises ValueError for a coefficient that a
    distribution can't have.
    """
    if kind is ServiceTimeDistribution.FIXED or not cv:
        return None
    from scipy import stats  # takes long to import: heads and nodes without a spread don't pay for it

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
    """Find the shape that gives a coefficient of variation: it falls as the shape grows."""

    from scipy.optimize import brentq

    def excess(shape: float) -> float:
        log_ratio = math.lgamma(1 + 2 / shape) - 2 * math.lgamma(1 + 1 / shape)
        return log_ratio - math.log1p(cv**2)

    return float(brentq(excess, 0.1, 200.0))


class ServiceTimes:
    """A stream of factors with mean 1, the same for the same seed."""

    def __init__(self, kind: ServiceTimeDistribution, cv: float, seed: int) -> None:
        self._distribution = distribution(kind, cv)
        self._drawn: list[float] = []
        if self._distribution is not None:
            import numpy as np

            self._rng = np.random.default_rng(seed)

    def draw(self) -> float:
        """Return the next factor."""
        if self._distribution is None:
            return 1.0
        if not self._drawn:
            self._drawn = self._distribution.rvs(size=BLOCK, random_state=self._rng).tolist()
        return self._drawn.pop()
