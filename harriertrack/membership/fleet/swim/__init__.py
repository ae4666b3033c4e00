"""One member of a fleet: who does it hold to be there? Pure: datagrams and time in, datagrams and news out.

Sources: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002) for probes in turn, probes through others, and news that rides on them; Dadgar, Phillips,
Currey, "Lifeguard" (DSN-W 2018) for a member that doubts itself, suspicions that shrink by agreement, and
telling a suspect first; HashiCorp's Serf documentation for contact with the dead, so that parts of a fleet
that were apart find together by themselves. Own: lives in place of bare incarnations, summaries in place of
whole views, and what is done after a standstill and about two processes of one name (docs/fleet.md).

`Swim` is what a carrier calls. What it holds is one `Member`; each module beside does one thing with it:
`words` takes what is said of members, `suspecting` times suspicions, `probing` asks who is there, `comparing`
finds what views lack, `notes` has what members say of themselves, `sending` puts news on datagrams.
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
