"""The state machine of a version, from proposed to in force or reverted."""

from __future__ import annotations

from enum import Enum


class VersionState(Enum):
    """State of a version."""

    PROPOSED = "proposed"  # requested; no head is to run it yet
    ADVANCING = "going"  # the heads named by the version are to run it; more are added by stages
    PAUSED = "paused"  # the same heads run it; no more are added until it is resumed
    REVERTING = "back"  # the heads still named have not returned to the version in force
    IN_FORCE = "in force"  # all heads are to run it
    REPLACED = "replaced"  # was in force until a later version was
    STOPPED = "stopped"  # found to be worse; the same content is refused unless a reason is given
    ABORTED = "aborted"  # reverted by an operator


TRANSITIONS: dict[VersionState, frozenset[VersionState]] = {
    VersionState.PROPOSED: frozenset({VersionState.ADVANCING, VersionState.IN_FORCE, VersionState.ABORTED}),
    VersionState.ADVANCING: frozenset(
        {VersionState.ADVANCING, VersionState.PAUSED, VersionState.REVERTING, VersionState.IN_FORCE}
    ),
    VersionState.PAUSED: frozenset({VersionState.ADVANCING, VersionState.REVERTING}),
    VersionState.REVERTING: frozenset({VersionState.REVERTING, VersionState.STOPPED, VersionState.ABORTED}),
    VersionState.IN_FORCE: frozenset({VersionState.REPLACED}),
    VersionState.REPLACED: frozenset(),
    VersionState.STOPPED: frozenset(),
    VersionState.ABORTED: frozenset(),
}

IN_PROGRESS = frozenset(
    {VersionState.PROPOSED, VersionState.ADVANCING, VersionState.PAUSED, VersionState.REVERTING}
)
# States in which the named heads run the version.
ACTIVE = frozenset({VersionState.ADVANCING, VersionState.PAUSED, VersionState.REVERTING})
FINISHED = frozenset({VersionState.REPLACED, VersionState.STOPPED, VersionState.ABORTED})


class IllegalTransition(Exception):
    """A version can't change from its state to the requested one."""


def check_transition(before: VersionState, after: VersionState) -> None:
    """Raise IllegalTransition unless a version may change from one state to the other."""
    if after not in TRANSITIONS[before]:
        raise IllegalTransition(f"from {before.value} to {after.value}")
