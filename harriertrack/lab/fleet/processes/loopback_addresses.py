"""Loopback addresses for the processes of one rig."""

from __future__ import annotations

import os

FIRST_PORT = 20_000


class LoopbackAddresses:
    """Assigns consecutive ports at one loopback address, which is derived from this process's id.

    A port that was merely free a moment ago may be taken by another rig, or by any outgoing connection of
    this machine; nothing else listens at, or connects from, this address.
    """

    def __init__(self) -> None:
        number = os.getpid() % (250 * 250)
        self.host = f"127.64.{1 + number // 250}.{1 + number % 250}"
        self._port = FIRST_PORT

    def next(self) -> tuple[str, int]:
        """Return the next unused address."""
        self._port += 1
        return self.host, self._port
