"""The epoch under which a head sends a volume's requests: the sum of its lease's epoch and its last close.

Nodes store one number for each volume, and reject requests under a lower one than the highest they have
received. Both summands only grow at a head, and each node receives a volume's requests from one head alone,
or from heads that apply the same closes and have no lease. So the sum grows with either, and is equal only if
both are equal.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Epochs:
    """The epochs of one head, by volume."""

    _leases: dict[str, int] = field(default_factory=dict)
    _closes: dict[str, int] = field(default_factory=dict)

    def record_lease(self, volume: str, epoch: int) -> None:
        """Use this lease for a volume of two regions from now on, whether this head's or the holder's."""
        self._leases[volume] = max(self._leases.get(volume, 0), epoch)

    def has_lease(self, volume: str) -> bool:
        """Whether any lease of a volume is known."""
        return volume in self._leases

    def record_close(self, volume: str, generation: int) -> bool:
        """Record a finished close of a volume; return whether it is new.

        `generation`: the close's instant, plus one once the bytes that several heads left there are trimmed.
        """
        if generation <= self._closes.get(volume, 0):
            return False
        self._closes[volume] = generation
        return True

    def generation(self, volume: str) -> int:
        """Return the generation of a volume's bytes here; 0: none was ever purged."""
        return self._closes.get(volume, 0)

    def epoch_of(self, volume: str) -> int:
        """Return the epoch that is sent to nodes."""
        return self._leases.get(volume, 0) + self._closes.get(volume, 0)
