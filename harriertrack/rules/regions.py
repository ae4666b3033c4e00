"""What must hold of volumes that change regions, judged by when heads held them and gave them away.

1. *Paced*: in no span of time do more volumes leave their home, or go back, than the fleet's pace lets all
   heads move together: what is at hand at once, one that each head that moves any had saved up, and so many a
   second.
2. *In order*: of the volumes that a head takes over when a region goes dark, the more reserved come first.
3. *Home*: at the day's end each volume is held where it belongs.
"""

from __future__ import annotations

from collections.abc import Iterable

from harriertrack.rules import recording as rec
from harriertrack.rules.checker import Breach

SPELL_US = 3_000_000  # a head that has taken no volume over for so long begins anew
LATE_US = 200_000  # a head's log tells of a move a little after its turn came


def check(records: Iterable[rec.Record]) -> list[Breach]:
    """Judge a recording's volumes of two regions. In order of time."""
    every = list(records)
    facts = next((one for one in every if isinstance(one, rec.VolumeMoveFacts)), None)
    if facts is None:
        return []
    moves = sorted((one for one in every if isinstance(one, rec.VolumeMoved)), key=lambda one: one.t)
    moves = [one for one in moves if one.volume in facts.homes]
    paced = [one for one in moves if one.region != facts.homes[one.volume]]  # taken over, or handed home
    paced = _first_holds(paced)
    return [*_too_fast(facts, paced), *_out_of_order(facts, paced), *_away(facts, moves)]


def _first_holds(moves: list[rec.VolumeMoved]) -> list[rec.VolumeMoved]:
    """Return moves without those of a head that held its volume already: its lease began anew."""
    holder: dict[str, str] = {}
    found = []
    for one in moves:
        if one.held and holder.get(one.volume) == one.head:
            continue
        found.append(one)
        if one.held:
            holder[one.volume] = one.head
        else:
            holder.pop(one.volume, None)
    return found


def _too_fast(facts: rec.VolumeMoveFacts, moves: list[rec.VolumeMoved]) -> list[Breach]:
    for last, one in enumerate(moves):
        heads: set[str] = set()
        for first in range(last, -1, -1):
            heads.add(moves[first].head)
            seconds = (one.t - moves[first].t + LATE_US) / 1e6
            most = facts.burst + len(heads) + facts.rate * seconds
            if last - first + 1 > most:
                what = f"{last - first + 1} volumes changed regions in {seconds:.1f} s, {most:.1f} may"
                return [Breach(1, one.t, one.volume, what)]
    return []


def _out_of_order(facts: rec.VolumeMoveFacts, moves: list[rec.VolumeMoved]) -> list[Breach]:
    latest: dict[str, rec.VolumeMoved] = {}
    for one in moves:
        if not one.held:
            continue
        before = latest.get(one.head)
        latest[one.head] = one
        if before is None or one.t - before.t > SPELL_US:
            continue
        if facts.reserves[one.volume] > facts.reserves[before.volume]:
            what = f"taken over by {one.head} after {before.volume}, whose plan reserves less"
            return [Breach(2, one.t, one.volume, what)]
    return []


def _away(facts: rec.VolumeMoveFacts, moves: list[rec.VolumeMoved]) -> list[Breach]:
    last = {one.volume: one for one in moves}
    end = moves[-1].t if moves else 0
    return [
        Breach(3, end, volume, f"is not held in region {home} at the end")
        for volume, home in sorted(facts.homes.items())
        if volume not in last or not last[volume].held or last[volume].region != home
    ]
