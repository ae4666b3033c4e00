"""Reads the settings in their external form into the decision module's own.

The simulator's first message and the configuration of the platform's heads carry the same object, so one
parser serves both: the module gets the same settings in the bench and in service.
"""

from __future__ import annotations

from dataclasses import MISSING, fields
from typing import Any

from harriertrack.decisions import interface as api

EFFECTS = {
    "read_like": api.Effect.SAFE,
    "idempotency_key": api.Effect.KEYED,
    "non_idempotent": api.Effect.UNSAFE,
}
GROUPS = {"all": api.DedupScope.ALL, "zone": api.DedupScope.ZONE, "cell": api.DedupScope.CELL}
SIZES = ("nominal", "rough")  # meanings of the list's weights that are sizes, unlike load or none
FROM_ONE = frozenset(("aim_us", "deadline_us", "heads", "max_attempts"))  # other numbers may be 0
ABSENT_AT_ZERO = frozenset(("mean_units", "most_units"))  # a request always has units: 0 means not given
MAX_NUMBER = 1e18  # far above any real value; above it, sums of times lose whole microseconds


def read_object(where: str, source: dict[str, Any], key: str) -> dict[str, Any]:
    """Return the object under a key; an empty one where it is absent or null. Raises ValueError."""
    value = source.get(key)
    if value is not None and not isinstance(value, dict):
        raise ValueError(f"{where}{key} must be an object")
    return value or {}


def _read_list(where: str, source: dict[str, Any], key: str) -> list[Any]:
    value = source.get(key)
    if value is not None and not isinstance(value, list):
        raise ValueError(f"{where}{key} must be a list")
    return value or []


def _read_named_objects(source: dict[str, Any], key: str) -> list[tuple[str, dict[str, Any]]]:
    """Return the objects of a list, whose names must be unique, each with its path for error messages."""
    rows = [(f"{key}[{number}].", row) for number, row in enumerate(_read_list("", source, key))]
    names = set()
    for where, row in rows:
        if not isinstance(row, dict):
            raise ValueError(f"{where[:-1]} must be an object")
        if not isinstance(row.get("name"), str):
            raise ValueError(f"{where}name must be a text")
        if row["name"] in names:
            raise ValueError(f"{where}name is that of an earlier one")
        names.add(row["name"])
    return rows


def read_number(where: str, value: object, least: int) -> int | float:
    """Return a number of at least `least`. Raises ValueError with its path."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < MAX_NUMBER:
        raise ValueError(f"{where} must be a number of at least {least}")
    return value


def _read_value(where: str, value: object, kind: object, least: int) -> object:
    """Convert a value to the type of its field. Raises ValueError."""
    if kind == "str":
        if not isinstance(value, str):
            raise ValueError(f"{where} must be a text")
        return value
    if kind == "bool":
        if not isinstance(value, bool) and value not in (0, 1):
            raise ValueError(f"{where} must be true or false")
        return bool(value)
    number = read_number(where, value, least)
    return int(number) if kind == "int" else number


def _read_fields(owner: Any, where: str, source: dict[str, Any], **names: str) -> dict[str, Any]:
    """Return the values of a type's fields, each read under its external name; null counts as absent."""
    known = {field.name: field for field in fields(owner)}
    values = {}
    for name, external in names.items():
        value, field = source.get(external), known[name]
        if value is not None and not (value == 0 and name in ABSENT_AT_ZERO):
            values[name] = _read_value(where + external, value, field.type, name in FROM_ONE)
        elif field.default is MISSING:
            raise ValueError(f"{where}{external} is missing")
    return values


def _read_choice(where: str, source: dict[str, Any], key: str, words: dict[str, Any], default: str) -> Any:
    """Return the value that a word stands for; absent or null means the default word."""
    value = source.get(key)
    word = default if value is None else value
    if not isinstance(word, str) or word not in words:
        raise ValueError(f"{where}{key} is unknown: {str(word)[:40]!r}")
    return words[word]


def _read_classes(conf: dict[str, Any], family: dict[str, Any]) -> tuple[api.RequestClass, ...]:
    writes = _read_list("familyInfo.", family, "classWrites")
    classes = []
    for number, (where, lane) in enumerate(_read_named_objects(conf, "lanes")):
        picked = _read_fields(
            api.RequestClass, where, lane, name="name", aim_us="aimUs", deadline_us="giveUpUs", worth="value",
            late_worth="lateShare", window_us="keyTtlUs", streams="streaming", in_order="inOrder",
        )  # fmt: skip
        # A class without the field may not be repeated: the safe assumption.
        picked["effect"] = _read_choice(where, lane, "idempotency", EFFECTS, "non_idempotent")
        picked["group"] = _read_choice(where, lane, "group", GROUPS, "cell")
        given = writes[number] if number < len(writes) else None
        picked["writes"] = picked["effect"] is not api.Effect.SAFE if given is None else bool(given)
        classes.append(api.RequestClass(**picked))
    if not classes:
        raise ValueError("lanes must name at least one class")
    return tuple(classes)


def _read_plans(conf: dict[str, Any]) -> tuple[api.Plan, ...]:
    return tuple(
        api.Plan(
            **_read_fields(
                api.Plan, where, plan, name="name", rate="baseRate", reserve="reserve", limit="ceilingRate",
                limit_burst="mostAtOnce", limit_slack="capSlack", weight="shares", price="pays",
            )
        )
        for where, plan in _read_named_objects(conf, "contracts")
    )  # fmt: skip


def parse_settings(conf: dict[str, Any]) -> api.Settings:
    """Build the module's settings from such an object; unknown keys are ignored.

    Raises ValueError, which names the field, for an invalid value.
    """
    family = read_object("", conf, "familyInfo")
    classes = _read_classes(conf, family)
    reports = _read_list("report.", read_object("", conf, "report"), "fields")
    parts = (
        ("", conf, {"heads": "nInstances", "zone": "locality", "tick_us": "tickUs"}),
        ("permissions.", read_object("", conf, "permissions"), {
            "max_attempts": "sendCap", "may_cancel": "mayCancel", "may_probe": "probes",
            "second_copies": "secondCopies", "may_hint": "retryAfter", "max_hint_us": "maxRetryAfterUs",
        }),
        ("safety.", read_object("", conf, "safety"), {
            "drain_grace_us": "drainGraceUs", "fall_multiple": "overloadFactor", "fall_us": "fallUs",
            "cold_share": "startCapacity", "warm_us": "warmAfterUs", "budget_free": "budgetFree",
            "budget_share": "repeatRatio", "budget_window_us": "ratioSpanUs",
            "order_settle_us": "orderSettleUs",
        }),
        ("familyInfo.", family, {
            "cold_units": "coldUnits", "mean_units": "usualUnits", "most_units": "mostUnits",
            "meter_us": "usePeriodUs",
        }),
    )  # fmt: skip
    picked: dict[str, Any] = {}
    for where, source, names in parts:
        picked |= _read_fields(api.Settings, where, source, **names)
    return api.Settings(
        classes=classes,
        plans=_read_plans(conf),
        list_on_request=conf.get("discovery") == "on_request",
        list_has_sizes=conf.get("weights") in SIZES,
        report_fields=tuple(str(field) for field in reports),
        **picked,
    )
