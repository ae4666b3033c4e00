"""How far a version of something has come, from being proposed to being in force or taken back."""

from __future__ import annotations

from enum import Enum


class VersionState(Enum):
    """What holds of a version."""

    PROPOSED = "proposed"  # asked for; nobody is to run it yet
    ADVANCING = "going"  # the heads that the version names are to run it, ever more of them
    PAUSED = "paused"  # the same heads run it, and no more until somebody says so
    REVERTING = "back"  # the heads that it still names have not gone back to the one in force
    IN_FORCE = "in force"  # all are to run it
    REPLACED = "replaced"  # it was in force until a later one was
    STOPPED = "stopped"  # it was found to be worse; the same content is refused without a word
    ABORTED = "aborted"  # an operator took it back


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
ACTIVE = frozenset(
    {VersionState.ADVANCING, VersionState.PAUSED, VersionState.REVERTING}
)  # by the heads that the version names
FINISHED = frozenset({VersionState.REPLACED, VersionState.STOPPED, VersionState.ABORTED})


class IllegalTransition(Exception):
    """A version can't go from where it stands to there."""


def check_transition(before: VersionState, after: VersionState) -> None:
    """Raise IllegalStep unless a version may go from one standing to the other."""
    if after not in TRANSITIONS[before]:
        raise IllegalTransition(f"from {before.value} to {after.value}")
