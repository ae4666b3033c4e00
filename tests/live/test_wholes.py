"""Wholes that change while heads divide them: lowered, all come inside in a stated time; raised, no windfall."""

from dataclasses import replace

import pytest

from harriertrack.decisions.bucket import Bucket
from harriertrack.decisions.fleet.budgets import BudgetRules, Claim, Lease, BudgetShare, Term, BudgetTotal
from harriertrack.decisions.fleet.holder import LeaseHolder
from harriertrack.decisions.fleet.ledger import Ledger
from harriertrack.decisions.fleet.budget_shares import BudgetSpec, BudgetShares, BudgetKind
from harriertrack.decisions.interface import Arrived, Plan
from harriertrack.lab.fleet.division import Division, Parts, Trial
from harriertrack.rules import budgets

S = 1_000_000
RULES = BudgetRules(clock_error=0.01, term_us=2 * S, patience_us=S)
WHOLE = BudgetTotal(200.0, 40.0, 8, 0.1)
LOW, HIGH = replace(WHOLE, rate=50.0, burst=10.0), replace(WHOLE, rate=800.0, burst=160.0)


REAL = Parts()


def division(seed, parts=REAL, heads=8):
    return Division(heads, {"v0": replace(WHOLE, hosts=heads)}, seed, RULES, parts, 0.01)


def want(one, rate):
    for name in one.names:
        one.demand[name, "v0"] = rate


def told(one, whole):
    """Decide on a whole, with the figures of the given one, and return it."""
    whole = replace(one.wholes["v0"], rate=whole.rate, burst=whole.burst)
    one.change("v0", whole)
    return whole


def used(one):
    """What all heads together may draw a second now."""
    return sum(held.share.rate for member in one.members.values() for held in member.holder.budgets.values())


def stormy(one, changes=(LOW, HIGH, WHOLE), each=3 * S, faults=True):
    """Change the whole while anything happens; who is told when is up to chance."""
    rng, trial = one.random, Trial(one)
    want(one, 120.0)
    one.run(3 * S)
    for whole in changes:
        told(one, whole)
        end = one.now + each
        while one.now < end:
            one.tell(rng.choice(one.names))
            trial.run(100_000) if faults else one.run(100_000)
            want(one, rng.choice((5.0, 60.0, 300.0)))
    trial.heal()


@pytest.mark.parametrize("seed", range(24))
def test_whoever_is_told_when_the_whole_holds_and_is_used_again_after(seed):
    one = division(seed)
    order = one.random.sample([LOW, HIGH, WHOLE], 3)
    stormy(one, order, faults=seed % 2 == 0)
    whole = one.wholes["v0"]
    one.run(5 * S)  # who stood still goes on
    want(one, 0.4 * whole.rate)
    for name in one.names:
        one.tell(name)
    assert one.all_told
    one.run(12 * S)
    assert budgets.check(one.records) == []
    assert 0.9 * whole.rate < used(one) <= whole.rate


class KeepsItsOldPart(LeaseHolder):
    """It takes the new whole for what it opens next alone."""

    def update_source(self, now, says, before, after):
        pass


class DeafLedger(Ledger):
    """It divides what it heard first."""

    def _claim(self, holder, tenant, claim):
        known = tenant.holdings.get(claim.budget)
        super()._claim(holder, tenant, replace(claim, movable=known.total) if known is not None else claim)


class FreshStores(LeaseHolder):
    """What it opens after a change is as full as if it had always had the new whole."""

    def update_source(self, now, says, before, after):
        super().update_source(now, says, before, after)
        self._idle_buckets.clear()


class FullStore(BudgetShare):
    """A larger whole fills its store at once."""

    __slots__ = ()

    def set_total(self, now, whole):
        super().set_total(now, whole)
        self.level = self.most


class Generous(LeaseHolder):
    def open(self, now, budget, whole):
        fresh = budget not in self.budgets
        portion = super().open(now, budget, whole)
        if fresh:
            portion.__class__ = FullStore
        return portion


def lowered(one):
    stormy(one, (LOW,), faults=False)
    want(one, 60.0)
    one.run(5 * S)


def raised_at_rest(one):
    """All is quiet for long enough to be forgotten; then the whole is raised and everybody comes."""
    want(one, 5.0)
    one.run(3 * S)
    want(one, 0.0)
    one.run(12 * S)
    told(one, replace(HIGH, burst=4000.0))
    for name in one.names:
        one.tell(name)
    want(one, 3000.0)
    one.run(S)


def raised_in_use(one):
    want(one, 20.0)
    one.run(3 * S)
    told(one, replace(HIGH, burst=4000.0))
    for name in one.names:
        one.tell(name)
    want(one, 3000.0)
    one.run(S)


FAULTS = {
    "a head keeps what it was told first": (Parts(holder=KeepsItsOldPart), lowered),
    "the ledger keeps what it heard first": (Parts(ledger=DeafLedger), lowered),
    "what is opened is full of the new whole": (Parts(holder=FreshStores), raised_at_rest),
    "what is in use is filled by a raise": (Parts(holder=Generous), raised_in_use),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_without_one_protection_the_checker_finds_it(fault):
    parts, play = FAULTS[fault]
    one = division(1)
    play(one)
    assert budgets.check(one.records) == []
    one = division(1, parts)
    play(one)
    assert budgets.check(one.records)


def test_lowered_without_losses_all_are_inside_well_within_a_lease():
    one = division(3)
    want(one, 120.0)
    one.run(4 * S)
    assert used(one) > 0.9 * WHOLE.rate
    told(one, LOW)
    for name in one.names:
        one.tell(name)
    assert used(one) <= WHOLE.rate
    one.run(RULES.lease_us // 2)
    assert used(one) <= LOW.rate


def test_a_head_that_sleeps_through_a_change_keeps_its_old_fixed_part_and_no_more():
    one = division(4)
    want(one, 120.0)
    one.run(4 * S)
    one.stop("head3", 4 * S)
    one.run(100_000)
    told(one, LOW)
    for name in one.names:
        one.tell(name)
    one.run(4 * S)  # it has just woken
    member = one.members["head3"]
    assert member.holder.budgets["v0"].share.now(one.clock(member)) <= WHOLE.burst * 0.1 / 8
    one.run(S)
    others = used(one) - member.holder.budgets["v0"].share.rate
    assert others <= LOW.rate and not one.all_told
    one.tell("head3")
    one.run(S)
    assert used(one) <= LOW.rate and budgets.check(one.records) == []


# -- one head


def test_less_holds_at_once_and_more_once_the_ledger_knows():
    now = 0
    holder = LeaseHolder(0, "a", 1, RULES, -100 * S)
    portion = holder.open(now, "v0", replace(WHOLE, source="gold"))
    rate = portion.rate
    holder.update_source(now, "gold", (200.0, 40.0), (800.0, 40.0))
    assert portion.rate == rate
    ledger = Ledger(0, Term(1, 1), now, RULES)
    holder.observe_term(now, ledger.term)
    (ask,) = holder.due_requests(now)
    assert ask.claims == (Claim("v0", 0.9 * 800.0, 0.0, 0, 0.0),)
    holder.apply_grant(now, ledger.handle_request(now, ask))
    assert portion.rate == pytest.approx(4 * rate)
    portion.level = 0.0  # else it would be forgotten for being idle
    assert holder.due_requests(now + RULES.quick_us) == []  # it was said
    holder.update_source(now, "gold", (800.0, 40.0), (100.0, 40.0))
    assert portion.rate == pytest.approx(rate / 2)


def test_a_share_of_a_larger_whole_counts_for_no_more_than_moves_of_a_lower_one():
    lease = Lease(10 * S)
    portion = BudgetShare(0, WHOLE, lease, 0.0)
    portion.set_leased(0, 180.0, 40.0)
    level = portion.level
    portion.set_total(0, LOW)
    assert portion.rate == pytest.approx(50.0 * (0.1 / 8 + 0.9)) and portion.level == portion.most < level
    portion.set_total(0, WHOLE)
    assert portion.rate == pytest.approx(200.0 * (0.1 / 8 + 0.9)) and portion.level < 10.0


def test_of_a_number_at_a_time_what_is_too_much_is_to_be_given_back():
    links = BudgetTotal(80.0, 0.0, 8, 0.5, concurrent=True)
    portion = BudgetShare(0, links, Lease(10 * S), 0.0)
    for _ in range(5):
        assert portion.acquire(0)
    portion.set_total(0, replace(links, rate=32.0))
    assert (portion.excess, portion.in_use) == (3, 5.0)
    portion.set_total(0, links)
    assert (portion.excess, portion.in_use) == (0, 5.0)


def test_a_change_overtakes_a_raise_that_is_not_confirmed():
    ledger, term = Ledger(0, Term(1, 1), 0, RULES), Term(1, 1)

    def ask(at, number, whole, version=0):
        from harriertrack.decisions.fleet.budgets import LeaseRequest

        claims = (Claim("v0", whole, 300.0, version, 0.0),)
        return ledger.handle_request(at, LeaseRequest(0, term, "a", 1, 1, number, S, 1.0, claims))

    ask(0, 1, 180.0)
    (news,) = ledger.rebalance(0)
    assert news.shares[0].rate == 180.0  # on its way, unconfirmed
    ask(60_000, 2, 45.0)
    (news,) = ledger.rebalance(60_000)
    assert news.shares[0].rate == pytest.approx(45.0)
    assert ledger.accounts["v0"].committed == 180.0  # until it says that it has that


def portions(divided=(BudgetKind.LIMITS, BudgetKind.TRIALS, BudgetKind.LINKS)):
    kinds = {
        BudgetKind.LIMITS: BudgetSpec(0.1), BudgetKind.TRIALS: BudgetSpec(0.1, 10.0, 4.0), BudgetKind.LINKS: BudgetSpec(0.5, 80.0),
    }  # fmt: skip
    return BudgetShares(RULES, 2, "a", 1, 8, {use: kinds[use] for use in divided}, -100 * S)


def test_portions_change_what_plans_and_budgets_say_and_nothing_else():
    mine, gold, tin = (
        portions(),
        Plan("gold", limit=200.0, limit_burst=40.0),
        Plan("tin", limit=10.0, limit_burst=5.0),
    )
    ask = Arrived(1, "read", "gold", "v0", "", 0, 1.0, S)
    one, other = mine.limit(0, ask, gold), mine.limit(0, replace(ask, volume="v1"), tin)
    before = other.rate
    mine.acquire_link(0, "node")
    woken = []
    mine.on_wake = lambda: woken.append(True)
    lower = replace(gold, limit=50.0, limit_burst=10.0)
    told = mine.specs | {BudgetKind.LINKS: BudgetSpec(0.5, 16.0)}
    mine.update_totals(0, {"gold": gold, "tin": tin}, {"gold": lower, "tin": tin}, told)
    assert one.rate == pytest.approx(0.99 * 50.0 * 0.1 / 8) and other.rate == before and woken
    assert dict(mine)["links/node"].most == 1.0
    assert mine.limit(0, ask, lower) is one
    with pytest.raises(ValueError, match="fixed"):
        mine.update_totals(0, {}, {}, mine.specs | {BudgetKind.TRIALS: BudgetSpec(0.2, 10.0, 4.0)})


def test_a_limit_that_is_new_begins_with_an_empty_store():
    mine, free, gold = portions(), Plan("gold"), Plan("gold", limit=80.0, limit_burst=40.0)
    mine.update_totals(0, {"gold": free}, {"gold": gold}, mine.specs)
    for at, level in ((0, 0.0), (S // 4, 0.2475), (S, 0.5)):
        bucket = mine.limit(at, Arrived(1, "read", "gold", f"v{at}", "", 0, 1.0, S), gold)
        assert isinstance(bucket, Bucket) and bucket.now(at) == pytest.approx(level)
