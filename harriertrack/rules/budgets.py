"""What must hold of a fleet's budgets, judged by what passed between heads and what arrived where it counts.

1. *Shares*: at no instant do all shares that may be in use come to more than what moves of the whole. A share
   may be in use from when its grant came until its holder said that it has a later version, that it begins a
   new tenure or asks another term, or until a lease after the ask which was answered last.
2. *Units*: in any time no more arrives than the whole's rate gives, and its burst, and the stated slack.
3. *Whole again*: where nothing is at fault any more, at the day's end each ledger that was ever kept has one
   keeper that lives, and whoever asks one has a lease.

A whole may change in service: later facts of a budget hold from when they were recorded. A lower one is
recorded when the time is over in which the heads have to come inside it, and a store fills no faster.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from harriertrack.rules import recording as rec
from harriertrack.rules.checker import Breach

EXACT = 1e-6  # of a whole: what floating point may add up to
GONE = ("killed", "ended", "leaving")

Known = (
    rec.BudgetFacts | rec.ShareRequested | rec.ShareGranted | rec.BudgetUsed
    | rec.MemberLifecycle | rec.FaultsOver | rec.LedgerOwnership
)  # fmt: skip


@dataclass(slots=True)
class _Using:
    """What one process may have of one ledger."""

    term: tuple[int, int] = (-1, -1)
    tenure: int = -1
    until: int = 0
    asked: dict[int, int] = field(default_factory=dict)  # when each number was sent
    shares: dict[str, dict[int, float]] = field(default_factory=dict)  # by budget and version

    def ask(self, one: rec.ShareRequested) -> None:
        """Follow what it says of itself."""
        if (self.term, self.tenure) != (one.term, one.tenure):
            if self.term == one.term and one.tenure < self.tenure:
                return  # it was late
            self.term, self.tenure, self.until = one.term, one.tenure, 0
            self.asked, self.shares = {}, {}
        self.asked.setdefault(one.number, one.t)
        for budget, applied in one.applied:
            versions = self.shares.get(budget, {})
            for version in [version for version in versions if version < applied]:
                del versions[version]

    def grant(self, one: rec.ShareGranted) -> list[str]:
        """Follow what it was granted; return the budgets of which it may have more now."""
        if (self.term, self.tenure) != (one.term, one.tenure):
            return []
        if one.answers in self.asked:
            self.until = max(self.until, self.asked[one.answers] + one.lease_us)
        if one.t >= self.until:
            return []
        for budget, version, rate in one.shares:
            versions = self.shares.setdefault(budget, {})
            if not versions or version > min(versions):
                versions[version] = rate
        return [budget for budget, _, _ in one.shares]

    def most(self, budget: str, now: int) -> float:
        """Return the most of a budget that it may use."""
        return max(self.shares.get(budget, {}).values(), default=0.0) if now < self.until else 0.0


def shares_within(records: Sequence[Known]) -> Iterator[Breach]:
    """1: shares in use never come to more than what moves."""
    moving: dict[str, float] = {}
    using: dict[tuple[str, int, int], _Using] = defaultdict(_Using)
    holders: dict[str, dict[tuple[str, int, int], _Using]] = defaultdict(dict)
    broken: set[str] = set()
    for one in records:
        told: list[str] = []
        if isinstance(one, rec.BudgetFacts):
            moving[one.budget] = one.moving
            told = [one.budget]
        elif isinstance(one, rec.ShareRequested):
            using[one.holder, one.instance, one.ledger].ask(one)
        elif isinstance(one, rec.ShareGranted):
            key = (one.holder, one.instance, one.ledger)
            told = using[key].grant(one)
            for budget in told:
                holders[budget][key] = using[key]
        for budget in told:
            total = sum(each.most(budget, one.t) for each in holders[budget].values())
            whole = moving.get(budget)
            if whole is not None and total > whole * (1 + EXACT) and budget not in broken:
                broken.add(budget)
                yield Breach(1, one.t, budget, f"{total:.6g} a second in shares, {whole:.6g} may move")


def units_within(records: Sequence[Known]) -> Iterator[Breach]:
    """2: what arrived keeps to the rate, the burst and the slack, in any time."""
    facts: dict[str, rec.BudgetFacts] = {}
    level: dict[str, tuple[float, int]] = {}
    broken: set[str] = set()
    for one in records:
        if isinstance(one, rec.BudgetFacts):
            if (earlier := facts.get(one.budget)) is not None and one.budget in level:
                before, at = level[one.budget]
                held = min(earlier.burst, before + earlier.rate * (one.t - at) / 1e6)
                level[one.budget] = (min(one.burst, held), one.t)
            facts[one.budget] = one
        if not isinstance(one, rec.BudgetUsed) or (fact := facts.get(one.budget)) is None:
            continue
        before, at = level.get(one.budget, (fact.burst, one.t))
        left = min(fact.burst, before + fact.rate * (one.t - at) / 1e6) - one.units
        level[one.budget] = (left, one.t)
        if left < -fact.slack - EXACT * fact.rate and one.budget not in broken:
            broken.add(one.budget)
            yield Breach(2, one.t, one.budget, f"{-left:.2f} units past the whole, slack {fact.slack:.2f}")


def whole_again(records: Sequence[Known]) -> Iterator[Breach]:
    """3: at the end of a quiet time ledgers are kept, and asks are answered."""
    using: dict[tuple[str, int, int], _Using] = defaultdict(_Using)
    last: dict[tuple[str, int], rec.ShareRequested] = {}
    keepers: dict[int, set[str]] = defaultdict(set)
    alive: set[str] = set()
    quiet, end, lease = False, 0, 0
    for one in records:
        end = one.t
        match one:
            case rec.FaultsOver():
                quiet = True
            case rec.MemberLifecycle():
                (alive.discard if one.how in GONE else alive.add)(one.member)
                if one.how in GONE or one.how == "started":
                    for heads in keepers.values():
                        heads.discard(one.member)
            case rec.LedgerOwnership():
                (keepers[one.ledger].add if one.keeps else keepers[one.ledger].discard)(one.head)
            case rec.ShareRequested():
                last[one.holder, one.ledger] = one
                using[one.holder, one.instance, one.ledger].ask(one)
            case rec.ShareGranted():
                lease = one.lease_us
                using[one.holder, one.instance, one.ledger].grant(one)
    if not quiet:
        return
    for ledger, heads in sorted(keepers.items()):
        if len(heads) != 1:
            yield Breach(3, end, f"ledger {ledger}", f"{', '.join(sorted(heads)) or 'nobody'} keeps it")
    for (name, ledger), ask in sorted(last.items()):
        held = using[name, ask.instance, ledger]
        if name in alive and ask.t > end - lease and held.until < end - lease:
            yield Breach(3, end, name, f"asks ledger {ledger}, and has no lease")


RULES: tuple[Callable[[Sequence[Known]], Iterator[Breach]], ...] = (
    shares_within, units_within, whole_again,
)  # fmt: skip


def check(records: Iterable[rec.Record]) -> list[Breach]:
    """Judge a recording's budgets, each for the first breach of a rule. In order of time."""
    mine = sorted((one for one in records if isinstance(one, Known)), key=lambda one: one.t)
    return sorted((breach for rule in RULES for breach in rule(mine)), key=lambda breach: breach.t)
