"""Who decides: tells all heads the time that most of their clocks allow, and keeps closes on the record.

Its word says that at an instant the closes on record were those of a digest. So nothing is said while a write
is under way or its end unknown: after either, and in each new term, the record is written once for nothing,
under the term's epoch, which turns down whatever write of before has not come yet.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from harriertrack.decisions.fleet.budgets import Term
from harriertrack.decisions.fleet.changes.operations import ChangeRefused, OutdatedTerm
from harriertrack.decisions.fleet.changes.record import Record
from harriertrack.decisions.fleet.closing.calendars import (
    CLOSES_SUFFIX,
    CalendarCodec,
    calendar_names,
    recorded_schedule,
    update_calendars,
)
from harriertrack.decisions.fleet.closing.clocks import Interval
from harriertrack.decisions.fleet.closing.sweeps import SweepKey, SweepProgress
from harriertrack.decisions.fleet.closing.time_estimate import ClockQuery, TimeEstimator
from harriertrack.gateway.fleet.closing.messages import (
    ANSWERS_BYTES,
    Answer,
    Ask,
    Done,
    Ruling,
    encode,
)
from harriertrack.gateway.fleet.closing.reading import digest_of
from harriertrack.gateway.witness import FAILURES
from harriertrack.membership.fleet.change_record import DamagedRecord
from harriertrack.runtime.hub import Hub

AGAIN_US = 500_000  # between two tries to begin a term
SAY_US = 500_000  # the word is told so often, and at once to who asks
MOST_WRONG = 2


class _Nothing(ChangeRefused):
    """There is nothing to write."""


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What who decides needs of its head."""

    hub: Hub
    keeps: Callable[[int], Term | None]
    write: Callable[[Callable[[Record], Record]], Record]
    say: Callable[[bytes], object]  # to all
    claim: Callable[[], Interval]  # of the own wall clock
    reading: Callable[[], Interval | None]
    names: Callable[[], list[str]]  # of who is there
    note: Callable[..., None]


@dataclass(frozen=True, slots=True)
class Decided:
    """At `at`, by its clock, who decides knew: how far true time is ahead, and which closes are on record."""

    epoch: int
    at: int
    truth: Interval
    digest: int


class Keeping:
    """One head's, for as long as it decides."""

    def __init__(self, around: Surroundings, keeper: Callable[[], TimeEstimator], reader: CalendarCodec,
                 notice_us: int) -> None:  # fmt: skip
        self._around, self._new_keeper, self._reader = around, keeper, reader
        self._notice_us = notice_us
        self._term: Term | None = None  # in which the record is known
        self._record = Record()
        self._keeper = keeper()
        self._said_at = self._again_at = 0
        self._seen = 0  # the highest revision that the record was looked at
        self._wrong: list[str] = []
        self._swept = SweepProgress()
        self._done: dict[str, dict[str, Done]] = {}  # head: calendar: how far it is
        self._closed: dict[str, int] = {}  # the last close of each calendar that left nothing anywhere

    @property
    def decides(self) -> bool:
        """Whether this head decides, and knows the record."""
        return self._term is not None

    @property
    def epoch(self) -> int:
        """Return the epoch of the term; 0: it does not decide."""
        return self._term.epoch if self._term is not None else 0

    def asked(self, now: int, head: str, ask: Ask) -> None:
        """Another head asks."""
        if self._term is not None:
            apart = Interval(*ask.apart) if ask.epoch == self._term.epoch else None
            self._keeper.add_query(now, head, ClockQuery(ask.at, ask.wall_ahead, apart))
            self.told(head, ask)

    def told(self, head: str, ask: Ask) -> None:
        """A head, or this one, says how far it is."""
        for one in ask.sweeps:
            self._swept.record_done(SweepKey(one.calendar, one.number, one.volume), one.done)
        known = self._done.setdefault(head, {})
        for done in ask.done:
            known[done.calendar] = done
            self._look_closed(done.calendar, done.number)

    def _look_closed(self, calendar: str, number: int) -> None:
        """Say once of a close that no head that is there has anything left of it."""
        there = [self._done.get(name, {}).get(calendar) for name in self._around.names()]
        done = [one for one in there if one is not None and one.number >= number and not one.left]
        if len(done) == len(there) and number > self._closed.get(calendar, 0):
            self._closed[calendar] = number
            self._around.note("closed everywhere", calendar=calendar, number=number, heads=len(done),
                              extents=sum(one.extents for one in done))  # fmt: skip

    def look(self, revision: int) -> Decided | None:
        """Decide, if this is the head that does, and return what is decided.

        `revision` is that of the record in hand: a newer one is looked at. None: it does not decide, or
        nobody can say what time it is.
        """
        around, now = self._around, self._around.hub.now()
        term = around.keeps(now)
        if term is None:
            self._term = None
            return None
        if term != self._term and (now < self._again_at or not self._begin(term, revision)):
            return None
        truth = self._keeper.estimate(now, around.claim(), len(around.names()))
        if self._keeper.faulty != self._wrong:
            self._wrong = self._keeper.faulty
            around.note("closing clocks wrong", heads=self._wrong)
        known = Interval(now + truth.low, now + truth.high) if truth is not None else None
        if known is not None and not self._arrange(term, known, revision):
            return None
        digest = self._digest()
        self._say(term, truth, digest)
        now = around.hub.now()
        return Decided(term.epoch, now, truth, digest) if truth is not None and around.keeps(now) else None

    def _digest(self) -> int:
        return digest_of({
            calendar: holds.body for calendar in calendar_names(self._record)
            if (holds := self._record.in_force(calendar + CLOSES_SUFFIX)) is not None
        })  # fmt: skip

    def _begin(self, term: Term, revision: int) -> bool:
        """Begin a term, or go on after a write of which nobody knows; return whether the record is known.

        `revision` is that of the record in hand: an older one was lost, and comes back before anything else.
        """

        def make(record: Record) -> Record:
            if record.epoch > term.epoch:
                raise OutdatedTerm(f"term {record.epoch} has decided since term {term.epoch}")
            if record.revision < revision:
                raise ChangeRefused(f"the witness lost revision {revision}")
            return record.with_versions([], term.epoch)

        self._term, self._seen = None, 0
        self._again_at = self._around.hub.now() + AGAIN_US
        try:
            self._record = self._around.write(make)
        except (ChangeRefused, DamagedRecord, *FAILURES) as error:
            self._around.note("closing record not known", why=str(error) or type(error).__name__)
            return False
        self._term, self._keeper = term, self._new_keeper()
        self._swept, self._done = SweepProgress(), {}
        return True

    def _arrange(self, term: Term, reading: Interval, revision: int) -> bool:
        """Take calendars up and keep closes ahead; return whether the record is known afterwards."""
        newer = revision > max(self._record.revision, self._seen)
        swept = self._swept.completed()
        if not newer and update_calendars(self._record, term.epoch, reading.high, self._notice_us,
                                          self._reader, swept) is self._record:  # fmt: skip
            for key in swept:
                self._swept.forget(key)  # on record
            return True
        self._seen = max(self._seen, revision)

        def make(record: Record) -> Record:
            if record.revision < self._record.revision:
                raise ChangeRefused(f"the witness lost revision {self._record.revision}")
            self._record = record
            latest = self._around.reading()
            after = update_calendars(record, term.epoch, max(reading.high, latest.high if latest else 0),
                             self._notice_us, self._reader, swept)  # fmt: skip
            if after is record:
                raise _Nothing("nothing to write")
            return after

        try:
            self._record = self._around.write(make)
        except _Nothing:
            return True
        except (ChangeRefused, DamagedRecord, *FAILURES) as error:
            self._around.note("closes not written", why=str(error) or type(error).__name__)
            self._term = None
            return False
        for calendar in calendar_names(self._record):
            if (holds := self._record.in_force(calendar + CLOSES_SUFFIX)) is not None:
                closes = recorded_schedule(self._record, calendar, self._reader).closes_after(reading.high)
                self._around.note("closes on record", calendar=calendar, version=holds.number,
                                  next=closes[0].name if closes else "none")  # fmt: skip
        return True

    def _say(self, term: Term, truth: Interval | None, digest: int) -> None:
        around, now = self._around, self._around.hub.now()
        echoes = self._keeper.take_echoes(ANSWERS_BYTES)
        if not echoes and now < self._said_at + SAY_US:
            return
        self._said_at = now
        while True:
            now = around.hub.now()
            if around.keeps(now) != term:
                return
            said = now + truth.low if truth is not None else 0
            answers = [Answer(one.head, one.sent_at, one.received_at) for one in echoes]
            bounds = (truth.low, truth.high) if truth is not None else None
            around.say(encode(Ruling(said, digest, bounds, now, answers, self._wrong[:MOST_WRONG])))
            if not (echoes := self._keeper.take_echoes(ANSWERS_BYTES)):
                return
