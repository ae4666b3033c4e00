"""What the heads of a fleet do together beyond knowing of each other, as far as this head's settings have it.

Each part is loaded and started only where it is set, after those it rests on: budgets are divided; with their
locks one head decides; by its word go zones and the record of changes; what goes by that record comes last.
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
    """A part that operators see something of."""

    def document(self, now: int) -> object:
        """Return what this head tells of it; `now` in microseconds by the hub's clock."""


@dataclass(frozen=True, slots=True)
class MemberContext:
    """What parts need of the head as a member: the head itself, its view, and how it speaks to others."""

    parts: HeadParts
    resources: HeadResources
    swim: Swim
    send: Callable[[bytes, Address], None]  # a datagram from the fleet's address
    publish_note: Callable[[], None]  # says at once what the head says of itself


class FleetServices:
    """The parts that one head has."""

    def __init__(self, member: MemberContext, settings: FleetSettings) -> None:
        self._member, self._settings = member, settings
        self.status_sources: dict[str, StatusSource] = {}  # by their fields of the document
        self.scoring: Scoring | None = None
        self.budgets: Budgets | None = None
        self.zones: Zones | None = None
        self.changes: Changes | None = None

    def start(self) -> None:
        """Start them; what is not set is not even loaded."""
        member, settings = self._member, self._settings
        if member.resources.scored_choice is not None and settings.scoring is not None:
            self._share_weights()
        if member.parts.budget_shares is not None and settings.budgets is not None:
            self._divide()

    def _share_weights(self) -> None:
        from harriertrack.gateway.fleet.scoring.carrier import Scoring

        member, settings = self._member, self._settings
        assert settings.scoring is not None and member.resources.scored_choice is not None
        self.scoring = Scoring(member.parts, settings.scoring, member.resources.scored_choice, member.swim)
        self.status_sources["scores"] = self.scoring
        self.scoring.start()

    def _divide(self) -> None:
        from harriertrack.gateway.fleet.budgets import Budgets

        member, settings = self._member, self._settings
        assert settings.budgets is not None and member.parts.budget_shares is not None
        decides = settings.zones is not None or settings.changes is not None
        self.budgets = Budgets(member.parts, settings.budgets, member.parts.budget_shares, settings.fleet,
                               member.swim, member.send, member.resources.close_links, decides)  # fmt: skip
        self.status_sources["budgets"] = self.budgets
        self.budgets.start()
        if decides:
            self._decide(self.budgets)

    def _decide(self, budgets: Budgets) -> None:
        from harriertrack.gateway.fleet.decider import FleetDecider

        member, settings = self._member, self._settings
        deciding = FleetDecider(member.parts.hub, settings.name, budgets)
        if settings.zones is not None and member.resources.evidence is not None:
            from harriertrack.gateway.fleet.zones import Zones

            self.zones = Zones(member.parts, settings, settings.zones, member.resources.evidence,
                               member.resources.listing, member.swim, deciding)  # fmt: skip
            self.status_sources["zones"] = self.zones
            self.zones.start()
        if settings.changes is not None:
            from harriertrack.gateway.fleet.changes.carrier import Changes

            self.changes = Changes(member.parts, settings.changes, member.swim, deciding, member.publish_note,
                                   member.resources.changes_cache)  # fmt: skip
            self.status_sources["record"] = self.changes
            self._go_by_record(deciding, self.changes)
            self.changes.start()

    def _go_by_record(self, deciding: FleetDecider, changes: Changes) -> None:
        from harriertrack.decisions.fleet.changes.record import Kind
        from harriertrack.gateway.fleet.settings_user import SettingsUser

        member, settings, beside = self._member, self._settings, self._member.resources
        user = SettingsUser(member.parts.settings, beside.reconfigure, member.parts.note)
        changes.use(Kind.SETTINGS, user)
        if settings.closing is not None:
            from harriertrack.gateway.fleet.closing.carrier import Closing

            closing = Closing(member.parts, settings.closing, member.swim, deciding, changes, beside.extents,
                              beside.epochs, beside.regional)  # fmt: skip
            self.status_sources["closing"] = closing
            closing.start()
        if self.scoring is not None:
            self.scoring.follow(changes)
        if settings.changes is not None and settings.changes.rollout is not None:
            from harriertrack.gateway.fleet.rollout.carrier import Rollouts, no_usage
            from harriertrack.gateway.fleet.rollout.program_user import ProgramUser

            handover, counting = beside.handover, member.parts.answer_counter
            assert counting is not None, "a head whose settings have rollouts counts its answers"
            changes.use(Kind.PROGRAM, ProgramUser(handover))
            if handover is not None and handover.number:
                changes.took(Kind.PROGRAM.value, handover.number)
            rollouts = Rollouts(member.parts, settings.changes.rollout, member.swim, deciding, changes,
                                counting, beside.usage or no_usage)  # fmt: skip
            if self.scoring is not None:
                rollouts.failing = self.scoring.lost
            self.status_sources["rollouts"] = rollouts
            rollouts.start()

    def reconfigure(self, settings: FleetSettings) -> None:
        """Go by other figures from now on."""
        self._settings = settings
        if self.zones is not None and settings.zones is not None:
            self.zones.reconfigure(settings.zones)

    def documents(self, now: int) -> dict[str, object]:
        """Return what operators are told of each part, by its field of the document."""
        return {field: part.document(now) for field, part in self.status_sources.items()}

    def leave(self) -> None:
        """Give back what is kept for others."""
        if self.budgets is not None:
            self.budgets.leave()

    @property
    def released(self) -> bool:
        """Whether nothing is kept, or will be, any more."""
        return self.budgets is None or self.budgets.released

    def close(self) -> None:
        """Do nothing any more."""
        if self.scoring is not None:
            self.scoring.close()
        if self.budgets is not None:
            self.budgets.close()
