"""Shrinks a failing day to a small one that still fails. Pure: the caller decides whether a day fails.

Steps are removed first, in ever smaller groups (delta debugging by complements: Zeller and Hildebrandt, TSE
2002); then parts and fields of the day and of its steps are reset to their defaults; then numbers are
reduced. This repeats until nothing changes any more, or the tries are used up.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

import msgspec

from harriertrack.lab.fleet.scenario import FleetDaySettings, StepSettings, Verb, select_heads

# Fields of a day that are never reset: the expectations that rules check, and its size.
NEVER_RESET = frozenset(
    {"name", "about", "processes", "detect_us", "may_leave", "sway", "ends", "close_bound_us"}
)
MINIMUMS = {"processes": 2, "shelves": 1, "volumes": 1, "hosts": 2, "rate": 0.5}
ROUND_US = 100_000

Fails = Callable[[FleetDaySettings], bool]
ProgressCallback = Callable[[FleetDaySettings, int], None]  # the smaller day found, and the remaining tries


class Shrinker:
    """Shrinks one failing day with at most `tries` runs."""

    def __init__(self, day: FleetDaySettings, fails: Fails, tries: int,
                 on_progress: ProgressCallback = lambda _day, _remaining: None) -> None:  # fmt: skip
        self.day, self.tries_left, self._fails, self._on_progress = day, tries, fails, on_progress
        self._tried: set[bytes] = set()

    def run(self) -> FleetDaySettings:
        """Return the smallest failing day that was found."""
        previous = None
        while previous != self.day and self.tries_left:
            previous = self.day
            self._remove_steps()
            for candidates in (with_default_field, with_default_step_field, with_smaller_number):
                self._accept_all(candidates)
        return self.day

    def _try(self, day: FleetDaySettings) -> bool:
        """Whether a smaller day fails too, which then becomes the current one; each day is tried once."""
        key = msgspec.msgpack.encode(day)
        if not self.tries_left or key in self._tried:
            return False
        self._tried.add(key)
        self.tries_left -= 1
        if not self._fails(day):
            return False
        self.day = day
        self._on_progress(day, self.tries_left)
        return True

    def _remove_steps(self) -> None:
        """Remove steps in ever smaller groups, starting from the end."""
        size = -(-count_scripted_steps(self.day) // 2)
        while size and self.tries_left:
            end = count_scripted_steps(self.day)
            while end > 0 and self.tries_left:
                first, steps = max(0, end - size), self.day.steps
                self._try(msgspec.structs.replace(self.day, steps=steps[:first] + steps[end:]))
                end = first
            size = 0 if size == 1 else -(-size // 2)

    def _accept_all(self, candidates: Callable[[FleetDaySettings], Iterator[FleetDaySettings]]) -> None:
        """Continue from each candidate that fails too, until none of them does."""
        while self.tries_left and any(self._try(one) for one in candidates(self.day)):
            pass


def count_scripted_steps(day: FleetDaySettings) -> int:
    """Return the number of steps before the quiet period, which is never shrunk: rules check its end."""
    quiet = (at for at, step in enumerate(day.steps) if step.name is Verb.QUIET)
    return next(quiet, len(day.steps))


def with_default_field(day: FleetDaySettings) -> Iterator[FleetDaySettings]:
    """Yield the day with one field, of its own or of one of its parts, reset to the default."""
    for name, default in _non_default_fields(day, NEVER_RESET | {"steps"}):
        yield msgspec.structs.replace(day, **{name: default})
    for field in msgspec.structs.fields(day):
        part = getattr(day, field.name)
        if isinstance(part, msgspec.Struct):
            for name, default in _non_default_fields(part, frozenset()):
                reset_part = msgspec.structs.replace(part, **{name: default})
                yield msgspec.structs.replace(day, **{field.name: reset_part})


def with_default_step_field(day: FleetDaySettings) -> Iterator[FleetDaySettings]:
    """Yield the day with one field of one step reset to the default."""
    for at, step in enumerate(day.steps[: count_scripted_steps(day)]):
        for name, default in _non_default_fields(step, frozenset({"name", "for_us"})):
            yield _with_step(day, at, msgspec.structs.replace(step, **{name: default}))


def with_smaller_number(day: FleetDaySettings) -> Iterator[FleetDaySettings]:
    """Yield the day with a number halved or decremented, or with a step for one of its heads only."""
    for name, least in MINIMUMS.items():
        current = getattr(day, name)
        half = current / 2 if isinstance(current, float) else current // 2
        for reduced in (half, current - 1):
            if least <= reduced < current:
                yield msgspec.structs.replace(day, **{name: reduced})
    heads = [f"head{number}" for number in range(day.processes)]
    for at, step in enumerate(day.steps[: count_scripted_steps(day)]):
        if step.for_us >= 2 * ROUND_US:
            half = step.for_us // 2 // ROUND_US * ROUND_US
            yield _with_step(day, at, msgspec.structs.replace(step, for_us=half))
        named = select_heads(step.who, heads)
        if len(named) > 1 and step.who != ("all",):
            for name in named:
                yield _with_step(day, at, msgspec.structs.replace(step, who=(name,)))


def _with_step(day: FleetDaySettings, at: int, step: StepSettings) -> FleetDaySettings:
    return msgspec.structs.replace(day, steps=(*day.steps[:at], step, *day.steps[at + 1 :]))


def _non_default_fields(part: msgspec.Struct, excluded: frozenset[str]) -> Iterator[tuple[str, object]]:
    """Yield the names and defaults of a part's fields that differ from their defaults."""
    for field in msgspec.structs.fields(part):
        if field.name in excluded:
            continue
        default = field.default
        if default is msgspec.NODEFAULT and field.default_factory is not msgspec.NODEFAULT:
            default = field.default_factory()
        if default is not msgspec.NODEFAULT and getattr(part, field.name) != default:
            yield field.name, default
