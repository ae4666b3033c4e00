"""A day that fails, made as small as it still fails. Pure: whether a day fails is asked of who calls.

Steps go first, in ever smaller groups (delta debugging by complements: Zeller and Hildebrandt, TSE 2002);
then whole parts and fields of the day and of its steps, back to what they are by default; then figures,
towards smaller ones. Round and round until nothing goes any more, or the tries are used up.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

import msgspec

from harriertrack.lab.fleet.scenario import FleetDaySettings, StepSettings, Verb, select_heads

# Of a day: what its rules are judged by, and its size; neither goes back to what it is by default.
KEPT = frozenset({"name", "about", "processes", "detect_us", "may_leave", "sway", "ends", "close_bound_us"})
LEAST = {"processes": 2, "shelves": 1, "volumes": 1, "hosts": 2, "rate": 0.5}
ROUND_US = 100_000

Fails = Callable[[FleetDaySettings], bool]
Told = Callable[[FleetDaySettings, int], None]  # a smaller day was found, and how many tries are left


class Shrinking:
    """One failing day, as it gets smaller; `tries` plays at most."""

    def __init__(self, day: FleetDaySettings, fails: Fails, tries: int,
                 told: Told = lambda _day, _left: None) -> None:  # fmt: skip
        self.day, self.left, self._fails, self._told = day, tries, fails, told
        self._known: set[bytes] = set()

    def run(self) -> FleetDaySettings:
        """Return the smallest that was found."""
        before = None
        while before != self.day and self.left:
            before = self.day
            self._steps()
            for candidates in (fields_back, steps_back, smaller):
                self._first_of(candidates)
        return self.day

    def _try(self, day: FleetDaySettings) -> bool:
        """Whether a smaller day fails too; then it is the one to go on from."""
        key = msgspec.msgpack.encode(day)
        if not self.left or key in self._known:
            return False
        self._known.add(key)
        self.left -= 1
        if not self._fails(day):
            return False
        self.day = day
        self._told(day, self.left)
        return True

    def _steps(self) -> None:
        """Take steps away, in ever smaller groups, from the end on."""
        size = -(-script(self.day) // 2)
        while size and self.left:
            at = script(self.day)
            while at > 0 and self.left:
                first, steps = max(0, at - size), self.day.steps
                self._try(msgspec.structs.replace(self.day, steps=steps[:first] + steps[at:]))
                at = first
            size = 0 if size == 1 else -(-size // 2)

    def _first_of(self, candidates: Callable[[FleetDaySettings], Iterator[FleetDaySettings]]) -> None:
        """Take each candidate that fails too, and go on from it, until none of them does."""
        while self.left and any(self._try(one) for one in candidates(self.day)):
            pass


def script(day: FleetDaySettings) -> int:
    """Return how many steps come before the quiet time, which stays as it is: all is judged at its end."""
    quiet = (at for at, step in enumerate(day.steps) if step.name is Verb.QUIET)
    return next(quiet, len(day.steps))


def fields_back(day: FleetDaySettings) -> Iterator[FleetDaySettings]:
    """Yield the day with one of its fields, or one of a part's, as by default."""
    for name, default in _others(day, KEPT | {"steps"}):
        yield msgspec.structs.replace(day, **{name: default})
    for field in msgspec.structs.fields(day):
        part = getattr(day, field.name)
        if isinstance(part, msgspec.Struct):
            for name, default in _others(part, frozenset()):
                plainer = msgspec.structs.replace(part, **{name: default})
                yield msgspec.structs.replace(day, **{field.name: plainer})


def steps_back(day: FleetDaySettings) -> Iterator[FleetDaySettings]:
    """Yield the day with one field of one step as by default."""
    for at, step in enumerate(day.steps[: script(day)]):
        for name, default in _others(step, frozenset({"name", "for_us"})):
            yield _with_step(day, at, msgspec.structs.replace(step, **{name: default}))


def smaller(day: FleetDaySettings) -> Iterator[FleetDaySettings]:
    """Yield the day with one figure halved, or with heads taken one by one by name."""
    for name, least in LEAST.items():
        held = getattr(day, name)
        half = held / 2 if isinstance(held, float) else held // 2
        for figure in (half, held - 1):
            if least <= figure < held:
                yield msgspec.structs.replace(day, **{name: figure})
    heads = [f"head{number}" for number in range(day.processes)]
    for at, step in enumerate(day.steps[: script(day)]):
        if step.for_us >= 2 * ROUND_US:
            half = step.for_us // 2 // ROUND_US * ROUND_US
            yield _with_step(day, at, msgspec.structs.replace(step, for_us=half))
        named = select_heads(step.who, heads)
        if len(named) > 1 and step.who != ("all",):
            for name in named:
                yield _with_step(day, at, msgspec.structs.replace(step, who=(name,)))


def _with_step(day: FleetDaySettings, at: int, step: StepSettings) -> FleetDaySettings:
    return msgspec.structs.replace(day, steps=(*day.steps[:at], step, *day.steps[at + 1 :]))


def _others(one: msgspec.Struct, but: frozenset[str]) -> Iterator[tuple[str, object]]:
    """Yield the fields of a part that are not as by default, with their defaults."""
    for field in msgspec.structs.fields(one):
        if field.name in but:
            continue
        default = field.default
        if default is msgspec.NODEFAULT and field.default_factory is not msgspec.NODEFAULT:
            default = field.default_factory()
        if default is not msgspec.NODEFAULT and getattr(one, field.name) != default:
            yield field.name, default
