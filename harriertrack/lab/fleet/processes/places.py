"""Addresses for the processes of one rig."""

from __future__ import annotations

import os

FIRST_PORT = 20_000


class LoopbackAddresses:
    """Addresses of one rig: an address of the loopback range that is its process's own, and ports in turn.

    Ports that were merely free a moment ago may be taken by another rig, or by any connection that leaves
    from this machine; nobody else listens at, or leaves from, this address.
    """

    def __init__(self) -> None:
        number = os.getpid() % (250 * 250)
        self.host = f"127.64.{1 + number // 250}.{1 + number % 250}"
        self._port = FIRST_PORT

    def next(self) -> tuple[str, int]:
        """Return the next address."""
        self._port += 1
        return self.host, self._port
