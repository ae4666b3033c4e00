"""Model of the election of the ledger's holder by the witness's lock: kills, partitions, late answers."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.budgets import BudgetRules
from harriertrack.decisions.fleet.terms import Candidate, LockAcquired, LockHeld, WitnessCall
from harriertrack.lab.fleet.division import WitnessModel

CLOCK_ERROR = 0.05
RULES = BudgetRules(lease_us=400_000, clock_error=CLOCK_ERROR, term_us=1_000_000, patience_us=400_000)
STEP_US = 200_000
RATES = {"a": 1 - CLOCK_ERROR, "b": 1 + CLOCK_ERROR, "c": 1.0}  # of heads' clocks, relative to the witness's


@dataclass(slots=True)
class PendingCall:
    """A call to the witness in transit, or its answer in transit."""

    name: str
    call: WitnessCall
    sent_at: int  # by the head's clock
    done: bool = False
    answer: LockAcquired | LockHeld | bool | None = None


@dataclass(slots=True)
class State:
    """Heads, the witness, and the calls between them; `now` is the witness's time."""

    now: int
    heads: dict[str, Candidate]
    sessions: dict[str, int]
    witness: WitnessModel
    calls: list[PendingCall] = field(default_factory=list)
    kills: int = 1
    cut: str = ""  # the head that is partitioned from the witness
    leased_until: int = 0  # the latest expiry of any lease granted so far
    last_epoch: int = 0
    opened: tuple[int, int] = (0, 0)  # (epoch, opening time of its ledger by the witness's clock)

    def clock(self, name: str) -> int:
        """Return a head's local time."""
        return int(self.now * RATES[name])


class _FixedRandom:
    """A constant generator: all retry waits are equal, and states contain no generator state."""

    def random(self) -> float:
        return 0.5

    def getrandbits(self, _bits: int) -> int:
        return 7


def _candidate(now: int) -> Candidate:
    one = Candidate(0, RULES, 0, now)
    one._random = _FixedRandom()  # type: ignore[assignment]
    return one


class TermModel:
    """Invariants: one holder of the ledger at a time; a term opens after all earlier leases have expired."""

    name = "terms"
    about = "who keeps a ledger: heads and the witness's lock, late answers, a kill, clocks that differ"

    def __init__(self, names: str = "ab", until_us: int = 1_800_000, cut: bool = False) -> None:
        self._names, self._until, self._cut = names, until_us, cut
        if cut:
            self.name, self.about = "terms-cut", "the same where the keeper no longer reaches the witness"

    def start(self) -> State:
        """Return the state without a holder, in which every head may try to acquire the lock."""
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
        """Name the enabled events."""
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
        """Apply an event to the state, in place."""
        match event.split():
            case ["time"]:
                state.now = self._next_moment(state)
            case ["step", name]:
                call = state.heads[name].next_call(state.clock(name), 0)
                if call is not None:
                    state.calls.append(PendingCall(name, call, state.clock(name)))
            case ["kill", name]:
                state.kills -= 1
                state.heads[name] = _candidate(state.clock(name))
                state.calls = [one for one in state.calls if one.name != name or not one.done]
                for one in state.calls:
                    one.name = one.name if one.name != name else f"dead {name}"
            case ["cut", name]:
                state.cut = name
            case ["witness", _, at, *_]:
                self._process_at_witness(state, state.calls[int(at)])
            case ["answer", at, *_]:
                self._handle_answer(state, state.calls.pop(int(at)))

    def _process_at_witness(self, state: State, call: PendingCall) -> None:
        call.done = True
        if call.name.startswith("dead"):
            state.calls.remove(call)
            if call.call is WitnessCall.ACQUIRE:
                state.witness.acquire(state.now, RULES.lease_us)  # the session of the killed head expires
            return
        if call.name == state.cut:
            return
        if call.call is WitnessCall.ACQUIRE:
            acquired = state.witness.acquire(state.now, RULES.lease_us)
            call.answer = LockHeld(state.witness.epoch)
            if acquired is not None:
                state.sessions[call.name], epoch, lease_us = acquired
                call.answer = LockAcquired(epoch, lease_us)
            return
        ledger = state.heads[call.name].ledger
        epoch = ledger.term.epoch if ledger is not None else 0
        call.answer = state.witness.renew(state.now, state.sessions[call.name], epoch)

    def _handle_answer(self, state: State, call: PendingCall) -> None:
        head, now = state.heads[call.name], state.clock(call.name)
        if call.call is WitnessCall.RENEW:
            head.handle_renewal(now, call.sent_at, call.answer if isinstance(call.answer, bool) else None)
            return
        found = call.answer if isinstance(call.answer, LockAcquired | LockHeld) else None
        ledger = head.handle_acquire(now, call.sent_at, found)
        if ledger is not None:
            state.opened = (ledger.term.epoch, int(ledger.opens_at / RATES[call.name]))

    def _next_moment(self, state: State) -> int:
        moments = [state.now + STEP_US, *state.witness.sessions.values()]
        for name, head in state.heads.items():
            if head.valid_until:
                moments.append(int(head.valid_until / RATES[name]) + 1)
        return min(at for at in moments if at > state.now)

    def wrong(self, state: State) -> str | None:
        """Return a violation: two holders, or a term that opens before earlier leases have expired."""
        holders = {name: head.ledger.term.epoch for name, head in state.heads.items()
                   if head.holds_term(state.clock(name)) and head.ledger is not None}  # fmt: skip
        if len(holders) > 1:
            return f"two keep the ledger: {holders}"
        epoch, opens = state.opened
        for name in holders:
            # A lease that this head grants now lasts for `lease_us` by the clock of its holder.
            if holders[name] > state.last_epoch:
                state.last_epoch = holders[name]
                if opens < state.leased_until:
                    return f"term {epoch} opens {state.leased_until - opens} us before earlier leases end"
            head = state.heads[name]
            if head.ledger is not None and state.clock(name) >= head.ledger.opens_at:
                state.leased_until = max(state.leased_until, state.now + RULES.lease_us)
        return None
