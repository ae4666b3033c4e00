"""Checks beyond the types of fields: references, duplicate names, and relations between fields."""

from __future__ import annotations

from collections.abc import Callable
from fnmatch import fnmatchcase
from ipaddress import ip_address

from harriertrack.config.settings.basis import find_duplicates
from harriertrack.config.settings.fleet import BudgetName, ClosingSettings, FleetBudgetSettings, FleetSettings
from harriertrack.config.settings.head import HeadSettings
from harriertrack.config.sexp import SettingsError
from harriertrack.decisions import interface as api
from harriertrack.decisions.splitting import Kind

INTERNAL_KINDS = (Kind.OWN_READ, Kind.CATCH_UP, Kind.MOVE)  # requests of the head itself, never of clients


def check_head(head: HeadSettings, where: str) -> None:
    """Check references, duplicate names and relations between fields. Raises SettingsError."""

    def fail(field: str, why: str) -> None:
        raise SettingsError(f"{where}: {field}: {why}")

    def require_class(field: str, *kinds: Kind) -> None:
        for kind in kinds:
            if not any(kind in one.kinds for one in head.classes):
                fail(field, f"no class takes {kind.value}")

    for section, items in (("class", head.classes), ("plan", head.plans), ("volume", head.volumes)):
        if not items:
            fail(section, "at least one is needed")
        for name in find_duplicates(item.name for item in items):
            fail(f"{section} {name}", "given twice")
    for kind in Kind:
        accepts_all = any(kind in one.kinds and not one.at_least_bytes for one in head.classes)
        if kind not in (Kind.CACHE, *INTERNAL_KINDS) and not accepts_all:
            fail("class", f"no class takes every {kind.value}")
    for one in head.classes:
        if one.aim_us > one.deadline_us:
            fail(f"class {one.name}: aim", "later than the deadline")
        if one.effect is api.Effect.KEYED and not one.window_us:
            fail(f"class {one.name}: window", "a keyed class needs the time for which repeats are dropped")
    if head.cell_map:
        require_class("cell-map", Kind.OWN_READ, Kind.MOVE)
    plans = {plan.name for plan in head.plans}
    for volume in head.volumes:
        if volume.plan not in plans:
            fail(f"volume {volume.name}: plan", f"no plan {volume.plan}")
        if volume.size_bytes % 512:
            fail(f"volume {volume.name}: size", "not a multiple of 512 bytes")
        if volume.hosts > 1 and not volume.shards:
            fail(f"volume {volume.name}: shards", "several heads need extents allocated beforehand")
        if (regions := volume.regions) is not None:
            field = f"volume {volume.name}: regions"
            if head.region is None:
                fail(field, "the head's own region is not set")
            elif regions.home not in (head.region.name, head.region.other):
                fail(field, f"home {regions.home} is neither {head.region.name} nor {head.region.other}")
            if volume.hosts > 1:
                fail(field, "such a volume is served by one head in each region")
            require_class(field, Kind.OWN_READ, Kind.CATCH_UP)
            for one in head.classes if head.cell_map else ():
                if Kind.MOVE in one.kinds and one.deadline_us > regions.copy_us:
                    # Copies that wait for the move of an extent would make the other region count as gone.
                    fail(f"class {one.name}: deadline", f"longer than volume {volume.name} waits for a copy")
        if volume.hosts > head.heads:
            fail(f"volume {volume.name}: hosts", f"{volume.hosts}, but there are {head.heads} heads")
    for plan in head.plans:
        if plan.limit and plan.limit_burst < head.most_units:
            fail(f"plan {plan.name}: limit-burst", "below most-units: the largest request could never go")
    if head.fleet is not None:
        _check_fleet(head.fleet, fail)
        if head.fleet.closing is not None:
            _check_closing(head, head.fleet.closing, fail)
        if head.fleet.budgets is not None:
            _check_budgets(head, head.fleet.budgets, fail)
        elif head.fleet.zones is not None:
            fail("fleet: zones", "needs budgets: who decides on zones does so under a lock at their witness")
        elif head.fleet.changes is not None:
            fail("fleet: changes", "needs budgets: the record of changes lies at their witness")
    if head.extent_bytes > head.most_units * head.unit_bytes:
        fail("most-units", "smaller than a whole extent")
    if head.extent_bytes % head.unit_bytes:
        fail("unit", "an extent is no whole number of units")
    if bool(head.node_list.file) == bool(head.node_list.consul):
        fail("node-list", "name either a file or consul")


def _check_closing(head: HeadSettings, closing: ClosingSettings, fail: Callable[[str, str], None]) -> None:
    if head.fleet is not None and head.fleet.changes is None:
        fail("fleet: closing", "needs changes: calendars are on the fleet's record of them")
    if not any(Kind.MOVE in one.kinds for one in head.classes):
        fail("fleet: closing", f"no class takes {Kind.MOVE.value}, which trims are")
    for volume in head.volumes:
        is_purged = any(fnmatchcase(volume.name, one) for one in closing.volumes)
        if volume.regions is not None and volume.shards and is_purged:
            # Each region would have to sweep its own nodes, but sweeps are announced by volume alone.
            why = f"{volume.name} is of two regions, with extents allocated beforehand: not purged"
            fail("fleet: closing: volumes", why)
    if closing.ask_us * 4 > closing.notice_us * 3:
        fail("fleet: closing: ask", "must be shorter than three quarters of the notice")


def _check_fleet(fleet: FleetSettings, fail: Callable[[str, str], None]) -> None:
    advertised = fleet.advertise if fleet.advertise[0] else fleet.listen
    hosts = [("listen", fleet.listen[0]), ("advertise", advertised[0])]
    hosts += [(f"seed {seed.name}: address", seed.address[0]) for seed in fleet.seeds]
    for field, host in hosts:
        try:
            address = ip_address(host)
        except ValueError:
            # A host name would be resolved for each datagram, and the resolver would block the head.
            fail(f"fleet: {field}", f"{host} is no IP address")
        if address.is_unspecified and field != "listen":
            fail(f"fleet: {field}", f"others can't reach {host}: say what to advertise")
    for name in find_duplicates(seed.name for seed in fleet.seeds):
        fail(f"fleet: seed {name}", "given twice")
    if fleet.answer_us >= fleet.probe_us:
        fail("fleet: answer", "must be shorter than probe, so that others can be asked in time")


def _check_budgets(
    head: HeadSettings, budgets: FleetBudgetSettings, fail: Callable[[str, str], None]
) -> None:
    if head.heads < 2:
        fail("fleet: budgets", "there is nothing to divide: heads is 1")
    if 2 * budgets.ask_us > budgets.lease_us:
        fail("fleet: budgets: ask", "longer than half a lease: one lost message would end it")
    if budgets.term_us < 2 * budgets.lease_us:
        fail("fleet: budgets: term", "shorter than two leases")
    for name in find_duplicates(one.name.value for one in budgets.budgets):
        fail(f"fleet: budget {name}", "given twice")
    for one in budgets.budgets:
        field = f"fleet: budget {one.name.value}"
        if one.name in (BudgetName.LIMITS, BudgetName.COLD):
            if one.whole or one.burst:
                fail(f"{field}: whole", "the plans and rules say how much that is")
        elif one.name is BudgetName.LINKS:
            if one.whole * one.fixed < head.heads or one.burst:
                fail(f"{field}: whole", "needs no burst, and a fixed part of at least one for each head")
        elif one.whole <= 0 or one.burst < 1:
            fail(f"{field}: whole", "needs a whole above 0 and a burst of at least 1")
        if one.name is BudgetName.ATTEMPTS and not head.rules.budget_window_us:
            fail(field, "the rules set no budget-window")
        if one.name is BudgetName.TAKEOVERS and head.region is None:
            fail(field, "the head's own region is not set")
        if one.name is BudgetName.COLD and not head.rules.cold_units:
            fail(field, "the rules set no cold-units")
        if one.name is BudgetName.LIST_CALLS and head.node_list.consul is None:
            fail(field, "the node list is a file")
        if one.name is not BudgetName.LIMITS:
            continue
        plans = {plan.name: plan for plan in head.plans}
        for volume in head.volumes:
            plan = plans[volume.plan]
            # the burst of a head that reaches no other head
            burst = plan.limit_burst * one.fixed / volume.hosts
            if volume.hosts > 1 and plan.limit and burst < head.most_units:
                fail(f"plan {plan.name}: limit-burst",
                     f"the fixed part of each of {volume.hosts} hosts of volume {volume.name} is {burst:g}, "
                     f"below most-units: a head alone could never send the largest request")  # fmt: skip
