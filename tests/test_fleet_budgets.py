"""Budgets divided among heads: the total is never exceeded under random faults, and every safeguard is needed."""

from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st

from harriertrack.decisions.bucket import Bucket
from harriertrack.decisions.fleet.budgets import (
    LeaseRequest,
    BudgetRules,
    Claim,
    Lease,
    BudgetShare,
    Term,
    BudgetTotal,
    ledger_for,
)
from harriertrack.decisions.fleet.max_min import Claimant, divide, max_min_shares
from harriertrack.decisions.fleet.holder import LeaseHolder
from harriertrack.decisions.fleet.ledger import Ledger
from harriertrack.decisions.fleet.terms import WitnessCall, Candidate, CandidateState, LockAcquired, rank
from harriertrack.lab.fleet.division import Division, Parts, Trial
from harriertrack.rules import budgets, recording as rec

S = 1_000_000
QUICK = BudgetRules(clock_error=0.01, term_us=2 * S, patience_us=S)
TOTAL = BudgetTotal(200.0, 40.0, 6, 0.1)
REAL = Parts()


def division(heads=6, seed=1, rules=QUICK, parts=REAL, clocks=0.01, fixed=0.1, budgets=("v0",), rate=200.0):
    totals = {name: BudgetTotal(rate, rate / 5, heads, fixed) for name in budgets}
    return Division(heads, totals, seed, rules, parts, clocks)


def set_demand(one, budget="v0", **demand):
    for name in one.names:
        one.demand[name, budget] = demand.get(name, 0.0)


# -- division


amounts = st.floats(0, 100)
claimant_lists = st.lists(
    st.builds(Claimant, amounts, amounts, st.sampled_from([0.5, 1.0, 3.0])), min_size=1, max_size=12
)


@given(st.floats(0.1, 200), claimant_lists)
@settings(max_examples=300, deadline=None)
def test_fair_shares_are_max_min_by_weight(total, claimants):
    given = max_min_shares(total, claimants)
    assert sum(given) <= total * (1 + 1e-9) and all(
        0 <= g <= w.demand + 1e-9 for g, w in zip(given, claimants, strict=True)
    )
    full = sum(w.demand for w in claimants) <= total
    levels = [g / w.weight for g, w in zip(given, claimants, strict=True) if g < w.demand - 1e-9]
    if full:
        assert not levels
    else:
        assert sum(given) == pytest.approx(total)
        top = max(g / w.weight for g, w in zip(given, claimants, strict=True))
        assert all(level == pytest.approx(top) for level in levels), (
            "claimants below their demand have the highest level"
        )


@given(st.floats(0.1, 200), claimant_lists)
@settings(max_examples=300, deadline=None)
def test_a_division_stays_within_the_total_and_moves_nothing_without_need(total, claimants):
    held = sum(w.held for w in claimants)
    scaled = [Claimant(w.held * total / held, w.demand, w.weight) if held > total else w for w in claimants]
    targets = divide(total, scaled)
    assert sum(targets) <= total * (1 + 1e-9) and min(targets) >= -1e-9
    for target, need, claimant in zip(targets, max_min_shares(total, scaled), scaled, strict=True):
        assert target >= min(need, claimant.held) * (1 - 1e-9), "a claimant keeps what it holds and needs"
        if not claimant.demand:
            assert target == 0
    settled = [Claimant(t, w.demand, w.weight) for t, w in zip(targets, scaled, strict=True)]
    for again, before in zip(divide(total, settled), targets, strict=True):
        assert again == pytest.approx(before, rel=0.3, abs=1e-9), "a repeated division moves nothing back"


def test_a_claimant_in_need_gets_only_surplus_of_others():
    assert divide(100, [Claimant(60, 20), Claimant(40, 40), Claimant(0, 30)]) == pytest.approx([30, 40, 30])
    assert divide(100, [Claimant(50, 80), Claimant(50, 80), Claimant(0, 10)]) == pytest.approx([45, 45, 10])
    assert divide(100, [Claimant(50, 52), Claimant(50, 49)]) == [50, 50], "a small shortfall moves nothing"
    lowered = divide(50, [Claimant(50, 60), Claimant(50, 10)])
    assert sum(lowered) <= 50 and lowered[1] == pytest.approx(10)


# -- one head's share


def test_a_leased_share_and_its_tokens_end_with_the_lease():
    lease = Lease(10 * S)
    share = BudgetShare(0, TOTAL, lease, 0.01)
    assert share.set_leased(0, 180.0, 30.0) == 0 and share.level == pytest.approx(30)
    assert share.refill(5 * S) == pytest.approx(40 * (0.1 / 6 + 0.9))
    assert share.refill(60 * S) == pytest.approx(40 * 0.1 / 6), "the head was suspended meanwhile"
    assert share.leased == 0 and share.rate == pytest.approx(0.99 * 200 * 0.1 / 6)


def test_tokens_leave_with_the_released_part_and_a_negative_level_stays():
    share = BudgetShare(0, TOTAL, Lease(1 << 60), 0.0)
    share.set_leased(0, 180.0, 20.0)
    before = share.level
    released = share.set_leased(0, 90.0, 0.0)
    assert released == pytest.approx(before * 18 / (40 * 0.1 / 6 + 36)) and share.level == pytest.approx(
        before - released
    )
    share.level = -3.0
    assert share.set_leased(0, 0.0, 0.0) == 0 and share.level == -3.0
    assert isinstance(share, Bucket)


def test_an_idle_budget_is_closed_and_reopens_no_fuller():
    holder = LeaseHolder(0, "a", 1, QUICK, 0)
    for number in range(50):
        holder.open(100 * S, f"v{number}", TOTAL).record_demand(1.0)
    now = 100 * S
    while now < 140 * S:
        now += S
        assert holder.due_requests(now) == [], "without a term there are no requests"
    assert not holder.budgets
    share = holder.open(now, "v1", TOTAL)
    assert share.level == share.capacity == pytest.approx(40 * 0.1 / 6)


# -- concurrency budgets


CONCURRENT = BudgetTotal(40.0, 0.0, 4, 0.2, concurrent=True)


@given(st.lists(st.tuples(st.integers(0, 3), st.sampled_from(["acquire", "acquire", "release", "wait", "kill", "cut"])),
                min_size=20, max_size=150), st.integers(0, 9))  # fmt: skip
@settings(max_examples=60, deadline=None)
def test_a_concurrency_budget_is_never_exceeded(steps, seed):
    """Four heads acquire, release, die and lose contact with the ledger for a while."""
    ledger = Ledger(0, Term(1, 1), 0, QUICK)
    now, instances = 0, iter(range(1, 1000))

    def fresh(at):
        one = LeaseHolder(0, f"h{at}", next(instances), QUICK, now)
        one.observe_term(now, ledger.term)
        return one

    holders = [fresh(at) for at in range(4)]
    cut: dict[int, int] = {}
    waiting = [0] * 4

    def deliver(grant):
        at = int(grant.holder[1:])
        if holders[at].instance == grant.instance and cut.get(at, 0) <= now:
            holders[at].apply_grant(now, grant)

    for at, what in steps:
        for _ in range(6):
            now += 20_000
            for number, holder in enumerate(holders):
                for request in holder.due_requests(now):
                    if (
                        cut.get(number, 0) <= now
                        and (grant := ledger.handle_request(now, request)) is not None
                    ):
                        deliver(grant)
            for grant in ledger.rebalance(now):
                deliver(grant)
            for holder in holders:
                share = holder.open(now, "n", CONCURRENT)
                share.refill(now)
                for _ in range(share.excess):
                    share.release()
            assert sum(holder.open(now, "n", CONCURRENT).in_use for holder in holders) <= 40 + 1e-6
        share = holders[at].open(now, "n", CONCURRENT)
        if what == "acquire":
            for _ in range(12):
                if not share.acquire(now):
                    waiting[at] += 1
            share.waiters = waiting[at]
        elif what == "release":
            share.waiters = waiting[at] = 0
            for _ in range(int(share.in_use)):
                share.release()
        elif what == "kill":
            holders[at], waiting[at] = fresh(at), 0
        elif what == "cut":
            cut[at] = now + (seed + 1) * 300_000


def test_a_holder_in_need_gets_what_others_released():
    ledger, now = Ledger(0, Term(1, 1), 0, QUICK), 0
    one, two = (LeaseHolder(0, name, 1, QUICK, 0) for name in "ab")

    def advance(us):
        nonlocal now
        until = now + us
        while now < until:
            now += 10_000
            for holder in (one, two):
                for request in holder.due_requests(now):
                    holder.apply_grant(now, ledger.handle_request(now, request))
            for grant in ledger.rebalance(now):
                (one if grant.holder == "a" else two).apply_grant(now, grant)

    for holder in (one, two):
        holder.observe_term(0, ledger.term)
    mine = one.open(0, "n", CONCURRENT)
    mine.waiters = 30
    advance(S)
    other = two.open(now, "n", CONCURRENT)
    assert sum(mine.acquire(now) for _ in range(30)) == 30 and mine.waiters == 30
    mine.waiters, other.waiters = 0, 20
    advance(S)
    taken = sum(other.acquire(now) for _ in range(20))
    assert 2 <= taken <= 10 and mine.in_use == 30 and not mine.excess, "what is in use stays"
    for _ in range(25):
        mine.release()
    advance(3 * S)
    assert taken + sum(other.acquire(now) for _ in range(20)) >= 20
    mine.lease.expires_at = now
    mine.refill(now)
    assert mine.excess == 5 - 2 and mine.in_use == 5


# -- a ledger


def request(ledger, holder, number, claims, tenure=1, lease_us=S):
    return LeaseRequest(0, ledger.term, holder, 7, tenure, number, lease_us, 1.0,
               tuple(Claim(*claim) for claim in claims))  # fmt: skip


def test_a_lowered_share_stays_committed_until_confirmed_and_a_lost_update_is_resent():
    ledger = Ledger(0, Term(1, 1), 0, QUICK)
    ledger.handle_request(0, request(ledger, "a", 1, [("v", 100.0, 100.0, 0, 0.0)]))
    (raised,) = ledger.rebalance(60_000)
    assert raised.shares[0].rate == 100 and raised.in_reply_to == 0
    ledger.handle_request(70_000, request(ledger, "a", 2, [("v", 100.0, 100.0, 1, 0.0)]))
    ledger.handle_request(80_000, request(ledger, "b", 1, [("v", 100.0, 50.0, 0, 0.0)]))
    updates = {grant.holder: grant for grant in ledger.rebalance(160_000)}
    assert updates["a"].shares[0].rate == 50 and "b" not in updates, "nothing is free yet"
    assert ledger.accounts["v"].committed == 100
    again = ledger.handle_request(200_000, request(ledger, "a", 3, []))
    assert again.shares[0].rate == 50 and again.in_reply_to == 3, "it was not confirmed"
    assert ledger.handle_request(200_001, request(ledger, "a", 3, [])) is None, (
        "a repeated request is ignored"
    )
    ledger.handle_request(210_000, request(ledger, "a", 4, [("v", 100.0, 100.0, 2, 6.0)]))
    (moved,) = ledger.rebalance(300_000)
    assert (moved.holder, moved.shares[0].rate, moved.shares[0].tokens) == ("b", 50, 6.0)
    assert ledger.rebalance(10 * S) == [] and not ledger.tenancies and not ledger.accounts, (
        "all leases have expired"
    )


def test_the_lowest_total_that_a_head_reports_applies():
    ledger = Ledger(0, Term(1, 1), 0, QUICK)
    for name in "ab":
        ledger.handle_request(0, request(ledger, name, 1, [("v", 100.0, 100.0, 0, 0.0)]))
    assert sum(grant.shares[0].rate for grant in ledger.rebalance(60_000)) == pytest.approx(100)
    for name in "ab":
        ledger.handle_request(70_000, request(ledger, name, 2, [("v", 100.0, 100.0, 1, 0.0)]))
    ledger.handle_request(80_000, request(ledger, "a", 3, [("v", 40.0, 100.0, 1, 0.0)]))
    lowered = {grant.holder: grant.shares[0].rate for grant in ledger.rebalance(160_000)}
    assert sum(lowered.values()) == pytest.approx(40) and len(lowered) == 2


def test_invalid_claims_neither_create_tokens_nor_break_a_ledger():
    ledger = Ledger(0, Term(1, 1), 0, QUICK)
    ledger.handle_request(0, request(ledger, "a", 1, [("v", 100.0, 100.0, 900, 1e9)]))
    assert ledger.accounts["v"].free_tokens == 0
    assert ledger.handle_request(1, LeaseRequest(0, Term(2, 1), "a", 7, 1, 9, S, 1.0)) is None
    assert ledger.handle_request(2, request(ledger, "a", 5, [], tenure=0)) is None


# -- terms


def test_a_term_waits_for_earlier_leases_and_ends_by_its_own_clock():
    one = Candidate(0, QUICK, 1, 0)
    assert one.next_call(S // 2, 0) is None
    assert one.next_call(S, 3) is None, "the fourth in rank waits longer"
    assert one.next_call(S, 0) is WitnessCall.ACQUIRE and one.next_call(S, 0) is None
    ledger = one.handle_acquire(S + 10, S, LockAcquired(4, 5 * S))
    assert one.holds_term(S + 10) and ledger.opens_at > S + 10 + 5 * S, "a former owner's leases were longer"
    assert one.next_call(S + S // 2 + 10, 0) is WitnessCall.RENEW
    one.handle_renewal(2 * S, S + S // 2, None)
    assert one.holds_term(S + int(1.9 * S)) and not one.holds_term(S + 2 * S), "no answer proves nothing"
    assert one.check_expiry(4 * S) and one.state is CandidateState.IDLE and one.ledger is None


def test_a_lower_epoch_than_seen_makes_a_new_owner_wait_for_a_whole_session():
    fresh, warned = Candidate(0, QUICK, 1, 0), Candidate(0, QUICK, 1, 0)
    warned.observe_term(0, Term(9, 5))
    opens = []
    for one in (fresh, warned):
        one.next_call(2 * S, 0)
        opens.append(one.handle_acquire(2 * S, 2 * S, LockAcquired(3)).opens_at)
    assert opens[1] - opens[0] >= QUICK.term_us


def test_ranks_are_a_permutation_and_budgets_spread_over_ledgers():
    names = [f"head{number}" for number in range(20)]
    for ledger in range(3):
        assert sorted(rank(ledger, name, names) for name in names) == list(range(20))
    assert {ledger_for(f"v{number}", 4) for number in range(100)} == {0, 1, 2, 3}


# -- many heads


def test_demand_is_served_as_by_one_bucket_on_whichever_heads():
    one = division(12, seed=3, rate=1000.0)
    set_demand(one, head0=400, head1=300, head2=100, head5=60)
    one.run(8 * S)
    before = replace(one.tally["v0"])
    one.run(10 * S)
    tally = one.tally["v0"]
    served, ideal, even = (
        getattr(tally, field) - getattr(before, field) for field in ("served", "ideal", "even")
    )
    assert served > 0.97 * ideal and even < 0.5 * ideal
    set_demand(one, head7=800)  # another head has all the traffic
    one.run(2 * S)
    assert one.members["head7"].holder.budgets["v0"].share.leased > 0.8 * 900
    for name in ("head7", "head1", "head2"):
        one.kill(name)
    keeper = one.ledger_owner()
    set_demand(one, head9=800)
    one.run(2 * S)
    if keeper is one.ledger_owner():
        assert one.members["head9"].holder.budgets["v0"].share.leased > 0.8 * 900, (
            "a dead head's share is lost for one lease at most"
        )
    assert budgets.check(one.records) == []


def test_an_isolated_head_keeps_its_fixed_part():
    one = division(4, seed=2, fixed=0.5)
    set_demand(one, head1=200, head2=200)
    one.run(6 * S)
    one.is_cut = lambda source, target: "head1" in (source, target)
    one.witness.is_down = True
    one.run(6 * S)
    before = sum(r.units for r in one.records if isinstance(r, rec.BudgetUsed) and r.holder == "head1")
    one.run(10 * S)
    after = sum(r.units for r in one.records if isinstance(r, rec.BudgetUsed) and r.holder == "head1")
    assert after - before == pytest.approx(10 * 200 * 0.5 / 4, rel=0.05)
    assert one.members["head1"].holder.budgets["v0"].share.leased == 0


@pytest.mark.parametrize("seed", range(40))
def test_the_total_holds_under_random_faults_and_demand_is_served_after(seed):
    one = division(12, seed, budgets=("v0", "v1"))
    trial = Trial(one)
    trial.run(25 * S)
    trial.heal()
    set_demand(one, head0=300)
    set_demand(one, "v1")
    one.run(12 * S)
    assert budgets.check(one.records) == [], trial.events
    assert one.members["head0"].holder.budgets["v0"].share.leased > 0.8 * 180


# -- each safeguard removed in turn


class IgnoresExpiry(LeaseHolder):
    def lease_valid(self, now):
        return self.lease.expires_at > 0

    def apply_grant(self, now, grant):
        changed = super().apply_grant(now, grant)
        self.lease.expires_at = self.lease.expires_at and 1 << 60
        return changed


class LeaseFromAnswer(LeaseHolder):
    def apply_grant(self, now, grant):
        if grant.in_reply_to in self._sent_requests:
            self._sent_requests[grant.in_reply_to] = (now, self._sent_requests[grant.in_reply_to][1])
        return super().apply_grant(now, grant)


class FillsBuckets(LeaseHolder):
    def apply_grant(self, now, grant):
        changed = super().apply_grant(now, grant)
        for share in grant.shares:
            if changed and share.budget in self.budgets:
                self.budgets[share.budget].share.level = 1e9
        return changed


class AnyVersion(LeaseHolder):
    def apply_grant(self, now, grant):
        for share in grant.shares:
            if share.budget in self.budgets:
                self.budgets[share.budget].version = min(
                    self.budgets[share.budget].version, share.version - 1
                )
        return super().apply_grant(now, grant)


class AnyTenure(LeaseHolder):
    def apply_grant(self, now, grant):
        return super().apply_grant(now, replace(grant, tenure=self.tenure))


class KeepsAcrossTerms(LeaseHolder):
    def observe_term(self, now, term):
        if self.term is not None and term.epoch > self.term.epoch:
            self.term, self.last_contact = term, now
            return True
        return super().observe_term(now, term)


class FillsByTheClock(LeaseHolder):
    def open(self, now, budget, total):
        share = super().open(now, budget, total)
        share.clock_factor = 1.0
        return share


class FreesAtOnce(Ledger):
    def _change(self, name, holding, rate, tokens=0.0):
        super()._change(name, holding, rate, tokens)
        holding.committed = holding.granted


class TrustsClocks(Ledger):
    def __init__(self, number, term, opens_at, rules):
        super().__init__(number, term, opens_at, replace(rules, clock_error=0.0))


class CreatesTokens(Ledger):
    def _change(self, name, holding, rate, tokens=0.0):
        super()._change(name, holding, rate, tokens + (20.0 if rate > holding.granted else 0.0))


class IgnoresInstances(Ledger):
    def handle_request(self, now, request):
        for holder in [
            one for one in self.tenancies if one[0] == request.holder and one[1] != request.instance
        ]:
            self._free(holder)
        return super().handle_request(now, request)


def opens_at_once(number, term, _opens_at, rules):
    return Ledger(number, term, 0, rules)


class IgnoresTermEnd(Candidate):
    def holds_term(self, now):
        return self.state is CandidateState.HOLDING

    def check_expiry(self, now):
        return False


class IgnoresLostLock(Candidate):
    def handle_renewal(self, now, asked_at, holds):
        super().handle_renewal(now, asked_at, True if holds is False else holds)


def trial(one):
    Trial(one).run(40 * S)


def swings(one):
    """All traffic moves from head to head."""
    for number in range(12):
        set_demand(one, **{one.names[number % 3]: 300})
        one.run(S)


def late(one):
    """A head whose messages are delayed by more than a lease is cut off; another demands its share."""
    for number in range(4):
        set_demand(one, **{f"head{number}": 300})
        one.run(3 * S)
        one.late_us = 900_000
        one.run(3 * S)
        one.is_cut = lambda source, target, name=f"head{number}": name in (source, target)
        one.late_us = 0
        one.demand["head5", "v0"] = 300
        one.run(3 * S)
        one.is_cut = lambda _source, _target: False
        one.run(S)


def drift(one):
    """A head with a slow clock is repeatedly cut off from a ledger with a fast clock."""
    one.run(3 * S)
    keeper = one.ledger_owner()
    keeper.rate, slow = 1.2, next(m for m in one.members.values() if m is not keeper)
    slow.rate = 0.8
    others = [m.name for m in one.members.values() if m not in (keeper, slow)]
    for _ in range(6):
        set_demand(one, **{slow.name: 300})
        one.run(3 * S)
        one.is_cut = lambda source, target: slow.name in (source, target)
        one.demand[others[0], "v0"] = 300
        one.run(2 * S)
        one.is_cut = lambda _source, _target: False
        set_demand(one)
        one.run(2 * S)


def busy(one):
    """Fast clocks, with full use for a long time."""
    for member in one.members.values():
        member.rate = 1.01
    set_demand(one, **dict.fromkeys(one.names, 60))
    one.run(90 * S)


def restarted(one):
    """A head that holds everything is killed and restarts at once; others demand it too."""
    one.run(4 * S)
    for _ in range(6):
        keeper = one.ledger_owner()
        name, other = [name for name in one.names if name != keeper.name][:2]
        set_demand(one, **{name: 300})
        one.run(2 * S)
        one.kill(name)
        one.start(name)
        one.members[name].holder.observe_term(one.clock(one.members[name]), keeper.candidate.ledger.term)
        one.members[name].ledger_owner = keeper.name
        one.demand[other, "v0"] = 300
        one.run(2 * S)


def stormy(one):
    """Messages are duplicated and reordered while traffic moves."""
    one.duplication, one.late_us = 0.7, 300_000
    swings(one)
    swings(one)


def lagging(one):
    """Messages are delayed by seconds and arrive when their holder has a new tenure and others hold its share."""
    one.run(4 * S)
    for turn in range(8):
        set_demand(one, **{one.names[turn % 6]: 300})
        one.run(1 * S)
        one.late_us = 3_000_000
        one.run(1_500_000)
        set_demand(one, **{one.names[turn % 6]: 100, one.names[(turn + 1) % 6]: 300})
        one.late_us = 0
        one.run(3 * S)


def apart(one):
    """The ledger's owner and another head are cut off from the rest and the witness; both sides are busy."""
    one.run(4 * S)
    set_demand(one, **dict.fromkeys(one.names, 100))
    one.run(2 * S)
    keeper = one.ledger_owner().name
    side = {keeper, next(name for name in one.names if name != keeper)}
    one.is_cut, one.cut_off_from_witness = lambda source, target: (source in side) != (target in side), side
    one.run(8 * S)


def handed(one):
    """The ledger's owner leaves repeatedly while the budget is fully used."""
    one.run(4 * S)
    for turn in range(4):
        set_demand(one, **{one.names[number]: 300 for number in range(6) if number % 2 == turn % 2})
        one.run(3 * S)
        left = one.ledger_owner().name
        one.leave(left)
        one.run(3 * S)
        one.start(left)


def restored(one):
    """The witness is restored from a backup in which another head held the lock and the present owner's session
    was alive."""
    one.run(3 * S)
    first = one.ledger_owner()
    one.demand = {(name, "v0"): 100.0 for name in one.names}
    witness = one.witness
    one.suspend(first.name, 6 * S)
    one.run(5 * S)
    second = one.ledger_owner()
    witness.restore(one.now, (witness.epoch, 10_000, {second.session: 0, 10_000: 0}))
    side = {second.name, next(name for name in one.names if name not in (first.name, second.name))}
    one.is_cut = lambda source, target: (source in side) != (target in side)
    one.run(10 * S)


FAULTS = {
    "a holder uses its share past its lease": (Parts(holder=IgnoresExpiry), late, 2),
    "a lease counts from the answer": (Parts(holder=LeaseFromAnswer), late, 20),
    "a new share comes with a full bucket": (Parts(holder=FillsBuckets), swings, 1),
    "a grant of an earlier tenure is accepted": (Parts(holder=AnyTenure), lagging, 20),
    "shares come with created tokens": (Parts(ledger=CreatesTokens), swings, 1),
    "an older version is accepted": (Parts(holder=AnyVersion), stormy, 4),
    "shares outlive their term": (Parts(holder=KeepsAcrossTerms), handed, 4),
    "buckets are refilled by a fast clock": (Parts(holder=FillsByTheClock), busy, 1),
    "a lowered share is free at once": (Parts(ledger=FreesAtOnce), restarted, 2),
    "a ledger ignores clock errors": (Parts(ledger=TrustsClocks), drift, 4),
    "a new process counts as the old one": (Parts(ledger=IgnoresInstances), restarted, 4),
    "a term opens at once": (Parts(ledger=opens_at_once), handed, 2),
    "an owner ignores the end of its term": (Parts(candidate=IgnoresTermEnd), apart, 4),
    "an owner ignores the loss of its lock": (Parts(candidate=IgnoresLostLock), restored, 4),
}
PLAYS = sorted({play.__name__: play for play in (trial, *(play for _, play, _ in FAULTS.values()))}.items())


def played(play, parts, seed):
    drifts = play is drift
    rules = BudgetRules(clock_error=0.2 if drifts else 0.01, term_us=2 * S, patience_us=S)
    one = division(6, seed, rules, parts, 0.0 if drifts else 0.01)
    play(one)
    return budgets.check(one.records)


@pytest.mark.parametrize("fault", FAULTS)
def test_the_checker_finds_each_removed_safeguard(fault):
    parts, play, seeds = FAULTS[fault]
    assert any(played(play, parts, seed) for seed in range(seeds))


@pytest.mark.parametrize("play", [play for _, play in PLAYS], ids=[name for name, _ in PLAYS])
def test_the_checker_finds_nothing_with_all_safeguards(play):
    assert all(played(play, Parts(), seed) == [] for seed in range(4))
