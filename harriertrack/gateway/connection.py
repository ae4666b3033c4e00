"""What the connections of all fronts' clients have in common: how they read, and how they end."""

from __future__ import annotations

from harriertrack.decisions.command_turns import slices_of
from harriertrack.gateway.reception import HALF_SENT, Reception
from harriertrack.runtime.streams import Stream


class FrontConnection:
    """A client's connection; each front parses its own protocol in `_receive`."""

    def __init__(self, reception: Reception, stream: Stream) -> None:
        self._reception, self._stream = reception, stream
        self._parting = False  # no more answers are sent, and what arrives is discarded

    def give_up(self) -> None:
        """Break the connection, whose incomplete request takes too much memory."""
        self._reception.note("client closed", peer=self._stream.peer, why=HALF_SENT)
        self._stream.abort()

    def is_quiet(self) -> bool:
        """Whether all its answers have been sent, and all that has arrived was read."""
        return not self._stream.buffered and self._stream.silent()

    def part(self) -> None:
        """Send no more, and discard what arrives until the client closes too."""
        self._parting = True
        self._stream.shut_sending()

    def _handle_read(self, data: bytes, has_requests: bool) -> bool:
        """Handle a read in slices, in the connection's turn; return whether the connection goes on."""
        if self._parting:
            return True
        if has_requests:
            self._reception.take_turn(self, self._stream)
        unparsed = len(data)
        for piece in slices_of(data):
            unparsed -= len(piece)
            if not self._receive(piece, unparsed):
                return False
            # Stop reading from a client that does not read its answers.
            self._reception.drain(self, self._stream)
        self._reception.pass_on(self)
        return True

    def _receive(self, data: memoryview, unparsed: int) -> bool:
        """Parse bytes and handle what they contain; return whether the connection goes on.

        `unparsed` bytes behind them are held meanwhile: requests may have to wait.
        """
        raise NotImplementedError
