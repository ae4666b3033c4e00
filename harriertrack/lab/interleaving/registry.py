"""All scenarios, by name."""

from __future__ import annotations

from harriertrack.lab.interleaving.scenarios import hub, streams, watch, witness
from harriertrack.lab.interleaving.world import Scenario

SCENARIOS: dict[str, Scenario] = {one.name: one for part in (hub, streams, watch, witness) for one in part.SCENARIOS}
