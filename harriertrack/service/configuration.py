"""What the platform tells a head: four variables and a JSON file, read whole and checked."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import msgspec

from harriertrack.decisions import interface as api
from harriertrack.decisions.requests import ClassRule, RequestRules
from harriertrack.decisions.told import settings_of
from harriertrack.membership.nodes import Member
from harriertrack.membership.targets import Targets, TargetsError, address_of, members_of
from harriertrack.protocol.platform.asked import ClassForm, Forms

PREFIX = "PROXY_"
MOST_FILE = 8 << 20  # bytes of the file
# How the descriptors are shared out, in hundredths: clients may hold a third for requests, as many again ask
# once and stay, and some mean harm; a quarter is for shelfs, of which some tens are used, and a few for
# discovery, the listener, signals and logs.
CLIENTS, SHELFS, LEAST_SPARE = 66, 25, 12
# Clients hold at most a third of the descriptors for requests, those that asked once and stay among them:
# some of that third has to be free for who comes next.
ASKED = 25
# Shelfs answer with more than the protocol's page says (64 KiB): up to 400 KB were seen. One answer may take
# such a part of the memory, so that what is out at once fits.
LEAST_ANSWER, ANSWER_PARTS = 64 << 10, 64


class ConfigurationError(Exception):
    """The configuration can't be used; the text names the variable, or the file and the field."""


class Limits(msgspec.Struct, frozen=True):
    """What the platform allows a head."""

    sockets: Annotated[int, msgspec.Meta(ge=64, le=1 << 20)]
    cores: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = 192.0


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


def _address(path: str, field: str, text: str) -> tuple[str, int]:
    try:
        return address_of(text)
    except ValueError as error:
        raise ConfigurationError(f"{path}: {field}: {error}") from error


def _whole(path: str, settings: dict[str, Any], group: str, key: str, default: int, least: int) -> int:
    value = (settings.get(group) or {}).get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < 1 << 53:
        raise ConfigurationError(f"{path}: settings.{group}.{key} must be a number of at least {least}")
    return int(value)


def read(environment: Mapping[str, str]) -> Configuration:
    """Read the configuration that the environment names. Raises ConfigurationError."""
    for name in ("NAME", "LISTEN", "DISCOVERY", "CONFIG"):
        if not environment.get(PREFIX + name):
            raise ConfigurationError(f"{PREFIX + name} is not set")
    path = environment[PREFIX + "CONFIG"]
    try:
        with Path(path).open("rb") as file:
            text = file.read(MOST_FILE + 1)
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from error
    if len(text) > MOST_FILE:
        raise ConfigurationError(f"{path}: more than {MOST_FILE} bytes")
    try:
        given = msgspec.json.decode(text, type=_File)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigurationError(f"{path}: {error}") from error
    for field, value in (("NAME", given.name), ("LISTEN", given.listen)):
        if environment[PREFIX + field] != value:
            raise ConfigurationError(f"{path}: {field.lower()} is {value!r}, but {PREFIX + field} is not")
    return _checked(path, given)


def _checked(path: str, given: _File) -> Configuration:
    settings = given.settings
    try:
        told = settings_of(settings)
        known = members_of(given.known)
    except KeyError as error:
        raise ConfigurationError(f"{path}: settings: missing or unknown {error}") from error
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigurationError(f"{path}: settings: {error}") from error
    except TargetsError as error:
        raise ConfigurationError(f"{path}: known: {error}") from error
    shards = _whole(path, settings, "familyInfo", "slotsTotal", 1 << 20, 1)
    classes = {
        one.name: ClassForm(one.writes, one.effect is api.Effect.KEYED) for one in told.classes
    }  # fmt: skip
    sockets = given.limits.sockets
    callers = sockets * CLIENTS // 100
    longest = max(one.deadline_us for one in told.classes)
    return Configuration(
        given.name, _address(path, "listen", given.listen), _address(path, "discovery", given.discovery),
        int(given.seed, 16), given.known.version, known, told,
        Forms(classes, frozenset(one.name for one in told.plans), told.most_units, shards, told.heads),
        Bounds(
            callers, sockets * ASKED // 100, min(sockets * SHELFS // 100, sockets - callers - LEAST_SPARE),
            _whole(path, settings, "permissions", "mostHeld", 1 << 20, 1),
            _whole(path, settings, "permissions", "dialTimeoutUs", 1_000_000, 1),
            _whole(path, settings, "permissions", "connIdleUs", 30_000_000, 1),
            _whole(path, settings, "safety", "askWithinUs", 0, 0), longest,
            max(LEAST_ANSWER, int(given.limits.memory_mb * (1 << 20)) // ANSWER_PARTS),
        ),
        given.limits.cores, {one.name: one.deadline_us for one in told.classes},
    )  # fmt: skip
