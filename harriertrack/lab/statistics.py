"""Paired comparisons of variants on the same days and seeds: mean, confidence interval and p-value."""

from __future__ import annotations

from collections.abc import Sequence

import numpy as np
from scipy import stats

from harriertrack.decisions.verdicts import PairedComparison

RESAMPLES = 4999


def _interval(
    values: np.ndarray, confidence: float, method: str, rng: np.random.Generator
) -> tuple[float, float]:
    interval = stats.bootstrap(
        (values,), np.mean, confidence_level=confidence, n_resamples=RESAMPLES, method=method, rng=rng
    ).confidence_interval
    return float(interval.low), float(interval.high)


def compare(
    name: str, differences: Sequence[float], confidence: float = 0.95, seed: int = 1
) -> PairedComparison:
    """Summarize paired differences, one for each (day, seed); positive ones favour the variant.

    The interval is a bias-corrected bootstrap of the mean; the p-value is that of a sign-flipping permutation
    test. Neither assumes normally distributed differences. Raises ValueError for fewer than two differences.
    """
    values = np.asarray(differences, dtype=float)
    if len(values) < 2:
        raise ValueError("a comparison needs at least two pairs")
    mean, deviation = float(values.mean()), float(values.std(ddof=1))
    if not values.any():
        return PairedComparison(name, 0.0, 0.0, 0.0, 1.0, 0.0, len(values))
    rng = np.random.default_rng(seed)
    if deviation:
        low, high = _interval(values, confidence, "BCa", rng)
    else:
        low = high = mean
    if not (np.isfinite(low) and np.isfinite(high)):  # too few distinct values to correct for bias
        low, high = _interval(values, confidence, "percentile", rng)
    test = stats.permutation_test(
        (values,), np.mean, permutation_type="samples", n_resamples=RESAMPLES, vectorized=True, rng=rng
    )
    return PairedComparison(name, mean, low, high, float(test.pvalue), deviation, len(values))
