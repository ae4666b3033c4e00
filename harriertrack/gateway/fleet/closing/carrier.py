"""Purges at local close on one head.

The head queries the deciding head for the time, gets closes from the record of changes, carries out each
close once its time has certainly come, and trims the purged extents. The logic is in decisions/fleet/closing.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from harriertrack.config.settings import ClosingSettings
from harriertrack.decisions.epochs import Epochs
from harriertrack.decisions.fleet.budgets import Term
from harriertrack.decisions.fleet.changes.record import Kind, Version
from harriertrack.decisions.fleet.closing.calendars import CLOSES_SUFFIX, is_close_schedule
from harriertrack.decisions.fleet.closing.clocks import ClockRules, Exchange, FleetClock, Interval
from harriertrack.decisions.fleet.closing.fences import Fence, Fences
from harriertrack.decisions.fleet.closing.schedule import Close, Purge
from harriertrack.decisions.fleet.closing.time_estimate import TimeEstimator
from harriertrack.decisions.fleet.closing.trims import TrimQueue, TrimRules, TrimTarget
from harriertrack.decisions.splitting import Kind as DataKind
from harriertrack.gateway.fleet.changes.carrier import Changes
from harriertrack.gateway.fleet.closing.calendar_status import calendar_status
from harriertrack.gateway.fleet.closing.close_decider import CloseDecider, DeciderEnvironment
from harriertrack.gateway.fleet.closing.guard import Guard
from harriertrack.gateway.fleet.closing.messages import (
    MAX_PROGRESS_ITEMS,
    TOPIC,
    CalendarProgress,
    CloseQuery,
    SweepSlices,
    decode_query,
    decode_ruling,
    encode,
)
from harriertrack.gateway.fleet.closing.record_encoding import (
    MalformedSchedule,
    codec_for,
    decode_schedule,
    digest_of,
)
from harriertrack.gateway.fleet.closing.sweeping import Sweeps
from harriertrack.gateway.fleet.closing.trimming import Trimming
from harriertrack.gateway.fleet.decider import FleetDecider
from harriertrack.gateway.fleet.parameters import parameters_from
from harriertrack.gateway.parts import HeadParts
from harriertrack.gateway.regional import Regional
from harriertrack.membership.fleet.status_document import ClosingStatus
from harriertrack.membership.fleet.swim import Swim
from harriertrack.storage.extents import ExtentMap

T = TypeVar("T")

POLL_US = 100_000  # longest time between checks of the clock and the fences
MIN_WAIT_US = 1_000
READING_INTERVALS = 3  # query intervals for which a head's clock reading is used


class Closing:
    """Closes on one head: clock, fences, sweeps and trims."""

    def __init__(self, parts: HeadParts, settings: ClosingSettings, swim: Swim, decider: FleetDecider,
                 changes: Changes, places: ExtentMap, epochs: Epochs,
                 regional: Regional | None = None) -> None:  # fmt: skip
        hub = parts.hub
        self._parts, self._hub, self._settings, self._swim = parts, hub, settings, swim
        self._decider, self._changes, self._places, self._epochs = decider, changes, places, epochs
        self._regional = regional
        self._wall: Callable[[], int] = parts.wall or hub.clock.wall
        rules = parameters_from(ClockRules, settings)
        self.clock = FleetClock(rules)
        done = {name: number for name, (number, _) in places.closing.generations.items()}
        several = {one.name for one in parts.settings.volumes if one.shards}
        self._several = several  # volumes served by several heads, whose extents are allocated beforehand
        self.fences = Fences(settings.volumes, done, several.__contains__)
        self._queries_sent = 0  # queries sent; selects the calendars and sweeps in each, if there are many
        writes = (one.deadline_us for one in parts.settings.classes if DataKind.WRITE in one.kinds)
        self._settle_us = max(writes, default=0)
        self._trims = TrimQueue(parameters_from(TrimRules, settings), hub.now())
        self._trimming = Trimming(parts, self._trims, places, self._present_count, self._settle_us)
        self._trimming.on_begin, self._trimming.on_all_done = self._begin_trim, self._report_trimmed
        self._sweeps = Sweeps(hub, self.fences, self._trims, parts.settings, swim.me.name, self._settle_us,
                              self._trimming.cancel)  # fmt: skip
        self._guard = Guard(hub, self._wall, self.clock, self.fences, self._trims, places, epochs,
                            parts.settings.extent_bytes, self._settle_us)  # fmt: skip
        self._bodies: dict[str, str] = {}  # of the close schedules applied, by calendar
        self._extents: dict[str, int] = {}  # number that each calendar's last close made unreadable
        # Epoch, and how far the deciding head's clock is ahead.
        self._clock_offset: tuple[int, Interval] | None = None
        self._query_at = 0
        self._clock_wrong = False
        environment = DeciderEnvironment(
            hub, decider.deciding_term, changes.write, lambda body: decider.rule(TOPIC, body), self._claim,
            self._guard.reading, lambda: sorted(swim.view.present), parts.note,
        )  # fmt: skip
        self._close_decider = CloseDecider(
            environment, lambda: TimeEstimator(rules, READING_INTERVALS * settings.ask_us, hub.now()),
            codec_for(self._latest_time, self._purge_error), settings.notice_us,
        )  # fmt: skip

    def start(self) -> None:
        """Guard the purged ranges from now on, and resume the trims of an earlier incarnation."""
        parts, core = self._parts, self._parts.core
        targets = self._trimming.recorded_targets()
        core.hold_purged({(target.volume, target.extent) for target in targets})
        now = self._hub.now()  # requests of an earlier incarnation may still run at nodes
        self._trims.add(now, targets, self._stagger(), dict.fromkeys(targets, now + self._settle_us))
        core.close_guard = self._guard
        for volume, epoch in self._places.closing.raised.items():
            self._epochs.record_close(volume, epoch)
        if self._regional is not None:
            self._regional.generations = self._guard
        for calendar in self._places.closing.generations:
            self.fences.fence(calendar)
        self._decider.on_report[TOPIC] = self._handle_query
        self._decider.on_ruling[TOPIC] = self._handle_ruling
        self._changes.register_user(Kind.CALENDAR, self)
        parts.scope.spawn("closes", self._run)
        parts.scope.spawn("closes decided", self._decide)
        parts.scope.spawn("trims", self._trimming.run)

    # -- versions of the record

    def apply(self, thing: str, version: Version | None) -> str:
        """Apply a version of a calendar's closes; only the deciding head uses calendars themselves."""
        if not is_close_schedule(thing) or version is None:
            return ""
        calendar = thing.removesuffix(CLOSES_SUFFIX)
        try:
            schedule = decode_schedule(version.body)
        except MalformedSchedule as error:
            return str(error)
        purges = {purge for close in schedule.closes for purge in close.purges}
        if bad := next((why for purge in sorted(purges, key=str) if (why := self._purge_error(purge))), ""):
            return bad
        if why := self.fences.fence(calendar).set_schedule(schedule):
            return why
        self._bodies[calendar] = version.body
        self._sweeps.update(self.fences.fence(calendar))
        self._raise_epochs()
        return ""

    def _purge_error(self, purge: Purge) -> str:
        size = self._parts.settings.extent_bytes
        if purge.start % size or purge.end % size:
            return f"purge of {purge.volume}: not whole extents of {size} bytes"
        return ""

    # -- time

    def _claim(self) -> Interval:
        return self.clock.claim(self._hub.now(), self._wall())

    def _latest_time(self) -> int:
        reading = self._guard.reading()
        return reading.high if reading is not None else self._wall()

    def _present_count(self) -> int:
        return len(self._swim.view.present)

    def _stagger(self) -> float:
        """Return this head's position, 0 to 1, among present heads; it staggers the start of their trims."""
        names = sorted(self._swim.view.present)
        name = self._swim.me.name
        return names.index(name) / len(names) if name in names else 0.0

    def _send_query(self, now: int) -> None:
        settings = self._settings
        soon = bool(self._sweeps.in_progress()) or self.clock.offset(now) is None
        self._query_at = now + (settings.notice_us // 10 if soon else settings.ask_us)
        self._decider.report(TOPIC, encode(self._query(now)))

    def _query(self, now: int) -> CloseQuery:
        epoch, apart = self._clock_offset or (0, Interval(0, 0))
        done = [
            CalendarProgress(fence.calendar, fence.last_purged, self._extents.get(fence.calendar, 0),
                             len(self._trims))
            for fence in self.fences.fences.values()
        ]  # fmt: skip
        sweeps = [
            SweepSlices(sweep.key.calendar, sweep.key.number, sweep.key.volume, sweep.done_slices)
            for sweep in self._sweeps.in_progress()
        ]
        self._queries_sent += 1
        return CloseQuery(now, self._wall() - now, epoch, (apart.low, apart.high), self._select(done),
                   self._select(sweeps))  # fmt: skip

    def _select(self, every: list[T]) -> list[T]:
        """Return as many items as a message holds, rotating through all of them."""
        turns = -(-len(every) // MAX_PROGRESS_ITEMS) or 1
        at = self._queries_sent % turns * MAX_PROGRESS_ITEMS
        return every[at : at + MAX_PROGRESS_ITEMS]

    def _handle_query(self, now: int, head: str, body: bytes) -> None:
        query = decode_query(body)
        if query is not None and head != self._swim.me.name:
            self._close_decider.handle_query(now, head, query)

    def _handle_ruling(self, now: int, term: Term, body: bytes) -> None:
        ruling = decode_ruling(body)
        if ruling is None or self._close_decider.epoch == term.epoch:
            return
        mine = next((one for one in ruling.answers if one.head == self._swim.me.name), None)
        if mine is not None:
            apart = Exchange(mine.at, mine.heard, ruling.now, now).offset()
            if apart is not None:
                self._clock_offset = term.epoch, apart
                if ruling.truth is not None:
                    self._apply_time(now, Interval(*ruling.truth).plus(apart))
        self._confirm_closes(ruling.said, ruling.digest)

    def _apply_time(self, now: int, ahead: Interval) -> None:
        self.clock.update(now, ahead)
        wrong = not self._claim().overlaps(ahead)
        if wrong != self._clock_wrong:
            self._clock_wrong = wrong
            off = (ahead.low + ahead.high) // 2 - (self._wall() - now)
            self._parts.note("closing clock wrong" if wrong else "closing clock right again", off_us=-off)

    def _confirm_closes(self, said: int, digest: int) -> None:
        if said and digest == digest_of(self._bodies):
            self.fences.confirm_until(said + self._settings.notice_us)

    # -- closes

    def _run(self) -> None:
        blind = True
        while True:
            now = self._hub.now()
            if not self._close_decider.is_deciding and now >= self._query_at:
                self._send_query(now)
            reading = self._guard.reading()
            if self.fences.is_blind(reading) != blind:
                blind = not blind
                self._parts.note("closes: blind" if blind else "closes: known")
            wait = POLL_US
            if reading is not None:
                self._purge_due(reading)
                if (at := self.fences.us_until_change(reading)) is not None:
                    wait = max(MIN_WAIT_US, min(wait, at))
            self._hub.sleep(wait)

    def _decide(self) -> None:
        """Decide on closes in this head's term (a separate task: it waits for the witness)."""
        while True:
            decided = self._close_decider.decide(self._changes.record.revision)
            if decided is not None:
                self._clock_offset = decided.epoch, Interval(0, 0)
                self._apply_time(decided.at, decided.truth)
                self._confirm_closes(decided.at + decided.truth.low, decided.digest)
                self._close_decider.record_progress(self._swim.me.name, self._query(decided.at))
            self._hub.sleep(POLL_US)

    def _purge_due(self, reading: Interval) -> None:
        for fence in self.fences.fences.values():
            for close in fence.closes_to_purge(reading, self.fences.confirmed_until):
                self._close(fence, close)

    def _covers(self, close: Close, volume: str, offset: int, length: int) -> bool:
        touched = any(one.overlaps(volume, offset, length) for one in close.purges)
        return touched and self.fences.may_purge(volume)

    def _close(self, fence: Fence, close: Close) -> None:
        """Carry out a close: on disk first, then in all state in memory."""
        core, size, now = self._parts.core, self._parts.settings.extent_bytes, self._hub.now()
        refused, failed = core.close_off(now, lambda *place: self._covers(close, *place))
        purged = self._places.purge(
            fence.calendar, close.number, close.at_us,
            lambda volume, extent: self._covers(close, volume, extent * size, size),
        )  # fmt: skip
        fence.mark_purged(close.number)
        core.hold_purged({(volume, extent) for volume, extent, _ in purged if volume in core.volumes})
        self._sweeps.update(fence)
        self._raise_epochs()
        if self._regional is not None:
            self._regional.closed(lambda *place: self._covers(close, *place))
        targets = [TrimTarget(*place) for place in purged if place[0] in core.volumes]
        settled_at = {one: self._guard.settled_at(one.volume, one.extent) for one in targets}
        self._trims.add(now, targets, self._stagger(), settled_at)
        self._guard.forget_settled()
        self._extents[fence.calendar] = len(purged)
        self._parts.note("close done", calendar=fence.calendar, number=close.number, at_us=close.at_us,
                         name=close.name, extents=len(purged), refused=refused, failed=failed)  # fmt: skip
        if not len(self._trims):
            self._report_trimmed()

    def _begin_trim(self, target: TrimTarget) -> Callable[[], None]:
        """Handle the start of a trim; return the function to call when it is done."""
        core, closing = self._parts.core, self._places.closing
        sweeps = [sweep for sweep in self._sweeps.in_progress() if sweep.key.volume == target.volume]

        def trimmed() -> None:
            for sweep in sweeps:
                sweep.mark_trimmed(target.extent)
            if target.volume not in self._several:
                self._places.mark_trimmed(target.volume, target.extent, target.shard)
                if not any(extent == target.extent for extent, _ in closing.lefts[target.volume]):
                    core.release_trimmed(target.volume, target.extent)

        return trimmed

    def _raise_epochs(self) -> None:
        """Raise volumes' epochs: nodes that receive the new one reject requests from before the last close.

        In a volume of several heads, requests after its sweep have a later epoch than the sweep.
        """
        for volume in self._parts.core.volumes:
            for fence in self.fences.fences.values() if self.fences.may_purge(volume) else ():
                for close in fence.schedule.closes:
                    if close.number > fence.last_purged or not any(
                        one.matches(volume) for one in close.purges
                    ):
                        continue
                    swept = volume in self._several and close.number <= fence.schedule.last_swept(volume)
                    if self._epochs.record_close(volume, close.at_us + swept):
                        self._places.raise_to(volume, close.at_us + swept)

    def _report_trimmed(self) -> None:
        progress = self._trims.progress
        self._parts.note(
            "closed", trimmed=progress.done, asked=progress.requested, tries_lost=progress.failed,
            closes={one.calendar: one.last_purged for one in self.fences.fences.values()},
        )  # fmt: skip

    def document(self, _now: int) -> ClosingStatus:
        """Return this head's status of closes."""
        reading = self._guard.reading()
        calendars = [
            calendar_status(fence, reading, self._would_purge(fence), self._extents.get(fence.calendar, 0))
            for fence in self.fences.fences.values()
        ]
        return ClosingStatus(
            self._close_decider.is_deciding, self.fences.is_blind(reading),
            (reading.low, reading.high) if reading else None, self._clock_wrong, len(self._trims),
            self._guard.refused, calendars,
        )  # fmt: skip

    def _would_purge(self, fence: Fence) -> int:
        close, size = fence.next_close, self._parts.settings.extent_bytes
        return 0 if close is None else sum(
            self._covers(close, volume, extent * size, size)
            for volume in self._parts.core.volumes for extent, _ in self._places.placements_of(volume)
        )  # fmt: skip
