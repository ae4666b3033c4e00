"""What a head remembers of each volume: sessions with their credits, reserve, limit and meter.

Volumes come with requests and may be ever new ones. Those of which there is nothing to remember are dropped
where there are many: a volume that comes again then starts with what it had.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from harriertrack.decisions.bucket import Bucket
from harriertrack.decisions.interface import Plan

OPERATION_CREDITS = 128  # a session's requests in flight per head: the client figure of the DAOS design
MAX_IDLE_VOLUMES = 1024  # from this many, volumes are dropped as soon as there is nothing to remember of them
OWN_UNITS_US = 2_000_000  # after this long, what a volume was sent here is no part of its meter any more


@dataclass(slots=True, eq=False)
class Volume:
    """State that all sessions of a volume share: hosts, reserve, limit and meter."""

    plan: Plan
    reserve: Bucket
    own_updated_at: int
    hosts: int = 0  # heads that serve it
    limit: Bucket | None = None
    own_units: float = 0.0  # decaying sum of units that this head sent
    others_rate: float = 0.0  # what other heads get, by the meters
    open_requests: int = 0  # which the module has, with a final answer or without
    sessions: dict[bool, Session] = field(default_factory=dict)  # by whether it is background

    def may_be_forgotten(self, now: int) -> bool:
        """Whether it would start with the same reserve and limit if it came again."""
        if self.open_requests or (self.own_units and now - self.own_updated_at < OWN_UNITS_US):
            return False
        if self.limit is not None and self.limit.refill(now) < self.limit.capacity:
            return False
        return self.reserve.level_at(now) >= min(self.plan.reserve, self.reserve.capacity)


Volumes = dict[tuple[str, str], Volume]  # by name and plan


@dataclass(slots=True, eq=False)
class Session:
    """The requests of a volume that are background work, or those that are not."""

    volume: Volume
    weight: float
    background: bool
    payload_credits: float
    operation_credits: int = OPERATION_CREDITS


def drop_idle(volumes: Volumes, now: int, before: int) -> None:
    """Drop the volumes that had no request since the time `before`, and whose limit is full again."""
    for name, volume in list(volumes.items()):
        limit = volume.limit
        if volume.reserve.updated_at < before and (limit is None or limit.refill(now) >= limit.capacity):
            _drop(volumes, name)


def drop_forgettable(volumes: Volumes, now: int) -> None:
    """Drop the volumes of which there is nothing to remember."""
    for name, volume in list(volumes.items()):
        if volume.may_be_forgotten(now):
            _drop(volumes, name)


def _drop(volumes: Volumes, name: tuple[str, str]) -> None:
    volume = volumes.pop(name)
    volume.sessions.clear()  # they refer to it: else both would stay until the garbage collector comes
