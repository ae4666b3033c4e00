"""Checks the membership views of a fleet by what its members reported.

1. *Agreement*: members that had to agree within a time did so, also by the views that they reported.
2. *No false death*: while no fault is active, no running member's view has a living member as dead.
3. *Detection*: within the given time after a member was killed, no other running member has it as present.
4. *Monotony*: a member's record of another member never becomes older.
5. *Self*: a living member that is not leaving has itself as present.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from harriertrack.rules import recording as rec
from harriertrack.rules.breach import Breach

RANK = {"alive": 0, "suspect": 1, "dead": 2, "left": 3}
PRESENT = ("alive", "suspect")
SETTLE_US = 45_000_000  # after a fault ends, suspicions that it raised may still time out


@dataclass(slots=True)
class MemberView:
    """One member's view as it reported it."""

    states: dict[str, str] = field(default_factory=dict)
    digest: str = ""

    def apply(self, report: rec.ViewReported) -> None:
        """Apply a reported change."""
        self.states[report.about] = report.state
        self.digest = report.digest

    @property
    def present(self) -> set[str]:
        """Return the members that are present by this view."""
        return {name for name, state in self.states.items() if state in PRESENT}


class FleetViews:
    """The views of all members, from the records applied so far."""

    def __init__(self) -> None:
        self.by_member: dict[str, MemberView] = {}
        self.alive: dict[str, bool] = {}  # living members; whether each is running (not stopped)
        self.own_instance: dict[str, int] = {}  # the instance that each last reported of itself

    def apply(self, record: rec.Record) -> None:
        """Apply a record."""
        if isinstance(record, rec.ViewReported):
            self.by_member.setdefault(record.member, MemberView()).apply(record)
            if record.member == record.about:
                self.own_instance[record.member] = record.life
        elif isinstance(record, rec.MemberLifecycle):
            if record.how == "started":
                self.by_member[record.member] = MemberView()
                self.own_instance.pop(record.member, None)
            if record.how in ("killed", "ended", "leaving"):
                self.alive.pop(record.member, None)
            else:
                self.alive[record.member] = record.how != "stopped"

    def running_members(self) -> list[str]:
        """Return the living members that are not stopped."""
        return [name for name, running in self.alive.items() if running]

    def is_agreed_by(self, members: Iterable[str]) -> bool:
        """Return whether the views of these members are equal and list exactly these members as present."""
        expected = set(members)
        views = [self.by_member.get(name) for name in expected]
        if not expected or any(view is None or view.present != expected for view in views):
            return False
        return len({view.digest for view in views if view is not None}) == 1


class FleetHistory:
    """The records of a fleet's membership in order of time."""

    def __init__(self, records: list[rec.Record], detect_us: int) -> None:
        kinds = (rec.MemberLifecycle, rec.ViewReported, rec.ActiveFaults, rec.AgreementCheck)
        self.records = sorted((one for one in records if isinstance(one, kinds)), key=lambda one: one.t)
        self.detect_us = detect_us
        self.end_us = max((one.t for one in records if not isinstance(one, rec.Facts)), default=0)
        self._fault_periods = list(self._find_fault_periods())

    def _find_fault_periods(self) -> Iterator[tuple[int, int]]:
        """Yield the periods with active faults and the settling time after each, in order of their begin."""
        began_us: int | None = None
        for record in self.records:
            if isinstance(record, rec.ActiveFaults):
                if record.faults and began_us is None:
                    began_us = record.t
                elif not record.faults and began_us is not None:
                    yield began_us, record.t + SETTLE_US
                    began_us = None
            elif isinstance(record, rec.MemberLifecycle) and record.how in ("stopped", "went-on"):
                yield record.t, record.t + SETTLE_US
        if began_us is not None:
            yield began_us, self.end_us + SETTLE_US

    def is_fault_free(self, begin_us: int, end_us: int) -> bool:
        """Return whether a period has no active fault and begins after earlier faults have settled."""
        return not any(begin <= end_us and begin_us < end for begin, end in self._fault_periods)


def agreed(history: FleetHistory) -> Iterator[Breach]:
    """1: members agreed in time, also by the views that they reported."""
    views = FleetViews()
    for record in history.records:
        views.apply(record)
        if isinstance(record, rec.AgreementCheck):
            who = f"{len(record.members)} members"
            if not record.reached:
                yield Breach(1, record.t, who, f"did not agree within {record.within_us} us")
            elif record.after_us > record.within_us:
                yield Breach(
                    1, record.t, who, f"agreed after {record.after_us} us, not within {record.within_us}"
                )
            elif not views.is_agreed_by(record.members):
                disagreeing = [
                    name for name in record.members if not _has_exactly(views, name, set(record.members))
                ]
                yield Breach(
                    1, record.t, who, f"are said to agree, and {', '.join(disagreeing) or 'digests'} do not"
                )


def _has_exactly(views: FleetViews, name: str, expected: set[str]) -> bool:
    return name in views.by_member and views.by_member[name].present == expected


def nobody_buried_alive(history: FleetHistory) -> Iterator[Breach]:
    """2: without faults no running member has a living member as dead; its earlier instances may be dead."""
    views = FleetViews()
    for record in history.records:
        views.apply(record)
        if isinstance(record, rec.ViewReported) and record.state == "dead" and views.alive.get(record.about):
            observer_runs = views.alive.get(record.member)
            is_current_instance = views.own_instance.get(record.about) == record.life
            if observer_runs and is_current_instance and history.is_fault_free(record.t, record.t):
                yield Breach(
                    2, record.t, record.member, f"holds {record.about} dead, by {record.by}, which lives"
                )


def the_dead_are_found(history: FleetHistory) -> Iterator[Breach]:
    """3: a member killed while no fault was active is detected in the given time."""
    for at, death in enumerate(history.records):
        if not isinstance(death, rec.MemberLifecycle) or death.how != "killed":
            continue
        deadline_us = death.t + history.detect_us
        later = [record for record in history.records[at + 1 :] if record.t <= deadline_us]
        restarted = any(
            isinstance(record, rec.MemberLifecycle) and record.member == death.member for record in later
        )
        if restarted or deadline_us > history.end_us or not history.is_fault_free(death.t, deadline_us):
            continue
        views = FleetViews()
        for record in history.records:
            if record.t <= deadline_us:
                views.apply(record)
        disturbed = {record.member for record in later if isinstance(record, rec.MemberLifecycle)}
        for name in views.running_members():
            if name not in disturbed and death.member in views.by_member.get(name, MemberView()).present:
                what = f"still holds {death.member} there, killed {history.detect_us} us ago"
                yield Breach(3, deadline_us, name, what)


def words_get_newer(history: FleetHistory) -> Iterator[Breach]:
    """4: within one process of a member, its record of each other member never becomes older."""
    newest: dict[tuple[str, str], tuple[int, int, int]] = {}
    for record in history.records:
        if isinstance(record, rec.MemberLifecycle) and record.how == "started":
            for key in [key for key in newest if key[0] == record.member]:
                del newest[key]
        elif isinstance(record, rec.ViewReported):
            version = (record.life, record.incarnation, RANK[record.state])
            before = newest.get((record.member, record.about))
            if before is not None and version < before:
                yield Breach(
                    4, record.t, record.member, f"held {before} of {record.about}, and now {version}"
                )
            newest[record.member, record.about] = version


def oneself(history: FleetHistory) -> Iterator[Breach]:
    """5: a living member that is not leaving has itself as present."""
    views = FleetViews()
    for record in history.records:
        views.apply(record)
        if (
            isinstance(record, rec.ViewReported)
            and record.member == record.about
            and record.state not in PRESENT
        ):
            if record.member in views.alive:
                yield Breach(5, record.t, record.member, f"holds itself {record.state}")


RULES: tuple[Callable[[FleetHistory], Iterator[Breach]], ...] = (
    agreed, nobody_buried_alive, the_dead_are_found, words_get_newer, oneself,
)  # fmt: skip


def check(records: list[rec.Record], detect_us: int) -> list[Breach]:
    """Check a fleet's views; `detect_us`: the longest time to detect a dead member. In order of time."""
    history = FleetHistory(records, detect_us)
    return sorted((breach for rule in RULES for breach in rule(history)), key=lambda breach: breach.t)
