"""What heads that only divide are made of."""

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
    """What heads are made of; a test exchanges one for a faulty one."""

    holder: Callable[[int, str, int, BudgetRules, int], LeaseHolder] = LeaseHolder
    ledger: Callable[[int, Term, int, BudgetRules], Ledger] = Ledger
    candidate: Callable[[int, BudgetRules, int, int], Candidate] = Candidate


REAL = Parts()


@dataclass(slots=True, eq=False)
class Member:
    """One process."""

    name: str
    instance: int
    rate: float  # of its clock
    holder: LeaseHolder
    candidate: Candidate
    session: int = 0
    stopped: bool = False
    stops_for: int = 0  # it is about to be stopped, between what it decides next and its socket
    unsent: list[tuple[str, LeaseRequest | Grant | Term]] = field(default_factory=list)
    inbox: list[tuple[LeaseRequest | Grant | Term, str]] = field(default_factory=list)
    ledger_owner: str = ""  # who keeps the ledger, as far as it heard
    announced_at: int = 0
    contact: dict[str, int] = field(default_factory=dict)  # of a keeper: when each head asked last
    waiting: dict[str, deque[int]] = field(default_factory=dict)  # units, by when they came
    applied_totals: dict[str, BudgetTotal] = field(default_factory=dict)  # the wholes that it goes by
