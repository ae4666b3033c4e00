"""Builds the settings of a head's decision module and the rules of its core from the head's settings."""

from __future__ import annotations

from harriertrack.config.settings.head import HeadSettings
from harriertrack.config.settings.traffic import ClassSettings
from harriertrack.decisions import interface as api
from harriertrack.decisions.requests import ClassRule, RequestRules
from harriertrack.decisions.retry_queue import RetryRules
from harriertrack.decisions.splitting import Kind


def _effect(one: ClassSettings, plain_nodes: bool) -> api.Effect:
    return api.Effect.UNSAFE if plain_nodes and one.effect is api.Effect.KEYED else one.effect


def module_settings(head: HeadSettings) -> api.Settings:
    """Build the settings of the decision module.

    On plain nodes no rack drops repeats of requests, so classes that are keyed otherwise are unsafe there.
    """
    return api.Settings(
        heads=head.heads,
        classes=tuple(
            api.RequestClass(
                name=one.name, aim_us=one.aim_us, deadline_us=one.deadline_us, worth=one.worth,
                late_worth=one.late_worth,
                effect=_effect(one, head.plain_nodes),
                group=one.group, window_us=one.window_us, in_order=one.in_order,
                writes=Kind.WRITE in one.kinds,
            )
            for one in head.classes
        ),
        plans=tuple(
            api.Plan(plan.name, plan.rate, plan.reserve, plan.limit, plan.limit_burst, plan.limit_slack,
                     plan.weight, plan.price)
            for plan in head.plans
        ),
        list_on_request=True,
        zone=head.zone,
        max_attempts=head.max_attempts,
        may_cancel=head.may_cancel,
        may_hint=True,
        max_hint_us=head.max_hint_us,
        drain_grace_us=head.rules.drain_grace_us,
        fall_multiple=head.rules.fall_multiple,
        fall_us=head.rules.fall_us,
        cold_share=head.rules.cold_share,
        warm_us=head.rules.warm_us,
        cold_units=head.rules.cold_units,
        budget_free=head.rules.budget_free,
        budget_share=head.rules.budget_share,
        budget_window_us=head.rules.budget_window_us,
        order_settle_us=head.rules.order_settle_us,
        mean_units=head.mean_units,
        most_units=head.most_units,
        meter_us=head.meter_us,
        tick_us=head.tick_us,
    )  # fmt: skip


def request_rules(head: HeadSettings) -> RequestRules:
    """Build the rules of the core of a head."""
    return RequestRules(
        extent_bytes=head.extent_bytes,
        unit_bytes=head.unit_bytes,
        tick_us=head.tick_us,
        max_open_parts=head.limits.held,
        classes=tuple(
            ClassRule(
                one.name,
                frozenset(one.kinds),
                one.at_least_bytes,
                one.deadline_us,
                one.in_order,
                one.window_us if _effect(one, head.plain_nodes) is api.Effect.KEYED else 0,
            )
            for one in head.classes
        ),
        drain_grace_us=head.rules.drain_grace_us,
        patience=RetryRules(head.limits.offers, 2 * head.tick_us, max(head.max_hint_us, 2 * head.tick_us)),
    )
