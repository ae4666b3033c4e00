"""What a simulated head reaches over streams: a network from which one address can be cut off."""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.runtime.hub import DeadlineExceeded, Hub
from harriertrack.runtime.streams import Listener, Network, Stream

GIVES_UP_US = 30_000_000  # who sets no deadline


class Reached:
    """One head's network; while `cut` says so of an address, nobody answers there.

    A stream that is open goes on: calls to the witness have one each and take a millisecond. Nodes are cut
    off by themselves (`Faults.cut_off`).
    """

    def __init__(self, hub: Hub, network: Network, cut: Callable[[tuple[str, int]], bool]) -> None:
        self._hub, self._network, self._cut = hub, network, cut

    def connect(self, address: tuple[str, int], deadline: int | None = None, name: str = "") -> Stream:
        """Open a stream; `name` says who calls.

        Raises OSError if refused, DeadlineExceeded at the deadline (microseconds).
        """
        if self._cut(address):
            self._hub.sleep_until(deadline if deadline is not None else self._hub.now() + GIVES_UP_US)
            raise DeadlineExceeded()
        return self._network.connect(address, deadline, name)

    def listen(self, address: tuple[str, int]) -> Listener:
        """Listen at a host and port; port 0 picks a free one."""
        return self._network.listen(address)
