"""The members of a division, and the state machines that they consist of."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.budgets import BudgetRules, BudgetTotal, Grant, LeaseRequest, Term
from harriertrack.decisions.fleet.holder import LeaseHolder
from harriertrack.decisions.fleet.ledger import Ledger
from harriertrack.decisions.fleet.terms import Candidate


@dataclass(frozen=True, slots=True)
class Parts:
    """Constructors of the state machines of a head; tests replace one by a faulty one."""

    holder: Callable[[int, str, int, BudgetRules, int], LeaseHolder] = LeaseHolder
    ledger: Callable[[int, Term, int, BudgetRules], Ledger] = Ledger
    candidate: Callable[[int, BudgetRules, int, int], Candidate] = Candidate


REAL = Parts()


@dataclass(slots=True, eq=False)
class Member:
    """One head process."""

    name: str
    instance: int
    rate: float  # of its clock, relative to true time
    holder: LeaseHolder
    candidate: Candidate
    session: int = 0
    is_suspended: bool = False
    suspend_us: int = 0  # if not 0: how long to suspend it after its next step, before its messages are sent
    unsent: list[tuple[str, LeaseRequest | Grant | Term]] = field(default_factory=list)
    inbox: list[tuple[LeaseRequest | Grant | Term, str]] = field(default_factory=list)
    ledger_owner: str = ""  # the owner of the ledger, as far as this head knows
    announced_at: int = 0
    contact: dict[str, int] = field(default_factory=dict)  # if it owns the ledger: each head's last request
    waiting: dict[str, deque[int]] = field(default_factory=dict)  # arrival times of waiting units
    applied_totals: dict[str, BudgetTotal] = field(default_factory=dict)  # the totals that it uses
