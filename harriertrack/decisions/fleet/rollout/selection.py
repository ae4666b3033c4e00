"""Which heads a stage has, and who of them changes next: by checksum, so that every decider says the same.

Pure functions of the members that are heard. Who decides comes last of its stage: it hands its term on when
it goes. A head whose volumes are not all known is not taken away.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from zlib import crc32

from harriertrack.decisions.fleet.rollout.plan import Plan, Stage


@dataclass(frozen=True, slots=True)
class HeadState:
    """A head as who decides hears it."""

    name: str
    zone: str = ""
    cell: str = ""
    region: str = ""
    volumes: frozenset[int] | None = frozenset()  # checksums of their names; None: not all told yet
    running_version: int | None = 0  # the version of the thing; None: it has not said
    rejection: str = ""  # why it does not run the version that is brought about, if it said so
    present: bool = True  # it is heard
    absent_us: int = 0  # otherwise: for so long


def order_key(seed: str, name: str) -> int:
    """Return a head's place in a version's line."""
    return crc32(f"{seed}\0{name}".encode())


def rollout_order(seed: str, names: Iterable[str], last: str) -> list[str]:
    """Return heads in a version's order, `last` at the end."""
    return sorted(names, key=lambda name: (name == last, order_key(seed, name), name))


def _within(stage: Stage, one: HeadState) -> bool:
    return all(
        not named or is_in in named
        for named, is_in in ((stage.zones, one.zone), (stage.cells, one.cell), (stage.regions, one.region))
    )


def head_quota(stage: Stage, members: Iterable[HeadState]) -> dict[str, int]:
    """Return how many heads of each zone a stage has by its end; of a stage of a number: of "" in all."""
    inside = [one for one in members if _within(stage, one)]
    if stage.heads:
        return {"": min(stage.heads, len(inside))}
    sizes: dict[str, int] = {}
    for one in inside:
        sizes[one.zone] = sizes.get(one.zone, 0) + 1
    return {zone: _part(stage.share, size) for zone, size in sizes.items()}


def _part(share: float, size: int) -> int:
    most = size if share >= 1 or size == 1 else size - 1
    return min(most, max(1, math.ceil(share * size - 1e-9)))


def select_for_stage(stages: Sequence[Stage], at: int, members: Mapping[str, HeadState],
                     named: Collection[str], seed: str, decider: str) -> list[str]:  # fmt: skip
    """Return the heads that a stage adds to those that are named already, in order.

    Who is named and not heard counts: it may run the version, and comes back some day.
    """
    stage = stages[at]
    room = head_quota(stage, (one for one in members.values() if one.present or one.name in named))
    whole, left = "" in room and bool(stage.heads), sum(room.values()) - len(named)
    for name in named:
        zone = "" if whole else members[name].zone if name in members else None
        if zone is None:  # of a head that is not heard the zone is not known: it takes a place anywhere
            zone = max(room, key=lambda each: (room[each], each), default="")
        room[zone] = room.get(zone, 0) - 1
    added = []
    for name in rollout_order(seed, members.keys() - set(named), decider):
        one = members[name]
        zone = "" if whole else one.zone
        if one.present and _within(stage, one) and room.get(zone, 0) > 0 and left > 0:
            room[zone] -= 1
            left -= 1
            added.append(name)
    return added


def volumes_stay_served(
    name: str, away: Collection[str], members: Mapping[str, HeadState], alone: bool
) -> bool:
    """Whether every volume of a head is served by another one that is heard and not away."""
    mine = members[name].volumes
    if mine is None:
        return False
    others = [one for one in members.values() if one.name != name and one.present]
    for volume in mine:
        hosts = [one for one in others if one.volumes is not None and volume in one.volumes]
        if not hosts and alone:
            continue
        if all(one.name in away for one in hosts):
            return False
    return True


def select_next_away(wanted: Iterable[str], away: Collection[str], plan: Plan,
                     members: Mapping[str, HeadState], back: bool = False) -> list[str]:  # fmt: skip
    """Return who of `wanted`, in order, may go away now, beside those that are `away` for this already."""
    most = plan.max_away(sum(one.present for one in members.values()), back)
    out = set(away)
    zones = {members[name].zone for name in out if name in members}
    chosen: list[str] = []
    for name in wanted:
        if len(out) >= most:
            break
        one = members.get(name)
        if one is None or name in out or not one.present or (zones and zones != {one.zone}):
            continue
        if not volumes_stay_served(name, out, members, plan.alone):
            continue
        out.add(name)
        zones.add(one.zone)
        chosen.append(name)
    return chosen
