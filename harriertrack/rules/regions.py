"""Checks the volumes that change regions by when heads took them over and gave them away.

1. *Paced*: in any period all heads together move at most the burst, one volume for each head that moves any
   (each may have one saved turn), and the rate times the period's length, out of home regions or back.
2. *In order*: when a region fails, a head takes over its volumes in descending order of reserved rate.
3. *Home*: at the day's end a head of its home region holds each volume.
"""

from __future__ import annotations

from collections.abc import Iterable

from harriertrack.rules import recording as rec
from harriertrack.rules.breach import Breach

TAKEOVER_GAP_US = 3_000_000  # after this time without a takeover a head begins a new sequence
REPORT_DELAY_US = 200_000  # a head may log a move this long after its turn


def check(records: Iterable[rec.Record]) -> list[Breach]:
    """Check a recording's volumes of two regions; return the first breach of rules 1 and 2, all of 3."""
    all_records = list(records)
    facts = next((record for record in all_records if isinstance(record, rec.VolumeMoveFacts)), None)
    if facts is None:
        return []
    moves = sorted(
        (record for record in all_records if isinstance(record, rec.VolumeMoved)), key=lambda record: record.t
    )
    moves = [record for record in moves if record.volume in facts.homes]
    # Out of the home region, or back.
    paced = [record for record in moves if record.region != facts.homes[record.volume]]
    paced = _without_renewals(paced)
    return [*_too_fast(facts, paced), *_out_of_order(facts, paced), *_not_at_home(facts, moves)]


def _without_renewals(moves: list[rec.VolumeMoved]) -> list[rec.VolumeMoved]:
    """Return the moves without those where a head renewed its lease on a volume that it held already."""
    holder: dict[str, str] = {}
    first_holds = []
    for move in moves:
        if move.held and holder.get(move.volume) == move.head:
            continue
        first_holds.append(move)
        if move.held:
            holder[move.volume] = move.head
        else:
            holder.pop(move.volume, None)
    return first_holds


def _too_fast(facts: rec.VolumeMoveFacts, moves: list[rec.VolumeMoved]) -> list[Breach]:
    for last, move in enumerate(moves):
        heads: set[str] = set()
        for first in range(last, -1, -1):
            heads.add(moves[first].head)
            seconds = (move.t - moves[first].t + REPORT_DELAY_US) / 1e6
            allowed = facts.burst + len(heads) + facts.rate * seconds
            if last - first + 1 > allowed:
                what = f"{last - first + 1} volumes changed regions in {seconds:.1f} s, {allowed:.1f} may"
                return [Breach(1, move.t, move.volume, what)]
    return []


def _out_of_order(facts: rec.VolumeMoveFacts, moves: list[rec.VolumeMoved]) -> list[Breach]:
    last_takeover: dict[str, rec.VolumeMoved] = {}
    for move in moves:
        if not move.held:
            continue
        previous = last_takeover.get(move.head)
        last_takeover[move.head] = move
        if previous is None or move.t - previous.t > TAKEOVER_GAP_US:
            continue
        if facts.reserves[move.volume] > facts.reserves[previous.volume]:
            what = f"taken over by {move.head} after {previous.volume}, whose plan reserves less"
            return [Breach(2, move.t, move.volume, what)]
    return []


def _not_at_home(facts: rec.VolumeMoveFacts, moves: list[rec.VolumeMoved]) -> list[Breach]:
    last = {move.volume: move for move in moves}
    end = moves[-1].t if moves else 0
    return [
        Breach(3, end, volume, f"is not held in region {home} at the end")
        for volume, home in sorted(facts.homes.items())
        if volume not in last or not last[volume].held or last[volume].region != home
    ]
