"""The deciding head's work on closes: it announces the time that most clocks agree on and records closes.

A ruling states that at an instant the closes on record were those of a digest. So none is sent while a write
is in progress or its outcome unknown. After an unknown outcome, and in each new term, the record is first
written unchanged under the term's epoch, so that earlier writes that arrive later are rejected.
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
    CalendarProgress,
    CloseQuery,
    Ruling,
    encode,
)
from harriertrack.gateway.fleet.closing.record_encoding import digest_of
from harriertrack.gateway.witness import FAILURES
from harriertrack.membership.fleet.change_record import DamagedRecord
from harriertrack.runtime.hub import Hub

RETRY_US = 500_000  # between attempts to begin a term
RULING_US = 500_000  # between rulings; at once when there are queries to answer
MAX_FAULTY = 2


class _Unchanged(ChangeRefused):
    """The record needs no change."""


@dataclass(frozen=True, slots=True)
class DeciderEnvironment:
    """What the deciding head's work needs of the head."""

    hub: Hub
    deciding_term: Callable[[int], Term | None]
    write: Callable[[Callable[[Record], Record]], Record]
    send_ruling: Callable[[bytes], object]  # sends a ruling to all heads
    claim: Callable[[], Interval]  # interval of true time by the head's wall clock
    reading: Callable[[], Interval | None]
    present_heads: Callable[[], list[str]]
    note: Callable[..., None]


@dataclass(frozen=True, slots=True)
class CloseDecision:
    """State at `at`, by the deciding head's clock: how far true time is ahead, and the closes on record."""

    epoch: int
    at: int
    truth: Interval
    digest: int


class CloseDecider:
    """Decides on closes while this head's term lasts."""

    def __init__(self, environment: DeciderEnvironment, new_estimator: Callable[[], TimeEstimator],
                 codec: CalendarCodec, notice_us: int) -> None:  # fmt: skip
        self._environment, self._new_estimator, self._codec = environment, new_estimator, codec
        self._notice_us = notice_us
        self._term: Term | None = None  # the term in which the record is known
        self._record = Record()
        self._estimator = new_estimator()
        self._ruled_at = self._retry_at = 0
        self._checked_revision = 0  # highest revision for which the record was checked
        self._faulty: list[str] = []
        self._swept = SweepProgress()
        self._done: dict[str, dict[str, CalendarProgress]] = {}  # progress by head and calendar
        self._closed: dict[str, int] = {}  # by calendar: its last close that all heads have trimmed

    @property
    def is_deciding(self) -> bool:
        """Whether this head decides and knows the record."""
        return self._term is not None

    @property
    def epoch(self) -> int:
        """Return the epoch of the term; 0: this head does not decide."""
        return self._term.epoch if self._term is not None else 0

    def handle_query(self, now: int, head: str, query: CloseQuery) -> None:
        """Handle another head's query."""
        if self._term is not None:
            apart = Interval(*query.apart) if query.epoch == self._term.epoch else None
            self._estimator.add_query(now, head, ClockQuery(query.at, query.wall_ahead, apart))
            self.record_progress(head, query)

    def record_progress(self, head: str, query: CloseQuery) -> None:
        """Record the progress of a head, possibly of this one."""
        for one in query.sweeps:
            self._swept.record_done(SweepKey(one.calendar, one.number, one.volume), one.done)
        known = self._done.setdefault(head, {})
        for done in query.done:
            known[done.calendar] = done
            self._check_closed(done.calendar, done.number)

    def _check_closed(self, calendar: str, number: int) -> None:
        """Log once that all present heads have trimmed a close."""
        progress = [self._done.get(name, {}).get(calendar) for name in self._environment.present_heads()]
        done = [one for one in progress if one is not None and one.number >= number and not one.left]
        if len(done) == len(progress) and number > self._closed.get(calendar, 0):
            self._closed[calendar] = number
            self._environment.note("closed everywhere", calendar=calendar, number=number, heads=len(done),
                              extents=sum(one.extents for one in done))  # fmt: skip

    def decide(self, revision: int) -> CloseDecision | None:
        """Decide if this head has the term, and return the result.

        `revision` is that of the head's copy of the record; a newer one is checked. None: this head does not
        decide, or the time is unknown.
        """
        environment, now = self._environment, self._environment.hub.now()
        term = environment.deciding_term(now)
        if term is None:
            self._term = None
            return None
        if term != self._term and (now < self._retry_at or not self._begin(term, revision)):
            return None
        truth = self._estimator.estimate(now, environment.claim(), len(environment.present_heads()))
        if self._estimator.faulty != self._faulty:
            self._faulty = self._estimator.faulty
            environment.note("closing clocks wrong", heads=self._faulty)
        known = Interval(now + truth.low, now + truth.high) if truth is not None else None
        if known is not None and not self._update_record(term, known, revision):
            return None
        digest = self._digest()
        self._send_ruling(term, truth, digest)
        now = environment.hub.now()
        return (
            CloseDecision(term.epoch, now, truth, digest)
            if truth is not None and environment.deciding_term(now)
            else None
        )

    def _digest(self) -> int:
        return digest_of({
            calendar: holds.body for calendar in calendar_names(self._record)
            if (holds := self._record.in_force(calendar + CLOSES_SUFFIX)) is not None
        })  # fmt: skip

    def _begin(self, term: Term, revision: int) -> bool:
        """Begin a term, or resume after a write with unknown outcome; return whether the record is known.

        `revision` is that of the head's copy of the record: an older one at the witness means that the record
        was lost and must be restored first.
        """

        def make(record: Record) -> Record:
            if record.epoch > term.epoch:
                raise OutdatedTerm(f"term {record.epoch} has decided since term {term.epoch}")
            if record.revision < revision:
                raise ChangeRefused(f"the witness lost revision {revision}")
            return record.with_versions([], term.epoch)

        self._term, self._checked_revision = None, 0
        self._retry_at = self._environment.hub.now() + RETRY_US
        try:
            self._record = self._environment.write(make)
        except (ChangeRefused, DamagedRecord, *FAILURES) as error:
            self._environment.note("closing record not known", why=str(error) or type(error).__name__)
            return False
        self._term, self._estimator = term, self._new_estimator()
        self._swept, self._done = SweepProgress(), {}
        return True

    def _update_record(self, term: Term, reading: Interval, revision: int) -> bool:
        """Add new calendars and upcoming closes to the record; return whether it is known afterwards."""
        newer = revision > max(self._record.revision, self._checked_revision)
        swept = self._swept.completed()
        if not newer and update_calendars(self._record, term.epoch, reading.high, self._notice_us,
                                          self._codec, swept) is self._record:  # fmt: skip
            for key in swept:
                self._swept.forget(key)  # its completion is on record
            return True
        self._checked_revision = max(self._checked_revision, revision)

        def make(record: Record) -> Record:
            if record.revision < self._record.revision:
                raise ChangeRefused(f"the witness lost revision {self._record.revision}")
            self._record = record
            latest = self._environment.reading()
            after = update_calendars(record, term.epoch, max(reading.high, latest.high if latest else 0),
                             self._notice_us, self._codec, swept)  # fmt: skip
            if after is record:
                raise _Unchanged("nothing to write")
            return after

        try:
            self._record = self._environment.write(make)
        except _Unchanged:
            return True
        except (ChangeRefused, DamagedRecord, *FAILURES) as error:
            self._environment.note("closes not written", why=str(error) or type(error).__name__)
            self._term = None
            return False
        for calendar in calendar_names(self._record):
            if (holds := self._record.in_force(calendar + CLOSES_SUFFIX)) is not None:
                closes = recorded_schedule(self._record, calendar, self._codec).closes_after(reading.high)
                self._environment.note("closes on record", calendar=calendar, version=holds.number,
                                  next=closes[0].name if closes else "none")  # fmt: skip
        return True

    def _send_ruling(self, term: Term, truth: Interval | None, digest: int) -> None:
        environment, now = self._environment, self._environment.hub.now()
        echoes = self._estimator.take_echoes(ANSWERS_BYTES)
        if not echoes and now < self._ruled_at + RULING_US:
            return
        self._ruled_at = now
        while True:
            now = environment.hub.now()
            if environment.deciding_term(now) != term:
                return
            said = now + truth.low if truth is not None else 0
            answers = [Answer(one.head, one.sent_at, one.received_at) for one in echoes]
            bounds = (truth.low, truth.high) if truth is not None else None
            environment.send_ruling(
                encode(Ruling(said, digest, bounds, now, answers, self._faulty[:MAX_FAULTY]))
            )
            if not (echoes := self._estimator.take_echoes(ANSWERS_BYTES)):
                return
