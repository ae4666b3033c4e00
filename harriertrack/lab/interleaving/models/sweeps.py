"""Model of sweeps of a volume that two heads serve: trims and reports in transit, a head that dies."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.closing.clocks import Interval
from harriertrack.decisions.fleet.closing.fences import Fences
from harriertrack.decisions.fleet.closing.schedule import Close, Purge, Schedule
from harriertrack.decisions.fleet.closing.sweeps import Sweep, SweepKey, SweepProgress
from harriertrack.lab.interleaving.models.mail import Mail

CALENDAR, VOLUME, HEADS, EXTENTS, SIZE = "tokyo", "v", ("a", "b"), 2, 4096
AT_US = 1_000_000
KEY = SweepKey(CALENDAR, 1, VOLUME)
CLOSED = Schedule(1, "tz", (Close(1, AT_US, (Purge(VOLUME),)),))
NOW = Interval(AT_US + 1, AT_US + 2)
OLD, NEW = "old", "new"


def is_shared(_volume: str) -> bool:
    """Return true: every volume is served by more than one head."""
    return True


@dataclass(slots=True)
class State:
    """Two heads after a close, the node with its bytes, and the decider."""

    fences: dict[str, Fences] = field(default_factory=dict)
    sweeps: dict[str, Sweep] = field(default_factory=dict)
    lives: dict[str, int] = field(default_factory=lambda: dict.fromkeys(HEADS, 1))
    reported: dict[str, int] = field(default_factory=lambda: dict.fromkeys(HEADS, -1))
    byte: dict[int, str] = field(default_factory=lambda: dict.fromkeys(range(EXTENTS), OLD))
    epoch: int = 0  # the highest that the node has received
    swept: SweepProgress = field(default_factory=SweepProgress)
    schedule: Schedule = CLOSED
    mail: Mail = field(default_factory=lambda: Mail(lost=1))
    kills: int = 1
    terms: int = 1
    uses: int = 2
    wrong: str = ""


class SweepModel:
    """Sweeps after a close.

    Invariants: no old byte is read, no new one is trimmed, and extents are opened only once fully trimmed.
    """

    name = "sweeps"
    about = "sweeps of a volume of two heads after a close: late trims, a head that dies, another term"

    def start(self) -> State:
        """Return the state in which no head has processed the close."""
        state = State()
        for name in HEADS:
            state.fences[name] = Fences((VOLUME,), {}, is_shared)
            state.fences[name].fence(CALENDAR).set_schedule(CLOSED)
            state.fences[name].confirm_until(10 * AT_US)
        return state

    def events(self, state: State) -> Iterator[str]:
        """Name the enabled events."""
        yield from state.mail.events()
        for name in HEADS:
            fence = state.fences[name].fence(CALENDAR)
            if not fence.last_purged:
                yield f"{name} purges"
                continue
            if name in state.sweeps:
                sweep = state.sweeps[name]
                yield from (f"{name} trims {at}" for left in sweep.remaining.values() for at in sorted(left))
                if state.reported[name] != sweep.done_slices:
                    yield f"{name} tells"
        if state.swept.completed():
            yield "decide"
        if state.kills:
            yield from (f"{name} dies" for name in HEADS if state.fences[name].fence(CALENDAR).last_purged)
        if state.terms:
            yield "another term"
        if state.uses:
            for name in HEADS:
                yield from (f"{name} {use} {at}" for use in ("reads", "writes") for at in range(EXTENTS))
        yield from state.mail.late()

    def _epoch(self, state: State, name: str) -> int:
        return AT_US + (state.fences[name].fence(CALENDAR).schedule.last_swept(VOLUME) >= 1)

    def _is_admitted(self, state: State, name: str, extent: int) -> bool:
        return state.fences[name].refusal_hint_us(NOW, VOLUME, extent * SIZE, SIZE) is None

    def apply(self, state: State, event: str) -> None:
        """Apply an event to the state, in place."""
        match event.split():
            case ["decide"]:
                for key in state.swept.completed():
                    state.schedule = state.schedule.with_swept(key.volume, key.number)
                    state.swept.forget(key)
                for name in HEADS:
                    state.mail.send(name, state.schedule)
                if any(one == OLD for one in state.byte.values()):
                    state.wrong = f"on record is that all is trimmed, and there is {state.byte}"
            case ["another", "term"]:
                state.terms -= 1
                state.swept = SweepProgress()
                state.reported = dict.fromkeys(HEADS, -1)
            case [name, "purges"]:
                state.fences[name].fence(CALENDAR).mark_purged(1)
                self._start_sweep(state, name)
            case [name, "trims", at]:
                state.mail.send("node", (name, state.lives[name], int(at), self._epoch(state, name)))
            case [name, "tells"]:
                state.reported[name] = state.sweeps[name].done_slices
                state.mail.send("decider", state.sweeps[name].done_slices)
            case [name, "dies"]:
                state.kills -= 1
                state.lives[name] += 1
                # From the start: the earlier process's progress is not on its disk.
                self._start_sweep(state, name)
            case [name, "reads", at]:
                state.uses -= 1
                if self._is_admitted(state, name, int(at)) and state.byte.get(int(at)) == OLD:
                    state.wrong = f"{name} reads what was written before the close"
            case [name, "writes", at]:
                state.uses -= 1
                if self._is_admitted(state, name, int(at)):
                    self._apply_at_node(state, self._epoch(state, name), int(at), NEW)
            case _:
                self._deliver(state, state.mail.apply(event))

    def _start_sweep(self, state: State, name: str) -> None:
        fence = state.fences[name].fence(CALENDAR)
        state.reported[name] = -1
        state.sweeps.pop(name, None)
        if fence.unswept_closes(VOLUME):
            extents = (at for at in range(EXTENTS) if fence.needs_sweep(VOLUME, at * SIZE, SIZE))
            state.sweeps[name] = Sweep.for_extents(KEY, extents)

    def _apply_at_node(self, state: State, epoch: int, extent: int, byte: str) -> bool:
        if epoch < state.epoch:
            return False
        state.epoch = epoch
        if byte:
            state.byte[extent] = byte
        elif state.byte.pop(extent, OLD) == NEW:
            state.wrong = f"what was written to extent {extent} after the close is trimmed"
        return True

    def _deliver(self, state: State, delivery: tuple[str, object] | None) -> None:
        match delivery:
            case ("node", (str(name), int(life), int(extent), int(epoch))):
                if self._apply_at_node(state, epoch, extent, "") and life == state.lives[name]:
                    if name in state.sweeps:
                        state.sweeps[name].mark_trimmed(extent)
            case ("decider", int(done)):
                state.swept.record_done(KEY, done)
            case (str(name), Schedule() as schedule):
                fence = state.fences[name].fence(CALENDAR)
                # The record never goes back.
                if schedule.last_swept(VOLUME) >= fence.schedule.last_swept(VOLUME):
                    fence.set_schedule(schedule)
                    if fence.schedule.last_swept(VOLUME):
                        state.sweeps.pop(name, None)

    def wrong(self, state: State) -> str | None:
        """Return the violated invariant, if there is one."""
        return state.wrong or None
