"""Model of market closes at two heads: reordered schedules, a calendar change, reads and writes."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.closing.clocks import Interval
from harriertrack.decisions.fleet.closing.fences import Fences
from harriertrack.decisions.fleet.closing.schedule import Close, Plan, Purge, Schedule, compute_schedule
from harriertrack.lab.interleaving.models.mail import Mail

CALENDAR, VOLUME = "tokyo", "v"
STEP_US, NOTICE_US = 25_000, 100_000
# By head: how far true time may be before and after the head's estimate.
CLOCK_UNCERTAINTY = {"a": (30_000, 10_000), "b": (10_000, 30_000)}
DECIDER_UNCERTAINTY_US = 20_000
PURGES = (Purge(VOLUME),)
OLD = Plan(1, "tz", PURGES, ((1_175_000, "first"), (1_350_000, "second")))
NEW = Plan(2, "tz", PURGES, ((1_125_000, "earlier"), (1_200_000, "other"), (1_350_000, "second")))


@dataclass(slots=True)
class State:
    """The decider, two heads with one stored byte each, and messages in transit; `now` is true time."""

    now: int = 1_000_000
    plan: Plan = OLD
    schedule: Schedule = field(default_factory=Schedule)
    decided_at: int = 0
    decided: int = 0  # how many decisions were made
    known: dict[str, int] = field(default_factory=dict)  # by head: the newest decision that it applied
    fences: dict[str, Fences] = field(default_factory=dict)
    byte: dict[str, int] = field(default_factory=dict)  # by head: when the stored byte was written
    uses: int = 1  # writes and reads that may still occur
    closes: dict[int, int] = field(default_factory=dict)  # closes that a head purged for: number to time
    mail: Mail = field(default_factory=Mail)
    wrong: str = ""

    def reading(self, head: str) -> Interval:
        """Return a head's interval for the true time."""
        early, late = CLOCK_UNCERTAINTY[head]
        return Interval(self.now - early, self.now + late)


def _is_shared(_volume: str) -> bool:
    return False


class ClosingModel:
    """Invariants: after a close no earlier byte is read and no later one purged; heads agree on closes."""

    name = "closing"
    about = "a market's close at two heads: a calendar that changes, writes and reads around it"

    def __init__(self, until_us: int = 1_225_000, cut: str = "") -> None:
        """Create the model; the head `cut` receives no message after the initial state."""
        self._until, self._cut = until_us, cut
        if cut:
            self.name, self.about = "closing-cut", "the same where one head hears nothing any more"

    def start(self) -> State:
        """Return the state in which both heads have the schedule and a stored byte."""
        state = State(fences={name: Fences((VOLUME,), {}, _is_shared) for name in CLOCK_UNCERTAINTY})
        state.byte = dict.fromkeys(CLOCK_UNCERTAINTY, state.now)
        self._decide(state)
        while state.mail.under_way:
            self._receive_schedule(state, *state.mail.under_way.pop(0))
        return state

    def _decide(self, state: State) -> None:
        state.decided_at = state.now
        state.schedule = compute_schedule(
            state.schedule, state.plan, state.now + DECIDER_UNCERTAINTY_US, NOTICE_US
        )
        state.decided += 1
        for name in state.fences:
            if name == self._cut and state.decided > 1:
                continue
            state.mail.send(
                name, (state.decided, state.schedule, state.now - DECIDER_UNCERTAINTY_US + NOTICE_US)
            )

    def _receive_schedule(self, state: State, head: str, message: tuple[int, Schedule, int]) -> None:
        number, schedule, confirmed_until = message
        fence = state.fences[head].fence(CALENDAR)
        if number > state.known.get(head, 0) and not fence.set_schedule(schedule):
            state.known[head] = number  # in order of the record, whose revisions never decrease
        if fence.schedule == schedule:  # in place of the digest that a confirmation carries
            state.fences[head].confirm_until(confirmed_until)

    def _closes_due(self, state: State, head: str) -> list[Close]:
        fences = state.fences[head]
        return fences.fence(CALENDAR).closes_to_purge(state.reading(head), fences.confirmed_until)

    def events(self, state: State) -> Iterator[str]:
        """Name the enabled events."""
        yield from state.mail.events()
        for name in state.fences:
            if self._closes_due(state, name):
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
        """Apply an event to the state, in place."""
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
                delivery = state.mail.apply(event)
                if delivery is not None:
                    self._receive_schedule(state, *delivery)

    def _purge(self, state: State, name: str) -> None:
        close = self._closes_due(state, name)[0]
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
        """Return the violated invariant, if there is one."""
        return state.wrong or None
