"""Registry of scenarios, by name."""

from __future__ import annotations

from harriertrack.lab.interleaving.scenarios import (
    budgets,
    changes,
    closes,
    hub,
    launching,
    links,
    rollouts,
    streams,
    watch,
    weights,
    witness,
)
from harriertrack.lab.interleaving.world import Scenario

PARTS = (hub, streams, watch, witness, changes, links, weights, launching, rollouts, closes, budgets)
SCENARIOS: dict[str, Scenario] = {one.name: one for part in PARTS for one in part.SCENARIOS}
