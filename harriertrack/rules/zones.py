"""What must hold of a fleet that leaves zones and returns, judged by which zones each head used when.

1. *Never all*: no head ever uses no zone.
2. *With reason*: no head leaves a zone that nothing of the day struck.
3. *Back*: at the day's end every head that lives uses all zones again.
4. *Newcomers hear*: a head that starts while no other uses a zone leaves it within the day's bound.
5. *Paced*: to a zone that nobody used heads come back at most as fast as the fleet's word lets them: first
   who tries, then a first share, then so many times as many with each step. Who has no word any more helps
   itself, and is not judged, nor is that return.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from harriertrack.rules import recording as rec
from harriertrack.rules.checker import Breach

TOLD_US = 100_000  # heads do not hear a word at one moment: a step may seem so much shorter
CROWD = 1.3  # shares are drawn by checksums: so many times as many, and ...
MORE = 3  # ... so many more


@dataclass(slots=True)
class _Return:
    """A zone that nobody used, as heads come back to it."""

    began: int = -1  # when the first came back; -1: nobody has
    users: set[str] = field(default_factory=set)  # who came back by the word
    found: bool = False


@dataclass(slots=True)
class _Fleet:
    """What is known at a moment of the recording."""

    facts: rec.ZoneFacts
    alive: set[str] = field(default_factory=set)
    unused: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))  # by head: zones
    returns: dict[str, _Return] = field(default_factory=dict)  # by zone
    newcomers: dict[tuple[str, str], int] = field(default_factory=dict)  # head, zone: up since; -1: not yet
    breaches: list[Breach] = field(default_factory=list)

    def started(self, head: str) -> None:
        """A head knows of nothing, and uses all zones until it hears."""
        others = self.alive - {head}
        self.unused[head].clear()
        self.alive.add(head)
        for zone in self.facts.zones:
            if self.facts.hears_us and others and all(zone in self.unused[one] for one in others):
                self.newcomers[head, zone] = -1

    def up(self, t: int, head: str) -> None:
        """A head that was started listens: a process takes its time until then."""
        for zone in self.facts.zones:
            if self.newcomers.get((head, zone)) == -1:
                self.newcomers[head, zone] = t

    def gone(self, head: str) -> None:
        """A head lives no longer."""
        self.alive.discard(head)
        for zone in self.facts.zones:
            self.newcomers.pop((head, zone), None)
            if (one := self.returns.get(zone)) is not None:
                one.users.discard(head)

    def used(self, one: rec.ZoneUse) -> None:
        """A head uses a zone from now on, or does not."""
        facts, mine = self.facts, self.unused[one.head]
        (mine.discard if one.used else mine.add)(one.zone)
        self.newcomers.pop((one.head, one.zone), None)
        if one.used:
            self._back(one)
            return
        if mine >= set(facts.zones):
            self.breaches.append(Breach(1, one.t, one.head, "uses no zone at all"))
        if one.zone not in facts.may_leave:
            self.breaches.append(Breach(2, one.t, one.head, f"left {one.zone}, which nothing struck"))
        if all(one.zone in self.unused[head] for head in self.alive):
            self.returns[one.zone] = _Return()
        elif (back := self.returns.get(one.zone)) is not None:
            back.users.discard(one.head)

    def _back(self, one: rec.ZoneUse) -> None:
        facts, back = self.facts, self.returns.get(one.zone)
        if back is None or not facts.step_us:
            return
        if not one.word:
            del self.returns[one.zone]
            return
        back.began = one.t if back.began < 0 else back.began
        back.users.add(one.head)
        steps = math.ceil((one.t - back.began + TOLD_US) / facts.step_us)
        share = facts.first * facts.growth ** min(steps, 64) * CROWD
        # Those who try change in turn: for a moment there are two sets of them.
        most = max(2 * facts.tries, share * len(self.alive)) + MORE
        if len(back.users) > most and not back.found:
            back.found = True
            found = f"{len(back.users)} heads are back in {one.zone}, {most:.0f} may"
            self.breaches.append(Breach(5, one.t, one.head, found))

    def passed(self, t: int) -> None:
        """Time passed: newcomers must have heard, unless somebody uses the zone again."""
        for (head, zone), since in list(self.newcomers.items()):
            back = self.returns.get(zone)
            if back is None or back.began >= 0:
                del self.newcomers[head, zone]
            elif 0 <= since < t - self.facts.hears_us:
                del self.newcomers[head, zone]
                self.breaches.append(Breach(4, t, head, f"started, and uses {zone}, which all others left"))


def check(records: Iterable[rec.Record]) -> list[Breach]:
    """Judge a recording's zones. In order of time."""
    kinds = (rec.ZoneFacts, rec.ZoneUse, rec.MemberLifecycle, rec.HeadLifecycle)
    mine = sorted((one for one in records if isinstance(one, kinds)), key=lambda one: one.t)
    facts = next((one for one in mine if isinstance(one, rec.ZoneFacts)), None)
    if facts is None:
        return []
    fleet, last = _Fleet(facts), 0
    for one in mine:
        last = one.t
        fleet.passed(one.t)
        if isinstance(one, rec.ZoneUse):
            fleet.used(one)
        elif isinstance(one, rec.HeadLifecycle):
            if one.up:
                fleet.up(one.t, one.head)
        elif isinstance(one, rec.MemberLifecycle):
            if one.how == "started":
                fleet.started(one.member)
            elif one.how in ("killed", "ended", "leaving"):
                fleet.gone(one.member)
    for head in sorted(fleet.alive):
        if fleet.unused[head]:
            names = ", ".join(sorted(fleet.unused[head]))
            fleet.breaches.append(Breach(3, last, head, f"does not use {names} again"))
    return fleet.breaches
