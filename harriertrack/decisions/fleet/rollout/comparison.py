"""One comparison of heads with a version beside heads without, and beside themselves before. Pure.

Of all requests that went badly in a tick so many fall to heads with the version by chance: a part that is
known from what was expected of both, if the version is no worse, and a larger one if it is. What is expected
is known only so well (`doubt`): the part has a Beta distribution around that, and the counts are
beta-binomial; against before they are negative binomial, in the same way. Requests go badly in clumps: so
many of them count as one as old heads scatter in time more than chance lets them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

PRIOR = 4.0  # pieces of evidence of clumps twice as large as chance, before any are seen
HARMS = (1.0, 4.0, 16.0)  # times the bounds: what is far worse is found though little is known of before
LEAST_PART = 1e-6  # of what goes badly
LEAST_DOUBT = 1e-6
CALM = 20.0  # bad answers' worth of evidence that it goes as before
BLOCK = 10  # ticks: clumps that last as long are seen


@dataclass(slots=True)
class Arm:
    """What heads of one kind did in a tick, or in all."""

    n: int = 0
    bad: int = 0
    expected: float = 0.0

    def add(self, other: Arm) -> None:
        """Add another one's."""
        self.n += other.n
        self.bad += other.bad
        self.expected += other.expected


@dataclass(slots=True)
class Comparison:
    """One comparison: a measure of a class, or of a zone."""

    new: Arm = field(default_factory=Arm)
    old: Arm = field(default_factory=Arm)
    concurrent: Arm = field(
        default_factory=Arm
    )  # of bad answers where both answered: all, new heads', expected
    expected_if_worse: list[float] = field(
        default_factory=lambda: [0.0] * len(HARMS)
    )  # expected if it is worse
    own_expected: float = 0.0  # expected of new heads by what was before
    own_expected_if_worse: float = 0.0  # ... if it is worse
    _doubts: dict[tuple[str, bool], list[float]] = field(default_factory=dict)  # expected, and unsurely so
    _block: dict[str, float] = field(default_factory=dict)
    _before: dict[str, float] = field(default_factory=dict)
    _ticks: int = 0
    _scatter: float = 2 * PRIOR
    _freedom: float = PRIOR

    def add_head(self, head: str, new: bool, badly: int, expected: float, doubt: float) -> None:
        """Hear what a head did in this tick."""
        both = self._doubts.setdefault((head, new), [0.0, 0.0])
        both[0] += expected
        both[1] += expected * math.sqrt(doubt)
        if not new:
            self._block[head] = self._block.get(head, 0.0) + badly

    def add_tick(self, new: Arm, old: Arm, times: float, more: float) -> None:
        """Take a tick: what all heads with the version did, and all without."""
        self.old.add(old)
        if not new.n:
            return
        self.new.add(new)
        if old.n:
            both = new.bad + old.bad
            part = new.expected / (new.expected + old.expected)
            self.concurrent.add(Arm(both, new.bad, both * part))
            for at, harm in enumerate(HARMS):
                worse = max(min(harm * (times * new.expected + more * new.n), new.n), new.expected)
                self.expected_if_worse[at] += both * worse / (worse + old.expected)
        # Where all went worse before than now, the version is measured by now.
        calmer = min(1.0, (self.old.bad + CALM) / (self.old.expected + CALM))
        self.own_expected += calmer * new.expected
        self.own_expected_if_worse += calmer * times * new.expected + more * new.n

    def end_tick(self) -> None:
        """A tick is over: see after some how unevenly in time old heads did."""
        self._ticks += 1
        if self._ticks % BLOCK:
            return
        now, before = self._block, self._before
        self._block, self._before = {}, now
        if not before:
            return
        both = now.keys() & before.keys()
        whole = [sum(part[head] for head in both) for part in (before, now)]
        if not all(whole):
            return
        part = whole[1] / sum(whole)
        for head in both:
            if (pair := now[head] + before[head]) > 0:
                self._scatter += (now[head] - pair * part) ** 2 / (pair * part * (1 - part))
                self._freedom += 1
        self._freedom -= 1

    @property
    def scatter(self) -> tuple[float, float]:
        """Return how far old heads scatter in time, and how far chance alone lets them."""
        return self._scatter, self._freedom

    def _unsure(self, new: bool) -> float:
        mine = [both for (_, is_new), both in self._doubts.items() if is_new is new]
        whole = sum(expected for expected, _ in mine)
        return sum(unsure**2 for _, unsure in mine) / whole**2 if whole else 0.0

    def log_ratios(self, clumps: float) -> tuple[float, float]:
        """Return how much says that it is worse, and how little that it is no worse, as logarithms of ratios.

        Worse: beside the others, by the bounds or several times that (a mixture of tests is one). No worse:
        less than the bounds, beside the others or against before.
        """
        clumps, new = max(clumps, self._scatter / self._freedom), self._unsure(True)
        new *= clumps  # what was before went badly in clumps too
        doubt, beside = new + clumps * self._unsure(False), self.concurrent
        bad, fine = beside.bad / clumps, (beside.n - beside.bad) / clumps
        sides = [0.0] * len(HARMS)
        if beside.n:
            usual = _shared(bad, fine, beside.expected / beside.n, doubt)
            sides = [_shared(bad, fine, worse / beside.n, doubt) - usual for worse in self.expected_if_worse]
        mine = self.new.bad / clumps
        own = _counted(mine, self.own_expected_if_worse / clumps, new) - _counted(
            mine, self.own_expected / clumps, new
        )
        return max(sides) - math.log(len(HARMS)), min(sides[0], own)

    def is_material(self, times: float, more: float) -> bool:
        """Whether heads with the version are at least half as bad as the bounds say, beside the others."""
        is_ = self.new.expected * (self.old.bad + 1) / (self.old.expected + 1)
        return self.new.bad - is_ >= ((times - 1) * is_ + more * self.new.n) / 2


def _shared(bad: float, fine: float, part: float, doubt: float) -> float:
    """Return the logarithm of a beta-binomial chance, as far as it depends on the part."""
    part = min(max(part, LEAST_PART), 1 - LEAST_PART)
    whole = 1 / (max(doubt, LEAST_DOUBT) * part * (1 - part))
    a, b = whole * part, whole * (1 - part)
    return _ratio(a, bad) + _ratio(b, fine) - _ratio(whole, bad + fine)


def _ratio(of: float, more: float) -> float:
    return math.lgamma(of + more) - math.lgamma(of)


def _counted(bad: float, expected: float, doubt: float) -> float:
    """Return the logarithm of a negative binomial chance, as far as it depends on what is expected."""
    if expected <= 0:
        return 0.0
    shape = 1 / max(doubt, LEAST_DOUBT)
    return bad * math.log(expected / (expected + shape)) - shape * math.log1p(expected / shape)
