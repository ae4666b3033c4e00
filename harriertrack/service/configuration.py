"""The configuration that the platform gives a head: four environment variables and a JSON file, validated."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import msgspec

from harriertrack.decisions import interface as api
from harriertrack.decisions.connection_limits import ConnectionLimits
from harriertrack.decisions.forwarded_requests import forwarded_ids
from harriertrack.decisions.payload_memory import MemoryLimits
from harriertrack.decisions.requests import ClassRule, RequestRules
from harriertrack.decisions.settings_parser import parse_settings, read_number, read_object
from harriertrack.membership.nodes import Member
from harriertrack.membership.targets import Targets, TargetsError, members_from_targets, parse_address
from harriertrack.protocol.platform.request_parser import ClassSchema, RequestSchema

PREFIX = "PROXY_"
MAX_FILE_BYTES = 8 << 20  # of the configuration file
MAX_MESSAGE_LENGTH = 300  # characters of an error message: it has to fit one line of the log


class ConfigurationError(Exception):
    """The configuration is invalid; the message names the variable, or the file and the field."""


class Limits(msgspec.Struct, frozen=True):
    """The resources that the platform grants a head."""

    sockets: Annotated[int, msgspec.Meta(ge=64, le=1 << 20)]
    cores: Annotated[float, msgspec.Meta(gt=0, le=1 << 20)] | None = None
    memory_mb: Annotated[float, msgspec.Meta(gt=0, le=1 << 30)] | None = None


DEFAULT_CORES, DEFAULT_MEMORY_MB = 1.0, 192.0  # if the limits give none: a small machine
# If the settings give no largest request: the module accepts no larger one (PAYLOAD_LARGEST).
DEFAULT_MAX_UNITS = 16


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
    """Limits of the head's connections, requests and answers; times are in microseconds."""

    connections: ConnectionLimits
    open_requests: int
    dial_timeout_us: int
    idle_timeout_us: int
    ask_within_us: int
    longest_deadline_us: int
    forwarded_ids: int  # of requests that were sent to nodes
    memory: MemoryLimits


@dataclass(frozen=True, slots=True)
class Configuration:
    """A checked configuration."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    version: int  # of the node list that the head had last ...
    known: list[Member]  # ... and its members, with start times in Unix time
    settings: api.Settings
    schema: RequestSchema
    bounds: Bounds
    cores: float
    deadlines: dict[str, int]  # of each class, the longest time that a client waits

    @property
    def ordered_classes(self) -> frozenset[str]:
        """Return the classes whose requests run in the order in which they arrived."""
        return frozenset(one.name for one in self.settings.classes if one.in_order)

    def request_rules(self) -> RequestRules:
        """Return the rules for the core: requests carry their placement, so they are never split."""
        # The settings give a window for classes of every effect; it applies to keyed ones only.
        windows = {
            one.name: one.window_us if one.effect is api.Effect.KEYED else 0 for one in self.settings.classes
        }
        classes = tuple(
            ClassRule(one.name, frozenset(), 0, one.deadline_us, one.in_order, windows[one.name])
            for one in self.settings.classes
        )
        return RequestRules(
            1, 1, self.settings.tick_us, self.bounds.open_requests, classes, self.settings.drain_grace_us
        )


def _address(field: str, text: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ValueError as error:
        raise ValueError(f"{field}: {error}") from error


def _integer(settings: dict[str, Any], group: str, key: str, default: int, minimum: int = 0) -> int:
    """Return an integer setting; `default` if it is absent, null or a valid 0. Raises ValueError."""
    value = read_object("", settings, group).get(key)
    if value is None:
        return default
    return int(read_number(f"{group}.{key}", value, minimum)) or default


def read_configuration(environment: Mapping[str, str]) -> Configuration:
    """Read the configuration that the environment names. Raises ConfigurationError and nothing else."""
    for name in ("NAME", "LISTEN", "DISCOVERY", "CONFIG"):
        if not environment.get(PREFIX + name):
            raise ConfigurationError(f"{PREFIX + name} is not set")
    path = environment[PREFIX + "CONFIG"]
    try:
        file = _file(path)
        for field, value in (("NAME", file.name), ("LISTEN", file.listen)):
            if environment[PREFIX + field] != value:
                raise ValueError(f"{field.lower()} is {value!r}, but {PREFIX + field} is not")
        return _check(file)
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from error
    except Exception as error:  # no content of the file may end a running head
        why = " ".join(str(error).split()) or type(error).__name__
        raise ConfigurationError(f"{path}: {why[:MAX_MESSAGE_LENGTH]}") from error


def _file(path: str) -> _File:
    with Path(path).open("rb") as file:
        text = file.read(MAX_FILE_BYTES + 1)
    if len(text) > MAX_FILE_BYTES:
        raise ValueError(f"more than {MAX_FILE_BYTES} bytes")
    return msgspec.json.decode(text, type=_File)


def _settings(settings: dict[str, Any]) -> api.Settings:
    try:
        return parse_settings(settings)
    except ValueError as error:
        raise ValueError(f"settings.{error}") from error


def _schema(settings: dict[str, Any], parsed: api.Settings) -> RequestSchema:
    classes = {
        one.name: ClassSchema(one.writes, one.effect is api.Effect.KEYED) for one in parsed.classes
    }  # fmt: skip
    # Without plans in the settings, volumes have none.
    plans = frozenset(one.name for one in parsed.plans) or frozenset(("",))
    named = read_object("", settings, "familyInfo").get("mostUnits")
    max_units = parsed.most_units if named else DEFAULT_MAX_UNITS
    return RequestSchema(
        classes, plans, max_units, _integer(settings, "familyInfo", "slotsTotal", 1 << 20), parsed.heads
    )


def _bounds(file: _File, parsed: api.Settings) -> Bounds:
    settings, sockets = file.settings, file.limits.sockets
    memory = int((file.limits.memory_mb or DEFAULT_MEMORY_MB) * (1 << 20))
    return Bounds(
        ConnectionLimits.of_process(sockets, memory),
        _integer(settings, "permissions", "mostHeld", 1 << 20, minimum=1),
        _integer(settings, "permissions", "dialTimeoutUs", 1_000_000),
        _integer(settings, "permissions", "connIdleUs", 30_000_000),
        _integer(settings, "safety", "askWithinUs", 0),
        max(one.deadline_us for one in parsed.classes),
        forwarded_ids(memory), MemoryLimits.of_process(memory),
    )  # fmt: skip


def _check(file: _File) -> Configuration:
    """Validate the file into a configuration. Raises ValueError or TargetsError, which name the field."""
    settings = _settings(file.settings)
    try:
        known = members_from_targets(file.known)
    except TargetsError as error:
        raise ValueError(f"known: {error}") from error
    try:
        schema, bounds = _schema(file.settings, settings), _bounds(file, settings)
    except ValueError as error:
        raise ValueError(f"settings.{error}") from error
    return Configuration(
        file.name, _address("listen", file.listen), _address("discovery", file.discovery),
        int(file.seed, 16), file.known.version, known, settings, schema, bounds,
        file.limits.cores or DEFAULT_CORES, {one.name: one.deadline_us for one in settings.classes},
    )  # fmt: skip
