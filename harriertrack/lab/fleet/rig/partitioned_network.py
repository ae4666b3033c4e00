"""A simulated head's stream network, from which single addresses can be cut off."""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.runtime.hub import DeadlineExceeded, Hub
from harriertrack.runtime.streams import Listener, Network, Stream

CONNECT_TIMEOUT_US = 30_000_000  # for callers without a deadline


class PartitionedNetwork:
    """One head's network; connections to an address time out while `is_cut` returns true for it.

    Streams that are open already continue: each call to the witness has its own and takes a millisecond.
    Nodes cut heads off by themselves (`Faults.cut_off`).
    """

    def __init__(self, hub: Hub, network: Network, is_cut: Callable[[tuple[str, int]], bool]) -> None:
        self._hub, self._network, self._is_cut = hub, network, is_cut

    def connect(self, address: tuple[str, int], deadline: int | None = None, name: str = "") -> Stream:
        """Open a stream; `name` identifies the caller.

        Raises OSError if refused, DeadlineExceeded at the deadline (microseconds).
        """
        if self._is_cut(address):
            self._hub.sleep_until(deadline if deadline is not None else self._hub.now() + CONNECT_TIMEOUT_US)
            raise DeadlineExceeded()
        return self._network.connect(address, deadline, name)

    def listen(self, address: tuple[str, int]) -> Listener:
        """Listen at a host and port; port 0 picks a free one."""
        return self._network.listen(address)
