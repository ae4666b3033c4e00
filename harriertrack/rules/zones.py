"""Checks how a fleet leaves zones and returns to them by which zones each head used when.

1. *Never all*: every head always uses at least one zone.
2. *With reason*: no head leaves a zone that no fault of the day affects.
3. *Return*: at the day's end every living head uses all zones again.
4. *New heads*: a head that starts while no other head uses a zone leaves it within the day's bound.
5. *Paced*: heads return to a zone that no head used at most as fast as the fleet's decisions allow: first the
   heads that probe it, then a first share of all, then a constant factor more with each step. A head without
   a decision of the fleet decides for itself; neither it nor that return is checked.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from harriertrack.rules import recording as rec
from harriertrack.rules.breach import Breach

DECISION_DELAY_US = 100_000  # heads receive a decision at different times: a step may seem this much shorter
SHARE_TOLERANCE = 1.3  # shares are drawn by checksums, so they may be larger by this factor
EXTRA_HEADS = 3  # and by this many heads


@dataclass(slots=True)
class _ZoneReturn:
    """The return of heads to a zone that no head used."""

    began_at_us: int = -1  # when the first head returned; -1: none has
    users: set[str] = field(default_factory=set)  # heads that returned by a decision of the fleet
    reported: bool = False


@dataclass(slots=True)
class _FleetState:
    """The state of the fleet after the records applied so far."""

    facts: rec.ZoneFacts
    alive: set[str] = field(default_factory=set)
    unused: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))  # zones by head
    returns: dict[str, _ZoneReturn] = field(default_factory=dict)  # by zone
    # By head and zone: up since; -1: not yet up.
    newcomers: dict[tuple[str, str], int] = field(default_factory=dict)
    breaches: list[Breach] = field(default_factory=list)

    def apply_start(self, head: str) -> None:
        """Apply the start of a head, which uses all zones until it receives a decision."""
        others = self.alive - {head}
        self.unused[head].clear()
        self.alive.add(head)
        for zone in self.facts.zones:
            if self.facts.hears_us and others and all(zone in self.unused[other] for other in others):
                self.newcomers[head, zone] = -1

    def apply_listening(self, t: int, head: str) -> None:
        """Apply that a started head listens; newcomers are timed from here, as processes start slowly."""
        for zone in self.facts.zones:
            if self.newcomers.get((head, zone)) == -1:
                self.newcomers[head, zone] = t

    def apply_end(self, head: str) -> None:
        """Apply the end of a head."""
        self.alive.discard(head)
        for zone in self.facts.zones:
            self.newcomers.pop((head, zone), None)
            if (zone_return := self.returns.get(zone)) is not None:
                zone_return.users.discard(head)

    def apply_zone_use(self, use: rec.ZoneUse) -> None:
        """Apply that a head uses a zone from now on, or no longer."""
        facts, unused = self.facts, self.unused[use.head]
        (unused.discard if use.used else unused.add)(use.zone)
        self.newcomers.pop((use.head, use.zone), None)
        if use.used:
            self._check_return(use)
            return
        if unused >= set(facts.zones):
            self.breaches.append(Breach(1, use.t, use.head, "uses no zone at all"))
        if use.zone not in facts.may_leave:
            self.breaches.append(Breach(2, use.t, use.head, f"left {use.zone}, which nothing struck"))
        if all(use.zone in self.unused[head] for head in self.alive):
            self.returns[use.zone] = _ZoneReturn()
        elif (zone_return := self.returns.get(use.zone)) is not None:
            zone_return.users.discard(use.head)

    def _check_return(self, use: rec.ZoneUse) -> None:
        facts, zone_return = self.facts, self.returns.get(use.zone)
        if zone_return is None or not facts.step_us:
            return
        if not use.word:
            del self.returns[use.zone]
            return
        zone_return.began_at_us = use.t if zone_return.began_at_us < 0 else zone_return.began_at_us
        zone_return.users.add(use.head)
        steps = math.ceil((use.t - zone_return.began_at_us + DECISION_DELAY_US) / facts.step_us)
        share = facts.first * facts.growth ** min(steps, 64) * SHARE_TOLERANCE
        # The heads that probe take turns: for a moment there are two sets of them.
        allowed = max(2 * facts.tries, share * len(self.alive)) + EXTRA_HEADS
        if len(zone_return.users) > allowed and not zone_return.reported:
            zone_return.reported = True
            what = f"{len(zone_return.users)} heads are back in {use.zone}, {allowed:.0f} may"
            self.breaches.append(Breach(5, use.t, use.head, what))

    def check_newcomers(self, t: int) -> None:
        """Check that newcomers left the zone in time, unless some head uses it again."""
        for (head, zone), up_since_us in list(self.newcomers.items()):
            zone_return = self.returns.get(zone)
            if zone_return is None or zone_return.began_at_us >= 0:
                del self.newcomers[head, zone]
            elif 0 <= up_since_us < t - self.facts.hears_us:
                del self.newcomers[head, zone]
                self.breaches.append(Breach(4, t, head, f"started, and uses {zone}, which all others left"))


def check(records: Iterable[rec.Record]) -> list[Breach]:
    """Check a recording's zones."""
    kinds = (rec.ZoneFacts, rec.ZoneUse, rec.MemberLifecycle, rec.HeadLifecycle)
    checked = sorted((record for record in records if isinstance(record, kinds)), key=lambda record: record.t)
    facts = next((record for record in checked if isinstance(record, rec.ZoneFacts)), None)
    if facts is None:
        return []
    fleet, last = _FleetState(facts), 0
    for record in checked:
        last = record.t
        fleet.check_newcomers(record.t)
        if isinstance(record, rec.ZoneUse):
            fleet.apply_zone_use(record)
        elif isinstance(record, rec.HeadLifecycle):
            if record.up:
                fleet.apply_listening(record.t, record.head)
        elif isinstance(record, rec.MemberLifecycle):
            if record.how == "started":
                fleet.apply_start(record.member)
            elif record.how in ("killed", "ended", "leaving"):
                fleet.apply_end(record.member)
    for head in sorted(fleet.alive):
        if fleet.unused[head]:
            names = ", ".join(sorted(fleet.unused[head]))
            fleet.breaches.append(Breach(3, last, head, f"does not use {names} again"))
    return fleet.breaches
