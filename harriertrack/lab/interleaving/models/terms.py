"""Who keeps a ledger: candidates and the witness's lock, with kills, stops and answers that come late."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.budgets import BudgetRules
from harriertrack.decisions.fleet.terms import Candidate, LockAcquired, LockHeld, WitnessCall
from harriertrack.lab.fleet.division import WitnessModel

ERROR = 0.05
RULES = BudgetRules(lease_us=400_000, clock_error=ERROR, term_us=1_000_000, patience_us=400_000)
STEP_US = 200_000
RATES = {"a": 1 - ERROR, "b": 1 + ERROR, "c": 1.0}  # of heads' clocks, by the witness's


@dataclass(slots=True)
class Asked:
    """A call to the witness: on its way there, or its answer on its way back."""

    name: str
    call: WitnessCall
    asked_at: int  # by the head's clock
    done: bool = False
    answer: LockAcquired | LockHeld | bool | None = None


@dataclass(slots=True)
class State:
    """Heads, the witness, and the calls between them; `now` is the witness's time."""

    now: int
    heads: dict[str, Candidate]
    sessions: dict[str, int]
    witness: WitnessModel
    calls: list[Asked] = field(default_factory=list)
    kills: int = 1
    cut: str = ""  # who does not reach the witness
    leased_until: int = 0  # the latest moment at which a lease of a term that was granted may end
    last_epoch: int = 0
    opened: tuple[int, int] = (0, 0)  # epoch, and when its ledger opens by the witness's time

    def clock(self, name: str) -> int:
        """Return the time by a head's own clock."""
        return int(self.now * RATES[name])


class _Middle:
    """Draws nothing by chance: all patience is the same, and a state has no generator in it."""

    def random(self) -> float:
        return 0.5

    def getrandbits(self, _bits: int) -> int:
        return 7


def _candidate(now: int) -> Candidate:
    one = Candidate(0, RULES, 0, now)
    one._random = _Middle()  # type: ignore[assignment]
    return one


class TermModel:
    """Never do two heads keep one ledger; a term grants nothing before the leases of the last are over."""

    name = "terms"
    about = "who keeps a ledger: heads and the witness's lock, late answers, a kill, clocks that differ"

    def __init__(self, names: str = "ab", until_us: int = 1_800_000, cut: bool = False) -> None:
        self._names, self._until, self._cut = names, until_us, cut
        if cut:
            self.name, self.about = "terms-cut", "the same where the keeper no longer reaches the witness"

    def start(self) -> State:
        """Nobody keeps it yet, and all have been patient for long enough."""
        now = 1_000_000
        heads = {name: _candidate(0) for name in self._names}
        state = State(now, heads, dict.fromkeys(self._names, 0), WitnessModel(RULES.term_us))
        if self._cut:
            first = self._names[0]
            for event in (f"step {first}", f"witness takes 0 of {first}", "time", f"answer 0 to {first}"):
                self.apply(state, event)
            state.cut = first
        return state

    def events(self, state: State) -> Iterator[str]:
        """Name what can happen now."""
        for at, call in enumerate(state.calls):
            yield f"answer {at} to {call.name}" if call.done else f"witness takes {at} of {call.name}"
        busy = {call.name for call in state.calls}
        for name, head in state.heads.items():
            if name not in busy and state.clock(name) >= head.wake_at(state.clock(name), 0):
                yield f"step {name}"
        if state.now < self._until + 1_000_000:
            yield "time"
        if state.kills:
            yield from (f"kill {name}" for name in state.heads)
        if not state.cut:
            yield from (f"cut {name}" for name in state.heads)

    def apply(self, state: State, event: str) -> None:
        """Let it happen."""
        match event.split():
            case ["time"]:
                state.now = self._next(state)
            case ["step", name]:
                call = state.heads[name].next_call(state.clock(name), 0)
                if call is not None:
                    state.calls.append(Asked(name, call, state.clock(name)))
            case ["kill", name]:
                state.kills -= 1
                state.heads[name] = _candidate(state.clock(name))
                state.calls = [one for one in state.calls if one.name != name or not one.done]
                for one in state.calls:
                    one.name = one.name if one.name != name else f"dead {name}"
            case ["cut", name]:
                state.cut = name
            case ["witness", _, at, *_]:
                self._at_witness(state, state.calls[int(at)])
            case ["answer", at, *_]:
                self._answered(state, state.calls.pop(int(at)))

    def _at_witness(self, state: State, call: Asked) -> None:
        call.done = True
        if call.name.startswith("dead"):
            state.calls.remove(call)
            if call.call is WitnessCall.ACQUIRE:
                state.witness.acquire(state.now, RULES.lease_us)  # its session ends by itself
            return
        if call.name == state.cut:
            return
        if call.call is WitnessCall.ACQUIRE:
            taken = state.witness.acquire(state.now, RULES.lease_us)
            call.answer = LockHeld(state.witness.epoch)
            if taken is not None:
                state.sessions[call.name], epoch, lease_us = taken
                call.answer = LockAcquired(epoch, lease_us)
            return
        ledger = state.heads[call.name].ledger
        epoch = ledger.term.epoch if ledger is not None else 0
        call.answer = state.witness.renew(state.now, state.sessions[call.name], epoch)

    def _answered(self, state: State, call: Asked) -> None:
        head, now = state.heads[call.name], state.clock(call.name)
        if call.call is WitnessCall.RENEW:
            head.handle_renewal(now, call.asked_at, call.answer if isinstance(call.answer, bool) else None)
            return
        found = call.answer if isinstance(call.answer, LockAcquired | LockHeld) else None
        ledger = head.handle_acquire(now, call.asked_at, found)
        if ledger is not None:
            state.opened = (ledger.term.epoch, int(ledger.opens_at / RATES[call.name]))

    def _next(self, state: State) -> int:
        moments = [state.now + STEP_US, *state.witness.sessions.values()]
        for name, head in state.heads.items():
            if head.valid_until:
                moments.append(int(head.valid_until / RATES[name]) + 1)
        return min(at for at in moments if at > state.now)

    def wrong(self, state: State) -> str | None:
        """Return whether two keep it, or a term opens while leases of the one before may last."""
        keeping = {name: head.ledger.term.epoch for name, head in state.heads.items()
                   if head.holds_term(state.clock(name)) and head.ledger is not None}  # fmt: skip
        if len(keeping) > 1:
            return f"two keep the ledger: {keeping}"
        epoch, opens = state.opened
        for name in keeping:
            # A lease that this head grants now lasts for so long by the clock of its holder.
            if keeping[name] > state.last_epoch:
                state.last_epoch = keeping[name]
                if opens < state.leased_until:
                    return f"term {epoch} opens {state.leased_until - opens} us before earlier leases end"
            head = state.heads[name]
            if head.ledger is not None and state.clock(name) >= head.ledger.opens_at:
                state.leased_until = max(state.leased_until, state.now + RULES.lease_us)
        return None
