"""Settings as the users word them, read into the module's own.

The simulator's first message and the configuration of the platform's heads carry the same object, so one
reading serves both: the module is told the same in the bench and in service.
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
SIZES = ("nominal", "rough")  # what the list's weights tell; others follow the load, or tell nothing
FROM_ONE = frozenset(("aim_us", "deadline_us", "heads", "max_attempts"))  # other figures may be 0
UNNAMED_AT_ZERO = frozenset(("mean_units", "most_units"))  # no request has none: 0 says nothing
MOST = 1e18  # no figure comes near it; above it sums of times are no whole microseconds any more


def read_object(where: str, source: dict[str, Any], key: str) -> dict[str, Any]:
    """Return the object under a key; an empty one where it is absent or null. Raises ValueError."""
    value = source.get(key)
    if value is not None and not isinstance(value, dict):
        raise ValueError(f"{where}{key} must be an object")
    return value or {}


def _rows(where: str, source: dict[str, Any], key: str) -> list[Any]:
    value = source.get(key)
    if value is not None and not isinstance(value, list):
        raise ValueError(f"{where}{key} must be a list")
    return value or []


def _objects(source: dict[str, Any], key: str) -> list[tuple[str, dict[str, Any]]]:
    """Return the objects of a list that have names of their own, each with the words that say where it is."""
    rows = [(f"{key}[{number}].", row) for number, row in enumerate(_rows("", source, key))]
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
    """Return a number that is at least so much. Raises ValueError with the words that say where it is."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < MOST:
        raise ValueError(f"{where} must be a number of at least {least}")
    return value


def _value(where: str, value: object, kind: object, least: int) -> object:
    """Return a value as the kind of field that it is for. Raises ValueError."""
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


def _pick(owner: Any, where: str, source: dict[str, Any], **names: str) -> dict[str, Any]:
    """Return the values of a type's fields that come under the users' names; null is as absent."""
    known = {field.name: field for field in fields(owner)}
    values = {}
    for ours, theirs in names.items():
        value, field = source.get(theirs), known[ours]
        if value is not None and not (value == 0 and ours in UNNAMED_AT_ZERO):
            values[ours] = _value(where + theirs, value, field.type, ours in FROM_ONE)
        elif field.default is MISSING:
            raise ValueError(f"{where}{theirs} is missing")
    return values


def _word(where: str, source: dict[str, Any], key: str, words: dict[str, Any], default: str) -> Any:
    """Return what a word stands for; absent or null stands for the default's."""
    value = source.get(key)
    word = default if value is None else value
    if not isinstance(word, str) or word not in words:
        raise ValueError(f"{where}{key} is unknown: {str(word)[:40]!r}")
    return words[word]


def _classes(conf: dict[str, Any], family: dict[str, Any]) -> tuple[api.RequestClass, ...]:
    writes = _rows("familyInfo.", family, "classWrites")
    classes = []
    for number, (where, lane) in enumerate(_objects(conf, "lanes")):
        picked = _pick(
            api.RequestClass, where, lane, name="name", aim_us="aimUs", deadline_us="giveUpUs", worth="value",
            late_worth="lateShare", window_us="keyTtlUs", streams="streaming", in_order="inOrder",
        )  # fmt: skip
        # A class of which nothing is said may not be repeated: that harms nobody.
        picked["effect"] = _word(where, lane, "idempotency", EFFECTS, "non_idempotent")
        picked["group"] = _word(where, lane, "group", GROUPS, "cell")
        told = writes[number] if number < len(writes) else None
        picked["writes"] = picked["effect"] is not api.Effect.SAFE if told is None else bool(told)
        classes.append(api.RequestClass(**picked))
    if not classes:
        raise ValueError("lanes must name at least one class")
    return tuple(classes)


def _plans(conf: dict[str, Any]) -> tuple[api.Plan, ...]:
    return tuple(
        api.Plan(
            **_pick(
                api.Plan, where, plan, name="name", rate="baseRate", reserve="reserve", limit="ceilingRate",
                limit_burst="mostAtOnce", limit_slack="capSlack", weight="shares", price="pays",
            )
        )
        for where, plan in _objects(conf, "contracts")
    )  # fmt: skip


def parse_settings(conf: dict[str, Any]) -> api.Settings:
    """Build the module's settings from such an object; unknown keys are skipped.

    Raises ValueError, which names the field, for what can't be read.
    """
    family = read_object("", conf, "familyInfo")
    classes = _classes(conf, family)
    reports = _rows("report.", read_object("", conf, "report"), "fields")
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
        picked |= _pick(api.Settings, where, source, **names)
    return api.Settings(
        classes=classes,
        plans=_plans(conf),
        list_on_request=conf.get("discovery") == "on_request",
        list_has_sizes=conf.get("weights") in SIZES,
        report_fields=tuple(str(field) for field in reports),
        **picked,
    )
