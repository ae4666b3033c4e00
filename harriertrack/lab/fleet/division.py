"""Heads that divide budgets, without the rest of a head: what holds under any faults, and what is served.

Time moves in steps; every head has a clock of its own rate, and all that passes between heads or arrives
where a budget counts is recorded for rules/budgets.py. Demand is in units; a head serves what its portion
lets it, and turns away what waited past its patience, as a module does with requests past their aim.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from harriertrack.decisions.bucket import Bucket
from harriertrack.decisions.fleet.budgets import Ask, BudgetRules, Grant, Term, Whole
from harriertrack.decisions.fleet.holder import Holder
from harriertrack.decisions.fleet.ledger import Ledger
from harriertrack.decisions.fleet.terms import Call, Candidate, Taken, rank
from harriertrack.lab.fleet import shares
from harriertrack.rules import recording as rec

STEP_US = 10_000
DELAY_US = (100, 600)
CALL_US = 3_000  # a call to the witness
DARK_US = 500_000  # after which one to a dark witness fails
KNOWN_GONE_US = 8_000_000  # after which all know that a head is dead
WAITS_US = 300_000  # what waits longer for a portion is turned away
LEDGER = 0


@dataclass(frozen=True, slots=True)
class Parts:
    """What heads are made of; a test exchanges one for a faulty one."""

    holder: Callable[[int, str, int, BudgetRules, int], Holder] = Holder
    ledger: Callable[[int, Term, int, BudgetRules], Ledger] = Ledger
    candidate: Callable[[int, BudgetRules, int, int], Candidate] = Candidate


RULES, REAL = BudgetRules(), Parts()


@dataclass(slots=True)
class WitnessModel:
    """One lock with sessions, by the witness's own clock, and what a restored backup makes of it."""

    term_us: int
    dark: bool = False
    epoch: int = 0
    session: int = 0  # that holds the lock; 0: none
    lease_us: int = 0
    sessions: dict[int, int] = field(default_factory=dict)  # until when
    _number: int = 0

    def _expire(self, now: int) -> None:
        self.sessions = {one: until for one, until in self.sessions.items() if until > now}
        if self.session not in self.sessions:
            self.session = 0

    def take(self, now: int, lease_us: int) -> tuple[int, int, int] | None:
        """Return the new session, its epoch and the last holder's lease; None if another holds the lock."""
        self._expire(now)
        if self.session:
            return None
        self._number += 1
        self.sessions[self._number] = now + self.term_us
        before, self.lease_us = self.lease_us, lease_us
        self.session, self.epoch = self._number, self.epoch + 1
        return self.session, self.epoch, before

    def renew(self, now: int, session: int, epoch: int) -> bool:
        """Renew a session; return whether it holds the lock, as the holder of this epoch."""
        self._expire(now)
        if session not in self.sessions:
            return False
        self.sessions[session] = now + self.term_us
        return (self.session, self.epoch) == (session, epoch)

    def release(self, session: int) -> None:
        """Give the lock back."""
        if self.session == session:
            self.session = 0

    def backup(self) -> tuple[int, int, dict[int, int]]:
        """Return what a backup holds."""
        return self.epoch, self.session, dict(self.sessions)

    def restore(self, now: int, kept: tuple[int, int, dict[int, int]]) -> None:
        """Go back to a backup; sessions in it live for a whole time more."""
        self.epoch, self.session, sessions = kept
        self.sessions = dict.fromkeys(sessions, now + self.term_us)


@dataclass(slots=True, eq=False)
class Member:
    """One process."""

    name: str
    instance: int
    rate: float  # of its clock
    holder: Holder
    candidate: Candidate
    session: int = 0
    stopped: bool = False
    stops_for: int = 0  # it is about to be stopped, between what it decides next and its socket
    unsent: list[tuple[str, Ask | Grant | Term]] = field(default_factory=list)
    inbox: list[tuple[Ask | Grant | Term, str]] = field(default_factory=list)
    keeper: str = ""  # who keeps the ledger, as far as it heard
    announced_at: int = 0
    contact: dict[str, int] = field(default_factory=dict)  # of a keeper: when each head asked last
    waiting: dict[str, deque[int]] = field(default_factory=dict)  # units, by when they came
    told: dict[str, Whole] = field(default_factory=dict)  # the wholes that it goes by


@dataclass(slots=True)
class Tally:
    """What became of demand for a budget."""

    came: float = 0.0
    served: float = 0.0
    ideal: float = 0.0  # one bucket for all
    even: float = 0.0  # each head an even part


@dataclass(slots=True)
class _Judge:
    """The same demand at one bucket, or at one for each head."""

    bucket: Bucket
    waiting: deque[int] = field(default_factory=deque)

    def serve(self, now: int, came: int) -> int:
        self.waiting.extend([now] * came)
        return _serve(self.bucket, now, self.waiting, now)


def _serve(bucket: Bucket, clock: int, waiting: deque[int], now: int) -> int:
    while waiting and waiting[0] < now - WAITS_US:
        waiting.popleft()
    units = min(len(waiting), int(max(0.0, bucket.now(clock))))
    bucket.level -= units
    for _ in range(units):
        waiting.popleft()
    return units


class Division:
    """Some heads, one ledger, a witness, and a network; time passes by `run`."""

    def __init__(self, heads: int, wholes: dict[str, Whole], seed: int, rules: BudgetRules = RULES,
                 parts: Parts = REAL, clocks: float = 0.0, slack: float = 0.0) -> None:  # fmt: skip
        self.random = random.Random(seed)
        self.rules, self.parts = rules, parts
        self.wholes = wholes = {name: replace(one, says=name) for name, one in wholes.items()}
        self.now = 0
        self.names = [f"head{number}" for number in range(heads)]
        self.members: dict[str, Member] = {}
        self.witness = WitnessModel(rules.term_us)
        self.demand: dict[tuple[str, str], float] = {}  # units a second, by head and budget
        self.tally = {budget: Tally() for budget in wholes}
        self.records: list[rec.Record] = []
        self.cut: Callable[[str, str], bool] = lambda _source, _target: False
        self.blind: set[str] = set()  # who can't reach the witness
        self.loss = self.twice = 0.0
        self.late_us = 0
        self.sent = self.sent_bytes = 0
        self.measure: Callable[[Ask | Grant | Term], int] | None = None
        self._clocks = clocks
        self._gone_at: dict[str, int] = {}
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._serial = 0
        self._ideal = {name: _Judge(Bucket(0, one.rate, one.burst)) for name, one in wholes.items()}
        self._even: dict[tuple[str, str], _Judge] = {}
        self._slack = slack
        self._facts: dict[str, Whole] = {}  # as recorded last
        self._allowed: dict[str, list[tuple[int, Whole]]] = {name: [] for name in wholes}  # until when
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
            self.parts.candidate(LEDGER, self.rules, instance & 0xFFFF, clock), told=dict(self.wholes),
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
                other.candidate.vacated(self.clock(other))
        self.kill(name)
        self._gone_at[name] = self.now - KNOWN_GONE_US  # it said so

    def stop(self, name: str, us: int) -> None:
        """Let a process stand still: what it decides in its next step is sent when it goes on."""
        if (member := self.members.get(name)) is not None and not member.stopped:
            member.stops_for = us

    def _go_on(self, member: Member) -> None:
        member.stopped = False
        unsent, member.unsent = member.unsent, []
        if self.members.get(member.name) is member:
            for target, message in unsent:
                self._send(member, target, message)

    def keeper(self) -> Member | None:
        """Return who keeps the ledger by its own word."""
        for member in self.members.values():
            if member.candidate.valid(self.clock(member)):
                return member
        return None

    # -- wholes that change in service

    def _record(self, budget: str, whole: Whole) -> None:
        self._facts[budget] = whole
        self.records.append(
            rec.BudgetFacts(t=self.now, budget=budget, rate=whole.rate, burst=whole.burst,
                            moving=whole.moving, slack=self._slack + whole.rate * 2 * STEP_US / 1e6 + 1)
        )  # fmt: skip

    def change(self, budget: str, whole: Whole) -> None:
        """Decide on another whole: heads go by it once they are told, or started."""
        self.wholes[budget] = whole
        self._ideal[budget] = _Judge(Bucket(self.now, whole.rate, whole.burst))

    def tell(self, name: str) -> None:
        """Let a head hear of the wholes as they are now, unless it stands still."""
        member = self.members.get(name)
        if member is None or member.stopped:
            return
        for budget, whole in self.wholes.items():
            before = member.told[budget]
            if before != whole:
                member.told[budget] = whole
                member.holder.retell(self.clock(member), whole.says, (before.rate, before.burst),
                                     (whole.rate, whole.burst))  # fmt: skip

    @property
    def all_told(self) -> bool:
        """Whether every process goes by the wholes as they are now."""
        return all(member.told == self.wholes for member in self.members.values())

    def _follow_wholes(self) -> None:
        """Record what all together may use: the most that anybody is told, or was until lately."""
        lately = int(self.rules.settles_us * (1 + 2 * self.rules.clock_error)) + 2 * STEP_US
        for budget, until in self._allowed.items():
            now = {member.told[budget] for member in self.members.values()}
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

    def _send(self, source: Member, target: str, message: Ask | Grant | Term) -> None:
        if source.stops_for:
            source.unsent.append((target, message))
            return
        self.sent += 1
        if self.measure is not None:
            self.sent_bytes += self.measure(message)
        if isinstance(message, Ask):
            self.records.append(shares.asked(self.now, message))
        for _ in range(2 if self.twice and self.random.random() < self.twice else 1):
            if self.cut(source.name, target) or (self.loss and self.random.random() < self.loss):
                continue
            delay = self.random.randrange(*DELAY_US) + (
                self.random.randrange(self.late_us) if self.late_us else 0
            )
            self.later(delay, lambda: self._arrive(source.name, target, message))

    def _arrive(self, source: str, target: str, message: Ask | Grant | Term) -> None:
        member = self.members.get(target)
        if member is None:
            return
        if isinstance(message, Grant) and message.instance == member.instance:
            self.records.append(shares.granted(self.now, message))
        if len(member.inbox) < 2000:
            member.inbox.append((message, source))

    def _call(self, member: Member, call: Call) -> None:
        asked_at = self.clock(member)
        if self.witness.dark or member.name in self.blind:
            self.later(DARK_US, lambda: self._called(member, call, asked_at, None))
        else:
            self.later(CALL_US // 2, lambda: self._at_witness(member, call, asked_at))

    def _at_witness(self, member: Member, call: Call, asked_at: int) -> None:
        found: Taken | bool | None = None
        if self.witness.dark:
            pass
        elif call is Call.TAKE:
            taken = self.witness.take(self.now, self.rules.lease_us)
            if taken is not None:
                member.session, epoch, lease_us = taken
                found = Taken(epoch, lease_us)
        elif member.candidate.ledger is not None:
            epoch = member.candidate.ledger.term.epoch
            found = self.witness.renew(self.now, member.session, epoch)
        self.later(CALL_US // 2, lambda: self._called(member, call, asked_at, found))

    def _called(self, member: Member, call: Call, asked_at: int, found: Taken | bool | None) -> None:
        if member.stopped:
            self.later(STEP_US, lambda: self._called(member, call, asked_at, found))
        elif call is Call.TAKE:
            ledger = member.candidate.taken(
                self.clock(member), asked_at, found if isinstance(found, Taken) else None
            )
            if ledger is not None:
                term = ledger.term
                fresh = self.parts.ledger(LEDGER, term, ledger.opens_at, self.rules)
                member.candidate.ledger = fresh
                member.contact.clear()
        else:
            member.candidate.renewed(self.clock(member), asked_at, found if isinstance(found, bool) else None)

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
        candidate.look(now)
        here = 0 if candidate.waits(now) else rank(LEDGER, member.name, self._present())
        if (call := candidate.step(now, here)) is not None:
            self._call(member, call)
        if candidate.valid(now) and candidate.ledger is not None:
            ledger = candidate.ledger
            self._heard(member, now, ledger.term, member.name)
            for grant in ledger.round(now):
                self._grant(member, grant)
            if now >= member.announced_at + self.rules.lease_us:
                member.announced_at = now
                for name in self._present():
                    if name != member.name and member.contact.get(name, 0) < now - self.rules.lease_us:
                        self._send(member, name, ledger.term)
        for ask in member.holder.asks(now):
            if member.keeper == member.name:
                self.records.append(shares.asked(self.now, ask))  # it needs no network for that
                self._take(member, now, ask, member.name)
            else:
                self._send(member, member.keeper, ask)

    def _grant(self, member: Member, grant: Grant) -> None:
        if grant.holder == member.name:
            self._arrive(member.name, member.name, grant)
        else:
            self._send(member, grant.holder, grant)

    def _heard(self, member: Member, now: int, term: Term, source: str) -> None:
        member.candidate.heard(now, term)
        if member.holder.hear(now, term):
            member.keeper = source

    def _take(self, member: Member, now: int, message: Ask | Grant | Term, source: str) -> None:
        candidate = member.candidate
        if isinstance(message, Term):
            self._heard(member, now, message, source)
        elif isinstance(message, Grant):
            candidate.heard(now, message.term)
            member.holder.granted(now, message)
        elif candidate.valid(now) and candidate.ledger is not None:
            member.contact[source] = now
            grant = candidate.ledger.ask(now, message)
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
            whole, tally = self.wholes[budget], self.tally[budget]
            came_of[budget] = came_of.get(budget, 0) + came
            member = self.members.get(name)
            even = self._even.get((name, budget))
            if even is None:
                part = 1 / whole.hosts
                even = self._even[name, budget] = _Judge(
                    Bucket(0, whole.rate * part, whole.burst * part, whole.burst * part)
                )
            if member is None or member.stopped:
                came = 0
            tally.even += even.serve(self.now, came)
            tally.came += came
            if member is not None and not member.stopped:
                units = self._use(member, budget, came)
                tally.served += units
                if units:
                    self.records.append(rec.Drawn(t=self.now, budget=budget, holder=name, units=units))
        for budget, came in came_of.items():
            self.tally[budget].ideal += self._ideal[budget].serve(self.now, came)

    def _use(self, member: Member, budget: str, came: int) -> int:
        waiting = member.waiting.setdefault(budget, deque())
        if not came and not waiting:
            return 0
        clock = self.clock(member)
        portion = member.holder.open(clock, budget, member.told[budget])
        for _ in range(came):
            portion.asked(1.0)
        waiting.extend([self.now] * came)
        return _serve(portion, clock, waiting, self.now)


class Trial:
    """Random faults on a division, from its seed: what can happen to heads, network and witness."""

    def __init__(self, division: Division) -> None:
        self.division = division
        self._random = random.Random(division.random.getrandbits(32))
        self._kept = division.witness.backup()
        self._dark_since = 0
        self.happened: list[str] = []

    def run(self, us: int) -> None:
        """Let things happen for a time."""
        division, rng = self.division, self._random
        end = division.now + us
        while division.now < end:
            self._demand()
            act = rng.choice((
                self._kill, self._start, self._stop, self._part, self._heal, self._weather, self._jump,
                self._dark, self._light, self._herd, self._leave, self._rest,
            ))  # fmt: skip
            act()
            self.happened.append(f"{division.now / 1e6:.2f} {act.__name__.strip('_')}")
            division.run(rng.choice((50_000, 300_000, 1_000_000, 2_500_000)))

    def heal(self) -> None:
        """End all that is at fault."""
        self._heal()
        self._light()
        for name in self.division.names:
            if name not in self.division.members:
                self.division.start(name)

    def _some(self, share: float = 0.3) -> list[str]:
        alive = list(self.division.members)
        return self._random.sample(alive, max(1, round(share * len(alive)))) if alive else []

    def _demand(self) -> None:
        division, rng = self.division, self._random
        for budget, whole in division.wholes.items():
            name = rng.choice(division.names)
            division.demand[name, budget] = rng.choice((0.0, 0.02, 0.1, 0.5, 1.2)) * whole.rate

    def _kill(self) -> None:
        for name in self._some(0.15):
            self.division.kill(name)

    def _start(self) -> None:
        for name in self.division.names:
            if name not in self.division.members and self._random.random() < 0.5:
                self.division.start(name)

    def _stop(self) -> None:
        who = self._some(0.15)
        if (keeper := self.division.keeper()) is not None and self._random.random() < 0.5:
            who.append(keeper.name)
        for name in who:
            self.division.stop(name, self._random.choice((100_000, 700_000, 1_100_000, 4_000_000)))

    def _part(self) -> None:
        side = set(self._some(self._random.choice((0.1, 0.5))))
        one_way = self._random.random() < 0.3
        self.division.blind = side if self._random.random() < 0.5 else set()
        self.division.cut = lambda source, target: (source in side) != (target in side) and (
            not one_way or source in side
        )

    def _heal(self) -> None:
        division = self.division
        division.cut = lambda _source, _target: False
        division.loss = division.twice = 0.0
        division.late_us, division.blind = 0, set()

    def _weather(self) -> None:
        division, rng = self.division, self._random
        division.loss, division.twice = rng.choice((0.0, 0.1, 0.4)), rng.choice((0.0, 0.3))
        division.late_us = rng.choice((0, 20_000, 400_000, 2_500_000))

    def _jump(self) -> None:
        """One head gets all the traffic."""
        division = self.division
        for budget, whole in division.wholes.items():
            for name in division.names:
                division.demand[name, budget] = 0.0
            division.demand[self._random.choice(division.names), budget] = 1.2 * whole.rate

    def _dark(self) -> None:
        witness = self.division.witness
        if not witness.dark:
            witness.dark, self._dark_since = True, self.division.now
            self._kept = witness.backup() if self._random.random() < 0.3 else self._kept

    def _light(self) -> None:
        """The witness is back, from a backup if it was away for longer than a session."""
        division = self.division
        if division.witness.dark:
            division.witness.dark = False
            away = division.now - self._dark_since
            if away > 2 * division.rules.term_us and self._random.random() < 0.5:
                division.witness.restore(division.now, self._kept)

    def _herd(self) -> None:
        """Most heads are killed and come back at once, under their names, without their state."""
        for name in self._some(0.7):
            self.division.kill(name)
            self.division.start(name)

    def _leave(self) -> None:
        if (keeper := self.division.keeper()) is not None and not keeper.stopped:
            self.division.leave(keeper.name)

    def _rest(self) -> None:
        pass
