"""What the parts of a head know of it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from harriertrack.config.settings import HeadSettings
from harriertrack.decisions.requests import Core
from harriertrack.membership.nodes import NodeList
from harriertrack.runtime.hub import Hub, Scope
from harriertrack.runtime.streams import Network

if TYPE_CHECKING:
    from harriertrack.decisions.fleet.budget_shares import BudgetShares
    from harriertrack.decisions.fleet.rollout.answer_counts import AnswerCounter


@dataclass(frozen=True, slots=True)
class HeadParts:
    """One head: where it runs, what it was told, and what it logs by."""

    hub: Hub
    network: Network
    scope: Scope
    settings: HeadSettings
    core: Core
    nodes: NodeList
    head_id: int
    note: Callable[..., None]
    name: str
    budget_shares: BudgetShares | None = None  # of what its fleet divides; None: it divides nothing
    wall: Callable[[], int] | None = None  # for rehearsals: another wall clock than the hub's
    answer_counter: AnswerCounter | None = None  # of its answers, for rollouts; None: nobody asks
