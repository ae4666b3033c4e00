"""The head without its sockets: it takes clients' requests, tells the decision module, and does what that
says.

No I/O and no clock of its own: fronts and links hand events in with the time, and the core asks through
`Port` for what is to be done. Events of one moment gather until `flush`, where the module sees them together.
Each verdict is carried out; one that can't be (its request is over, or its extent lies elsewhere) comes back
to the module as MOOT, which proves that nothing was sent.

`Core` is what fronts and links call. What is open stands on one `Board`; each module beside does one thing
with it: `arriving` tells the module of parts, `placing` gives new extents their place and keeps extents to
somebody, `keeping` has what waits on a hint, `ending` gives parts their ends and requests their one answer,
`offering` decides what waits and is offered again, `attempts` sends and calls off, `closing` gives up what a
close covers, `acting` does what the module says.
"""

from harriertrack.decisions.requests.core import Core
from harriertrack.decisions.requests.model import Attempt, ClientRequest, Origin, Part, Volume
from harriertrack.decisions.requests.port import DecisionModule
from harriertrack.decisions.requests.rules import (
    ANSWER_TICKS,
    MODIFYING_KINDS,
    ClassRule,
    ClientPlacement,
    RequestRules,
)

__all__ = [
    "ANSWER_TICKS",
    "MODIFYING_KINDS",
    "Attempt",
    "ClassRule",
    "ClientRequest",
    "Core",
    "DecisionModule",
    "Origin",
    "Part",
    "ClientPlacement",
    "RequestRules",
    "Volume",
]
