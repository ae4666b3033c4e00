"""Closes at two heads: schedules in any order, a calendar that changes, writes and reads around."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.closing.clocks import Interval
from harriertrack.decisions.fleet.closing.fences import Fences
from harriertrack.decisions.fleet.closing.schedule import Close, Plan, Purge, Schedule, compute_schedule
from harriertrack.lab.interleaving.models.mail import Mail

CALENDAR, VOLUME = "tokyo", "v"
STEP_US, NOTICE_US = 25_000, 100_000
DOUBT = {"a": (30_000, 10_000), "b": (10_000, 30_000)}  # of heads' clocks: true time is within, by so much
DECIDER_DOUBT_US = 20_000
PURGES = (Purge(VOLUME),)
OLD = Plan(1, "tz", PURGES, ((1_175_000, "first"), (1_350_000, "second")))
NEW = Plan(2, "tz", PURGES, ((1_125_000, "earlier"), (1_200_000, "other"), (1_350_000, "second")))


@dataclass(slots=True)
class State:
    """Who decides, two heads with one byte each, and what is on its way; `now` is true time."""

    now: int = 1_000_000
    plan: Plan = OLD
    schedule: Schedule = field(default_factory=Schedule)
    decided_at: int = 0
    decided: int = 0  # how often
    known: dict[str, int] = field(default_factory=dict)  # by head: which of these it has
    fences: dict[str, Fences] = field(default_factory=dict)
    byte: dict[str, int] = field(default_factory=dict)  # by head: when what is stored was written
    uses: int = 1  # writes and reads that may still come
    closes: dict[int, int] = field(default_factory=dict)  # that a head purged by: number to instant
    mail: Mail = field(default_factory=Mail)
    wrong: str = ""

    def reading(self, head: str) -> Interval:
        """Return what a head knows of the time."""
        early, late = DOUBT[head]
        return Interval(self.now - early, self.now + late)


def _of_one_head(_volume: str) -> bool:
    return False


class ClosingModel:
    """No byte of before a close is read after it, none of after it is purged, and all purge by one list."""

    name = "closing"
    about = "a market's close at two heads: a calendar that changes, writes and reads around it"

    def __init__(self, until_us: int = 1_225_000, cut: str = "") -> None:
        """Take `cut`: a head that hears nothing any more from the start."""
        self._until, self._cut = until_us, cut
        if cut:
            self.name, self.about = "closing-cut", "the same where one head hears nothing any more"

    def start(self) -> State:
        """Both heads have the schedule, and a byte that was written."""
        state = State(fences={name: Fences((VOLUME,), {}, _of_one_head) for name in DOUBT})
        state.byte = dict.fromkeys(DOUBT, state.now)
        self._decide(state)
        while state.mail.under_way:
            self._told(state, *state.mail.under_way.pop(0))
        return state

    def _decide(self, state: State) -> None:
        state.decided_at = state.now
        state.schedule = compute_schedule(state.schedule, state.plan, state.now + DECIDER_DOUBT_US, NOTICE_US)
        state.decided += 1
        for name in state.fences:
            if name == self._cut and state.decided > 1:
                continue
            state.mail.send(name, (state.decided, state.schedule, state.now - DECIDER_DOUBT_US + NOTICE_US))

    def _told(self, state: State, head: str, said: tuple[int, Schedule, int]) -> None:
        number, schedule, until = said
        fence = state.fences[head].fence(CALENDAR)
        if number > state.known.get(head, 0) and not fence.set_schedule(schedule):
            state.known[head] = number  # by the record, which never goes back
        if fence.schedule == schedule:  # by the digest that a confirmation tells
            state.fences[head].confirm_until(until)

    def _due(self, state: State, head: str) -> list[Close]:
        fences = state.fences[head]
        return fences.fence(CALENDAR).closes_to_purge(state.reading(head), fences.confirmed_until)

    def events(self, state: State) -> Iterator[str]:
        """Name what can happen now."""
        yield from state.mail.events()
        for name in state.fences:
            if self._due(state, name):
                yield f"{name} purges"
        if state.now >= state.decided_at + 2 * STEP_US:
            yield "decide"
        if state.now < self._until:
            yield "time"
        if state.plan is OLD or state.plan.version == OLD.version:
            yield "the calendar changes"
        if state.uses:
            yield from (f"{name} {use}" for name in state.fences for use in ("writes", "reads"))
        yield from state.mail.late()

    def apply(self, state: State, event: str) -> None:
        """Let it happen."""
        match event.split():
            case ["time"]:
                state.now += STEP_US
            case ["decide"]:
                self._decide(state)
            case ["the", *_]:
                state.plan = NEW
                self._decide(state)
            case [name, "purges"]:
                self._purge(state, name)
            case [name, "writes"]:
                state.uses -= 1
                if state.fences[name].refusal_hint_us(state.reading(name), VOLUME, 0, 1) is None:
                    state.byte[name] = state.now
            case [name, "reads"]:
                state.uses -= 1
                if state.fences[name].refusal_hint_us(state.reading(name), VOLUME, 0, 1) is None:
                    self._read(state, name)
            case _:
                came = state.mail.apply(event)
                if came is not None:
                    self._told(state, *came)

    def _purge(self, state: State, name: str) -> None:
        close = self._due(state, name)[0]
        if state.closes.setdefault(close.number, close.at_us) != close.at_us:
            state.wrong = f"close {close.number} is at two times"
        if close.at_us > state.now:
            state.wrong = f"{name} purges close {close.number} before it has come"
        if state.byte.get(name, 0) >= close.at_us:
            state.wrong = f"{name} purges a byte that was written after close {close.number}"
        state.byte.pop(name, None)
        state.fences[name].fence(CALENDAR).mark_purged(close.number)

    def _read(self, state: State, name: str) -> None:
        written = state.byte.get(name)
        past = [one for one in state.schedule.closes if one.at_us <= state.now]
        if written is not None and any(written < one.at_us for one in past):
            state.wrong = f"{name} reads what was written before close {past[-1].number}"

    def wrong(self, state: State) -> str | None:
        """Return what must not be."""
        return state.wrong or None
