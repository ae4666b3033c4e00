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
class Member:
    """A head as who decides hears it."""

    name: str
    zone: str = ""
    cell: str = ""
    region: str = ""
    volumes: frozenset[int] | None = frozenset()  # checksums of their names; None: not all told yet
    runs: int | None = 0  # the version of the thing; None: it has not said
    fell: str = ""  # why it does not run the version that is brought about, if it said so
    here: bool = True  # it is heard
    absent_us: int = 0  # otherwise: for so long


def place_in_line(seed: str, name: str) -> int:
    """Return a head's place in a version's line."""
    return crc32(f"{seed}\0{name}".encode())


def line(seed: str, names: Iterable[str], last: str) -> list[str]:
    """Return heads in a version's order, `last` at the end."""
    return sorted(names, key=lambda name: (name == last, place_in_line(seed, name), name))


def _within(stage: Stage, one: Member) -> bool:
    return all(
        not named or is_in in named
        for named, is_in in ((stage.zones, one.zone), (stage.cells, one.cell), (stage.regions, one.region))
    )


def quota(stage: Stage, members: Iterable[Member]) -> dict[str, int]:
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


def staged(stages: Sequence[Stage], at: int, members: Mapping[str, Member], named: Collection[str], seed: str,
           decider: str) -> list[str]:  # fmt: skip
    """Return the heads that a stage adds to those that are named already, in order.

    Who is named and not heard counts: it may run the version, and comes back some day.
    """
    stage = stages[at]
    room = quota(stage, (one for one in members.values() if one.here or one.name in named))
    whole, left = "" in room and bool(stage.heads), sum(room.values()) - len(named)
    for name in named:
        zone = "" if whole else members[name].zone if name in members else None
        if zone is None:  # of a head that is not heard the zone is not known: it takes a place anywhere
            zone = max(room, key=lambda each: (room[each], each), default="")
        room[zone] = room.get(zone, 0) - 1
    added = []
    for name in line(seed, members.keys() - set(named), decider):
        one = members[name]
        zone = "" if whole else one.zone
        if one.here and _within(stage, one) and room.get(zone, 0) > 0 and left > 0:
            room[zone] -= 1
            left -= 1
            added.append(name)
    return added


def leaves_served(name: str, away: Collection[str], members: Mapping[str, Member], alone: bool) -> bool:
    """Whether every volume of a head is served by another one that is heard and not away."""
    mine = members[name].volumes
    if mine is None:
        return False
    others = [one for one in members.values() if one.name != name and one.here]
    for volume in mine:
        hosts = [one for one in others if one.volumes is not None and volume in one.volumes]
        if not hosts and alone:
            continue
        if all(one.name in away for one in hosts):
            return False
    return True


def next_away(wanted: Iterable[str], away: Collection[str], plan: Plan, members: Mapping[str, Member],
              back: bool = False) -> list[str]:  # fmt: skip
    """Return who of `wanted`, in order, may go away now, beside those that are `away` for this already."""
    most = plan.may_be_away(sum(one.here for one in members.values()), back)
    out = set(away)
    zones = {members[name].zone for name in out if name in members}
    chosen: list[str] = []
    for name in wanted:
        if len(out) >= most:
            break
        one = members.get(name)
        if one is None or name in out or not one.here or (zones and zones != {one.zone}):
            continue
        if not leaves_served(name, out, members, plan.alone):
            continue
        out.add(name)
        zones.add(one.zone)
        chosen.append(name)
    return chosen
