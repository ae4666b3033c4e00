"""The protocol's parameters, and the states of a member's own membership."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class Rules:
    """The protocol's parameters; times in microseconds. Settings fill them by name."""

    fleet: str = "fleet"
    probe_us: int = 1_000_000  # protocol period: one member is probed in each
    answer_us: int = 500_000  # without an ack for this long, indirect pings are requested
    helpers: int = 3  # members that are asked for an indirect ping
    suspicion: float = 5.0  # shortest suspicion timeout, in periods times log10 of the members
    slack: float = 6.0  # longest suspicion timeout, as a multiple of the shortest
    confirmations: int = 3  # from others, after which a suspicion timeout is the shortest
    gossip_us: int = 200_000  # interval of gossip beside probes, while updates are queued
    fanout: int = 3  # members that each round of gossip goes to
    repeats: float = 6.0  # times log10 of the members: how often each update is sent
    sync_us: int = 30_000_000  # interval of anti-entropy with a random member
    reach_us: int = 10_000_000  # interval of attempts to reach a dead member or a seed
    join_us: int = 500_000  # first delay between attempts to join; grows to `reach_us`
    doubt: int = 8  # upper bound, exclusive, of the local health score
    recent_us: int = 30_000_000  # members dead for less still get gossip, so that they can refute it
    forget_us: int = 24 * 3600 * 1_000_000  # how long dead and left members are remembered
    members: int = 1024  # limit of the view's size
    pages: int = 64  # datagrams a second in reply to view comparisons; also the burst
    topic_bytes: int = 2000  # bytes a second of topic notes that a member sends; also the burst


class MembershipState(Enum):
    """A member's own state in its fleet."""

    NEW = "new"  # not started
    ALONE = "alone"  # it knows of no other present member
    JOINED = "in"
    LEAVING = "leaving"
    DISPLACED = "displaced"  # a later process uses its name: it only observes
