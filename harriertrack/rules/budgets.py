"""Checks the budgets of a fleet by the messages between heads and the units that arrive where it is measured.

1. *Shares*: at no time do all shares that may be in use add up to more than the budget's moving rate. A share
   may be in use from its grant until its holder states that it uses a later version, begins a new tenure or
   queries another term, or until a lease after the last answered request was sent.
2. *Units*: in any period no more units arrive than the budget's rate, burst and stated slack allow.
3. *Recovery*: if no fault is active any more, at the day's end each ledger that ever ran is run by one living
   head, and each head that requests shares from a ledger has a lease.

A budget may change in service: later facts of it hold from when they were recorded. A lower budget is
recorded at the end of the time in which heads must reduce their use. A token bucket refills no faster than
its rate.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from harriertrack.rules import recording as rec
from harriertrack.rules.breach import Breach

EXACT = 1e-6  # relative error of sums of floating point numbers
ENDED_STATES = ("killed", "ended", "leaving")

Checked = (
    rec.BudgetFacts | rec.ShareRequested | rec.ShareGranted | rec.BudgetUsed
    | rec.MemberLifecycle | rec.FaultsOver | rec.LedgerOwnership
)  # fmt: skip


@dataclass(slots=True)
class _ShareUse:
    """The shares of one ledger that one process may use."""

    term: tuple[int, int] = (-1, -1)
    tenure: int = -1
    valid_until_us: int = 0
    sent_at_us: dict[int, int] = field(default_factory=dict)  # when each request number was sent
    shares: dict[str, dict[int, float]] = field(default_factory=dict)  # by budget and version

    def apply_request(self, request: rec.ShareRequested) -> None:
        """Apply what a request states: a new term or tenure drops all shares, applied versions older ones."""
        if (self.term, self.tenure) != (request.term, request.tenure):
            if self.term == request.term and request.tenure < self.tenure:
                return  # an old request that was delayed
            self.term, self.tenure, self.valid_until_us = request.term, request.tenure, 0
            self.sent_at_us, self.shares = {}, {}
        self.sent_at_us.setdefault(request.number, request.t)
        for budget, applied in request.applied:
            versions = self.shares.get(budget, {})
            for version in [version for version in versions if version < applied]:
                del versions[version]

    def apply_grant(self, grant: rec.ShareGranted) -> list[str]:
        """Apply a grant; return the budgets of which the process may now use more."""
        if (self.term, self.tenure) != (grant.term, grant.tenure):
            return []
        if grant.answers in self.sent_at_us:
            self.valid_until_us = max(self.valid_until_us, self.sent_at_us[grant.answers] + grant.lease_us)
        if grant.t >= self.valid_until_us:
            return []
        for budget, version, rate in grant.shares:
            versions = self.shares.setdefault(budget, {})
            if not versions or version > min(versions):
                versions[version] = rate
        return [budget for budget, _, _ in grant.shares]

    def max_rate(self, budget: str, now: int) -> float:
        """Return the highest rate of a budget that the process may use."""
        return max(self.shares.get(budget, {}).values(), default=0.0) if now < self.valid_until_us else 0.0


def shares_within(records: Sequence[Checked]) -> Iterator[Breach]:
    """1: shares in use never add up to more than the moving rate."""
    moving: dict[str, float] = {}
    use_by_process: dict[tuple[str, int, int], _ShareUse] = defaultdict(_ShareUse)
    holders: dict[str, dict[tuple[str, int, int], _ShareUse]] = defaultdict(dict)
    reported: set[str] = set()
    for record in records:
        changed: list[str] = []
        if isinstance(record, rec.BudgetFacts):
            moving[record.budget] = record.moving
            changed = [record.budget]
        elif isinstance(record, rec.ShareRequested):
            use_by_process[record.holder, record.instance, record.ledger].apply_request(record)
        elif isinstance(record, rec.ShareGranted):
            key = (record.holder, record.instance, record.ledger)
            changed = use_by_process[key].apply_grant(record)
            for budget in changed:
                holders[budget][key] = use_by_process[key]
        for budget in changed:
            total = sum(use.max_rate(budget, record.t) for use in holders[budget].values())
            limit = moving.get(budget)
            if limit is not None and total > limit * (1 + EXACT) and budget not in reported:
                reported.add(budget)
                yield Breach(1, record.t, budget, f"{total:.6g} a second in shares, {limit:.6g} may move")


def units_within(records: Sequence[Checked]) -> Iterator[Breach]:
    """2: the units that arrive stay within rate, burst and slack in any period."""
    facts: dict[str, rec.BudgetFacts] = {}
    levels: dict[str, tuple[float, int]] = {}
    reported: set[str] = set()
    for record in records:
        if isinstance(record, rec.BudgetFacts):
            if (earlier := facts.get(record.budget)) is not None and record.budget in levels:
                level, at = levels[record.budget]
                refilled = min(earlier.burst, level + earlier.rate * (record.t - at) / 1e6)
                levels[record.budget] = (min(record.burst, refilled), record.t)
            facts[record.budget] = record
        if not isinstance(record, rec.BudgetUsed) or (current := facts.get(record.budget)) is None:
            continue
        level, at = levels.get(record.budget, (current.burst, record.t))
        remaining = min(current.burst, level + current.rate * (record.t - at) / 1e6) - record.units
        levels[record.budget] = (remaining, record.t)
        if remaining < -current.slack - EXACT * current.rate and record.budget not in reported:
            reported.add(record.budget)
            yield Breach(
                2,
                record.t,
                record.budget,
                f"{-remaining:.2f} units past the whole, slack {current.slack:.2f}",
            )


def whole_again(records: Sequence[Checked]) -> Iterator[Breach]:
    """3: once no fault is active, each ledger is run by one head and each holder has a lease at the end."""
    use_by_process: dict[tuple[str, int, int], _ShareUse] = defaultdict(_ShareUse)
    last_request: dict[tuple[str, int], rec.ShareRequested] = {}
    runners: dict[int, set[str]] = defaultdict(set)
    alive: set[str] = set()
    faults_over, end, lease_us = False, 0, 0
    for record in records:
        end = record.t
        match record:
            case rec.FaultsOver():
                faults_over = True
            case rec.MemberLifecycle():
                (alive.discard if record.how in ENDED_STATES else alive.add)(record.member)
                if record.how in ENDED_STATES or record.how == "started":
                    for heads in runners.values():
                        heads.discard(record.member)
            case rec.LedgerOwnership():
                (runners[record.ledger].add if record.keeps else runners[record.ledger].discard)(record.head)
            case rec.ShareRequested():
                last_request[record.holder, record.ledger] = record
                use_by_process[record.holder, record.instance, record.ledger].apply_request(record)
            case rec.ShareGranted():
                lease_us = record.lease_us
                use_by_process[record.holder, record.instance, record.ledger].apply_grant(record)
    if not faults_over:
        return
    for ledger, heads in sorted(runners.items()):
        if len(heads) != 1:
            yield Breach(3, end, f"ledger {ledger}", f"{', '.join(sorted(heads)) or 'nobody'} keeps it")
    for (holder, ledger), request in sorted(last_request.items()):
        share_use = use_by_process[holder, request.instance, ledger]
        if holder in alive and request.t > end - lease_us and share_use.valid_until_us < end - lease_us:
            yield Breach(3, end, holder, f"asks ledger {ledger}, and has no lease")


RULES: tuple[Callable[[Sequence[Checked]], Iterator[Breach]], ...] = (
    shares_within, units_within, whole_again,
)  # fmt: skip


def check(records: Iterable[rec.Record]) -> list[Breach]:
    """Check a recording's budgets; return the first breach of each rule by each budget, in order of time."""
    checked = sorted(
        (record for record in records if isinstance(record, Checked)), key=lambda record: record.t
    )
    return sorted((breach for rule in RULES for breach in rule(checked)), key=lambda breach: breach.t)
