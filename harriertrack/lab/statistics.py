"""Paired comparisons of variants: the same day and seed under both, and how sure the difference is."""

from __future__ import annotations

from collections.abc import Sequence

import numpy as np
from scipy import stats

from harriertrack.decisions.verdicts import PairedComparison

RESAMPLES = 4999


def _interval(
    values: np.ndarray, confidence: float, method: str, rng: np.random.Generator
) -> tuple[float, float]:
    found = stats.bootstrap(
        (values,), np.mean, confidence_level=confidence, n_resamples=RESAMPLES, method=method, rng=rng
    ).confidence_interval
    return float(found.low), float(found.high)


def compare(
    name: str, differences: Sequence[float], confidence: float = 0.95, seed: int = 1
) -> PairedComparison:
    """Compare by the paired differences, one for each (day, seed): positive is in the variant's favour.

    The interval is a bias-corrected bootstrap of the mean, the chance a sign-flipping permutation test:
    neither takes the differences to be normal. Raises ValueError without at least two differences.
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
    tested = stats.permutation_test(
        (values,), np.mean, permutation_type="samples", n_resamples=RESAMPLES, vectorized=True, rng=rng
    )
    return PairedComparison(name, mean, low, high, float(tested.pvalue), deviation, len(values))
