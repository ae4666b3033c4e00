"""What one member knows and has under way: the one state that the modules beside work on."""

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
    """The probe under way."""

    target: str
    life: ProcessInstance
    number: int
    ask_at: int  # when others are asked
    ends_at: int
    helped: int = -1  # how many were asked; -1: none yet
    nacks: int = 0
    answered: bool = False


@dataclass(slots=True)
class Relayed:
    """A probe for somebody else."""

    asker: Address
    number: int
    target: str
    nack_at: int


@dataclass(slots=True)
class Counts:
    """What came and went."""

    sent: int = 0
    sent_bytes: int = 0
    came: int = 0
    came_bytes: int = 0
    garbage: int = 0  # no datagrams of this protocol
    strangers: int = 0  # of other fleets
    too_new: int = 0  # of versions that this program can't read
    misdirected: int = 0  # meant for somebody else
    turned_down: int = 0  # members past the bound, or comparisons past the rate
    probes: int = 0
    failed_probes: int = 0
    suspected: int = 0
    declared: int = 0  # suspicions that this member itself let run out
    refuted: int = 0  # times that it objected to words on itself
    stood: int = 0  # standstills


@dataclass(slots=True)
class Due:
    """When each thing is done next."""

    probe: int = 0
    gossip: int = 0
    sync: int = 0
    reach: int = 0
    mend: int = 0


class Member:
    """A member's view of the others, its doubt in itself, and what it has under way."""

    def __init__(self, rules: Rules, me: Record, seed: int) -> None:
        self.rules, self.me = rules, me
        self.view = View()
        self.state = MembershipState.NEW
        self.health_score = 0  # Lifeguard's local health multiplier, less 1
        self.counts = Counts()
        self.random = random.Random(seed)
        self.actions: list[Action] = []
        self.news = DisseminationQueue()
        self.notes = DisseminationQueue()
        self.topics = TopicNotes(self.view, rules.topic_bytes)
        self.turn: list[str] = []  # who is probed next, from its end
        self.probe: Probe | None = None
        self.relayed: dict[int, Relayed] = {}
        self.due = Due()
        self.joined_at = 0

    def spread(self, us: int) -> int:
        """Return a time around `us`, so that members do not do things together."""
        return int(us * (0.75 + 0.5 * self.random.random()))

    def adjust_health(self, change: int) -> None:
        """Doubt oneself more, or less."""
        self.health_score = min(max(0, self.health_score + change), max(0, self.rules.doubt - 1))

    def drop_probes(self) -> None:
        """Forget the probes under way, one's own and others'."""
        self.probe = None
        self.relayed.clear()

    def others(self) -> list[str]:
        """Return who is there beside oneself."""
        return [name for name in self.view.present if name != self.me.name]

    def address(self, name: str) -> Address:
        """Return where a member that is known is reached."""
        row = self.view.find(name)
        assert row is not None
        return row.record.address

    def held(self, name: str) -> State | None:
        """Return what is held of a member."""
        row = self.view.find(name)
        return None if row is None else row.record.state

    def updated_record(self, **changes: object) -> Record:
        """Return the word on oneself with some fields changed."""
        fresh = msgspec.structs.replace(self.me, by="")
        return msgspec.structs.replace(fresh, **changes)
