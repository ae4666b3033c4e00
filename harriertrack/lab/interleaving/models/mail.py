"""Messages between heads of a model: they may come in any order, and a few may be lost or come twice."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class Mail:
    """What is on its way."""

    lost: int = 0  # how many may still be
    twice: int = 0
    most: int = 4  # on the way at a time; a sender beyond that loses its message
    under_way: list[tuple[str, Any]] = field(default_factory=list)  # (to whom, what)
    slow: list[tuple[str, Any]] = field(default_factory=list)  # that come at any later time, or never

    def send(self, to: str, what: Any) -> None:
        """Put a message on its way."""
        if len(self.under_way) < self.most:
            self.under_way.append((to, what))

    def events(self) -> Iterator[str]:
        """Name what may happen to what is on its way."""
        for at, (to, _) in enumerate(self.under_way):
            yield f"deliver {at} to {to}"
            yield f"slow {at} to {to}"
            if self.lost:
                yield f"lose {at} to {to}"
            if self.twice:
                yield f"double {at} to {to}"

    def late(self) -> Iterator[str]:
        """Name what may come that was slow."""
        yield from (f"late {at} to {to}" for at, (to, _) in enumerate(self.slow))

    def apply(self, event: str) -> tuple[str, Any] | None:
        """Let it happen; return whom it reaches, and what."""
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
