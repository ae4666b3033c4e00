"""Submission of parts to the module."""

from __future__ import annotations

from harriertrack.decisions import interface as api
from harriertrack.decisions.lifecycle import PartStep, next_part_state
from harriertrack.decisions.requests.model import Part
from harriertrack.decisions.requests.rules import MODIFYING_KINDS
from harriertrack.decisions.requests.state import CoreState
from harriertrack.decisions.splitting import units_of

# For keyed parts, one submission takes at most so many tenths of the window in which the rack drops repeats;
# the rest is left for another one.
SUBMISSION_TENTHS = 6


class Submission:
    """Submits parts to the module, and tracks those of ordered classes."""

    def __init__(self, state: CoreState) -> None:
        self._state = state
        # Ordered classes: the submitted parts, by extent.
        self.in_order: dict[tuple[str, int], dict[int, Part]] = {}

    def submit(self, now: int, part: Part) -> None:
        """Submit a part to the module."""
        part.state = next_part_state(part.state, PartStep.SUBMIT)
        state, request = self._state, part.request
        volume = request.volume.settings
        part.module_deadline = request.deadline
        if request.patience_us:  # limited to its class's deadline: there may be another submission
            length = state.deadlines[part.class_name]
            window = state.windows[part.class_name]
            if window and part.class_name not in state.in_order:
                length = min(length, window * SUBMISSION_TENTHS // 10)
            part.module_deadline = min(part.module_deadline, now + length)
        if part.class_name in state.in_order:
            self.in_order.setdefault((volume.name, part.extent), {})[part.number] = part
        if (placed := part.client_placement) is not None:
            state.queue_event(api.RequestArrived(
                part.number, part.class_name, volume.plan, volume.name, placed.key, part.shard, placed.units,
                part.module_deadline - now, volume.hosts, placed.repeat,
            ))  # fmt: skip
            return
        may_have_run = part.may_have_run and request.kind in MODIFYING_KINDS
        state.queue_event(api.RequestArrived(
            part.number, part.class_name, volume.plan, volume.name,
            f"{volume.name}/{part.extent}" if part.extent >= 0 else "",
            part.shard, units_of(part.length, state.rules.unit_bytes), part.module_deadline - now,
            volume.hosts,
            further_part=part is not request.parts[0], reoffered=part.has_waited,
            attempts_made=len(part.attempts),
            may_have_run_us=now - part.may_have_run_since if may_have_run else -1,
            may_have_run_on=part.may_have_run_on if may_have_run else None,
        ))  # fmt: skip

    def withdraw(self, part: Part) -> None:
        """Stop tracking a part that the module no longer has, or never had."""
        if part.class_name in self._state.in_order:
            key = (part.request.volume.settings.name, part.extent)
            submitted = self.in_order.get(key, {})
            submitted.pop(part.number, None)
            if not submitted:
                self.in_order.pop(key, None)
