"""The distributions that storms are drawn from: the chance of each part and the weight of each kind of fault.

`usual.sexp` in this folder holds the default.
"""

from __future__ import annotations

from enum import Enum
from importlib import resources
from typing import Annotated

import msgspec

from harriertrack.config.settings import PositiveInt, SettingsStruct, Share, find_duplicates, read_file
from harriertrack.config.sexp import Form, SettingsError, bind, read_text

Weight = Annotated[float, msgspec.Meta(ge=0, le=1000)]
SOURCE = "usual.sexp"


class Part(Enum):
    """An optional part of the fleet in a storm; membership is always included."""

    BUDGETS = "budgets"
    ZONES = "zones"
    CHANGES = "changes"
    ROLLOUT = "rollout"  # versions are rolled out in stages
    LAUNCHED = "launched"  # heads run below launchers, which replace their programs
    CLOSING = "closing"
    SCORING = "scoring"


class Kind(Enum):
    """A kind of fault or operator action; `storm/faults.py` builds the steps of each."""

    KILL = "kill"
    KILL_DECIDER = "kill-decider"
    KILL_MOST = "kill-most"
    FLAP = "flap"
    STOP = "stop"
    STARVE = "starve"
    LEAVE = "leave"
    PARTITION = "partition"
    ONE_SIDED = "one-sided"
    LOSS = "loss"
    LATE = "late"
    DARK = "dark"
    RESTORED = "restored"
    ZONE_LOST = "zone-lost"
    ZONE_HIDDEN = "zone-hidden"
    ZONE_SLOW = "zone-slow"
    DRAIN = "drain"
    COLD = "cold"
    DEMAND = "demand"
    JUMP = "jump"
    CLOCK = "clock"
    WISH = "wish"
    LIMIT = "limit"
    PROPOSE = "propose"
    CHANGE = "change"
    PROGRAM = "program"
    SETTINGS = "settings"
    LATER = "later"


class PartChance(SettingsStruct, frozen=True, kw_only=True):
    """The probability that a storm includes a part."""

    name: Part
    chance: Share


class KindWeight(SettingsStruct, frozen=True, kw_only=True):
    """The weight of a kind relative to the others of its storm."""

    name: Kind
    weight: Weight


class StormFigures(SettingsStruct, frozen=True, kw_only=True):
    """The distributions of storms. Times are the least and the most of a log-uniform distribution."""

    name: str = "usual"
    left_out: Share = 0.4  # chance that a storm omits a kind, so that rare combinations occur too
    brief_us: tuple[PositiveInt, PositiveInt] = (200_000, 2_000_000)  # time between two faults
    fault_us: tuple[PositiveInt, PositiveInt] = (400_000, 10_000_000)  # duration of a fault
    parts: tuple[PartChance, ...]
    kinds: tuple[KindWeight, ...]


def usual() -> StormFigures:
    """Return the built-in distributions. Raises SettingsError."""
    text = (resources.files("harriertrack.lab.fleet.storm") / SOURCE).read_text()
    return parse(text, SOURCE)


def read(path: str) -> StormFigures:
    """Read distributions from a file. Raises SettingsError."""
    return _checked(read_file(path), path)


def parse(text: str, source: str) -> StormFigures:
    """Parse distributions. Raises SettingsError."""
    return _checked(read_text(text, source), source)


def _checked(form: Form, source: str) -> StormFigures:
    figures = bind(form, StormFigures, source)
    where = f"{source}:{form.line}"
    for what, names in (("part", [one.name.value for one in figures.parts]),
                        ("kind", [one.name.value for one in figures.kinds])):  # fmt: skip
        if twice := find_duplicates(names):
            raise SettingsError(f"{where}: {what} {twice[0]}: given twice")
    if not any(one.weight for one in figures.kinds):
        raise SettingsError(f"{where}: kind: none has a weight")
    for field in ("brief_us", "fault_us"):
        least, most = getattr(figures, field)
        if least > most:
            raise SettingsError(f"{where}: {field.removesuffix('_us')}: the least is above the most")
    return figures
