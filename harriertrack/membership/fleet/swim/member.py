"""The state of one member, which the other modules of this package work on."""

from __future__ import annotations

import random
from dataclasses import dataclass

import msgspec

from harriertrack.membership.fleet.dissemination import DisseminationQueue
from harriertrack.membership.fleet.messages import Address, ProcessInstance, Record, State
from harriertrack.membership.fleet.swim.actions import Action
from harriertrack.membership.fleet.swim.rules import MembershipState, Rules
from harriertrack.membership.fleet.topics import TopicNotes
from harriertrack.membership.fleet.view import View


@dataclass(slots=True)
class Probe:
    """The probe in progress."""

    target: str
    process: ProcessInstance
    number: int
    indirect_at: int  # when indirect pings are requested
    ends_at: int
    helpers: int = -1  # members asked for an indirect ping; -1: not requested yet
    nacks: int = 0
    acked: bool = False


@dataclass(slots=True)
class Relayed:
    """An indirect ping that this member makes for another."""

    requester: Address
    number: int
    target: str
    nack_at: int


@dataclass(slots=True)
class Counts:
    """Counters; their names are written to status documents."""

    sent: int = 0
    sent_bytes: int = 0
    came: int = 0
    came_bytes: int = 0
    garbage: int = 0  # not datagrams of this protocol
    strangers: int = 0  # of other fleets
    too_new: int = 0  # of unsupported versions
    misdirected: int = 0  # pings meant for another member
    turned_down: int = 0  # members, comparisons or indirect pings rejected because of a limit
    probes: int = 0
    failed_probes: int = 0
    suspected: int = 0
    declared: int = 0  # members declared dead by this member's own suspicion timeout
    refuted: int = 0  # records about itself that it refuted
    stood: int = 0  # pauses of this process


@dataclass(slots=True)
class Due:
    """When each periodic task is due next."""

    probe: int = 0
    gossip: int = 0
    sync: int = 0
    reach: int = 0
    repair: int = 0


class Member:
    """A member's view of the fleet, its local health, and its operations in progress."""

    def __init__(self, rules: Rules, me: Record, seed: int) -> None:
        self.rules, self.me = rules, me
        self.view = View()
        self.state = MembershipState.NEW
        self.health_score = 0  # Lifeguard's local health multiplier, less 1
        self.counts = Counts()
        self.random = random.Random(seed)
        self.actions: list[Action] = []
        self.updates = DisseminationQueue()
        self.notes = DisseminationQueue()
        self.topics = TopicNotes(self.view, rules.topic_bytes)
        self.probe_round: list[str] = []  # names left to probe in this round, last first
        self.probe: Probe | None = None
        self.relayed: dict[int, Relayed] = {}
        self.due = Due()
        self.joined_at = 0

    def jitter(self, us: int) -> int:
        """Return a random time from 75 to 125% of `us`, so that members do not act in step."""
        return int(us * (0.75 + 0.5 * self.random.random()))

    def adjust_health(self, change: int) -> None:
        """Raise or lower the local health score; 0 is healthy."""
        self.health_score = min(max(0, self.health_score + change), max(0, self.rules.doubt - 1))

    def drop_probes(self) -> None:
        """Drop the member's own probe and the indirect pings in progress."""
        self.probe = None
        self.relayed.clear()

    def others(self) -> list[str]:
        """Return the names of the other present members."""
        return [name for name in self.view.present if name != self.me.name]

    def address(self, name: str) -> Address:
        """Return the address of a known member."""
        row = self.view.find(name)
        assert row is not None
        return row.record.address

    def state_of(self, name: str) -> State | None:
        """Return the state in a member's record; None if it is not known."""
        row = self.view.find(name)
        return None if row is None else row.record.state

    def updated_record(self, **changes: object) -> Record:
        """Return the member's own record with some fields changed."""
        fresh = msgspec.structs.replace(self.me, by="")
        return msgspec.structs.replace(fresh, **changes)
