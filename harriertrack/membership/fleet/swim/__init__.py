"""One member of a fleet: a SWIM-like protocol. Pure: datagrams and time in, datagrams and events out.

Sources: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002) for round-robin probes, indirect pings, and dissemination by piggybacking; Dadgar,
Phillips, Currey, "Lifeguard" (DSN-W 2018) for local health awareness, suspicion timeouts that shrink with
confirmations, and informing a suspect first; HashiCorp's Serf documentation for contacting dead members, so
that parts of a partitioned fleet rejoin without intervention. Not from these sources: process instances
(start time and random number) in addition to incarnations, summaries in place of complete views, and the
handling of pauses of the process and of two processes with one name (docs/fleet.md).

`Swim` is the interface for a carrier. Its state is one `Member`, on which the other modules work: `updates`
applies records about members, `suspects` runs suspicion timeouts, `prober` detects failures, `anti_entropy`
compares views, `notes` handles the members' own notes, `sender` adds queued updates to datagrams.
"""

from harriertrack.membership.fleet.swim.actions import Action, LogEvent, MemberChanged, NoteReceived, Send
from harriertrack.membership.fleet.swim.core import Swim
from harriertrack.membership.fleet.swim.member import Counts
from harriertrack.membership.fleet.swim.rules import MembershipState, Rules

__all__ = [
    "Action",
    "MemberChanged",
    "Counts",
    "NoteReceived",
    "Rules",
    "LogEvent",
    "Send",
    "MembershipState",
    "Swim",
]
