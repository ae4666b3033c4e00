"""Totals that change while heads divide them: a lowered one holds in bounded time, a raised one adds no burst."""

from dataclasses import replace

import pytest

from harriertrack.decisions.bucket import Bucket
from harriertrack.decisions.fleet.budgets import BudgetRules, Claim, Lease, BudgetShare, Term, BudgetTotal
from harriertrack.decisions.fleet.holder import LeaseHolder
from harriertrack.decisions.fleet.ledger import Ledger
from harriertrack.decisions.fleet.budget_shares import BudgetSpec, BudgetShares, BudgetKind
from harriertrack.decisions.interface import RequestArrived, Plan
from harriertrack.lab.fleet.division import Division, Parts, Trial
from harriertrack.rules import budgets

S = 1_000_000
RULES = BudgetRules(clock_error=0.01, term_us=2 * S, patience_us=S)
TOTAL = BudgetTotal(200.0, 40.0, 8, 0.1)
LOW, HIGH = replace(TOTAL, rate=50.0, burst=10.0), replace(TOTAL, rate=800.0, burst=160.0)


UNCHANGED = Parts()


def make_division(seed, parts=UNCHANGED, heads=8):
    return Division(heads, {"v0": replace(TOTAL, hosts=heads)}, seed, RULES, parts, 0.01)


def set_demand(division, rate):
    for name in division.names:
        division.demand[name, "v0"] = rate


def change_total(division, total):
    """Change the total's rate and burst, and return the new total."""
    total = replace(division.totals["v0"], rate=total.rate, burst=total.burst)
    division.change_total("v0", total)
    return total


def usable_rate(division):
    """Return the rate that all heads together may use now."""
    return sum(
        held.share.rate for member in division.members.values() for held in member.holder.budgets.values()
    )


def change_under_faults(division, changes=(LOW, HIGH, TOTAL), each=3 * S, faults=True):
    """Change the total under random faults; heads receive the change at random times."""
    rng, trial = division.random, Trial(division)
    set_demand(division, 120.0)
    division.run(3 * S)
    for total in changes:
        change_total(division, total)
        end = division.now + each
        while division.now < end:
            division.apply_totals(rng.choice(division.names))
            trial.run(100_000) if faults else division.run(100_000)
            set_demand(division, rng.choice((5.0, 60.0, 300.0)))
    trial.heal()


@pytest.mark.parametrize("seed", range(24))
def test_the_total_holds_in_any_order_of_updates_and_is_fully_used_after(seed):
    division = make_division(seed)
    order = division.random.sample([LOW, HIGH, TOTAL], 3)
    change_under_faults(division, order, faults=seed % 2 == 0)
    total = division.totals["v0"]
    division.run(5 * S)  # suspended heads resume
    set_demand(division, 0.4 * total.rate)
    for name in division.names:
        division.apply_totals(name)
    assert division.all_applied
    division.run(12 * S)
    assert budgets.check(division.records) == []
    assert 0.9 * total.rate < usable_rate(division) <= total.rate


class KeepsOldTotal(LeaseHolder):
    """Applies the new total only to budgets that are opened later."""

    def update_source(self, now, source, before, after):
        pass


class KeepsFirstClaim(Ledger):
    """Divides the total of the first claim."""

    def _claim(self, holder, tenancy, claim):
        known = tenancy.holdings.get(claim.budget)
        super()._claim(holder, tenancy, replace(claim, movable=known.total) if known is not None else claim)


class OpensFullBuckets(LeaseHolder):
    """Opens a budget after a change as full as if the new total had always applied."""

    def update_source(self, now, source, before, after):
        super().update_source(now, source, before, after)
        self._idle_buckets.clear()


class FillsOnRaise(BudgetShare):
    """A larger total fills the bucket at once."""

    __slots__ = ()

    def set_total(self, now, total):
        super().set_total(now, total)
        self.level = self.capacity


class FillsBucketsOnRaise(LeaseHolder):
    def open(self, now, budget, total):
        fresh = budget not in self.budgets
        share = super().open(now, budget, total)
        if fresh:
            share.__class__ = FillsOnRaise
        return share


def lower_total(division):
    change_under_faults(division, (LOW,), faults=False)
    set_demand(division, 60.0)
    division.run(5 * S)


def use_raised_total(division):
    """Raise the total, let all heads apply it, and use it."""
    change_total(division, replace(HIGH, burst=4000.0))
    for name in division.names:
        division.apply_totals(name)
    set_demand(division, 3000.0)
    division.run(S)


def raise_idle_total(division):
    """The budget is idle until it is closed; then the total is raised and all heads use it."""
    set_demand(division, 5.0)
    division.run(3 * S)
    set_demand(division, 0.0)
    division.run(12 * S)
    use_raised_total(division)


def raise_used_total(division):
    set_demand(division, 20.0)
    division.run(3 * S)
    use_raised_total(division)


FAULTS = {
    "a head keeps its first total": (Parts(holder=KeepsOldTotal), lower_total),
    "the ledger keeps the first claimed total": (Parts(ledger=KeepsFirstClaim), lower_total),
    "a budget is opened full of the new total": (Parts(holder=OpensFullBuckets), raise_idle_total),
    "a raise fills an open budget": (Parts(holder=FillsBucketsOnRaise), raise_used_total),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_the_checker_finds_each_removed_safeguard(fault):
    parts, run = FAULTS[fault]
    division = make_division(1)
    run(division)
    assert budgets.check(division.records) == []
    division = make_division(1, parts)
    run(division)
    assert budgets.check(division.records)


def test_without_losses_a_lowered_total_is_kept_well_within_a_lease():
    division = make_division(3)
    set_demand(division, 120.0)
    division.run(4 * S)
    assert usable_rate(division) > 0.9 * TOTAL.rate
    change_total(division, LOW)
    for name in division.names:
        division.apply_totals(name)
    assert usable_rate(division) <= TOTAL.rate
    division.run(RULES.lease_us // 2)
    assert usable_rate(division) <= LOW.rate


def test_a_head_suspended_during_a_change_keeps_only_its_old_fixed_part():
    division = make_division(4)
    set_demand(division, 120.0)
    division.run(4 * S)
    division.suspend("head3", 4 * S)
    division.run(100_000)
    change_total(division, LOW)
    for name in division.names:
        division.apply_totals(name)
    division.run(4 * S)  # the suspended head has just resumed
    member = division.members["head3"]
    assert member.holder.budgets["v0"].share.refill(division.clock(member)) <= TOTAL.burst * 0.1 / 8
    division.run(S)
    other_rates = usable_rate(division) - member.holder.budgets["v0"].share.rate
    assert other_rates <= LOW.rate and not division.all_applied
    division.apply_totals("head3")
    division.run(S)
    assert usable_rate(division) <= LOW.rate and budgets.check(division.records) == []


# -- one head


def test_a_lower_total_applies_at_once_and_a_higher_one_once_confirmed():
    now = 0
    holder = LeaseHolder(0, "a", 1, RULES, -100 * S)
    share = holder.open(now, "v0", replace(TOTAL, source="gold"))
    rate = share.rate
    holder.update_source(now, "gold", (200.0, 40.0), (800.0, 40.0))
    assert share.rate == rate
    ledger = Ledger(0, Term(1, 1), now, RULES)
    holder.observe_term(now, ledger.term)
    (request,) = holder.due_requests(now)
    assert request.claims == (Claim("v0", 0.9 * 800.0, 0.0, 0, 0.0),)
    holder.apply_grant(now, ledger.handle_request(now, request))
    assert share.rate == pytest.approx(4 * rate)
    share.level = 0.0  # else it would be closed as idle
    assert holder.due_requests(now + RULES.quick_us) == []  # already confirmed
    holder.update_source(now, "gold", (800.0, 40.0), (100.0, 40.0))
    assert share.rate == pytest.approx(rate / 2)


def test_a_share_of_a_larger_total_counts_for_at_most_the_movable_part_of_a_lower_one():
    lease = Lease(10 * S)
    share = BudgetShare(0, TOTAL, lease, 0.0)
    share.set_leased(0, 180.0, 40.0)
    level = share.level
    share.set_total(0, LOW)
    assert share.rate == pytest.approx(50.0 * (0.1 / 8 + 0.9)) and share.level == share.capacity < level
    share.set_total(0, TOTAL)
    assert share.rate == pytest.approx(200.0 * (0.1 / 8 + 0.9)) and share.level < 10.0


def test_a_lowered_concurrency_budget_reports_the_excess():
    links = BudgetTotal(80.0, 0.0, 8, 0.5, concurrent=True)
    share = BudgetShare(0, links, Lease(10 * S), 0.0)
    for _ in range(5):
        assert share.acquire(0)
    share.set_total(0, replace(links, rate=32.0))
    assert (share.excess, share.in_use) == (3, 5.0)
    share.set_total(0, links)
    assert (share.excess, share.in_use) == (0, 5.0)


def test_a_lowered_total_replaces_an_unconfirmed_raise():
    ledger, term = Ledger(0, Term(1, 1), 0, RULES), Term(1, 1)

    def send(at, number, movable, version=0):
        from harriertrack.decisions.fleet.budgets import LeaseRequest

        claims = (Claim("v0", movable, 300.0, version, 0.0),)
        return ledger.handle_request(at, LeaseRequest(0, term, "a", 1, 1, number, S, 1.0, claims))

    send(0, 1, 180.0)
    (update,) = ledger.rebalance(0)
    assert update.shares[0].rate == 180.0  # sent, unconfirmed
    send(60_000, 2, 45.0)
    (update,) = ledger.rebalance(60_000)
    assert update.shares[0].rate == pytest.approx(45.0)
    assert ledger.accounts["v0"].committed == 180.0  # until the holder confirms


def budget_shares(kinds=(BudgetKind.LIMITS, BudgetKind.TRIALS, BudgetKind.LINKS)):
    specs = {
        BudgetKind.LIMITS: BudgetSpec(0.1),
        BudgetKind.TRIALS: BudgetSpec(0.1, 10.0, 4.0),
        BudgetKind.LINKS: BudgetSpec(0.5, 80.0),
    }  # fmt: skip
    return BudgetShares(RULES, 2, "a", 1, 8, {kind: specs[kind] for kind in kinds}, -100 * S)


def test_update_totals_changes_only_the_budgets_of_changed_plans_and_specs():
    shares = budget_shares()
    gold = Plan("gold", limit=200.0, limit_burst=40.0)
    tin = Plan("tin", limit=10.0, limit_burst=5.0)
    arrival = RequestArrived(1, "read", "gold", "v0", "", 0, 1.0, S)
    gold_bucket = shares.limit(0, arrival, gold)
    tin_bucket = shares.limit(0, replace(arrival, volume="v1"), tin)
    before = tin_bucket.rate
    shares.acquire_link(0, "node")
    wakes = []
    shares.on_wake = lambda: wakes.append(True)
    lower = replace(gold, limit=50.0, limit_burst=10.0)
    specs = shares.specs | {BudgetKind.LINKS: BudgetSpec(0.5, 16.0)}
    shares.update_totals(0, {"gold": gold, "tin": tin}, {"gold": lower, "tin": tin}, specs)
    assert gold_bucket.rate == pytest.approx(0.99 * 50.0 * 0.1 / 8) and tin_bucket.rate == before and wakes
    assert dict(shares)["links/node"].capacity == 1.0
    assert shares.limit(0, arrival, lower) is gold_bucket
    with pytest.raises(ValueError, match="fixed"):
        shares.update_totals(0, {}, {}, shares.specs | {BudgetKind.TRIALS: BudgetSpec(0.2, 10.0, 4.0)})


def test_a_new_limit_starts_with_an_empty_bucket():
    shares, free, gold = budget_shares(), Plan("gold"), Plan("gold", limit=80.0, limit_burst=40.0)
    shares.update_totals(0, {"gold": free}, {"gold": gold}, shares.specs)
    for at, level in ((0, 0.0), (S // 4, 0.2475), (S, 0.5)):
        bucket = shares.limit(at, RequestArrived(1, "read", "gold", f"v{at}", "", 0, 1.0, S), gold)
        assert isinstance(bucket, Bucket) and bucket.refill(at) == pytest.approx(level)
