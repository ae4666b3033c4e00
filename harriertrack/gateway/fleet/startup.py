"""Start-up of the fleet services that a head's settings enable, beyond membership.

A service is imported and started only where it is configured, after those that it depends on: budgets; the
deciding head, chosen with their locks; zones and the record of changes, which that head decides; and last the
services that follow the record.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from harriertrack.config.settings import FleetSettings
from harriertrack.gateway.fleet.resources import HeadResources
from harriertrack.gateway.parts import HeadParts
from harriertrack.membership.fleet.swim import Swim
from harriertrack.runtime.datagrams import Address

if TYPE_CHECKING:
    from harriertrack.gateway.fleet.budgets import Budgets
    from harriertrack.gateway.fleet.changes.carrier import Changes
    from harriertrack.gateway.fleet.decider import FleetDecider
    from harriertrack.gateway.fleet.scoring.carrier import Scoring
    from harriertrack.gateway.fleet.zones import Zones


class StatusSource(Protocol):
    """A service with a status for operators."""

    def document(self, now: int) -> object:
        """Return the status; `now` in microseconds by the hub's clock."""


@dataclass(frozen=True, slots=True)
class MemberContext:
    """What services need of the head as a member: the head, its view, and how to reach other members."""

    parts: HeadParts
    resources: HeadResources
    swim: Swim
    send: Callable[[bytes, Address], None]  # sends a datagram from the fleet's address
    publish_note: Callable[[], None]  # publishes the note on this head at once


class FleetServices:
    """The fleet services of one head."""

    def __init__(self, member: MemberContext, settings: FleetSettings) -> None:
        self._member, self._settings = member, settings
        self.status_sources: dict[str, StatusSource] = {}  # by field of the status document
        self.scoring: Scoring | None = None
        self.budgets: Budgets | None = None
        self.zones: Zones | None = None
        self.changes: Changes | None = None

    def start(self) -> None:
        """Start the configured services; others are not even imported."""
        member, settings = self._member, self._settings
        if member.resources.scoring_state is not None and settings.scoring is not None:
            self._start_scoring()
        if member.parts.budget_shares is not None and settings.budgets is not None:
            self._start_budgets()

    def _start_scoring(self) -> None:
        from harriertrack.gateway.fleet.scoring.carrier import Scoring

        member, settings = self._member, self._settings
        assert settings.scoring is not None and member.resources.scoring_state is not None
        self.scoring = Scoring(member.parts, settings.scoring, member.resources.scoring_state, member.swim)
        self.status_sources["scores"] = self.scoring
        self.scoring.start()

    def _start_budgets(self) -> None:
        from harriertrack.gateway.fleet.budgets import Budgets

        member, settings = self._member, self._settings
        assert settings.budgets is not None and member.parts.budget_shares is not None
        decides = settings.zones is not None or settings.changes is not None
        self.budgets = Budgets(member.parts, settings.budgets, member.parts.budget_shares, settings.fleet,
                               member.swim, member.send, member.resources.close_links, decides)  # fmt: skip
        self.status_sources["budgets"] = self.budgets
        self.budgets.start()
        if decides:
            self._start_decisions(self.budgets)

    def _start_decisions(self, budgets: Budgets) -> None:
        from harriertrack.gateway.fleet.decider import FleetDecider

        member, settings = self._member, self._settings
        decider = FleetDecider(member.parts.hub, settings.name, budgets)
        if settings.zones is not None and member.resources.evidence is not None:
            from harriertrack.gateway.fleet.zones import Zones

            self.zones = Zones(member.parts, settings, settings.zones, member.resources.evidence,
                               member.resources.listing, member.swim, decider)  # fmt: skip
            self.status_sources["zones"] = self.zones
            self.zones.start()
        if settings.changes is not None:
            from harriertrack.gateway.fleet.changes.carrier import Changes

            self.changes = Changes(member.parts, settings.changes, member.swim, decider, member.publish_note,
                                   member.resources.changes_cache)  # fmt: skip
            self.status_sources["record"] = self.changes
            self._start_record_users(decider, self.changes)
            self.changes.start()

    def _start_record_users(self, decider: FleetDecider, changes: Changes) -> None:
        from harriertrack.decisions.fleet.changes.record import Kind
        from harriertrack.gateway.fleet.settings_user import SettingsUser

        member, settings, resources = self._member, self._settings, self._member.resources
        user = SettingsUser(member.parts.settings, resources.reconfigure, member.parts.note)
        changes.register_user(Kind.SETTINGS, user)
        if settings.closing is not None:
            from harriertrack.gateway.fleet.closing.carrier import Closing

            closing = Closing(member.parts, settings.closing, member.swim, decider, changes,
                              resources.extents, resources.epochs, resources.regional)  # fmt: skip
            self.status_sources["closing"] = closing
            closing.start()
        if self.scoring is not None:
            self.scoring.follow_record(changes)
        if settings.changes is not None and settings.changes.rollout is not None:
            from harriertrack.gateway.fleet.rollout.carrier import Rollouts, no_usage
            from harriertrack.gateway.fleet.rollout.program_user import ProgramUser

            handover, counting = resources.handover, member.parts.answer_counter
            assert counting is not None, "a head whose settings have rollouts counts its answers"
            changes.register_user(Kind.PROGRAM, ProgramUser(handover))
            if handover is not None and handover.number:
                changes.mark_running(Kind.PROGRAM.value, handover.number)
            rollouts = Rollouts(member.parts, settings.changes.rollout, member.swim, decider, changes,
                                counting, resources.usage or no_usage)  # fmt: skip
            if self.scoring is not None:
                rollouts.failures = self.scoring.scorers_without_vote
            self.status_sources["rollouts"] = rollouts
            rollouts.start()

    def reconfigure(self, settings: FleetSettings) -> None:
        """Apply other settings."""
        self._settings = settings
        if self.zones is not None and settings.zones is not None:
            self.zones.reconfigure(settings.zones)

    def documents(self, now: int) -> dict[str, object]:
        """Return each service's status, by field of the status document."""
        return {field: source.document(now) for field, source in self.status_sources.items()}

    def leave(self) -> None:
        """Release the locks held for the fleet."""
        if self.budgets is not None:
            self.budgets.leave()

    @property
    def released(self) -> bool:
        """Whether every lock is released and none will be acquired."""
        return self.budgets is None or self.budgets.released

    def close(self) -> None:
        """Stop the services."""
        if self.scoring is not None:
            self.scoring.close()
        if self.budgets is not None:
            self.budgets.close()
