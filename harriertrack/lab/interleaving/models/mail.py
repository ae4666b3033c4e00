"""Messages between heads of a model: delivered in any order; a few may be lost or duplicated."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class Mail:
    """The messages in transit."""

    lost: int = 0  # how many messages may still be lost
    twice: int = 0  # how many may still be delivered twice
    most: int = 4  # in transit at a time; messages sent beyond that are dropped
    under_way: list[tuple[str, Any]] = field(default_factory=list)  # (recipient, message)
    slow: list[tuple[str, Any]] = field(default_factory=list)  # delayed: delivered later or never

    def send(self, to: str, message: Any) -> None:
        """Send a message."""
        if len(self.under_way) < self.most:
            self.under_way.append((to, message))

    def events(self) -> Iterator[str]:
        """Name the events of the messages in transit."""
        for at, (to, _) in enumerate(self.under_way):
            yield f"deliver {at} to {to}"
            yield f"slow {at} to {to}"
            if self.lost:
                yield f"lose {at} to {to}"
            if self.twice:
                yield f"double {at} to {to}"

    def late(self) -> Iterator[str]:
        """Name the deliveries of delayed messages."""
        yield from (f"late {at} to {to}" for at, (to, _) in enumerate(self.slow))

    def apply(self, event: str) -> tuple[str, Any] | None:
        """Apply an event; return the recipient and the message if it delivers one."""
        verb, at = event.split()[0], int(event.split()[1])
        if verb == "double":
            self.twice -= 1
            return self.under_way[at]
        if verb == "late":
            return self.slow.pop(at)
        one = self.under_way.pop(at)
        if verb == "slow":
            self.slow.append(one)
            return None
        if verb == "lose":
            self.lost -= 1
            return None
        return one
