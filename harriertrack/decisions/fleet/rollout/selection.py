"""Which heads belong to a stage and which change next, ordered by checksum so that deciding heads agree.

Pure functions of the heads' reported state. The deciding head comes last of its stage, because it hands over
its term when it restarts. A head whose volumes are not all known is not taken out of service.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from zlib import crc32

from harriertrack.decisions.fleet.rollout.plan import Plan, Stage


@dataclass(frozen=True, slots=True)
class HeadState:
    """A head as known to the deciding head, with respect to one version."""

    name: str
    zone: str = ""
    cell: str = ""
    region: str = ""
    volumes: frozenset[int] | None = frozenset()  # checksums of their names; None: not all reported yet
    running_version: int | None = 0  # of the thing that the version is of; None: not reported
    rejection: str = ""  # why it does not run the version that is rolled out, if it reported that
    present: bool = True  # a member of the fleet that reports
    absent_us: int = 0  # otherwise: for how long it has not been


def order_key(seed: str, name: str) -> int:
    """Return a head's position in a version's rollout order."""
    return crc32(f"{seed}\0{name}".encode())


def rollout_order(seed: str, names: Iterable[str], last: str) -> list[str]:
    """Return heads in a version's order, with `last` at the end."""
    return sorted(names, key=lambda name: (name == last, order_key(seed, name), name))


def _is_in_scope(stage: Stage, head: HeadState) -> bool:
    return all(
        not allowed or value in allowed
        for allowed, value in (
            (stage.zones, head.zone), (stage.cells, head.cell), (stage.regions, head.region),
        )
    )  # fmt: skip


def head_quota(stage: Stage, members: Iterable[HeadState]) -> dict[str, int]:
    """Return how many heads of each zone run the version by the end of a stage.

    A stage that gives a number of heads has one total, under "".
    """
    in_scope = [head for head in members if _is_in_scope(stage, head)]
    if stage.heads:
        return {"": min(stage.heads, len(in_scope))}
    sizes: dict[str, int] = {}
    for head in in_scope:
        sizes[head.zone] = sizes.get(head.zone, 0) + 1
    return {zone: _share_of(stage.share, size) for zone, size in sizes.items()}


def _share_of(share: float, size: int) -> int:
    most = size if share >= 1 or size == 1 else size - 1
    return min(most, max(1, math.ceil(share * size - 1e-9)))


def select_for_stage(stages: Sequence[Stage], at: int, members: Mapping[str, HeadState],
                     named: Collection[str], seed: str, decider: str) -> list[str]:  # fmt: skip
    """Return the heads that stage `at` (from 0) adds to those already `named`, in order.

    Named heads that are absent count: they may run the version, and may return.
    """
    stage = stages[at]
    free = head_quota(stage, (head for head in members.values() if head.present or head.name in named))
    in_total, left = "" in free and bool(stage.heads), sum(free.values()) - len(named)
    for name in named:
        zone = "" if in_total else members[name].zone if name in members else None
        if zone is None:  # the zone of an unknown head: any may be charged; the one with most free places is
            zone = max(free, key=lambda each: (free[each], each), default="")
        free[zone] = free.get(zone, 0) - 1
    added = []
    for name in rollout_order(seed, members.keys() - set(named), decider):
        head = members[name]
        zone = "" if in_total else head.zone
        if head.present and _is_in_scope(stage, head) and free.get(zone, 0) > 0 and left > 0:
            free[zone] -= 1
            left -= 1
            added.append(name)
    return added


def volumes_stay_served(
    name: str, away: Collection[str], members: Mapping[str, HeadState], alone: bool
) -> bool:
    """Whether every volume of a head is also served by another head that is present and not away.

    `alone`: volumes that no other head serves are permitted to be without.
    """
    mine = members[name].volumes
    if mine is None:
        return False
    others = [head for head in members.values() if head.name != name and head.present]
    for volume in mine:
        hosts = [head for head in others if head.volumes is not None and volume in head.volumes]
        if not hosts and alone:
            continue
        if all(head.name in away for head in hosts):
            return False
    return True


def select_next_away(candidates: Iterable[str], away: Collection[str], plan: Plan,
                     members: Mapping[str, HeadState], back: bool = False) -> list[str]:  # fmt: skip
    """Return which of `candidates`, in order, may leave service now in addition to the heads that are `away`.

    `back`: during a rollback.
    """
    most = plan.max_away(sum(head.present for head in members.values()), back)
    out = set(away)
    zones = {members[name].zone for name in out if name in members}
    chosen: list[str] = []
    for name in candidates:
        if len(out) >= most:
            break
        head = members.get(name)
        if head is None or name in out or not head.present or (zones and zones != {head.zone}):
            continue
        if not volumes_stay_served(name, out, members, plan.alone):
            continue
        out.add(name)
        zones.add(head.zone)
        chosen.append(name)
    return chosen
