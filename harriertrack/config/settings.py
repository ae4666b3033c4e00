"""The settings of a head and of a storage node stand-in, checked before anything starts.

Fields ending in `_us` are durations in microseconds, `_bytes` sizes in bytes. Rates are units a second for a
volume over all heads; a unit is `unit_bytes` of payload.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from enum import Enum, StrEnum
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated

import msgspec

from harriertrack.config.sexp import Form, SettingsError, bind, head_word, read_text
from harriertrack.decisions import interface as api
from harriertrack.decisions.patience import PatienceRules, Waiting
from harriertrack.decisions.regions import Mode
from harriertrack.decisions.requests import ClassRule, RequestRules
from harriertrack.decisions.splitting import Kind

Positive = Annotated[int, msgspec.Meta(ge=1)]
Whole = Annotated[int, msgspec.Meta(ge=0)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e15)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9._:-]+$")]
BlockSize = Annotated[int, msgspec.Meta(ge=512, multiple_of=512)]


class Service(Enum):
    """How a storage node's service times are distributed around their mean."""

    FIXED = "fixed"
    EXPONENTIAL = "exponential"
    GAMMA = "gamma"
    LOGNORMAL = "lognormal"
    WEIBULL = "weibull"


class Checked(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A part of the settings: unknown fields are errors."""


class ClassSettings(Checked, frozen=True, kw_only=True):
    """A class of requests, and which requests belong to it: the first class whose kind and size fit."""

    name: Name
    kinds: tuple[Kind, ...]
    at_least_bytes: Whole = 0
    aim_us: Positive
    deadline_us: Positive
    worth: Amount = 1.0
    late_worth: Share = 0.0
    effect: api.Effect = api.Effect.UNSAFE
    group: api.Group = api.Group.CELL
    window_us: Whole = 0
    in_order: bool = False


class PlanSettings(Checked, frozen=True, kw_only=True):
    """A service plan, per volume over all heads."""

    name: Name
    rate: Amount = 0.0
    reserve: Amount = 0.0
    limit: Amount = 0.0
    limit_burst: Amount = 0.0
    limit_slack: Amount = 0.0
    weight: Amount = 1.0
    price: Amount = 1.0


class VolumeRegionSettings(Checked, frozen=True, kw_only=True):
    """A volume of two regions: where it belongs, and when a write is acknowledged."""

    home: Name
    mode: Mode = Mode.BOTH
    copy_us: Positive = 400_000
    behind_us: Positive = 2_000_000
    behind_writes: Positive = 1_000
    takeover_us: Whole = 300_000
    settle_us: Whole = 2_000_000


class RegionSettings(Checked, frozen=True, kw_only=True):
    """The head's region, the other one, that one's head, and the witness."""

    name: Name
    other: Name
    peer: tuple[str, Port]
    witness: tuple[str, Port]
    ttl_us: Positive = 3_000_000
    clock_error: Annotated[float, msgspec.Meta(ge=0, le=0.1)] = 0.01
    tick_us: Positive = 100_000
    fresh_us: Positive = 1_000_000


class VolumeSettings(Checked, frozen=True, kw_only=True):
    """A volume, which is one export. `shards` names where its extents were allocated beforehand, in turn."""

    name: Name
    size_bytes: Positive
    plan: Name
    hosts: Positive = 1
    shards: tuple[Whole, ...] = ()
    read_only: bool = False
    tenant: str = ""  # whose it is, for cells; empty: the volume's own name
    waiting: Waiting = Waiting.BY_CLIENT
    patience_us: Positive = 300_000_000  # how long clients that wait are kept waiting before they are refused
    regions: VolumeRegionSettings | None = None


class NodeSettings(Checked, frozen=True, kw_only=True):
    """A storage node of a list in a file."""

    name: Name
    address: tuple[str, Port]
    shard: Whole
    zone: str = ""
    state: api.NodeState = api.NodeState.UP
    started_us: Whole = 0


class EntranceSettings(Checked, frozen=True, kw_only=True):
    """An address of a list service stand-in, and the nodes it names there: each asker may have its own."""

    name: Name
    listen: tuple[str, Port]
    nodes: tuple[NodeSettings, ...] = ()


class ListServiceSettings(Checked, frozen=True, kw_only=True):
    """A list service stand-in."""

    entrances: tuple[EntranceSettings, ...]


class ConsulSettings(Checked, frozen=True, kw_only=True):
    """Where the node list is asked: a health endpoint as Consul's HTTP API has it."""

    address: tuple[str, Port]
    service: Name = "shelf"
    wait_us: Positive = 10_000_000
    timeout_us: Positive = 2_000_000


class NodeListSettings(Checked, frozen=True, kw_only=True):
    """The node list's source: a file that is read again when it changes, or HTTP."""

    file: str = ""
    poll_us: Positive = 500_000
    consul: ConsulSettings | None = None


class RuleSettings(Checked, frozen=True, kw_only=True):
    """The figures of the rules; zero means that a thing does not apply."""

    drain_grace_us: Whole = 2_000_000
    fall_multiple: Amount = 2.0
    fall_us: Whole = 2_000_000
    cold_share: Share = 1.0
    warm_us: Whole = 0
    cold_units: Amount = 0.0
    budget_free: Amount = 0.0
    budget_share: Amount = 0.0
    budget_window_us: Whole = 0
    order_settle_us: Whole = 0


class LimitSettings(Checked, frozen=True, kw_only=True):
    """What bounds a head's memory and connections."""

    connections: Positive = 1024
    in_flight: Positive = 128
    in_flight_bytes: Positive = 32 << 20  # of the open writes of one connection
    offers: Annotated[float, msgspec.Meta(ge=1, le=1e6)] = 2_000.0  # a second, of requests that waited
    held: Positive = 20_000
    held_bytes: Positive = 256 << 20  # of open writes
    borrow: Share = 0.0  # the part of these that cells may use beyond their even parts
    orphans: Positive = 1024
    dial_us: Positive = 250_000
    idle_us: Positive = 30_000_000
    handshake_us: Positive = 10_000_000


class Digest(StrEnum):
    """What NVMe/TCP may protect with a CRC32C."""

    HEADER = "header"
    DATA = "data"


class NvmeSettings(Checked, frozen=True, kw_only=True):
    """The NVMe/TCP front."""

    listen: tuple[str, Port]
    nqn: Annotated[str, msgspec.Meta(pattern=r"^nqn\.\d{4}-\d{2}\.[^\s:]+:\S+$", max_length=223)]
    digests: tuple[Digest, ...] = (Digest.HEADER, Digest.DATA)  # granted to hosts that ask
    queues: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 64  # for I/O, of one controller
    entries: Annotated[int, msgspec.Meta(ge=32, le=1024)] = 128  # of one queue
    asked_bytes: Positive = 8 << 20  # of one queue's commands: data that was asked for and is on its way
    patience_us: Positive = 20_000_000  # hosts that wait do so no longer: theirs reset a mute controller


class FleetSeedSettings(Checked, frozen=True, kw_only=True):
    """A member that is asked on joining."""

    name: Name
    address: tuple[str, Port]


class BudgetUse(Enum):
    """What heads divide among themselves; decisions/fleet/portions.py tells what each is."""

    LIMITS = "limits"
    ATTEMPTS = "attempts"
    TRIALS = "trials"
    COLD = "cold"
    LIST_CALLS = "list-calls"
    TAKEOVERS = "takeovers"
    CONNECTIONS = "connections"
    LINKS = "links"


class BudgetSettings(Checked, frozen=True, kw_only=True):
    """One kind of budget. Plans say the wholes of limits, the rules those of cold nodes."""

    name: BudgetUse
    fixed: Share = 0.1  # the part that is divided evenly beforehand and never moves
    whole: Amount = 0.0  # a second; of links: at a time
    burst: Amount = 0.0  # at once


class BudgetFigures(Checked, frozen=True, kw_only=True):
    """The figures of dividing; decisions/fleet/budgets.py tells what each is."""

    lease_us: Positive = 1_000_000
    ask_us: Positive = 300_000
    quick_us: Positive = 50_000
    round_us: Positive = 50_000
    clock_error: Annotated[float, msgspec.Meta(ge=0, le=0.2)] = 0.001
    term_us: Positive = 10_000_000
    patience_us: Positive = 2_000_000
    contenders: Positive = 5
    weight: Annotated[float, msgspec.Meta(ge=0.01, le=100)] = 1.0


class BudgetsSettings(BudgetFigures, frozen=True, kw_only=True):
    """What the heads of a fleet divide anew as each needs it, and where the lock on that is."""

    witness: tuple[str, Port]
    timeout_us: Positive = 1_000_000
    ledgers: Annotated[int, msgspec.Meta(ge=1, le=64)] = 1
    budgets: tuple[BudgetSettings, ...] = ()


class ZonesSettings(Checked, frozen=True, kw_only=True):
    """How the fleet leaves zones and returns; decisions/fleet/evacuation.py tells what each figure is."""

    gone: Share = 0.8
    gone_us: Positive = 300_000
    fresh_us: Positive = 1_500_000
    heads: Positive = 2
    wait_us: Positive = 1_000_000
    most_wait_us: Positive = 60_000_000
    tries: Positive = 3
    turn_us: Positive = 3_000_000
    answers: Share = 0.7
    first: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.1
    growth: Annotated[float, msgspec.Meta(gt=1, le=10)] = 1.6
    step_us: Positive = 1_000_000
    hurts: Share = 0.2
    calm_us: Positive = 120_000_000
    told_us: Positive = 3_000_000


class ClosingSettings(Checked, frozen=True, kw_only=True):
    """Purges at local close; decisions/fleet/closing tells what each figure is.

    `volumes` are patterns of those that calendars may touch, on this head.
    """

    volumes: tuple[str, ...]
    notice_us: Annotated[int, msgspec.Meta(ge=1_000_000)] = 60_000_000
    ask_us: Positive = 5_000_000
    error_us: Positive = 250_000  # a sane machine's wall clock is at most so far from true time
    drift: Annotated[float, msgspec.Meta(ge=0, le=0.05)] = 0.0005
    rate: Annotated[float, msgspec.Meta(gt=0, le=1e6)] = 200.0  # trims a second, all heads together
    burst: Annotated[float, msgspec.Meta(ge=1, le=1e4)] = 8.0
    in_flight: Positive = 4
    spread_us: Whole = 500_000


class FleetFigures(Checked, frozen=True, kw_only=True):
    """The figures of a fleet's protocol; membership/fleet/swim.py tells what each is."""

    probe_us: Positive = 1_000_000
    answer_us: Positive = 500_000
    helpers: Positive = 3
    suspicion: Annotated[float, msgspec.Meta(ge=1, le=100)] = 5.0
    slack: Annotated[float, msgspec.Meta(ge=1, le=100)] = 6.0
    confirmations: Positive = 3
    gossip_us: Positive = 200_000
    fanout: Positive = 3
    repeats: Annotated[float, msgspec.Meta(ge=1, le=100)] = 6.0
    sync_us: Positive = 30_000_000
    reach_us: Positive = 10_000_000
    recent_us: Positive = 30_000_000
    forget_us: Positive = 24 * 3600 * 1_000_000
    members: Annotated[int, msgspec.Meta(ge=2, le=10_000)] = 1024
    note_us: Positive = 5_000_000
    leave_us: Positive = 1_000_000


class FleetSettings(FleetFigures, frozen=True, kw_only=True):
    """The head as a member of a fleet."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._:-]+$")]
    listen: tuple[str, Port]  # datagrams, and over TCP whoever asks for the view
    advertise: tuple[str, Port] = ("", 0)  # where others reach it, if elsewhere
    fleet: Annotated[str, msgspec.Meta(min_length=1, max_length=64)] = "fleet"
    cell: Annotated[str, msgspec.Meta(max_length=64)] = ""
    seeds: tuple[FleetSeedSettings, ...] = ()
    budgets: BudgetsSettings | None = None  # None: each head takes an even part
    zones: ZonesSettings | None = None  # None: each head helps itself when a zone fails
    closing: ClosingSettings | None = None  # None: nothing is purged at closes


class HeadSettings(Checked, frozen=True, kw_only=True):
    """Everything that a head is told at its start."""

    listen: tuple[str, Port] = ("127.0.0.1", 10809)
    state_dir: str
    heads: Positive = 1
    zone: str = ""
    seed: Whole = 0
    extent_bytes: BlockSize = 1 << 20
    unit_bytes: BlockSize = 4096
    mean_units: Amount = 1.0
    most_units: Amount = 256.0
    tick_us: Positive = 1000
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=255)] = 3
    may_cancel: bool = True
    max_hint_us: Whole = 500_000
    meter_us: Whole = 0
    plain_nodes: bool = False
    node_list: NodeListSettings
    rules: RuleSettings = RuleSettings()
    limits: LimitSettings = LimitSettings()
    region: RegionSettings | None = None
    cell_map: str = ""  # a file; empty: the whole fleet is one cell
    nvme: NvmeSettings | None = None
    fleet: FleetSettings | None = None  # None: the head knows of no other
    classes: tuple[ClassSettings, ...]
    plans: tuple[PlanSettings, ...]
    volumes: tuple[VolumeSettings, ...]


class ShelfSettings(Checked, frozen=True, kw_only=True):
    """A storage node stand-in: an NBD server that models a node's time."""

    listen: tuple[str, Port] = ("127.0.0.1", 10810)
    name: Name = "shelf"
    shard: Whole = 0
    zone: str = ""
    extent_bytes: BlockSize = 1 << 20
    unit_bytes: BlockSize = 4096
    cores: Positive = 2
    unit_us: Whole = 500
    request_us: Whole = 100
    queue: Positive = 64
    remembers: Whole = 2
    discount: Share = 0.0
    deferred: Share = 0.0
    flush_us: Positive = 2_000_000
    service: Service = Service.FIXED
    service_cv: Annotated[float, msgspec.Meta(ge=0, le=10)] = 0.0
    window_us: Whole = 2_500_000
    cold_share: Share = 1.0
    warm_us: Whole = 0
    fall_multiple: Amount = 2.0
    fall_us: Positive = 2_000_000
    cold_units: Amount = 0.0
    extended: bool = True
    volumes: tuple[VolumeSettings, ...]


def given_twice(names: Iterable[str]) -> list[str]:
    """Return the names that are given more than once, in the order of their first appearance."""
    return [name for name, times in Counter(names).items() if times > 1]


def read_file(path: str) -> Form:
    """Read a file that holds one form. Raises SettingsError."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}:1: can't be read: {error}") from error
    return read_text(text, path)


def load(path: str) -> HeadSettings | ShelfSettings:
    """Read and check a settings file. Raises SettingsError with file, line and field."""
    return parse(read_file(path), path)


def parse(form: Form, source: str) -> HeadSettings | ShelfSettings:
    """Check a form of a head or a shelf. Raises SettingsError with file, line and field."""
    word = head_word(form, source)
    if word == "head":
        head = bind(form, HeadSettings, source)
        check_head(head, f"{source}:{form.line}")
        return head
    if word == "shelf":
        return bind(form, ShelfSettings, source)
    raise SettingsError(f"{source}:{form.line}: {word}: expected (head ...) or (shelf ...)")


def load_nodes(path: str) -> tuple[NodeSettings, ...]:
    """Read a node list file, `(node-list (node ...) ...)`. Raises SettingsError."""

    class NodeListFile(Checked, frozen=True, kw_only=True):
        """The file's one form."""

        nodes: tuple[NodeSettings, ...] = ()

    nodes = bind(read_file(path), NodeListFile, path).nodes
    if twice := given_twice(node.name for node in nodes):
        raise SettingsError(f"{path}:1: node-list: {', '.join(sorted(twice))} is named twice")
    return nodes


def load_list_service(path: str) -> ListServiceSettings:
    """Read a list service's file, `(list-service (entrance ...) ...)`. Raises SettingsError."""
    form = read_file(path)
    if head_word(form, path) != "list-service":
        raise SettingsError(f"{path}:{form.line}: expected (list-service ...)")
    settings = bind(form, ListServiceSettings, path)
    if twice := given_twice(one.name for one in settings.entrances):
        raise SettingsError(f"{path}:{form.line}: entrance {twice[0]}: given twice")
    return settings


OWN = (Kind.OWN_READ, Kind.CATCH_UP, Kind.MOVE)  # kinds that no client asks


def check_head(head: HeadSettings, where: str) -> None:
    """Check what the fields' types can't: references, doubles, sums. Raises SettingsError."""

    def fail(field: str, why: str) -> None:
        raise SettingsError(f"{where}: {field}: {why}")

    def needs(field: str, *kinds: Kind) -> None:
        for kind in kinds:
            if not any(kind in one.kinds for one in head.classes):
                fail(field, f"no class takes {kind.value}")

    for what, items in (("class", head.classes), ("plan", head.plans), ("volume", head.volumes)):
        if not items:
            fail(what, "at least one is needed")
        for name in given_twice(item.name for item in items):
            fail(f"{what} {name}", "given twice")
    for kind in Kind:
        takes_all = any(kind in one.kinds and not one.at_least_bytes for one in head.classes)
        if kind not in (Kind.CACHE, *OWN) and not takes_all:
            fail("class", f"no class takes every {kind.value}")
    for one in head.classes:
        if one.aim_us > one.deadline_us:
            fail(f"class {one.name}: aim", "later than the deadline")
        if one.effect is api.Effect.KEYED and not one.window_us:
            fail(f"class {one.name}: window", "a keyed class needs the time for which repeats are dropped")
    if head.cell_map:
        needs("cell-map", Kind.OWN_READ, Kind.MOVE)
    plans = {plan.name for plan in head.plans}
    for volume in head.volumes:
        if volume.plan not in plans:
            fail(f"volume {volume.name}: plan", f"no plan {volume.plan}")
        if volume.size_bytes % 512:
            fail(f"volume {volume.name}: size", "not a multiple of 512 bytes")
        if volume.hosts > 1 and not volume.shards:
            fail(f"volume {volume.name}: shards", "several heads need extents allocated beforehand")
        if (spread := volume.regions) is not None:
            where_ = f"volume {volume.name}: regions"
            if head.region is None:
                fail(where_, "the head's own region is not set")
            elif spread.home not in (head.region.name, head.region.other):
                fail(where_, f"home {spread.home} is neither {head.region.name} nor {head.region.other}")
            if volume.hosts > 1:
                fail(where_, "such a volume is served by one head in each region")
            needs(where_, Kind.OWN_READ, Kind.CATCH_UP)
            for one in head.classes if head.cell_map else ():
                if Kind.MOVE in one.kinds and one.deadline_us > spread.copy_us:
                    # Copies that wait for an extent to be moved would make the other region count as gone.
                    fail(f"class {one.name}: deadline", f"longer than volume {volume.name} waits for a copy")
        if volume.hosts > head.heads:
            fail(f"volume {volume.name}: hosts", f"{volume.hosts}, but there are {head.heads} heads")
    for plan in head.plans:
        if plan.limit and plan.limit_burst < head.most_units:
            fail(f"plan {plan.name}: limit-burst", "below most-units: the largest request could never go")
    if head.fleet is not None:
        _check_fleet(head.fleet, fail)
        if head.fleet.budgets is not None:
            _check_budgets(head, head.fleet.budgets, fail)
        elif head.fleet.zones is not None:
            fail("fleet: zones", "needs budgets: who decides on zones does so under a lock at their witness")
    if head.extent_bytes > head.most_units * head.unit_bytes:
        fail("most-units", "smaller than a whole extent")
    if head.extent_bytes % head.unit_bytes:
        fail("unit", "an extent is no whole number of units")
    if bool(head.node_list.file) == bool(head.node_list.consul):
        fail("node-list", "name either a file or consul")


def _check_fleet(fleet: FleetSettings, fail: Callable[[str, str], None]) -> None:
    shown = fleet.advertise if fleet.advertise[0] else fleet.listen
    hosts = [("listen", fleet.listen[0]), ("advertise", shown[0])]
    hosts += [(f"seed {seed.name}: address", seed.address[0]) for seed in fleet.seeds]
    for field, host in hosts:
        try:
            address = ip_address(host)
        except ValueError:
            # A name would be looked up at each datagram, and the head stand still meanwhile.
            fail(f"fleet: {field}", f"{host} is no IP address")
        if address.is_unspecified and field != "listen":
            fail(f"fleet: {field}", f"others can't reach {host}: say what to advertise")
    for name in given_twice(seed.name for seed in fleet.seeds):
        fail(f"fleet: seed {name}", "given twice")
    if fleet.answer_us >= fleet.probe_us:
        fail("fleet: answer", "must be shorter than probe, so that others can be asked in time")


def _check_budgets(head: HeadSettings, set_: BudgetsSettings, fail: Callable[[str, str], None]) -> None:
    if head.heads < 2:
        fail("fleet: budgets", "there is nothing to divide: heads is 1")
    if 2 * set_.ask_us > set_.lease_us:
        fail("fleet: budgets: ask", "longer than half a lease: one lost message would end it")
    if set_.term_us < 2 * set_.lease_us:
        fail("fleet: budgets: term", "shorter than two leases")
    for name in given_twice(one.name.value for one in set_.budgets):
        fail(f"fleet: budget {name}", "given twice")
    for one in set_.budgets:
        at = f"fleet: budget {one.name.value}"
        if one.name in (BudgetUse.LIMITS, BudgetUse.COLD):
            if one.whole or one.burst:
                fail(f"{at}: whole", "the plans and rules say how much that is")
        elif one.name is BudgetUse.LINKS:
            if one.whole * one.fixed < head.heads or one.burst:
                fail(f"{at}: whole", "needs no burst, and a fixed part of at least one for each head")
        elif one.whole <= 0 or one.burst < 1:
            fail(f"{at}: whole", "needs a whole above 0 and a burst of at least 1")
        if one.name is BudgetUse.ATTEMPTS and not head.rules.budget_window_us:
            fail(at, "the rules set no budget-window")
        if one.name is BudgetUse.TAKEOVERS and head.region is None:
            fail(at, "the head's own region is not set")
        if one.name is BudgetUse.COLD and not head.rules.cold_units:
            fail(at, "the rules set no cold-units")
        if one.name is BudgetUse.LIST_CALLS and head.node_list.consul is None:
            fail(at, "the node list is a file")
        if one.name is not BudgetUse.LIMITS:
            continue
        plans = {plan.name: plan for plan in head.plans}
        for volume in head.volumes:
            plan = plans[volume.plan]
            alone = plan.limit_burst * one.fixed / volume.hosts  # what a head that reaches nobody has
            if volume.hosts > 1 and plan.limit and alone < head.most_units:
                fail(f"plan {plan.name}: limit-burst",
                     f"the fixed part of each of {volume.hosts} hosts of volume {volume.name} is {alone:g}, "
                     f"below most-units: a head alone could never send the largest request")  # fmt: skip


def _effect(one: ClassSettings, plain_nodes: bool) -> api.Effect:
    return api.Effect.UNSAFE if plain_nodes and one.effect is api.Effect.KEYED else one.effect


def module_settings(head: HeadSettings) -> api.Settings:
    """Build what the decision module is told.

    On plain nodes no rack drops repeats: there every class that would be keyed is unsafe.
    """
    return api.Settings(
        heads=head.heads,
        classes=tuple(
            api.RequestClass(
                name=one.name, aim_us=one.aim_us, deadline_us=one.deadline_us, worth=one.worth,
                late_worth=one.late_worth,
                effect=_effect(one, head.plain_nodes),
                group=one.group, window_us=one.window_us, in_order=one.in_order,
                writes=Kind.WRITE in one.kinds,
            )
            for one in head.classes
        ),
        plans=tuple(
            api.Plan(plan.name, plan.rate, plan.reserve, plan.limit, plan.limit_burst, plan.limit_slack,
                     plan.weight, plan.price)
            for plan in head.plans
        ),
        asked_list=True,
        zone=head.zone,
        max_attempts=head.max_attempts,
        may_cancel=head.may_cancel,
        may_hint=True,
        max_hint_us=head.max_hint_us,
        drain_grace_us=head.rules.drain_grace_us,
        fall_multiple=head.rules.fall_multiple,
        fall_us=head.rules.fall_us,
        cold_share=head.rules.cold_share,
        warm_us=head.rules.warm_us,
        cold_units=head.rules.cold_units,
        budget_free=head.rules.budget_free,
        budget_share=head.rules.budget_share,
        budget_window_us=head.rules.budget_window_us,
        order_settle_us=head.rules.order_settle_us,
        mean_units=head.mean_units,
        most_units=head.most_units,
        meter_us=head.meter_us,
        tick_us=head.tick_us,
    )  # fmt: skip


def request_rules(head: HeadSettings) -> RequestRules:
    """Build what the core of a head is told."""
    return RequestRules(
        extent_bytes=head.extent_bytes,
        unit_bytes=head.unit_bytes,
        tick_us=head.tick_us,
        held=head.limits.held,
        classes=tuple(
            ClassRule(
                one.name, frozenset(one.kinds), one.at_least_bytes, one.deadline_us, one.in_order,
                one.window_us if _effect(one, head.plain_nodes) is api.Effect.KEYED else 0,
            )
            for one in head.classes
        ),
        patience=PatienceRules(head.limits.offers, 2 * head.tick_us, max(head.max_hint_us, 2 * head.tick_us)),
    )
