"""All rules that a fleet's day is checked against, by subject."""

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
from harriertrack.rules.breach import Breach


def check_all(records: Iterable[rec.Record], detect_us: int) -> dict[str, list[Breach]]:
    """Return a recording's breaches by subject; `detect_us`: the longest time to detect a dead member."""
    all_records = list(records)
    return {
        "requests": checker.check(all_records), "views": fleet.check(all_records, detect_us),
        "budgets": budgets.check(all_records), "zones": zones.check(all_records),
        "regions": regions.check(all_records), "record": changes.check(all_records),
        "closes": closing.check(all_records), "scores": scoring.check(all_records),
        "rollouts": rollout.check(all_records),
    }  # fmt: skip
