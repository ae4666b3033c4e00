"""All scenarios, by name."""

from __future__ import annotations

from harriertrack.lab.interleaving.scenarios import hub, streams, watch, witness
from harriertrack.lab.interleaving.world import Scenario

PARTS = (hub, streams, watch, witness)
SCENARIOS: dict[str, Scenario] = {one.name: one for part in PARTS for one in part.SCENARIOS}
