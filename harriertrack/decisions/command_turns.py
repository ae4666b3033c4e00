"""How much of a round of the event loop one connection may take, however much it sends at once.

No I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Iterator

SLICE_BYTES = 16 << 10  # parsed at once: some hundred of the shortest commands
COMMANDS_PER_TURN = 64  # after so many, other connections have their turn


def slices_of(data: bytes) -> Iterator[memoryview]:
    """Cut received bytes into what is parsed at once."""
    view = memoryview(data)
    for at in range(0, len(view), SLICE_BYTES):
        yield view[at : at + SLICE_BYTES]


class CommandTurn:
    """What a connection has done since its last turn ended."""

    def __init__(self) -> None:
        self._commands = 0

    def is_over(self, commands: int) -> bool:
        """Count commands and replies; return whether the turn is over, and then begin the next one."""
        self._commands += commands
        if self._commands < COMMANDS_PER_TURN:
            return False
        self._commands = 0
        return True
