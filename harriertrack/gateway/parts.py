"""The context that the parts of a head share."""

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
    """One head's environment, settings, core and log."""

    hub: Hub
    network: Network
    scope: Scope
    settings: HeadSettings
    core: Core
    nodes: NodeList
    head_id: int
    note: Callable[..., None]
    name: str
    budget_shares: BudgetShares | None = None  # of the fleet-wide budgets; None: the fleet divides none
    wall: Callable[[], int] | None = None  # for rehearsals: another wall clock than the hub's
    answer_counter: AnswerCounter | None = None  # counts its answers, for rollouts; None: not needed
