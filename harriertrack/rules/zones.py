"""What must hold of a fleet that leaves zones and returns, judged by which zones each head used when.

1. *Never all*: no head ever uses no zone.
2. *With reason*: no head leaves a zone that nothing of the day struck.
3. *Back*: at the day's end every head that lives uses all zones again.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from harriertrack.rules import recording as rec
from harriertrack.rules.checker import Breach


def check(records: Iterable[rec.Record]) -> list[Breach]:
    """Judge a recording's zones. In order of time."""
    kinds = (rec.ZoneFacts, rec.ZoneUse, rec.Lived)
    mine = sorted((one for one in records if isinstance(one, kinds)), key=lambda one: one.t)
    facts = next((one for one in mine if isinstance(one, rec.ZoneFacts)), None)
    if facts is None:
        return []
    unused: dict[str, set[str]] = defaultdict(set)
    alive: set[str] = set()
    breaches, last = [], 0
    for one in mine:
        last = one.t
        if isinstance(one, rec.Lived):
            if one.how == "started":
                unused[one.member].clear()  # it knows of nothing
                alive.add(one.member)
            elif one.how in ("killed", "ended", "leaving"):
                alive.discard(one.member)
        elif isinstance(one, rec.ZoneUse):
            if one.used:
                unused[one.head].discard(one.zone)
                continue
            unused[one.head].add(one.zone)
            if unused[one.head] >= set(facts.zones):
                breaches.append(Breach(1, one.t, one.head, "uses no zone at all"))
            if one.zone not in facts.may_leave:
                breaches.append(Breach(2, one.t, one.head, f"left {one.zone}, which nothing struck"))
    for head in sorted(alive):
        if unused[head]:
            breaches.append(Breach(3, last, head, f"does not use {', '.join(sorted(unused[head]))} again"))
    return breaches
