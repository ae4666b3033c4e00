"""Types, events and actions of the decision module.

Times are integer microseconds on the caller's clock and sizes are units. Nothing here decides
anything: these types only carry what a head knows to the module and what it shall do back.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from harriertrack.decisions.bucket import Bucket


class Effect(Enum):
    """What repeating a request of a class can do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """The nodes among which repeats of a keyed request are dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class NodeState(Enum):
    """What the node list says of a node."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a piece of list news is to be read."""

    CHANGES = "changes"
    FULL = "full"
    RESTORED = "restored"
    FAILED = "failed"


class Result(Enum):
    """How an attempt ended; the flag says whether that proves that it never ran."""

    OK = ("ok", False)
    ERROR = ("error", False)
    FULL = ("full", True)
    TIMEOUT = ("timeout", False)
    CONNECT_FAILED = ("connect failed", True)
    RESET = ("reset", False)
    CANCELLED = ("cancelled", False)
    MOOT = ("moot", True)

    @property
    def never_ran(self) -> bool:
        """Whether the outcome proves that the attempt had no effect."""
        return self.value[1]


def _at_least(owner: object, least: float, *names: str) -> None:
    """Reject a field below its least value (or not a number) by name."""
    for name in names:
        value = getattr(owner, name)
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < 1e18:
            where = f"{type(owner).__name__}.{name}"
            raise ValueError(f"{where} must be a number of at least {least}, not {value!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: what it is worth, by when, and whether it may run again."""

    name: str
    aim_us: int
    deadline_us: int
    worth: float = 1.0
    late_worth: float = 0.0
    effect: Effect = Effect.UNSAFE
    group: DedupScope = DedupScope.CELL
    window_us: int = 0
    streams: bool = False
    in_order: bool = False
    writes: bool = False

    def __post_init__(self) -> None:
        _at_least(self, 1, "aim_us", "deadline_us")
        _at_least(self, 0, "worth", "late_worth", "window_us")


@dataclass(frozen=True, slots=True)
class Plan:
    """A service plan; every figure is per volume, in units, over all heads and nodes (0: none)."""

    name: str
    rate: float = 0.0
    reserve: float = 0.0
    limit: float = 0.0
    limit_burst: float = 0.0
    limit_slack: float = 0.0
    weight: float = 1.0
    price: float = 1.0

    def __post_init__(self) -> None:
        _at_least(self, 0, "rate", "reserve", "limit", "limit_burst", "limit_slack", "weight", "price")


@dataclass(frozen=True, slots=True)
class Settings:
    """Everything that a head is told at its start; zero or absent means that a thing does not apply."""

    heads: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...] = ()
    list_on_request: bool = False
    list_has_sizes: bool = False
    zone: str = ""
    max_attempts: int = 1
    may_cancel: bool = False
    may_probe: bool = False
    second_copies: bool = False
    may_hint: bool = False
    max_hint_us: int = 0
    drain_grace_us: int = 0
    fall_multiple: float = 1.0
    fall_us: int = 0
    cold_share: float = 1.0
    warm_us: int = 0
    cold_units: float = 0.0
    budget_free: float = 0.0
    budget_share: float = 0.0
    budget_window_us: int = 0
    order_settle_us: int = 0
    mean_units: float = 1.0
    most_units: float = 1.0
    meter_us: int = 0
    tick_us: int = 0
    report_fields: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        _at_least(self, 1, "heads", "max_attempts")
        _at_least(
            self, 0, "max_hint_us", "drain_grace_us", "fall_multiple", "fall_us", "cold_share", "warm_us",
            "cold_units", "budget_free", "budget_share", "budget_window_us", "order_settle_us", "mean_units",
            "most_units", "meter_us", "tick_us",
        )  # fmt: skip
        if not self.classes:
            raise ValueError("Settings.classes must name at least one class")
        for what, names in (("classes", self.classes), ("plans", self.plans)):
            if len({one.name for one in names}) != len(names):
                raise ValueError(f"Settings.{what} names one of them twice")


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """One line of the node list."""

    node: str
    shard: int
    state: NodeState = NodeState.UP
    zone: str = ""
    started_us: int = 0
    kind: str = ""  # of machine; compared for being equal, never read (empty: not told)
    size: float = 0.0  # as it is registered, where `Settings.list_has_sizes` (0: not told)


@dataclass(slots=True)
class NodesChanged:
    """News of the node list; `announced_at`: when they reached this head, which may have paused (0: now)."""

    kind: ListKind
    entries: list[NodeEntry] = field(default_factory=list)
    announced_at: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A client's request; the head owes it one final answer within time_left_us.

    Where a head cuts a client's request into several, all but one are marked as further parts: a budget
    counts the client's requests. One that was refused and that its head kept back for a client that waits
    comes again: `reoffered` says that its aim counts from now, `attempts_made` how many attempts it has had,
    `may_have_run_us` how long ago the first one was sent that may have run.
    """

    request: int
    class_name: str
    plan: str
    volume: str
    key: str
    shard: int
    units: float
    time_left_us: int
    hosts: int = 0
    repeat: bool = False
    further_part: bool = False
    reoffered: bool = False
    attempts_made: int = 0
    may_have_run_us: int = -1


@dataclass(slots=True)
class ResponseStarted:
    """A streamed answer has begun; from here on no deadline counts."""

    request: int
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt's outcome, with what the node said beside it."""

    request: int
    attempt: int
    node: str
    result: Result
    elapsed_us: int
    request_over: bool
    used_percent: int = 0
    elsewhere: float = 0.0
    load: tuple[float, ...] = ()


@dataclass(slots=True)
class ClientLeft:
    """The client has left; no answer is owed any more."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer is due."""

    token: str


@dataclass(slots=True)
class ProbeEnded:
    """The result of a probe."""

    node: str
    result: Result
    elapsed_us: int
    load: tuple[float, ...] = ()


@dataclass(slots=True)
class SettingsChanged:
    """Other figures of the same classes and plans hold from now on.

    Requests that came before keep their time; what plans store is carried over, up to what fits now.
    """

    settings: Settings


Event = (
    NodesChanged
    | RequestArrived
    | ResponseStarted
    | AttemptEnded
    | ClientLeft
    | TimerFired
    | ProbeEnded
    | SettingsChanged
)


@dataclass(slots=True)
class Send:
    """Start an attempt; timeout_us 0 lets it run until the client gives up."""

    request: int
    node: str
    timeout_us: int = 0


@dataclass(slots=True)
class Refuse:
    """Final answer: not done, and trying again is harmless; retry_after_us 0 gives no hint."""

    request: int
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: not served; nothing is promised about its effect."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Give up one attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class Probe:
    """Ask a node for a sign of life."""

    node: str


@dataclass(slots=True)
class SetTimer:
    """Wake the module at a time."""

    token: str
    at_us: int


@dataclass(slots=True)
class Subscribe:
    """Ask for the list's changes from now on."""

    on: bool = True


@dataclass(slots=True)
class Log:
    """One line for the operators."""

    text: str


class BudgetShares(Protocol):
    """What a head has of figures that all heads divide anew as they need it; without it, an even part."""

    def limit(self, now: int, ask: RequestArrived, plan: Plan) -> Bucket | None:
        """Hear of a request, and return what this head has of its volume's limit; None: an even part."""

    def further(self, now: int, draw: bool) -> bool:
        """Return whether an attempt beyond the head's own share is to be had; `draw`: it is made."""

    def trial(self, now: int, node: str) -> bool:
        """Return whether this head may try a silent node now; it does."""

    def cold(self, now: int, node: str, rate: float, units: float) -> float:
        """Return the head's part of what a cold node bears, `rate` units a second; it has `units` for it."""


class Weights(Protocol):
    """How much more or less work than an even share heads agree to give a node; without it, none."""

    def factor(self, node: str) -> float:
        """Return by how much more, 1/4 to 4; 1 for a node of which nothing is known."""


Action = Send | Refuse | Fail | Cancel | Probe | SetTimer | Subscribe | Log
