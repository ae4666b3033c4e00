"""Types, events and actions of the decision module.

Times are integer microseconds on the caller's clock and sizes are units. These types decide nothing: they
carry a head's observations to the module and the resulting actions back.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from harriertrack.decisions.bucket import Bucket


class Effect(Enum):
    """Whether a request of a class may run twice: at any time, with its key, or never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """The nodes among which repeats of a keyed request are dropped as duplicates."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class NodeState(Enum):
    """State of a node in the node list."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """Kind of an update of the node list."""

    CHANGES = "changes"
    FULL = "full"
    RESTORED = "restored"
    FAILED = "failed"


class Result(Enum):
    """Outcome of an attempt; the flag says whether it proves that the attempt never ran."""

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
    """Raise ValueError for a field that is no number or is below its least value."""
    for name in names:
        value = getattr(owner, name)
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < 1e18:
            where = f"{type(owner).__name__}.{name}"
            raise ValueError(f"{where} must be a number of at least {least}, not {value!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its worth, its latency target and deadline, and whether it may be repeated."""

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
    """A service plan; every value is per volume, in units, over all heads and nodes (0: none)."""

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
    """The settings of a head; zero or absent means that something does not apply."""

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
    """One entry of the node list."""

    node: str
    shard: int
    state: NodeState = NodeState.UP
    zone: str = ""
    started_us: int = 0
    kind: str = ""  # of machine; only compared for equality (empty: unknown)
    size: float = 0.0  # as registered, where `Settings.list_has_sizes` (0: unknown)


@dataclass(slots=True)
class NodesChanged:
    """The node list changed; `announced_at`: when this head received it, if it was stalled since (0: now)."""

    kind: ListKind
    entries: list[NodeEntry] = field(default_factory=list)
    announced_at: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A client's request; the head owes it one final answer within time_left_us.

    Where a head splits a client's request into parts, all but one are marked as further parts: a budget
    counts the client's requests. A part that was refused and held in the head for a client that waits arrives
    again: with `reoffered` its aim counts from now, `attempts_made` is the number of its attempts so far,
    `may_have_run_us` the time since the first of them that may have run was sent (-1: none), and
    `may_have_run_on` the entry of that attempt's node.
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
    repeat: bool = False  # the client's own retry
    further_part: bool = False
    reoffered: bool = False
    attempts_made: int = 0
    may_have_run_us: int = -1
    may_have_run_on: NodeEntry | None = None


@dataclass(slots=True)
class ResponseStarted:
    """A streamed response has started; from here on no deadline applies."""

    request: int
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended, with the load data that the node reported with its answer."""

    request: int
    attempt: int
    node: str
    result: Result
    elapsed_us: int
    request_over: bool  # the client has its answer, or left
    used_percent: int = 0  # meter reading of the volume's use plus one, 0 for none
    elsewhere: float = 0.0  # what the node served the volume through other heads
    load: tuple[float, ...] = ()


@dataclass(slots=True)
class ClientLeft:
    """The client left; no answer is owed any more."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer fired."""

    token: str


@dataclass(slots=True)
class ProbeEnded:
    """A probe ended."""

    node: str
    result: Result
    elapsed_us: int
    load: tuple[float, ...] = ()


@dataclass(slots=True)
class SettingsChanged:
    """Other values apply to the same classes and plans from now on.

    Earlier requests keep their deadlines; the levels of buckets are kept, up to the new capacity.
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
    """Start an attempt; with timeout_us 0 it may run until the client gives up."""

    request: int
    node: str
    timeout_us: int = 0


@dataclass(slots=True)
class Refuse:
    """Final answer: not done, and a retry is harmless; retry_after_us 0 gives no hint."""

    request: int
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: not served; whether it had an effect is unknown."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Cancel one attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class Probe:
    """Probe whether a node responds."""

    node: str


@dataclass(slots=True)
class SetTimer:
    """Deliver TimerFired to the module at a time."""

    token: str
    at_us: int


@dataclass(slots=True)
class Subscribe:
    """Request the changes of the node list from now on."""

    on: bool = True


@dataclass(slots=True)
class Log:
    """Write one line to the operators' log."""

    text: str


class BudgetShares(Protocol):
    """This head's shares of budgets that the fleet redistributes by demand; without it, even shares."""

    def limit(self, now: int, request: RequestArrived, plan: Plan) -> Bucket | None:
        """Count a request's demand; return this head's share of its volume's limit (None: an even share)."""

    def further(self, now: int, draw: bool) -> bool:
        """Return whether the fleet's budget allows a repeated attempt beyond this head's own share.

        `draw`: the attempt is made, and is charged to the budget.
        """

    def trial(self, now: int, node: str) -> bool:
        """Return whether this head may send a trial to a silent node now, and count it if so."""

    def cold(self, now: int, node: str, rate: float, units: float) -> float:
        """Return this head's share of `rate` units a second, which a cold node can take.

        `units` is the demand of this head that is counted for the share.
        """


class Weights(Protocol):
    """Agreed weights of nodes relative to an even share of the work; without it, all are 1."""

    def factor(self, node: str) -> float:
        """Return a node's weight, from 1/4 to 4; 1 if nothing is known of the node."""


Action = Send | Refuse | Fail | Cancel | Probe | SetTimer | Subscribe | Log
