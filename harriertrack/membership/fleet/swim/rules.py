"""The protocol's figures, and what a member may be to its fleet."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class Rules:
    """The protocol's figures; times in microseconds."""

    fleet: str = "fleet"
    probe_us: int = 1_000_000  # one member is probed in each such period
    answer_us: int = 500_000  # after which others are asked to try
    helpers: int = 3  # how many others
    suspicion: float = 5.0  # least suspicion, in periods times log10 of the members
    slack: float = 6.0  # most suspicion, in least ones
    confirmations: int = 3  # others' agreement after which a suspicion is as short as it gets
    gossip_us: int = 200_000  # how often news is sent beside probes, while there is any
    fanout: int = 3  # to how many
    repeats: float = 6.0  # times log10 of the members: how often news is passed on
    sync_us: int = 30_000_000  # whole views are compared with somebody so often
    reach_us: int = 10_000_000  # somebody gone, or a seed, is tried so often
    join_us: int = 500_000  # first pause between tries to join; grows to `reach_us`
    doubt: int = 8  # a member's doubt in itself is below this
    recent_us: int = 30_000_000  # the dead of this age still get news, so that they can object
    forget_us: int = 24 * 3600 * 1_000_000  # the gone are remembered, and tried, for so long
    members: int = 1024  # the most that are held
    pages: int = 64  # datagrams a second that answer comparisons, and at once
    topic_bytes: int = 2000  # of notes by topic that a member sends in a second, and at once


class MembershipState(Enum):
    """What a member is to its fleet."""

    NEW = "new"  # not started
    ALONE = "alone"  # it knows nobody else who is there
    JOINED = "in"
    LEAVING = "leaving"
    DISPLACED = "displaced"  # a process that started later goes by its name: it only looks on
