"""What must hold of a fleet's views, judged by recordings of all its processes.

1. *Agreement*: members that were to agree within a time did, and what each told of its view says so too.
2. *No wrong burial*: while nothing is at fault, nobody holds a member dead that lives.
3. *The dead are found*: who was killed is held dead, in the time that is given, by all who could hear of it.
4. *Words get newer*: what a member holds of another never goes back.
5. *Oneself*: a member that lives holds itself to be there.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from harriertrack.rules import recording as rec
from harriertrack.rules.checker import Breach

RANK = {"alive": 0, "suspect": 1, "dead": 2, "left": 3}
PRESENT = ("alive", "suspect")
CALM_US = 45_000_000  # after a fault its suspicions may still run out


@dataclass(slots=True)
class MemberView:
    """One member's view, as far as it told."""

    states: dict[str, str] = field(default_factory=dict)
    digest: str = ""

    def take(self, told: rec.ViewReported) -> None:
        """Follow what it told."""
        self.states[told.about] = told.state
        self.digest = told.digest

    @property
    def present(self) -> set[str]:
        """Return who is there by this view."""
        return {name for name, state in self.states.items() if state in PRESENT}


class FleetViews:
    """All members' views, replayed."""

    def __init__(self) -> None:
        self.by_member: dict[str, MemberView] = {}
        self.alive: dict[str, bool] = {}  # who lives, and whether it is not stopped
        self.life: dict[str, int] = {}  # which life of its own each told of last

    def apply(self, record: rec.Record) -> None:
        """Follow a record."""
        if isinstance(record, rec.ViewReported):
            self.by_member.setdefault(record.member, MemberView()).take(record)
            if record.member == record.about:
                self.life[record.member] = record.life
        elif isinstance(record, rec.MemberLifecycle):
            if record.how == "started":
                self.by_member[record.member] = MemberView()
                self.life.pop(record.member, None)
            if record.how in ("killed", "ended", "leaving"):
                self.alive.pop(record.member, None)
            else:
                self.alive[record.member] = record.how != "stopped"

    def running_members(self) -> list[str]:
        """Return who lives and is not stopped."""
        return [name for name, awake in self.alive.items() if awake]

    def is_agreed_by(self, members: Iterable[str]) -> bool:
        """Whether these hold exactly each other to be there."""
        wanted = set(members)
        views = [self.by_member.get(name) for name in wanted]
        if not wanted or any(view is None or view.present != wanted for view in views):
            return False
        return len({view.digest for view in views if view is not None}) == 1


class FleetHistory:
    """A recording of a fleet, in order of time."""

    def __init__(self, records: list[rec.Record], detect_us: int) -> None:
        kinds = (rec.MemberLifecycle, rec.ViewReported, rec.ActiveFaults, rec.AgreementCheck)
        self.records = sorted((one for one in records if isinstance(one, kinds)), key=lambda one: one.t)
        self.detect_us = detect_us
        self.ends = max((one.t for one in records if not isinstance(one, rec.Facts)), default=0)
        self._trouble = list(self._troubles())

    def _troubles(self) -> Iterator[tuple[int, int]]:
        """Yield the times in which something was at fault, or just had been, in order of their begin."""
        struck: int | None = None
        for one in self.records:
            if isinstance(one, rec.ActiveFaults):
                if one.faults and struck is None:
                    struck = one.t
                elif not one.faults and struck is not None:
                    yield struck, one.t + CALM_US
                    struck = None
            elif isinstance(one, rec.MemberLifecycle) and one.how in ("stopped", "went-on"):
                yield one.t, one.t + CALM_US
        if struck is not None:
            yield struck, self.ends + CALM_US

    def calm(self, since: int, until: int) -> bool:
        """Whether nothing was at fault from some time before one moment up to another."""
        return not any(begin <= until and since < end for begin, end in self._trouble)


def agreed(history: FleetHistory) -> Iterator[Breach]:
    """1: agreement where it was to be, also by what was told."""
    views = FleetViews()
    for one in history.records:
        views.apply(one)
        if isinstance(one, rec.AgreementCheck):
            who = f"{len(one.members)} members"
            if not one.reached:
                yield Breach(1, one.t, who, f"did not agree within {one.within_us} us")
            elif one.after_us > one.within_us:
                yield Breach(1, one.t, who, f"agreed after {one.after_us} us, not within {one.within_us}")
            elif not views.is_agreed_by(one.members):
                odd = [name for name in one.members if not _holds(views, name, set(one.members))]
                yield Breach(1, one.t, who, f"are said to agree, and {', '.join(odd) or 'digests'} do not")


def _holds(views: FleetViews, name: str, wanted: set[str]) -> bool:
    return name in views.by_member and views.by_member[name].present == wanted


def nobody_buried_alive(history: FleetHistory) -> Iterator[Breach]:
    """2: at rest nobody holds a living member dead; that an earlier life of it is dead is true."""
    views = FleetViews()
    for one in history.records:
        views.apply(one)
        if isinstance(one, rec.ViewReported) and one.state == "dead" and views.alive.get(one.about):
            awake, alive = views.alive.get(one.member), views.life.get(one.about) == one.life
            if awake and alive and history.calm(one.t, one.t):
                yield Breach(2, one.t, one.member, f"holds {one.about} dead, by {one.by}, which lives")


def the_dead_are_found(history: FleetHistory) -> Iterator[Breach]:
    """3: who was killed while nothing was at fault is not held alive any more after the given time."""
    for at, death in enumerate(history.records):
        if not isinstance(death, rec.MemberLifecycle) or death.how != "killed":
            continue
        by = death.t + history.detect_us
        later = [one for one in history.records[at + 1 :] if one.t <= by]
        again = any(isinstance(one, rec.MemberLifecycle) and one.member == death.member for one in later)
        if again or by > history.ends or not history.calm(death.t, by):
            continue
        views = FleetViews()
        for one in history.records:
            if one.t <= by:
                views.apply(one)
        stirred = {one.member for one in later if isinstance(one, rec.MemberLifecycle)}
        for name in views.running_members():
            if name not in stirred and death.member in views.by_member.get(name, MemberView()).present:
                why = f"still holds {death.member} there, killed {history.detect_us} us ago"
                yield Breach(3, by, name, why)


def words_get_newer(history: FleetHistory) -> Iterator[Breach]:
    """4: of each member, each other one holds ever newer words in one life of its own."""
    newest: dict[tuple[str, str], tuple[int, int, int]] = {}
    for one in history.records:
        if isinstance(one, rec.MemberLifecycle) and one.how == "started":
            for key in [key for key in newest if key[0] == one.member]:
                del newest[key]
        elif isinstance(one, rec.ViewReported):
            word = (one.life, one.incarnation, RANK[one.state])
            before = newest.get((one.member, one.about))
            if before is not None and word < before:
                yield Breach(4, one.t, one.member, f"held {before} of {one.about}, and now {word}")
            newest[one.member, one.about] = word


def oneself(history: FleetHistory) -> Iterator[Breach]:
    """5: who lives, and does not leave, holds itself to be there."""
    views = FleetViews()
    for one in history.records:
        views.apply(one)
        if isinstance(one, rec.ViewReported) and one.member == one.about and one.state not in PRESENT:
            if one.member in views.alive:
                yield Breach(5, one.t, one.member, f"holds itself {one.state}")


RULES: tuple[Callable[[FleetHistory], Iterator[Breach]], ...] = (
    agreed, nobody_buried_alive, the_dead_are_found, words_get_newer, oneself,
)  # fmt: skip


def check(records: list[rec.Record], detect_us: int) -> list[Breach]:
    """Judge a fleet's recording; `detect_us`: the longest that a death may go unnoticed. In order of time."""
    history = FleetHistory(records, detect_us)
    return sorted((breach for rule in RULES for breach in rule(history)), key=lambda breach: breach.t)
