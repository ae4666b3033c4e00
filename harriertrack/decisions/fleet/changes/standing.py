"""How far a version of something has come, from being proposed to being in force or taken back."""

from __future__ import annotations

from enum import Enum


class Standing(Enum):
    """What holds of a version."""

    PROPOSED = "proposed"  # asked for; nobody is to run it yet
    GOING = "going"  # the heads that the version names are to run it, ever more of them
    PAUSED = "paused"  # the same heads run it, and no more until somebody says so
    BACK = "back"  # the heads that it still names have not gone back to the one in force
    IN_FORCE = "in force"  # all are to run it
    REPLACED = "replaced"  # it was in force until a later one was
    STOPPED = "stopped"  # it was found to be worse; the same content is refused without a word
    ABORTED = "aborted"  # an operator took it back


STEPS: dict[Standing, frozenset[Standing]] = {
    Standing.PROPOSED: frozenset({Standing.GOING, Standing.IN_FORCE, Standing.ABORTED}),
    Standing.GOING: frozenset({Standing.GOING, Standing.PAUSED, Standing.BACK, Standing.IN_FORCE}),
    Standing.PAUSED: frozenset({Standing.GOING, Standing.BACK}),
    Standing.BACK: frozenset({Standing.BACK, Standing.STOPPED, Standing.ABORTED}),
    Standing.IN_FORCE: frozenset({Standing.REPLACED}),
    Standing.REPLACED: frozenset(),
    Standing.STOPPED: frozenset(),
    Standing.ABORTED: frozenset(),
}

UNDER_WAY = frozenset({Standing.PROPOSED, Standing.GOING, Standing.PAUSED, Standing.BACK})
RUN = frozenset({Standing.GOING, Standing.PAUSED, Standing.BACK})  # by the heads that the version names
OVER = frozenset({Standing.REPLACED, Standing.STOPPED, Standing.ABORTED})


class IllegalStep(Exception):
    """A version can't go from where it stands to there."""


def check_step(before: Standing, after: Standing) -> None:
    """Raise IllegalStep unless a version may go from one standing to the other."""
    if after not in STEPS[before]:
        raise IllegalStep(f"from {before.value} to {after.value}")
