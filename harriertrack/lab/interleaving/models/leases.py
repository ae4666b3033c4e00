"""A ledger and its holders: leases against their return, messages in any order, clocks that differ."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.budgets import BudgetRules, BudgetTotal, Grant, LeaseRequest, Term
from harriertrack.decisions.fleet.holder import LeaseHolder
from harriertrack.decisions.fleet.ledger import Ledger
from harriertrack.lab.interleaving.models.mail import Mail

ERROR = 0.05
RULES = BudgetRules(lease_us=400_000, ask_us=200_000, quick_us=100_000, round_us=50_000, clock_error=ERROR,
                    patience_us=100_000)  # fmt: skip
WHOLE = BudgetTotal(100.0, 20.0, 2, 0.1)
BUDGET = "v"
STEP_US = 100_000
RATES = {"a": 1 - ERROR, "b": 1 + ERROR}  # of heads' clocks, by the ledger's


@dataclass(slots=True)
class State:
    """Two heads, the ledgers of one term after another, and what is on its way; `now` is true time."""

    now: int
    holders: dict[str, LeaseHolder]
    ledger: Ledger
    mail: Mail
    busy: str = "a"  # who has all the demand
    turned: bool = False
    terms: int = 1
    fed_at: dict[str, int] = field(default_factory=dict)
    asleep: str = ""  # who stands still

    def clock(self, name: str) -> int:
        """Return the time by a head's own clock."""
        return int(self.now * RATES[name])


class LeaseModel:
    """Never is more of a budget in use than there is."""

    name = "leases"
    about = "a budget's leases against their return: two heads, one ledger, a second term"

    def __init__(self, until_us: int = 1_200_000, silent: bool = False, lost: int = 1,
                 twice: int = 0) -> None:  # fmt: skip
        """Take `silent`: begin where who holds all has been silent until its lease is about to end."""
        self._until, self._silent, self._lost, self._twice = until_us, silent, lost, twice
        if silent:
            self.name, self.about = "leases-end", "the same where a lease is about to end"

    def start(self) -> State:
        """Begin where one head holds all, and its demand has just gone over to the other."""
        ledger = Ledger(0, Term(1, 1), 0, RULES)
        state = State(0, {}, ledger, Mail(self._lost, self._twice))
        for name in RATES:
            state.holders[name] = LeaseHolder(0, name, 1, RULES, state.clock(name))
            state.holders[name].open(state.clock(name), BUDGET, WHOLE)
            state.holders[name].observe_term(state.clock(name), ledger.term)
            state.fed_at[name] = 0
        while state.holders["a"].budgets[BUDGET].share.leased < WHOLE.movable / 2:
            self._usual(state, "a")
        state.busy = "b"
        if self._silent:
            while not state.mail.slow:  # its last answer is slow, and then it stands still
                state.now = self._next(state)
                self._live(state, "a")
                for _, ask in state.mail.under_way:
                    state.mail.slow.append(("a", state.ledger.handle_request(state.now, ask)))
                state.mail.under_way.clear()
            state.asleep = "a"
            while state.now < state.holders["a"].lease.expires_at - STEP_US:
                self._usual(state, "b")
        return state

    def _usual(self, state: State, name: str) -> None:
        """Let time pass and one head speak with the ledger, all at once."""
        state.now = self._next(state)
        self._live(state, name)
        for grant in state.ledger.rebalance(state.now):
            state.mail.send(grant.holder, grant)
        for to, what in state.mail.under_way[:]:
            if to in (name, "ledger"):
                self._arrive(state, to, what)
        for to, what in state.mail.under_way[:]:
            if to == name:
                self._arrive(state, to, what)
        state.mail.under_way.clear()

    def _live(self, state: State, name: str) -> None:
        """One head looks at its clock, feels its demand, and asks."""
        holder, now = state.holders[name], state.clock(name)
        portion = holder.open(now, BUDGET, WHOLE)
        if state.busy == name:
            portion.record_demand(WHOLE.rate * (state.now - state.fed_at[name]) / 1e6)
        state.fed_at[name] = state.now
        for ask in holder.due_requests(now):
            state.mail.send("ledger", ask)

    def _arrive(self, state: State, to: str, what: LeaseRequest | Grant | Term) -> None:
        if isinstance(what, LeaseRequest):
            grant = state.ledger.handle_request(state.now, what)
            if grant is not None:
                state.mail.send(what.holder, grant)
            elif what.term != state.ledger.term:
                state.mail.send(what.holder, state.ledger.term)
        elif isinstance(what, Term):
            state.holders[to].observe_term(state.clock(to), what)
        else:
            state.holders[to].apply_grant(state.clock(to), what)

    def events(self, state: State) -> Iterator[str]:
        """Name what can happen now."""
        yield from state.mail.events()
        for name, holder in state.holders.items():
            due = holder.wake_at()
            if due is not None and state.clock(name) >= due and name != state.asleep:
                yield f"{name} wakes"
        due = state.ledger.wake_at()
        if due is not None and state.now >= due:
            yield "ledger wakes"
        if state.now < self._until:
            yield "time"
            if state.terms == 1:
                yield "the ledger's term ends"
                if not state.asleep:
                    yield "a stands still"
        yield from state.mail.late()

    def apply(self, state: State, event: str) -> None:
        """Let it happen."""
        match event.split():
            case ["time"]:
                state.now = self._next(state)
            case ["ledger", "wakes"]:
                for grant in state.ledger.rebalance(state.now):
                    state.mail.send(grant.holder, grant)
            case [name, "wakes"]:
                self._live(state, name)
            case [name, "stands", _]:
                state.asleep = name
            case ["the", *_]:
                state.terms += 1
                opens = state.now + RULES.granter_lease_us(RULES.lease_us)
                state.ledger = Ledger(0, Term(state.terms, state.terms), opens, RULES)
                for name in state.holders:
                    state.mail.send(name, state.ledger.term)
            case _:
                came = state.mail.apply(event)
                if came is not None:
                    self._arrive(state, *came)

    def _next(self, state: State) -> int:
        """Return the next moment at which a clock says something, or a step later."""
        moments = [state.now + STEP_US]
        for name, holder in state.holders.items():
            moments += [int(at / RATES[name]) + 1 for at in (holder.wake_at(), holder.lease.expires_at) if at]
        moments += [tenant.expires_at for tenant in state.ledger.tenancies.values()]
        moments.append(state.ledger.opens_at)
        return min(at for at in moments if at > state.now)

    def wrong(self, state: State) -> str | None:
        """Return whether more is in use than may move, or a share outlives its lease at the ledger."""
        used = {}
        for name, holder in state.holders.items():
            held = holder.budgets.get(BUDGET)
            now = state.clock(name)
            used[name] = held.share.leased if held is not None and holder.lease_valid(now) else 0.0
        if sum(used.values()) > WHOLE.movable * (1 + 1e-9):
            return f"{sum(used.values()):.1f} of {WHOLE.movable:.1f} is in use: {used}"
        for account in state.ledger.accounts.values():
            if account.committed > WHOLE.movable * (1 + 1e-9):
                return f"the ledger counts {account.committed:.1f} of {WHOLE.movable:.1f}"
        return None
