"""A schedule as people read it, and as a test keeps it."""

from __future__ import annotations

from harriertrack.lab.interleaving.execution import NEVER, Execution


def lines(one: Execution) -> list[str]:
    """Return one line a step: time, who, and what the usual loop would have run in its place."""
    told = []
    for number, event in enumerate(one.events, 1):
        if event.step.startswith(NEVER):
            continue
        usual = event.offered[0]
        instead = "" if event.step == usual or usual.startswith(NEVER) else f"   <- in place of {usual!r}"
        told.append(f"{number:4} {event.at / 1e3:10.3f} ms  {event.step}{instead}")
    if one.breach:
        told.append(f"     BREACH: {one.breach}")
    return told
