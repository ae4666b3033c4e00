"""The core of a head, without its sockets: accepts clients' requests, submits them to the decision module,
and carries out the module's actions.

It performs no I/O and has no clock: fronts and links pass in events with the time, and the core acts on its
surroundings through `Port`. Events of one moment are collected until `flush`, which hands them to the module
together. Every action of the module is carried out; a send that no longer can be (the request is finished, or
its extent is on another shard) is reported to the module as MOOT, which proves that nothing was sent.

`Core` is the interface for fronts and links. All open work is in one `CoreState`; each other module has one
task: `submission` submits parts to the module, `placement` places new extents and holds extents for exclusive
use, `part_retry_queue` stores parts that wait for a retry hint to pass, `completion` finishes parts and gives
each request its one answer, `admission` decides which parts wait and when they are submitted again,
`attempts` sends and cancels attempts, `closes` gives up the requests covered by a close, `dispatch` executes
the module's actions.
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
