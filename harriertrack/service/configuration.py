"""What the platform tells a head: four variables and a JSON file, read whole and checked."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import msgspec

from harriertrack.decisions import interface as api
from harriertrack.decisions.requests import ClassRule, RequestRules
from harriertrack.decisions.settings_parser import parse_settings, read_number, read_object
from harriertrack.membership.nodes import Member
from harriertrack.membership.targets import Targets, TargetsError, address_of, members_of
from harriertrack.protocol.platform.asked import ClassForm, Forms

PREFIX = "PROXY_"
MOST_FILE = 8 << 20  # bytes of the file
MOST_WHY = 300  # characters of what is said of a mistake: one line of the log
# How the descriptors are shared out, in hundredths: clients may hold a third for requests, as many again ask
# once and stay, and some mean harm; a quarter is for nodes, of which some tens are used, and a few for
# discovery, the listener, signals and logs.
CLIENTS, NODES, LEAST_SPARE = 66, 25, 12
# Clients hold at most a third of the descriptors for requests, those that asked once and stay among them:
# some of that third has to be free for who comes next.
ASKED = 25
# Nodes answer with more than the protocol's page says (64 KiB): up to 400 KB were seen. One answer may take
# such a part of the memory, so that what is out at once fits.
LEAST_ANSWER, ANSWER_PARTS = 64 << 10, 64


class ConfigurationError(Exception):
    """The configuration can't be used; the text names the variable, or the file and the field."""


class Limits(msgspec.Struct, frozen=True):
    """What the platform allows a head."""

    sockets: Annotated[int, msgspec.Meta(ge=64, le=1 << 20)]
    cores: Annotated[float, msgspec.Meta(gt=0, le=1 << 20)] | None = None
    memory_mb: Annotated[float, msgspec.Meta(gt=0, le=1 << 30)] | None = None


CORES, MEMORY_MB = 1.0, 192.0  # where the limits name none: a small machine
# Where the settings name no largest request: the module holds no larger one (PAYLOAD_LARGEST).
MOST_UNITS = 16


class _File(msgspec.Struct, frozen=True):
    name: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    listen: str
    discovery: str
    seed: Annotated[str, msgspec.Meta(pattern="^[0-9a-fA-F]{1,32}$")]
    limits: Limits
    known: Targets
    settings: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Bounds:
    """How much of everything the head holds at most; times are microseconds."""

    callers: int
    asked: int  # of these, those that have asked
    ways: int
    held: int
    dial_us: int
    idle_us: int
    ask_within_us: int
    longest_us: int
    answer: int  # bytes of an answer's body


@dataclass(frozen=True, slots=True)
class Configuration:
    """A checked configuration."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    version: int  # of the list that the head had last ...
    known: list[Member]  # ... and its members, their starts in Unix time
    told: api.Settings
    forms: Forms
    bounds: Bounds
    cores: float
    deadlines: dict[str, int]  # of each class, the longest that a client waits

    def rules(self) -> RequestRules:
        """Return what the core is told: requests come placed, so nothing is cut."""
        # The settings name a window for classes of every effect; it binds keyed ones alone.
        windows = {
            one.name: one.window_us if one.effect is api.Effect.KEYED else 0 for one in self.told.classes
        }
        classes = tuple(
            ClassRule(one.name, frozenset(), 0, one.deadline_us, one.in_order, windows[one.name])
            for one in self.told.classes
        )
        return RequestRules(1, 1, self.told.tick_us, self.bounds.held, classes, self.told.drain_grace_us)


def _address(field: str, text: str) -> tuple[str, int]:
    try:
        return address_of(text)
    except ValueError as error:
        raise ValueError(f"{field}: {error}") from error


def _whole(settings: dict[str, Any], group: str, key: str, default: int, least: int = 0) -> int:
    """Return a figure; absent, null, and 0 where that may be, say that there is none. Raises ValueError."""
    value = read_object("", settings, group).get(key)
    if value is None:
        return default
    return int(read_number(f"{group}.{key}", value, least)) or default


def read(environment: Mapping[str, str]) -> Configuration:
    """Read the configuration that the environment names. Raises ConfigurationError and nothing else."""
    for name in ("NAME", "LISTEN", "DISCOVERY", "CONFIG"):
        if not environment.get(PREFIX + name):
            raise ConfigurationError(f"{PREFIX + name} is not set")
    path = environment[PREFIX + "CONFIG"]
    try:
        given = _file(path)
        for field, value in (("NAME", given.name), ("LISTEN", given.listen)):
            if environment[PREFIX + field] != value:
                raise ValueError(f"{field.lower()} is {value!r}, but {PREFIX + field} is not")
        return _checked(given)
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from error
    except Exception as error:  # whatever the file holds, a running head goes on without it
        why = " ".join(str(error).split()) or type(error).__name__
        raise ConfigurationError(f"{path}: {why[:MOST_WHY]}") from error


def _file(path: str) -> _File:
    with Path(path).open("rb") as file:
        text = file.read(MOST_FILE + 1)
    if len(text) > MOST_FILE:
        raise ValueError(f"more than {MOST_FILE} bytes")
    return msgspec.json.decode(text, type=_File)


def _settings(settings: dict[str, Any]) -> api.Settings:
    try:
        return parse_settings(settings)
    except ValueError as error:
        raise ValueError(f"settings.{error}") from error


def _forms(settings: dict[str, Any], told: api.Settings) -> Forms:
    classes = {
        one.name: ClassForm(one.writes, one.effect is api.Effect.KEYED) for one in told.classes
    }  # fmt: skip
    # Where there are no plans, volumes have none.
    plans = frozenset(one.name for one in told.plans) or frozenset(("",))
    named = read_object("", settings, "familyInfo").get("mostUnits")
    most_units = told.most_units if named else MOST_UNITS
    return Forms(
        classes, plans, most_units, _whole(settings, "familyInfo", "slotsTotal", 1 << 20), told.heads
    )


def _bounds(given: _File, told: api.Settings) -> Bounds:
    settings, sockets = given.settings, given.limits.sockets
    callers = sockets * CLIENTS // 100
    memory = int((given.limits.memory_mb or MEMORY_MB) * (1 << 20))
    return Bounds(
        callers, sockets * ASKED // 100, min(sockets * NODES // 100, sockets - callers - LEAST_SPARE),
        _whole(settings, "permissions", "mostHeld", 1 << 20, least=1),
        _whole(settings, "permissions", "dialTimeoutUs", 1_000_000),
        _whole(settings, "permissions", "connIdleUs", 30_000_000),
        _whole(settings, "safety", "askWithinUs", 0),
        max(one.deadline_us for one in told.classes), max(LEAST_ANSWER, memory // ANSWER_PARTS),
    )  # fmt: skip


def _checked(given: _File) -> Configuration:
    """Turn the file into a configuration. Raises ValueError or TargetsError, which name the field."""
    told = _settings(given.settings)
    try:
        known = members_of(given.known)
    except TargetsError as error:
        raise ValueError(f"known: {error}") from error
    try:
        forms, bounds = _forms(given.settings, told), _bounds(given, told)
    except ValueError as error:
        raise ValueError(f"settings.{error}") from error
    return Configuration(
        given.name, _address("listen", given.listen), _address("discovery", given.discovery),
        int(given.seed, 16), given.known.version, known, told, forms, bounds,
        given.limits.cores or CORES, {one.name: one.deadline_us for one in told.classes},
    )  # fmt: skip
