"""All rules that a fleet's day is judged by, by what each is about."""

from __future__ import annotations

from collections.abc import Iterable

from harriertrack.rules import (
    budgets,
    changes,
    checker,
    closing,
    fleet,
    recording as rec,
    regions,
    rollout,
    scoring,
    zones,
)
from harriertrack.rules.checker import Breach


def check_all(records: Iterable[rec.Record], detect_us: int) -> dict[str, list[Breach]]:
    """Return the breaches of a recording by subject; `detect_us`: how long a death may go unnoticed."""
    every = list(records)
    return {
        "requests": checker.check(every), "views": fleet.check(every, detect_us),
        "budgets": budgets.check(every), "zones": zones.check(every), "regions": regions.check(every),
        "record": changes.check(every),
        "closes": closing.check(every), "scores": scoring.check(every),
        "rollouts": rollout.check(every),
    }  # fmt: skip
