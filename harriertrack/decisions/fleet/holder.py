"""A head's side of one ledger: its lease, its shares and demand by budget, and the requests that it sends.

It follows one term at a time, and drops all shares when it switches to another term or when its lease
expires; dropping is always safe. Only budgets that are in use cost messages. Pure: `due_requests` returns
what to send, `apply_grant` takes answers and updates.
"""

from __future__ import annotations

from dataclasses import replace

from harriertrack.decisions.bucket import Bucket
from harriertrack.decisions.fleet.budgets import (
    BudgetRules,
    BudgetShare,
    BudgetTotal,
    Claim,
    Grant,
    Lease,
    LeaseRequest,
    Term,
    paginate,
)
from harriertrack.decisions.fleet.held_budget import ClaimState, HeldBudget, RateAndBurst

RISE_REPORTED = 0.1  # higher demand is reported from this part above the last report, unless already held
FALL_REPORTED = 0.3  # lower demand is reported from this part below the last report or the share


class LeaseHolder:
    """All shares that one head holds of one ledger."""

    def __init__(self, number: int, name: str, instance: int, rules: BudgetRules, now: int) -> None:
        self.number = number
        self.name = name
        self.instance = instance
        self.rules = rules
        self.started_at = now
        self.lease = Lease()
        self.term: Term | None = None
        self.tenure = 1
        self.budgets: dict[str, HeldBudget] = {}
        self.last_contact = now  # time of the latest message of the term
        self.lapses = 0
        # By source, the level of an unused bucket of a total that was changed: a share that is opened after
        # the change starts with no more than an open one would have kept.
        self._idle_buckets: dict[str, Bucket] = {}
        self._sent_requests: dict[int, tuple[int, list[tuple[str, ClaimState]]]] = {}
        self._sequence = self._tenure_started_at = 0
        self._next_renewal = self._next_check = now

    # -- use

    def open(self, now: int, budget: str, total: BudgetTotal) -> BudgetShare:
        """Return the head's part of a budget, opening it on first use."""
        held = self.budgets.get(budget)
        if held is None:
            share = BudgetShare(now, total, self.lease, self.rules.clock_error, now - self.started_at)
            held = self.budgets[budget] = HeldBudget(share, now)
            idle = self._idle_buckets.get(total.source)
            if idle is not None and not total.concurrent:
                share.level = min(share.level, idle.refill(now) * total.fixed / total.hosts)
        return held.share

    def update_source(self, now: int, source: str, before: RateAndBurst, after: RateAndBurst) -> None:
        """Apply a changed rate and burst to all budgets of a source, open ones and those opened later."""
        clock_factor = 1 - self.rules.clock_error
        idle = self._idle_buckets.setdefault(
            source, Bucket(self.started_at, clock_factor * before[0], before[1])
        )
        level = min(idle.refill(now), after[1])
        idle.rate, idle.capacity, idle.level = clock_factor * after[0], after[1], level
        for name, held in self.budgets.items():
            if held.total.source == source and after[0] > 0:  # at 0 it gets no requests and is dropped
                self.update_total(now, name, replace(held.total, rate=after[0], burst=after[1]))

    def update_total(self, now: int, budget: str, total: BudgetTotal) -> None:
        """Apply another total of one open budget; an unchanged one has no effect."""
        held = self.budgets[budget]
        if total != held.total:
            held.set_total(now, total)
            self._next_check = min(self._next_check, now)

    def lease_valid(self, now: int) -> bool:
        """Whether the lease is valid."""
        return now < self.lease.expires_at

    # -- terms

    def observe_term(self, now: int, term: Term) -> bool:
        """Record a term that was announced; return whether requests go to it now.

        A later epoch replaces an earlier one at once. A lower epoch comes from a restored witness, or from a
        head whose term has ended without its knowledge: it is followed once the present term is silent.
        """
        if term == self.term:
            self.last_contact = now
            return True
        silent = now >= self.last_contact + self.rules.patience_us and not self.lease_valid(now)
        if self.term is not None and term.epoch <= self.term.epoch and not silent:
            return False
        self._drop(now)
        self.term, self.last_contact, self._next_renewal = term, now, now
        return True

    def _drop(self, now: int) -> None:
        """Drop all granted shares and start a new tenure."""
        for held in self.budgets.values():
            held.share.drop_leased(now)
            held.version, held.released = 0, 0.0
            held.reset_confirmed()
        self.lease.expires_at = 0
        self.tenure += 1
        self._tenure_started_at = 0
        self._sent_requests.clear()

    def _check_lease(self, now: int) -> None:
        """Drop all if the lease expired, or if this tenure got none in time: the ledger may have ended it."""
        if self.lease.expires_at:
            if not self.lease_valid(now):
                self.lapses += 1
                self._drop(now)
        elif self._tenure_started_at and now > self._tenure_started_at + self.rules.lease_us:
            self._drop(now)

    # -- requests

    def due_requests(self, now: int) -> list[LeaseRequest]:
        """Return the requests to send now."""
        self._check_lease(now)
        if now < self._next_check:
            return []
        self._next_check = now + self.rules.quick_us
        for held in self.budgets.values():
            held.measure(now)
        self._close_idle(now)
        if self.term is None:
            return []
        due = now >= self._next_renewal
        changed = [name for name, held in self.budgets.items() if self._must_report(now, held, due)]
        if not changed and not (due and self._holds_shares()):
            return []
        self._next_renewal = now + self.rules.ask_us
        return [self._request(now, self.term, page) for page in paginate(changed)]

    def _holds_shares(self) -> bool:
        return any(held.share.leased or held.version for held in self.budgets.values())

    def _must_report(self, now: int, held: HeldBudget, due: bool) -> bool:
        state = held.claim_state()
        # A report that was not answered within the renewal interval may be lost.
        known = held.last_sent if now < held.sent_at + self.rules.ask_us else held.confirmed
        if state[1:] != held.confirmed[1:]:
            return state[1:] != known[1:]
        demand, reported, leased = state[0], known[0], held.share.leased
        if reported < 0 or demand > reported:
            return demand > max(leased, reported * (1 + RISE_REPORTED))
        # Lower demand waits for the next renewal. While demand exceeds the total, it changes nothing until it
        # is below the share.
        return due and demand < reported and demand <= (1 - FALL_REPORTED) * min(reported, leased)

    def _request(self, now: int, term: Term, page: list[str]) -> LeaseRequest:
        self._sequence += 1
        self._tenure_started_at = self._tenure_started_at or now
        claims, sent = [], []
        for name in page:
            held = self.budgets[name]
            held.last_sent, held.sent_at = state, _ = held.claim_state(), now
            sent.append((name, state))
            demand, version, released, movable = state
            claims.append(Claim(name, movable, demand, version, released))
        self._sent_requests[self._sequence] = (now, sent)
        for sequence in [
            one for one, (at, _) in self._sent_requests.items() if at < now - self.rules.lease_us
        ]:
            del self._sent_requests[sequence]
        return LeaseRequest(self.number, term, self.name, self.instance, self.tenure, self._sequence,
                            self.rules.lease_us, self.rules.weight, tuple(claims))  # fmt: skip

    def _close_idle(self, now: int) -> None:
        """Close budgets without demand or share whose bucket is full."""
        idle = []
        for name, held in self.budgets.items():
            share = held.share
            if held.recent_rate < 1e-6 * share.total.rate and not share.leased and not held.demand:
                if held.claim_state()[1:] == held.confirmed[1:] and share.refill(now) >= share.capacity:
                    idle.append(name)
        for name in idle:
            del self.budgets[name]

    # -- grants

    def apply_grant(self, now: int, grant: Grant) -> bool:
        """Apply an answer or an update; return whether there is a change to confirm."""
        self._check_lease(now)
        if (grant.term, grant.instance, grant.tenure) != (self.term, self.instance, self.tenure):
            return False
        self.last_contact = now
        if (request := self._sent_requests.pop(grant.in_reply_to, None)) is not None:
            sent_at, claims = request
            lease_us = min(grant.lease_us, self.rules.lease_us)
            self.lease.expires_at = max(self.lease.expires_at, sent_at + self.rules.holder_lease_us(lease_us))
            for name, state in claims:
                if (held := self.budgets.get(name)) is not None:
                    held.confirm(now, state)
        if not self.lease_valid(now):
            return False
        changed = False
        for share in grant.shares:
            held = self.budgets.get(share.budget)
            if held is None or share.version <= held.version or not held.share.can_shrink_to(share.rate):
                continue  # a share that can't be lowered yet is sent again with the next answer
            held.version, changed = share.version, True
            held.released = held.share.set_leased(now, share.rate, max(0.0, share.tokens))
        if changed:
            self._next_check = now
        return changed

    def wake_at(self) -> int | None:
        """Return when to call `due_requests` next; None while no budget is open."""
        return self._next_check if self.budgets else None
