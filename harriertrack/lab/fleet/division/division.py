"""Simulates heads that only divide budgets, with their network and clocks, in steps of time."""

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
CALL_US = 3_000  # duration of a call to the witness
CALL_TIMEOUT_US = 500_000  # after which a call to a witness that is down fails
DETECTION_US = 8_000_000  # after which all heads know that a head is dead
LEDGER = 0
RULES = BudgetRules()


class Division:
    """Some heads, one ledger, a witness and a network; `run` advances the time."""

    def __init__(self, heads: int, totals: dict[str, BudgetTotal], seed: int, rules: BudgetRules = RULES,
                 parts: Parts = REAL, clocks: float = 0.0, slack: float = 0.0) -> None:  # fmt: skip
        self.random = random.Random(seed)
        self.rules, self.parts = rules, parts
        self.totals = totals = {name: replace(one, source=name) for name, one in totals.items()}
        self.now = 0
        self.names = [f"head{number}" for number in range(heads)]
        self.members: dict[str, Member] = {}
        self.witness = WitnessModel(rules.term_us)
        self.demand: dict[tuple[str, str], float] = {}  # units a second, by head and budget
        self.tally = {budget: Tally() for budget in totals}
        self.records: list[rec.Record] = []
        self.is_cut: Callable[[str, str], bool] = lambda _source, _target: False
        self.cut_off_from_witness: set[str] = set()  # heads that can't reach the witness
        self.loss = self.duplication = 0.0
        self.late_us = 0
        self.sent = self.sent_bytes = 0
        self.measure: Callable[[LeaseRequest | Grant | Term], int] | None = None
        self._clocks = clocks
        self._ended_at_us: dict[str, int] = {}
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._event_count = 0
        self._ideal = {name: DemandModel(Bucket(0, one.rate, one.burst)) for name, one in totals.items()}
        self._even_split: dict[tuple[str, str], DemandModel] = {}
        self._slack = slack
        self._recorded: dict[str, BudgetTotal] = {}  # the total last recorded for each budget
        # Totals in use lately, each with the time until which it counts.
        self._in_use_until: dict[str, list[tuple[int, BudgetTotal]]] = {name: [] for name in totals}
        for name, one in totals.items():
            self._record(name, one)
        for name in self.names:
            self.start(name)

    # -- processes

    def start(self, name: str) -> None:
        """Start a head process without any state."""
        instance = self.random.getrandbits(62)
        rate = 1 + self._clocks * self.random.choice((-1, 0, 1))
        clock = self._clock(rate)
        self.members[name] = Member(
            name, instance, rate, self.parts.holder(LEDGER, name, instance, self.rules, clock),
            self.parts.candidate(LEDGER, self.rules, instance & 0xFFFF, clock),
            applied_totals=dict(self.totals),
        )  # fmt: skip
        self._ended_at_us.pop(name, None)

    def _clock(self, rate: float) -> int:
        return 1_000_000 + int(self.now * rate)

    def clock(self, member: Member) -> int:
        """Return the time on a member's clock."""
        return self._clock(member.rate)

    def kill(self, name: str) -> None:
        """Kill a head process immediately."""
        self.members.pop(name, None)
        self._ended_at_us[name] = self.now

    def leave(self, name: str) -> None:
        """Terminate a head process gracefully: it releases its lock and announces that it leaves."""
        member = self.members[name]
        if member.candidate.leave(self.clock(member)):
            self.witness.release(member.session)
            for other in list(self.members.values()):
                other.candidate.observe_release(self.clock(other))
        self.kill(name)
        self._ended_at_us[name] = self.now - DETECTION_US  # it announced this itself

    def suspend(self, name: str, us: int) -> None:
        """Suspend a process for a time; the messages of its next step are sent when it resumes."""
        if (member := self.members.get(name)) is not None and not member.is_suspended:
            member.suspend_us = us

    def _resume(self, member: Member) -> None:
        member.is_suspended = False
        unsent, member.unsent = member.unsent, []
        if self.members.get(member.name) is member:
            for target, message in unsent:
                self._send(member, target, message)

    def ledger_owner(self) -> Member | None:
        """Return the member that considers itself the ledger's owner."""
        for member in self.members.values():
            if member.candidate.holds_term(self.clock(member)):
                return member
        return None

    # -- totals that change at run time

    def _record(self, budget: str, total: BudgetTotal) -> None:
        self._recorded[budget] = total
        self.records.append(
            rec.BudgetFacts(t=self.now, budget=budget, rate=total.rate, burst=total.burst,
                            moving=total.movable, slack=self._slack + total.rate * 2 * STEP_US / 1e6 + 1)
        )  # fmt: skip

    def change_total(self, budget: str, total: BudgetTotal) -> None:
        """Set another total: heads use it after `apply_totals`, or once they are started."""
        self.totals[budget] = total
        self._ideal[budget] = DemandModel(Bucket(self.now, total.rate, total.burst))

    def apply_totals(self, name: str) -> None:
        """Apply the current totals to a head, unless it is suspended."""
        member = self.members.get(name)
        if member is None or member.is_suspended:
            return
        for budget, total in self.totals.items():
            previous = member.applied_totals[budget]
            if previous != total:
                member.applied_totals[budget] = total
                member.holder.update_source(self.clock(member), total.source, (previous.rate, previous.burst),
                                     (total.rate, total.burst))  # fmt: skip

    @property
    def all_applied(self) -> bool:
        """Whether every process uses the current totals."""
        return all(member.applied_totals == self.totals for member in self.members.values())

    def _record_allowed_total(self) -> None:
        """Record what all heads together may use: the largest total that any of them uses or used lately."""
        settling_us = int(self.rules.settling_us * (1 + 2 * self.rules.clock_error)) + 2 * STEP_US
        for budget, in_use in self._in_use_until.items():
            current = {member.applied_totals[budget] for member in self.members.values()}
            recent = [(end, total) for end, total in in_use if end > self.now and total not in current]
            recent += [(self.now + settling_us, total) for total in current]
            recent = self._in_use_until[budget] = recent or in_use
            largest = max((total for _, total in recent), key=lambda one: (one.rate, one.burst))
            total = replace(largest, burst=max(total.burst for _, total in recent))
            if total != self._recorded[budget]:
                self._record(budget, total)

    # -- network and witness

    def later(self, us: int, act: Callable[[], None]) -> None:
        """Run `act` after a time."""
        self._event_count += 1
        heapq.heappush(self._queue, (self.now + us, self._event_count, act))

    def _send(self, source: Member, target: str, message: LeaseRequest | Grant | Term) -> None:
        if source.suspend_us:
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
        sent_at_us = self.clock(member)
        if self.witness.is_down or member.name in self.cut_off_from_witness:
            self.later(CALL_TIMEOUT_US, lambda: self._handle_answer(member, call, sent_at_us, None))
        else:
            self.later(CALL_US // 2, lambda: self._at_witness(member, call, sent_at_us))

    def _at_witness(self, member: Member, call: WitnessCall, sent_at_us: int) -> None:
        answer: LockAcquired | bool | None = None
        if self.witness.is_down:
            pass
        elif call is WitnessCall.ACQUIRE:
            acquired = self.witness.acquire(self.now, self.rules.lease_us)
            if acquired is not None:
                member.session, epoch, lease_us = acquired
                answer = LockAcquired(epoch, lease_us)
        elif member.candidate.ledger is not None:
            epoch = member.candidate.ledger.term.epoch
            answer = self.witness.renew(self.now, member.session, epoch)
        self.later(CALL_US // 2, lambda: self._handle_answer(member, call, sent_at_us, answer))

    def _handle_answer(
        self, member: Member, call: WitnessCall, sent_at_us: int, answer: LockAcquired | bool | None
    ) -> None:
        if member.is_suspended:
            self.later(STEP_US, lambda: self._handle_answer(member, call, sent_at_us, answer))
        elif call is WitnessCall.ACQUIRE:
            ledger = member.candidate.handle_acquire(
                self.clock(member), sent_at_us, answer if isinstance(answer, LockAcquired) else None
            )
            if ledger is not None:
                term = ledger.term
                new_ledger = self.parts.ledger(LEDGER, term, ledger.opens_at, self.rules)
                member.candidate.ledger = new_ledger
                member.contact.clear()
        else:
            member.candidate.handle_renewal(
                self.clock(member), sent_at_us, answer if isinstance(answer, bool) else None
            )

    # -- time

    def run(self, us: int) -> None:
        """Advance the time."""
        end_us = self.now + us
        while self.now < end_us:
            step_end_us = self.now + STEP_US
            while self._queue and self._queue[0][0] <= step_end_us:
                self.now, _, act = heapq.heappop(self._queue)
                act()
            self.now = step_end_us
            for member in list(self.members.values()):
                if not member.is_suspended:
                    self._step_member(member)
                    if member.suspend_us:
                        member.is_suspended = True
                        self.later(member.suspend_us, partial(self._resume, member))
                        member.suspend_us = 0
            self._record_allowed_total()
            self._draw_demand()

    def _known_heads(self) -> list[str]:
        ended = self._ended_at_us
        return [name for name in self.names if name not in ended or self.now < ended[name] + DETECTION_US]

    def _step_member(self, member: Member) -> None:
        now, candidate = self.clock(member), member.candidate
        for message, source in member.inbox:
            self._handle_message(member, now, message, source)
        member.inbox.clear()
        candidate.check_expiry(now)
        own_rank = 0 if candidate.must_wait(now) else rank(LEDGER, member.name, self._known_heads())
        if (call := candidate.next_call(now, own_rank)) is not None:
            self._call(member, call)
        if candidate.holds_term(now) and candidate.ledger is not None:
            ledger = candidate.ledger
            self._handle_term(member, now, ledger.term, member.name)
            for grant in ledger.rebalance(now):
                self._deliver_grant(member, grant)
            if now >= member.announced_at + self.rules.lease_us:
                member.announced_at = now
                for name in self._known_heads():
                    if name != member.name and member.contact.get(name, 0) < now - self.rules.lease_us:
                        self._send(member, name, ledger.term)
        for request in member.holder.due_requests(now):
            if member.ledger_owner == member.name:
                # Handled without the network.
                self.records.append(shares.share_request_record(self.now, request))
                self._handle_message(member, now, request, member.name)
            else:
                self._send(member, member.ledger_owner, request)

    def _deliver_grant(self, member: Member, grant: Grant) -> None:
        if grant.holder == member.name:
            self._arrive(member.name, member.name, grant)
        else:
            self._send(member, grant.holder, grant)

    def _handle_term(self, member: Member, now: int, term: Term, source: str) -> None:
        member.candidate.observe_term(now, term)
        if member.holder.observe_term(now, term):
            member.ledger_owner = source

    def _handle_message(
        self, member: Member, now: int, message: LeaseRequest | Grant | Term, source: str
    ) -> None:
        candidate = member.candidate
        if isinstance(message, Term):
            self._handle_term(member, now, message, source)
        elif isinstance(message, Grant):
            candidate.observe_term(now, message.term)
            member.holder.apply_grant(now, message)
        elif candidate.holds_term(now) and candidate.ledger is not None:
            member.contact[source] = now
            grant = candidate.ledger.handle_request(now, message)
            if grant is not None:
                self._deliver_grant(member, grant)
            elif message.term != candidate.ledger.term and source != member.name:
                self._send(member, source, candidate.ledger.term)

    # -- demand and use

    def _arrivals(self, mean: float) -> int:
        """Draw the number of units that arrive in a step (Knuth's algorithm, for small means)."""
        limit, product, count = math.exp(-mean), self.random.random(), 0
        while product > limit:
            product *= self.random.random()
            count += 1
        return count

    def _draw_demand(self) -> None:
        arrivals_by_budget: dict[str, int] = {}
        for (name, budget), rate in self.demand.items():
            arrivals = self._arrivals(rate * STEP_US / 1e6) if rate else 0
            total, tally = self.totals[budget], self.tally[budget]
            arrivals_by_budget[budget] = arrivals_by_budget.get(budget, 0) + arrivals
            member = self.members.get(name)
            even = self._even_split.get((name, budget))
            if even is None:
                part = 1 / total.hosts
                even = self._even_split[name, budget] = DemandModel(
                    Bucket(0, total.rate * part, total.burst * part, total.burst * part)
                )
            if member is None or member.is_suspended:
                arrivals = 0
            tally.even += even.serve(self.now, arrivals)
            tally.arrived += arrivals
            if member is not None and not member.is_suspended:
                units = self._serve(member, budget, arrivals)
                tally.served += units
                if units:
                    self.records.append(rec.BudgetUsed(t=self.now, budget=budget, holder=name, units=units))
        for budget, arrivals in arrivals_by_budget.items():
            self.tally[budget].ideal += self._ideal[budget].serve(self.now, arrivals)

    def _serve(self, member: Member, budget: str, arrivals: int) -> int:
        waiting = member.waiting.setdefault(budget, deque())
        if not arrivals and not waiting:
            return 0
        clock = self.clock(member)
        portion = member.holder.open(clock, budget, member.applied_totals[budget])
        for _ in range(arrivals):
            portion.record_demand(1.0)
        waiting.extend([self.now] * arrivals)
        return serve(portion, clock, waiting, self.now)
