"""Settings as the users word them, read into the module's own.

The simulator's first message and the configuration of the platform's heads carry the same object, so one
reading serves both: the module is told the same in the bench and in service.
"""

from __future__ import annotations

from typing import Any

from harriertrack.decisions import interface as api

EFFECTS = {
    "read_like": api.Effect.SAFE,
    "idempotency_key": api.Effect.KEYED,
    "non_idempotent": api.Effect.UNSAFE,
}
GROUPS = {"all": api.Group.ALL, "zone": api.Group.ZONE, "cell": api.Group.CELL}


def settings_of(conf: dict[str, Any]) -> api.Settings:
    """Build the module's settings from such an object; unknown keys are skipped.

    Raises KeyError, ValueError, TypeError or AttributeError for what can't be read.
    """

    def part(name: str) -> dict[str, Any]:
        return conf.get(name) or {}

    def pick(source: dict[str, Any], **names: str) -> dict[str, Any]:
        return {ours: source[theirs] for ours, theirs in names.items() if source.get(theirs) is not None}

    allowed, rules, family = part("permissions"), part("safety"), part("familyInfo")
    writes = family.get("classWrites") or []
    classes = []
    for number, lane in enumerate(conf["lanes"]):
        classes.append(
            api.RequestClass(
                effect=EFFECTS[lane.get("idempotency", "non_idempotent")],
                group=GROUPS[lane.get("group") or "cell"],
                writes=bool(number < len(writes) and writes[number]),
                **pick(
                    lane,
                    name="name",
                    aim_us="aimUs",
                    deadline_us="giveUpUs",
                    worth="value",
                    late_worth="lateShare",
                    window_us="keyTtlUs",
                    streams="streaming",
                    in_order="inOrder",
                ),
            )  # fmt: skip
        )
    plans = [
        api.Plan(
            **pick(
                plan,
                name="name",
                rate="baseRate",
                reserve="reserve",
                limit="ceilingRate",
                limit_burst="mostAtOnce",
                limit_slack="capSlack",
                weight="shares",
                price="pays",
            )
        )  # fmt: skip
        for plan in conf.get("contracts") or []
    ]
    return api.Settings(
        classes=tuple(classes),
        plans=tuple(plans),
        asked_list=conf.get("discovery") == "on_request",
        report_fields=tuple(part("report").get("fields") or ()),
        **pick(conf, heads="nInstances", zone="locality", tick_us="tickUs"),
        **pick(
            allowed, max_attempts="sendCap", may_cancel="mayCancel", may_probe="probes",
            second_copies="secondCopies", may_hint="retryAfter", max_hint_us="maxRetryAfterUs",
        ),
        **pick(
            rules, drain_grace_us="drainGraceUs", fall_multiple="overloadFactor", fall_us="fallUs",
            cold_share="startCapacity", warm_us="warmAfterUs", budget_free="budgetFree",
            budget_share="repeatRatio", budget_window_us="ratioSpanUs", order_settle_us="orderSettleUs",
        ),
        **pick(
            family, cold_units="coldUnits", mean_units="usualUnits", most_units="mostUnits",
            meter_us="usePeriodUs",
        ),
    )  # fmt: skip
