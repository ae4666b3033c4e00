"""When requests come, and for what: drawn ahead from a seed, in blocks, and never waiting for answers.

A rate is a shape over time (plateaus, ramps, a day's swing) times surges that volumes may share. Gaps are
drawn in operational time, where the rate is one, and mapped back through the rate's integral; so every shape
has every dispersion: 1 is Poisson, less is more even, more comes in bursts (gamma gaps, whose squared
coefficient of variation is the dispersion).
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Annotated

import msgspec
import numpy as np
from scipy import stats

from harriertrack.config.settings import NonNegativeFloat, PositiveInt, SettingsStruct

GRID_US = 10_000  # how finely a rate's integral is kept
BLOCK = 4096


class PhaseKind(Enum):
    """The shapes of a rate."""

    PLATEAU = "plateau"
    RAMP = "ramp"
    DIURNAL = "diurnal"


class PhaseSettings(SettingsStruct, frozen=True, kw_only=True):
    """One stretch of a run, after the one before."""

    name: PhaseKind
    for_us: PositiveInt
    rate: NonNegativeFloat  # requests a second, at its beginning
    to: NonNegativeFloat = 0.0  # of a ramp: at its end; of a diurnal phase: at its peak, half a period on
    period_us: PositiveInt = 60_000_000


class SurgeSettings(SettingsStruct, frozen=True, kw_only=True):
    """Surges that come at random and strike a part of the volumes together (a goal)."""

    every_us: PositiveInt  # mean time between them
    for_us: PositiveInt
    factor: Annotated[float, msgspec.Meta(ge=1, le=1000)] = 4.0
    part: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.3


@dataclass(frozen=True, slots=True)
class Surge:
    """One surge as drawn; times in microseconds from the start."""

    from_us: int
    to_us: int
    factor: float
    volumes: tuple[int, ...]


def length_us(phases: tuple[PhaseSettings, ...]) -> int:
    """Return how long a run of these phases is."""
    return sum(phase.for_us for phase in phases)


def rate_at(phases: tuple[PhaseSettings, ...], times_us: np.ndarray) -> np.ndarray:
    """Return requests a second at some moments; 0 outside the run."""
    rates = np.zeros(len(times_us))
    begin = 0
    for phase in phases:
        inside = (times_us >= begin) & (times_us < begin + phase.for_us)
        t = (times_us[inside] - begin).astype(float)
        match phase.name:
            case PhaseKind.PLATEAU:
                rates[inside] = phase.rate
            case PhaseKind.RAMP:
                rates[inside] = phase.rate + (phase.to - phase.rate) * t / phase.for_us
            case PhaseKind.DIURNAL:
                swing = (1 - np.cos(2 * np.pi * t / phase.period_us)) / 2
                rates[inside] = phase.rate + (phase.to - phase.rate) * swing
        begin += phase.for_us
    return rates


def draw_surges(settings: SurgeSettings | None, until_us: int, volumes: int, seed: int) -> list[Surge]:
    """Draw the surges of a run."""
    if settings is None:
        return []
    rng = np.random.default_rng([seed, 1])
    surges: list[Surge] = []
    at = 0.0
    while True:
        at += rng.exponential(settings.every_us)
        if at >= until_us:
            return surges
        struck = rng.choice(volumes, size=max(1, round(settings.part * volumes)), replace=False)
        until = int(at) + settings.for_us
        surges.append(Surge(int(at), until, settings.factor, tuple(sorted(struck.tolist()))))


class RateIntegral:
    """A volume's expected requests up to any moment, and back."""

    def __init__(
        self, phases: tuple[PhaseSettings, ...], share: float, surges: list[Surge], volume: int
    ) -> None:
        end = length_us(phases)
        self._edges = np.append(np.arange(0, end, GRID_US), end).astype(float)
        middles = (self._edges[:-1] + self._edges[1:]) / 2
        rates = rate_at(phases, middles) * share
        for surge in surges:
            if volume in surge.volumes:
                rates[(middles >= surge.from_us) & (middles < surge.to_us)] *= surge.factor
        self._sums = np.concatenate(([0.0], np.cumsum(rates * np.diff(self._edges) / 1e6)))

    @property
    def total(self) -> float:
        """Return how many requests are expected in all."""
        return float(self._sums[-1])

    def expected(self, from_us: float, to_us: float) -> float:
        """Return how many are expected between two moments."""
        low, high = np.interp([from_us, to_us], self._edges, self._sums)
        return float(high - low)

    def times(self, counts: np.ndarray) -> np.ndarray:
        """Return the moments (microseconds) at which so many are expected to have come."""
        rising = np.concatenate(([True], np.diff(self._sums) > 0))  # a moment without load has no inverse
        return np.interp(counts, self._sums[rising], self._edges[rising])


def arrivals(integral: RateIntegral, dispersion: float, seed: list[int]) -> Iterator[int]:
    """Yield the moments of one volume's requests, in microseconds from the start.

    Raises ValueError for a dispersion that is not above zero.
    """
    if not dispersion > 0:
        raise ValueError("a dispersion must be above zero")
    rng = np.random.default_rng(seed)
    gaps = stats.gamma(1 / dispersion, scale=dispersion)
    reached = float(rng.random() * gaps.rvs(random_state=rng))  # the first gap began before the run
    while reached < integral.total:
        counts = reached + np.concatenate(([0.0], np.cumsum(gaps.rvs(size=BLOCK, random_state=rng))))
        yield from integral.times(counts[:-1][counts[:-1] < integral.total]).astype(np.int64).tolist()
        reached = float(counts[-1])


class Zipf:
    """Which of `count` things is asked for: the k-th most popular has a share as 1/k**exponent."""

    def __init__(self, count: int, exponent: float, seed: list[int]) -> None:
        if count < 1 or exponent < 0:
            raise ValueError("popularity needs things to choose from, and an exponent of at least 0")
        self._rng = np.random.default_rng(seed)
        weights = 1.0 / np.arange(1, count + 1) ** exponent
        self.shares = weights / weights.sum()
        self._sums = np.cumsum(self.shares)
        # Popular things lie anywhere, not all at the beginning.
        self._where = self._rng.permutation(count)
        self._drawn: list[int] = []

    def next(self) -> int:
        """Draw one, by its number."""
        if not self._drawn:
            ranks = np.searchsorted(self._sums, self._rng.random(BLOCK), side="right")
            self._drawn = self._where[np.minimum(ranks, len(self._where) - 1)].tolist()
        return self._drawn.pop()
