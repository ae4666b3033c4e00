"""What the core of a head is told at its start, and its few constants."""

from __future__ import annotations

from dataclasses import dataclass

from harriertrack.decisions.retry_queue import RetryRules
from harriertrack.decisions.splitting import Kind

MODIFYING_KINDS = frozenset((Kind.WRITE, Kind.TRIM, Kind.ZERO))
# A request that the module does not know yet is answered this many ticks before its time is up.
ANSWER_TICKS = 2


@dataclass(frozen=True, slots=True)
class ClassRule:
    """Which requests belong to a class, and when their clients give up (microseconds)."""

    name: str
    kinds: frozenset[Kind]
    min_bytes: int
    deadline_us: int
    in_order: bool = False
    window_us: int = 0  # how long a rack drops repeats; 0: nothing of this class may run again


@dataclass(frozen=True, slots=True)
class ClientPlacement:
    """What a client itself says of its request's class and place: nothing is cut, placed or looked up."""

    class_name: str
    key: str
    shard: int  # -1: a new object
    units: float
    repeat: bool = False  # marked as asked again after a refusal or failure


@dataclass(frozen=True, slots=True)
class RequestRules:
    """What the core of a head is told at its start; sizes are bytes."""

    extent_bytes: int
    unit_bytes: int
    tick_us: int
    max_open_parts: int  # the most parts that may be open at once
    classes: tuple[ClassRule, ...]
    drain_grace_us: int  # how long after it was told of a drain a node may still be sent to
    patience: RetryRules = RetryRules()
