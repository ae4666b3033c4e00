"""One comparison of heads with a version beside heads without, and beside themselves before. Pure.

`side` and `own` are logarithms of likelihood ratios: worse by the bounds, against no worse. What is expected
is known only so well (`doubt`), and requests go badly in clumps: a ratio is divided by how much more than
chance both let the counts scatter. In the normal approximation that is the likelihood ratio of the mixtures
over what is not known: it stops growing where more answers tell nothing more.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

PRIOR = 10.0  # pieces of evidence for no more than chance, before any is seen
CALM = 20.0  # bad answers' worth of evidence that it goes as before
BLOCK = 10  # ticks: clumps that last as long are seen


@dataclass(slots=True)
class Arm:
    """What heads of one kind did in a tick, or in all."""

    n: int = 0
    badly: int = 0
    expected: float = 0.0

    def add(self, other: Arm) -> None:
        """Add another one's."""
        self.n += other.n
        self.badly += other.badly
        self.expected += other.expected


@dataclass(slots=True)
class Cell:
    """One comparison: a measure of a class, or of a zone."""

    new: Arm = field(default_factory=Arm)
    old: Arm = field(default_factory=Arm)
    side: float = 0.0
    own: float = 0.0
    informed: float = 0.0  # Fisher's, of the logarithm by which new and old differ
    _doubts: dict[tuple[str, bool], list[float]] = field(default_factory=dict)  # expected, and unsurely so
    _block: dict[str, float] = field(default_factory=dict)
    _before: dict[str, float] = field(default_factory=dict)
    _ticks: int = 0
    _scatter: float = PRIOR
    _freedom: float = PRIOR

    def heads(self, head: str, new: bool, badly: int, expected: float, doubt: float) -> None:
        """Hear what a head did in this tick."""
        both = self._doubts.setdefault((head, new), [0.0, 0.0])
        both[0] += expected
        both[1] += expected * math.sqrt(doubt)
        if not new:
            self._block[head] = self._block.get(head, 0.0) + badly

    def compare(self, new: Arm, old: Arm, times: float, more: float) -> None:
        """Take a tick: what all heads with the version did, and all without."""
        self.old.add(old)
        if not new.n:
            return
        self.new.add(new)
        if old.n:
            worse = times * new.expected + more * new.n
            is_part = new.expected / (new.expected + old.expected)
            be_part = worse / (worse + old.expected)
            self.side += new.badly * math.log(be_part / is_part)
            self.side += old.badly * math.log((1 - be_part) / (1 - is_part))
            self.informed += (new.badly + old.badly) * is_part * (1 - is_part)
        # Where all went worse before than now, the version is measured by now.
        calmer = min(1.0, (self.old.badly + CALM) / (self.old.expected + CALM))
        is_ = calmer * new.expected
        be = times * is_ + more * new.n
        self.own += new.badly * math.log(be / is_) - (be - is_)

    def tick(self) -> None:
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

    def weights(self, clumps: float) -> tuple[float, float]:
        """Return the logarithms of both ratios as they count: beside the others, and against before."""
        clumps, new = max(clumps, self._scatter / self._freedom), self._unsure(True)
        side = self.side / clumps / (1 + (new + self._unsure(False)) * self.informed)
        return side, self.own / clumps / (1 + new * self.new.expected)

    def matters(self, times: float, more: float) -> bool:
        """Whether heads with the version are at least half as bad as the bounds say, beside the others."""
        is_ = self.new.expected * (self.old.badly + 1) / (self.old.expected + 1)
        return self.new.badly - is_ >= ((times - 1) * is_ + more * self.new.n) / 2
