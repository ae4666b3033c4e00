"""Heads that only divide, their network and their clocks, in steps of time."""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from harriertrack.decisions.bucket import Bucket
from harriertrack.decisions.fleet.budgets import BudgetRules, BudgetTotal, Grant, LeaseRequest, Term
from harriertrack.decisions.fleet.terms import LockAcquired, WitnessCall, rank
from harriertrack.lab.fleet import shares
from harriertrack.lab.fleet.division.members import REAL, Member, Parts
from harriertrack.lab.fleet.division.use import DemandModel, Tally, serve
from harriertrack.lab.fleet.division.witness import WitnessModel
from harriertrack.rules import recording as rec

STEP_US = 10_000
DELAY_US = (100, 600)
CALL_US = 3_000  # a call to the witness
DARK_US = 500_000  # after which one to a dark witness fails
KNOWN_GONE_US = 8_000_000  # after which all know that a head is dead
LEDGER = 0
RULES = BudgetRules()


class Division:
    """Some heads, one ledger, a witness, and a network; time passes by `run`."""

    def __init__(self, heads: int, wholes: dict[str, BudgetTotal], seed: int, rules: BudgetRules = RULES,
                 parts: Parts = REAL, clocks: float = 0.0, slack: float = 0.0) -> None:  # fmt: skip
        self.random = random.Random(seed)
        self.rules, self.parts = rules, parts
        self.totals = wholes = {name: replace(one, source=name) for name, one in wholes.items()}
        self.now = 0
        self.names = [f"head{number}" for number in range(heads)]
        self.members: dict[str, Member] = {}
        self.witness = WitnessModel(rules.term_us)
        self.demand: dict[tuple[str, str], float] = {}  # units a second, by head and budget
        self.tally = {budget: Tally() for budget in wholes}
        self.records: list[rec.Record] = []
        self.is_cut: Callable[[str, str], bool] = lambda _source, _target: False
        self.cut_off_from_witness: set[str] = set()  # who can't reach the witness
        self.loss = self.duplication = 0.0
        self.late_us = 0
        self.sent = self.sent_bytes = 0
        self.measure: Callable[[LeaseRequest | Grant | Term], int] | None = None
        self._clocks = clocks
        self._gone_at: dict[str, int] = {}
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._serial = 0
        self._ideal = {name: DemandModel(Bucket(0, one.rate, one.burst)) for name, one in wholes.items()}
        self._even: dict[tuple[str, str], DemandModel] = {}
        self._slack = slack
        self._facts: dict[str, BudgetTotal] = {}  # as recorded last
        self._allowed: dict[str, list[tuple[int, BudgetTotal]]] = {name: [] for name in wholes}  # until when
        for name, one in wholes.items():
            self._record(name, one)
        for name in self.names:
            self.start(name)

    # -- processes

    def start(self, name: str) -> None:
        """Start a process under a name, that knows nothing."""
        instance = self.random.getrandbits(62)
        rate = 1 + self._clocks * self.random.choice((-1, 0, 1))
        clock = self._clock(rate)
        self.members[name] = Member(
            name, instance, rate, self.parts.holder(LEDGER, name, instance, self.rules, clock),
            self.parts.candidate(LEDGER, self.rules, instance & 0xFFFF, clock),
            applied_totals=dict(self.totals),
        )  # fmt: skip
        self._gone_at.pop(name, None)

    def _clock(self, rate: float) -> int:
        return 1_000_000 + int(self.now * rate)

    def clock(self, member: Member) -> int:
        """Return the time by a member's clock."""
        return self._clock(member.rate)

    def kill(self, name: str) -> None:
        """End a process at once."""
        self.members.pop(name, None)
        self._gone_at[name] = self.now

    def leave(self, name: str) -> None:
        """Let a process end as one that is asked to."""
        member = self.members[name]
        if member.candidate.leave(self.clock(member)):
            self.witness.release(member.session)
            for other in list(self.members.values()):
                other.candidate.observe_release(self.clock(other))
        self.kill(name)
        self._gone_at[name] = self.now - KNOWN_GONE_US  # it said so

    def suspend(self, name: str, us: int) -> None:
        """Let a process stand still: what it decides in its next step is sent when it goes on."""
        if (member := self.members.get(name)) is not None and not member.stopped:
            member.stops_for = us

    def _go_on(self, member: Member) -> None:
        member.stopped = False
        unsent, member.unsent = member.unsent, []
        if self.members.get(member.name) is member:
            for target, message in unsent:
                self._send(member, target, message)

    def ledger_owner(self) -> Member | None:
        """Return who keeps the ledger by its own word."""
        for member in self.members.values():
            if member.candidate.holds_term(self.clock(member)):
                return member
        return None

    # -- wholes that change in service

    def _record(self, budget: str, whole: BudgetTotal) -> None:
        self._facts[budget] = whole
        self.records.append(
            rec.BudgetFacts(t=self.now, budget=budget, rate=whole.rate, burst=whole.burst,
                            moving=whole.movable, slack=self._slack + whole.rate * 2 * STEP_US / 1e6 + 1)
        )  # fmt: skip

    def change_total(self, budget: str, whole: BudgetTotal) -> None:
        """Decide on another whole: heads go by it once they are told, or started."""
        self.totals[budget] = whole
        self._ideal[budget] = DemandModel(Bucket(self.now, whole.rate, whole.burst))

    def apply_totals(self, name: str) -> None:
        """Let a head hear of the wholes as they are now, unless it stands still."""
        member = self.members.get(name)
        if member is None or member.stopped:
            return
        for budget, whole in self.totals.items():
            before = member.applied_totals[budget]
            if before != whole:
                member.applied_totals[budget] = whole
                member.holder.update_source(self.clock(member), whole.source, (before.rate, before.burst),
                                     (whole.rate, whole.burst))  # fmt: skip

    @property
    def all_applied(self) -> bool:
        """Whether every process goes by the wholes as they are now."""
        return all(member.applied_totals == self.totals for member in self.members.values())

    def _follow_wholes(self) -> None:
        """Record what all together may use: the most that anybody is told, or was until lately."""
        lately = int(self.rules.settling_us * (1 + 2 * self.rules.clock_error)) + 2 * STEP_US
        for budget, until in self._allowed.items():
            now = {member.applied_totals[budget] for member in self.members.values()}
            kept = [(end, whole) for end, whole in until if end > self.now and whole not in now]
            kept += [(self.now + lately, whole) for whole in now]
            kept = self._allowed[budget] = kept or until
            most = max((whole for _, whole in kept), key=lambda one: (one.rate, one.burst))
            whole = replace(most, burst=max(whole.burst for _, whole in kept))
            if whole != self._facts[budget]:
                self._record(budget, whole)

    # -- network and witness

    def later(self, us: int, act: Callable[[], None]) -> None:
        """Do something after a time."""
        self._serial += 1
        heapq.heappush(self._queue, (self.now + us, self._serial, act))

    def _send(self, source: Member, target: str, message: LeaseRequest | Grant | Term) -> None:
        if source.stops_for:
            source.unsent.append((target, message))
            return
        self.sent += 1
        if self.measure is not None:
            self.sent_bytes += self.measure(message)
        if isinstance(message, LeaseRequest):
            self.records.append(shares.share_request_record(self.now, message))
        for _ in range(2 if self.duplication and self.random.random() < self.duplication else 1):
            if self.is_cut(source.name, target) or (self.loss and self.random.random() < self.loss):
                continue
            delay = self.random.randrange(*DELAY_US) + (
                self.random.randrange(self.late_us) if self.late_us else 0
            )
            self.later(delay, lambda: self._arrive(source.name, target, message))

    def _arrive(self, source: str, target: str, message: LeaseRequest | Grant | Term) -> None:
        member = self.members.get(target)
        if member is None:
            return
        if isinstance(message, Grant) and message.instance == member.instance:
            self.records.append(shares.share_grant_record(self.now, message))
        if len(member.inbox) < 2000:
            member.inbox.append((message, source))

    def _call(self, member: Member, call: WitnessCall) -> None:
        asked_at = self.clock(member)
        if self.witness.is_down or member.name in self.cut_off_from_witness:
            self.later(DARK_US, lambda: self._called(member, call, asked_at, None))
        else:
            self.later(CALL_US // 2, lambda: self._at_witness(member, call, asked_at))

    def _at_witness(self, member: Member, call: WitnessCall, asked_at: int) -> None:
        found: LockAcquired | bool | None = None
        if self.witness.is_down:
            pass
        elif call is WitnessCall.ACQUIRE:
            taken = self.witness.acquire(self.now, self.rules.lease_us)
            if taken is not None:
                member.session, epoch, lease_us = taken
                found = LockAcquired(epoch, lease_us)
        elif member.candidate.ledger is not None:
            epoch = member.candidate.ledger.term.epoch
            found = self.witness.renew(self.now, member.session, epoch)
        self.later(CALL_US // 2, lambda: self._called(member, call, asked_at, found))

    def _called(
        self, member: Member, call: WitnessCall, asked_at: int, found: LockAcquired | bool | None
    ) -> None:
        if member.stopped:
            self.later(STEP_US, lambda: self._called(member, call, asked_at, found))
        elif call is WitnessCall.ACQUIRE:
            ledger = member.candidate.handle_acquire(
                self.clock(member), asked_at, found if isinstance(found, LockAcquired) else None
            )
            if ledger is not None:
                term = ledger.term
                fresh = self.parts.ledger(LEDGER, term, ledger.opens_at, self.rules)
                member.candidate.ledger = fresh
                member.contact.clear()
        else:
            member.candidate.handle_renewal(
                self.clock(member), asked_at, found if isinstance(found, bool) else None
            )

    # -- time

    def run(self, us: int) -> None:
        """Let time pass."""
        end = self.now + us
        while self.now < end:
            due = self.now + STEP_US
            while self._queue and self._queue[0][0] <= due:
                self.now, _, act = heapq.heappop(self._queue)
                act()
            self.now = due
            for member in list(self.members.values()):
                if not member.stopped:
                    self._live(member)
                    if member.stops_for:
                        member.stopped = True
                        self.later(member.stops_for, partial(self._go_on, member))
                        member.stops_for = 0
            self._follow_wholes()
            self._draw()

    def _present(self) -> list[str]:
        gone = self._gone_at
        return [name for name in self.names if name not in gone or self.now < gone[name] + KNOWN_GONE_US]

    def _live(self, member: Member) -> None:
        now, candidate = self.clock(member), member.candidate
        for message, source in member.inbox:
            self._take(member, now, message, source)
        member.inbox.clear()
        candidate.check_expiry(now)
        here = 0 if candidate.must_wait(now) else rank(LEDGER, member.name, self._present())
        if (call := candidate.next_call(now, here)) is not None:
            self._call(member, call)
        if candidate.holds_term(now) and candidate.ledger is not None:
            ledger = candidate.ledger
            self._heard(member, now, ledger.term, member.name)
            for grant in ledger.rebalance(now):
                self._grant(member, grant)
            if now >= member.announced_at + self.rules.lease_us:
                member.announced_at = now
                for name in self._present():
                    if name != member.name and member.contact.get(name, 0) < now - self.rules.lease_us:
                        self._send(member, name, ledger.term)
        for ask in member.holder.due_requests(now):
            if member.ledger_owner == member.name:
                self.records.append(
                    shares.share_request_record(self.now, ask)
                )  # it needs no network for that
                self._take(member, now, ask, member.name)
            else:
                self._send(member, member.ledger_owner, ask)

    def _grant(self, member: Member, grant: Grant) -> None:
        if grant.holder == member.name:
            self._arrive(member.name, member.name, grant)
        else:
            self._send(member, grant.holder, grant)

    def _heard(self, member: Member, now: int, term: Term, source: str) -> None:
        member.candidate.observe_term(now, term)
        if member.holder.observe_term(now, term):
            member.ledger_owner = source

    def _take(self, member: Member, now: int, message: LeaseRequest | Grant | Term, source: str) -> None:
        candidate = member.candidate
        if isinstance(message, Term):
            self._heard(member, now, message, source)
        elif isinstance(message, Grant):
            candidate.observe_term(now, message.term)
            member.holder.apply_grant(now, message)
        elif candidate.holds_term(now) and candidate.ledger is not None:
            member.contact[source] = now
            grant = candidate.ledger.handle_request(now, message)
            if grant is not None:
                self._grant(member, grant)
            elif message.term != candidate.ledger.term and source != member.name:
                self._send(member, source, candidate.ledger.term)

    # -- use

    def _arrivals(self, mean: float) -> int:
        """Draw how many units come in a step (Knuth's way, for small means)."""
        limit, product, count = math.exp(-mean), self.random.random(), 0
        while product > limit:
            product *= self.random.random()
            count += 1
        return count

    def _draw(self) -> None:
        came_of: dict[str, int] = {}
        for (name, budget), rate in self.demand.items():
            came = self._arrivals(rate * STEP_US / 1e6) if rate else 0
            whole, tally = self.totals[budget], self.tally[budget]
            came_of[budget] = came_of.get(budget, 0) + came
            member = self.members.get(name)
            even = self._even.get((name, budget))
            if even is None:
                part = 1 / whole.hosts
                even = self._even[name, budget] = DemandModel(
                    Bucket(0, whole.rate * part, whole.burst * part, whole.burst * part)
                )
            if member is None or member.stopped:
                came = 0
            tally.even += even.serve(self.now, came)
            tally.arrived += came
            if member is not None and not member.stopped:
                units = self._use(member, budget, came)
                tally.served += units
                if units:
                    self.records.append(rec.BudgetUsed(t=self.now, budget=budget, holder=name, units=units))
        for budget, came in came_of.items():
            self.tally[budget].ideal += self._ideal[budget].serve(self.now, came)

    def _use(self, member: Member, budget: str, came: int) -> int:
        waiting = member.waiting.setdefault(budget, deque())
        if not came and not waiting:
            return 0
        clock = self.clock(member)
        portion = member.holder.open(clock, budget, member.applied_totals[budget])
        for _ in range(came):
            portion.record_demand(1.0)
        waiting.extend([self.now] * came)
        return serve(portion, clock, waiting, self.now)
