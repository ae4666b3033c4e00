"""The configuration of a head's core, and its few constants."""

from __future__ import annotations

from dataclasses import dataclass

from harriertrack.decisions.retry_queue import RetryRules
from harriertrack.decisions.splitting import Kind

MODIFYING_KINDS = frozenset((Kind.WRITE, Kind.TRIM, Kind.ZERO))
# A request not yet submitted to the module is answered this many ticks before its deadline.
ANSWER_TICKS = 2


@dataclass(frozen=True, slots=True)
class ClassRule:
    """Which requests belong to a class, and after how long their clients give up (microseconds)."""

    name: str
    kinds: frozenset[Kind]
    min_bytes: int
    deadline_us: int
    in_order: bool = False
    window_us: int = 0  # how long a rack recognizes and drops repeats; 0: nothing of this class may run again


@dataclass(frozen=True, slots=True)
class ClientPlacement:
    """Class and placement given by the client itself: the request is not split, placed or looked up."""

    class_name: str
    key: str
    shard: int  # -1: a new object
    units: float
    repeat: bool = False  # marked by the client as a retry after a refusal or failure


@dataclass(frozen=True, slots=True)
class RequestRules:
    """The configuration of a head's core; sizes are bytes."""

    extent_bytes: int
    unit_bytes: int
    tick_us: int
    max_open_parts: int
    classes: tuple[ClassRule, ...]
    drain_grace_us: int  # how long a node may still be sent to after its drain was announced
    patience: RetryRules = RetryRules()
