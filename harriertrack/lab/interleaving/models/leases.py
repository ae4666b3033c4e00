"""Model of a budget ledger and its holders: leases, returns, reordered messages, clock drift."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.budgets import BudgetRules, BudgetTotal, Grant, LeaseRequest, Term
from harriertrack.decisions.fleet.holder import LeaseHolder
from harriertrack.decisions.fleet.ledger import Ledger
from harriertrack.lab.interleaving.models.mail import Mail

CLOCK_ERROR = 0.05
RULES = BudgetRules(lease_us=400_000, ask_us=200_000, quick_us=100_000, round_us=50_000,
                    clock_error=CLOCK_ERROR, patience_us=100_000)  # fmt: skip
TOTAL = BudgetTotal(100.0, 20.0, 2, 0.1)
BUDGET = "v"
STEP_US = 100_000
RATES = {"a": 1 - CLOCK_ERROR, "b": 1 + CLOCK_ERROR}  # of heads' clocks, relative to the ledger's


@dataclass(slots=True)
class State:
    """Two heads, the ledger of the current term, and messages in transit; `now` is true time."""

    now: int
    holders: dict[str, LeaseHolder]
    ledger: Ledger
    mail: Mail
    busy: str = "a"  # the head that has all the demand
    turned: bool = False
    terms: int = 1
    demand_recorded_at: dict[str, int] = field(default_factory=dict)
    paused: str = ""  # the head whose process is paused

    def clock(self, name: str) -> int:
        """Return a head's local time."""
        return int(self.now * RATES[name])


class LeaseModel:
    """Invariant: the leases in use never exceed the budget."""

    name = "leases"
    about = "a budget's leases against their return: two heads, one ledger, a second term"

    def __init__(self, until_us: int = 1_200_000, silent: bool = False, lost: int = 1,
                 twice: int = 0) -> None:  # fmt: skip
        """Create the model; with `silent`, the holder is paused until its lease nearly expires."""
        self._until, self._silent, self._lost, self._twice = until_us, silent, lost, twice
        if silent:
            self.name, self.about = "leases-end", "the same where a lease is about to end"

    def start(self) -> State:
        """Return the state in which one head holds the budget and the demand has just moved to the other."""
        ledger = Ledger(0, Term(1, 1), 0, RULES)
        state = State(0, {}, ledger, Mail(self._lost, self._twice))
        for name in RATES:
            state.holders[name] = LeaseHolder(0, name, 1, RULES, state.clock(name))
            state.holders[name].open(state.clock(name), BUDGET, TOTAL)
            state.holders[name].observe_term(state.clock(name), ledger.term)
            state.demand_recorded_at[name] = 0
        while state.holders["a"].budgets[BUDGET].share.leased < TOTAL.movable / 2:
            self._exchange(state, "a")
        state.busy = "b"
        if self._silent:
            while not state.mail.slow:  # the last grant to it is delayed, and then it is paused
                state.now = self._next_moment(state)
                self._wake_holder(state, "a")
                for _, request in state.mail.under_way:
                    state.mail.slow.append(("a", state.ledger.handle_request(state.now, request)))
                state.mail.under_way.clear()
            state.paused = "a"
            while state.now < state.holders["a"].lease.expires_at - STEP_US:
                self._exchange(state, "b")
        return state

    def _exchange(self, state: State, name: str) -> None:
        """Advance time, and complete an exchange between one head and the ledger."""
        state.now = self._next_moment(state)
        self._wake_holder(state, name)
        for grant in state.ledger.rebalance(state.now):
            state.mail.send(grant.holder, grant)
        for to, message in state.mail.under_way[:]:
            if to in (name, "ledger"):
                self._deliver(state, to, message)
        for to, message in state.mail.under_way[:]:
            if to == name:
                self._deliver(state, to, message)
        state.mail.under_way.clear()

    def _wake_holder(self, state: State, name: str) -> None:
        """Record one head's demand and send its due lease requests."""
        holder, now = state.holders[name], state.clock(name)
        portion = holder.open(now, BUDGET, TOTAL)
        if state.busy == name:
            portion.record_demand(TOTAL.rate * (state.now - state.demand_recorded_at[name]) / 1e6)
        state.demand_recorded_at[name] = state.now
        for request in holder.due_requests(now):
            state.mail.send("ledger", request)

    def _deliver(self, state: State, to: str, message: LeaseRequest | Grant | Term) -> None:
        if isinstance(message, LeaseRequest):
            grant = state.ledger.handle_request(state.now, message)
            if grant is not None:
                state.mail.send(message.holder, grant)
            elif message.term != state.ledger.term:
                state.mail.send(message.holder, state.ledger.term)
        elif isinstance(message, Term):
            state.holders[to].observe_term(state.clock(to), message)
        else:
            state.holders[to].apply_grant(state.clock(to), message)

    def events(self, state: State) -> Iterator[str]:
        """Name the enabled events."""
        yield from state.mail.events()
        for name, holder in state.holders.items():
            due = holder.wake_at()
            if due is not None and state.clock(name) >= due and name != state.paused:
                yield f"{name} wakes"
        due = state.ledger.wake_at()
        if due is not None and state.now >= due:
            yield "ledger wakes"
        if state.now < self._until:
            yield "time"
            if state.terms == 1:
                yield "the ledger's term ends"
                if not state.paused:
                    yield "a stands still"
        yield from state.mail.late()

    def apply(self, state: State, event: str) -> None:
        """Apply an event to the state, in place."""
        match event.split():
            case ["time"]:
                state.now = self._next_moment(state)
            case ["ledger", "wakes"]:
                for grant in state.ledger.rebalance(state.now):
                    state.mail.send(grant.holder, grant)
            case [name, "wakes"]:
                self._wake_holder(state, name)
            case [name, "stands", _]:
                state.paused = name
            case ["the", *_]:
                state.terms += 1
                opens = state.now + RULES.granter_lease_us(RULES.lease_us)
                state.ledger = Ledger(0, Term(state.terms, state.terms), opens, RULES)
                for name in state.holders:
                    state.mail.send(name, state.ledger.term)
            case _:
                delivery = state.mail.apply(event)
                if delivery is not None:
                    self._deliver(state, *delivery)

    def _next_moment(self, state: State) -> int:
        """Return the next time at which a timer or lease expires, at most one step later."""
        moments = [state.now + STEP_US]
        for name, holder in state.holders.items():
            moments += [int(at / RATES[name]) + 1 for at in (holder.wake_at(), holder.lease.expires_at) if at]
        moments += [tenant.expires_at for tenant in state.ledger.tenancies.values()]
        moments.append(state.ledger.opens_at)
        return min(at for at in moments if at > state.now)

    def wrong(self, state: State) -> str | None:
        """Return a violation: more than the movable budget is in use, or committed at the ledger."""
        used = {}
        for name, holder in state.holders.items():
            holding = holder.budgets.get(BUDGET)
            now = state.clock(name)
            used[name] = holding.share.leased if holding is not None and holder.lease_valid(now) else 0.0
        if sum(used.values()) > TOTAL.movable * (1 + 1e-9):
            return f"{sum(used.values()):.1f} of {TOTAL.movable:.1f} is in use: {used}"
        for account in state.ledger.accounts.values():
            if account.committed > TOTAL.movable * (1 + 1e-9):
                return f"the ledger counts {account.committed:.1f} of {TOTAL.movable:.1f}"
        return None
