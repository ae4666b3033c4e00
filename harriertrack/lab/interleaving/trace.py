"""Human-readable traces of schedules."""

from __future__ import annotations

from harriertrack.lab.interleaving.execution import NEVER, Execution


def lines(one: Execution) -> list[str]:
    """Return one line per step: time, step, and the step that the default order would have run instead."""
    output = []
    for number, event in enumerate(one.events, 1):
        if event.step.startswith(NEVER):
            continue
        usual = event.offered[0]
        instead = "" if event.step == usual or usual.startswith(NEVER) else f"   <- in place of {usual!r}"
        output.append(f"{number:4} {event.at / 1e3:10.3f} ms  {event.step}{instead}")
    if one.breach:
        output.append(f"     BREACH: {one.breach}")
    return output
