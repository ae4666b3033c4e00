"""Under which epoch a head's work of a volume is sent: that of its lease and that of its last close, as one.

Nodes know one number for each volume, and turn down what comes under a lower one than the highest they have
heard of. Both parts only grow at a head, and each node is sent a volume's work by one head alone, or by heads
that go by the same closes and no lease. So the sum grows with either, and is equal only where both are.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Epochs:
    """One head's, by volume."""

    _leases: dict[str, int] = field(default_factory=dict)
    _closes: dict[str, int] = field(default_factory=dict)

    def record_lease(self, volume: str, epoch: int) -> None:
        """Work of a volume of two regions is done under this lease from now on, its own or the holder's."""
        self._leases[volume] = max(self._leases.get(volume, 0), epoch)

    def has_lease(self, volume: str) -> bool:
        """Whether any lease of a volume was heard of."""
        return volume in self._leases

    def record_close(self, volume: str, generation: int) -> bool:
        """A close of a volume is done; return whether that is news.

        `generation`: its instant, one more once what several heads left of it is trimmed.
        """
        if generation <= self._closes.get(volume, 0):
            return False
        self._closes[volume] = generation
        return True

    def generation(self, volume: str) -> int:
        """Return of which generation a volume's bytes are here; 0: none was ever purged."""
        return self._closes.get(volume, 0)

    def epoch_of(self, volume: str) -> int:
        """Return what nodes are told."""
        return self._leases.get(volume, 0) + self._closes.get(volume, 0)
