"""A running head goes by each setting that is declared to change in service, and turns down all others."""

from collections.abc import Iterator
from dataclasses import fields
from enum import Enum

import msgspec
import pytest

from harriertrack.config.settings import HeadSettings, ShelfSettings, VolumeSettings, parse
from harriertrack.config.settings.changing import _struct, check_change, declared, differences
from harriertrack.config.sexp import SettingsError, bind, read_text, spoken_names
from harriertrack.decisions.fleet.changes.record import Version
from harriertrack.decisions.fleet.budget_shares import BudgetKind
from harriertrack.decisions.interface import NodeEntry
from harriertrack.gateway.client import NbdClient
from harriertrack.gateway.fleet.settings_user import SettingsUser
from harriertrack.gateway.head import Head, Wiring
from harriertrack.membership.fleet.swim import Rules
from harriertrack.membership.nodes import Member
from harriertrack.protocol.nbd.wire import Command, Errno
from harriertrack.runtime.datagrams import MemoryDatagrams
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import MemoryNetwork
from harriertrack.standin.list_service import ListService
from harriertrack.standin.node import ShardStorage
from harriertrack.standin.node_server import NodeServer
from harriertrack.storage.extents import ExtentMap

S, EXTENT = 1_000_000, 1 << 16
TEXT = """
(head
  (listen "127.0.0.1" 0) (state-dir "unused") (heads 4) (extent 64KiB) (most-units 16)
  (node-list (consul (address "127.0.0.1" 8500)))
  (rules (budget-window 10s) (cold-units 4) (budget-free 1))
  (nvme (listen "127.0.0.1" 0) (nqn "nqn.2026-01.org.example:one"))
  (fleet "a" (listen "127.0.0.1" 40000) (seed "b" (address "127.0.0.1" 40001))
    (budgets (witness "127.0.0.1" 8501) (budget "limits") (budget "trials" (whole 10) (burst 4)))
    (zones) (changes (rollout)) (closing (volumes "v"))
    (scoring (scorer "least-latency" (parameter "power" (value 2)))))
  (class "read" (kinds read flush) (aim 300ms) (deadline 1500ms) (effect safe))
  (class "write" (kinds write trim write-zeroes own-read catch-up move) (aim 500ms) (deadline 2500ms) (effect keyed)
    (window 2500ms))
  (plan "gold" (limit 1000) (limit-burst 4000) (weight 2))
  (volume "v" (size 4MiB) (plan "gold")))
"""
DISK = VolumeSettings(name="v", size_bytes=64 * EXTENT, plan="gold")


def started(text=TEXT):
    return parse(read_text(text, "head.sexp"), "head.sexp")


def play(test, text=TEXT):
    """Run a head with one storage node on a virtual hub, and a test beside it."""
    hub = Hub.virtual(1)
    net = MemoryNetwork(hub)

    def main():
        with hub.scope("site") as scope:
            listing = ListService(hub, net)
            listing.start(scope)
            shelf = NodeServer(hub, net, ShelfSettings(listen=("127.0.0.1", 0), extent_bytes=EXTENT, unit_us=200,
                                                  window_us=20 * S, volumes=(DISK,)), ShardStorage(EXTENT))  # fmt: skip
            shelf.start(scope)
            listing.set_member(Member(NodeEntry("shelf", 0), shelf.address))
            lists = msgspec.structs.replace(started(text).node_list.consul, address=listing.address)
            told = msgspec.structs.replace(
                started(text), node_list=msgspec.structs.replace(started(text).node_list, consul=lists))  # fmt: skip
            notes = []
            head = Head(hub, net, told, lambda event, **more: notes.append((event, more)), ExtentMap(None),
                        wiring=Wiring(datagrams=MemoryDatagrams(hub)))  # fmt: skip
            scope.spawn("head", head.run)
            head.ready.wait()
            hub.sleep(100_000)
            head.user, head.shelf, head.notes, head.scope = (
                SettingsUser(told, head.apply_settings, head._note),
                shelf,
                notes,
                scope,
            )
            test(head)
            scope.cancel()

    hub.run(main)


def version(body, number=1):
    return Version("settings", number, number - 1, body, "ops", 0, "why")


def take(head, body):
    """Take a version; return why not."""
    return head.user.take("settings", version(body))


# -- each setting by its declaration


def settings_of(part, path=(), word="") -> Iterator[tuple[str, tuple, object]]:
    """Yield each setting of a value: its declared path, the way to it, and its field."""
    words = spoken_names(type(part))
    for field in msgspec.structs.fields(part):
        held, here = getattr(part, field.name), f"{word}: {words[field.name]}" if word else words[field.name]
        if _struct(field.type) is None:
            yield here, (*path, field.name), field
        elif isinstance(held, tuple) and held:
            yield from settings_of(held[0], (*path, (field.name, 0)), here)
        elif held is not None and held != ():
            yield from settings_of(held, (*path, field.name), here)


def changed(part, path, make):
    """Return a value with the setting at the end of a way changed."""
    step, *rest = path
    if isinstance(step, tuple):
        name, at = step
        items = getattr(part, name)
        items = (*items[:at], changed(items[at], rest, make), *items[at + 1 :])
        return msgspec.structs.replace(part, **{name: items})
    held = getattr(part, step)
    return msgspec.structs.replace(part, **{step: changed(held, rest, make) if rest else make(held)})


def another(value, field):
    """Return another value that the setting can have."""
    if isinstance(value, bool):
        return not value
    if isinstance(value, Enum):
        return next(one for one in type(value) if one is not value)
    if isinstance(value, str):
        return f"{value}x"
    if isinstance(value, tuple):
        return value[1:] if value else (1,)
    if isinstance(value, float) and value <= 1.0 and "weight" not in field.name and "whole" not in field.name:
        return 0.37
    return value + (7_000 if field.name.endswith("_us") else 3)


def whole_head():
    """Return settings in which every part is there."""
    extra = """(region "r" (other "s") (peer "127.0.0.1" 1) (witness "127.0.0.1" 2))"""
    regions = """(volume "v" (regions (home "r")))"""
    head = bind(read_text(f"(head {extra})", "x"), HeadSettings, "x", started())
    return bind(read_text(f"(head {regions})", "x"), HeadSettings, "x", head)


HEAD = whole_head()
WAYS = {path: (way, field) for path, way, field in settings_of(HEAD)}
LIVE = [one.path for one in declared() if one.in_service]
STUCK = [one.path for one in declared() if not one.in_service]


def test_every_declared_setting_is_looked_at():
    assert set(WAYS) == {one.path for one in declared()}


def acting(head, path):
    """Return what a setting is where the running head acts by it."""
    group, _, _ = path.rpartition(": ")
    name, core, reception = WAYS[path][0][-1], head.core, head.reception
    limits = head._links.settings.limits
    special = {
        "max-hint": core._retry_queue.patience.rules.most_us,
        "class: deadline": core._state.deadlines["read"],
        "limits: connections": reception.shares.limits.connections,
        "limits: in-flight": reception.admission.bounds.requests,
        "limits: in-flight-bytes": reception.admission.bounds.request_bytes,
        "limits: offers": core._retry_queue.patience.rules.offers,
        "limits: held": core.rules.max_open_parts,
        "limits: borrow": reception.shares.limits.borrow,
        "limits: dial": limits.dial_us,
        "limits: idle": limits.idle_us,
        "limits: handshake": reception.settings.limits.handshake_us,
        "fleet: budgets: budget: whole": head._budget_shares.specs[BudgetKind.TRIALS].rate,
        "fleet: budgets: budget: burst": head._budget_shares.specs[BudgetKind.TRIALS].burst,
    }
    if path in special:
        return special[path]
    module = head.module
    owner = {
        "": module.settings, "rules": module.settings, "class": module._classes["read"], "plan": module._plans["gold"],
        "fleet: zones": head.fleet.services.zones._rules,
        "fleet": head.fleet.swim.rules if name in {one.name for one in fields(Rules)} else head.fleet._settings,
    }[group]  # fmt: skip
    return getattr(owner, name)


def test_each_setting_that_is_declared_to_change_takes_effect_and_goes_back():
    def test(head):
        for path in LIVE:
            way, field = WAYS[path]
            if path.startswith("fleet: budgets: budget"):
                way = ("fleet", "budgets", ("budgets", 1), way[-1])
            before, was = head.settings, acting(head, path)
            after = changed(before, way, lambda value, field=field: another(value, field))
            assert [one.in_service for one in check_change(before, after, "x")] == [True]
            head.apply_settings(after)
            head.hub.sleep(50_000)
            assert acting(head, path) != was, path
            head.apply_settings(before)
            head.hub.sleep(50_000)
            assert acting(head, path) == was, path

    play(test)


@pytest.mark.parametrize("path", STUCK)
def test_each_other_setting_is_turned_down_with_its_name(path):
    way, field = WAYS[path]
    other = changed(HEAD, way, lambda value: another(value, field))
    assert [one.in_service for one in differences(HEAD, other)] == [False]
    one_of_several = len(way) > 1 and isinstance(way[-2], tuple)  # without its name it is another one
    named = (path.removesuffix(": name") if one_of_several else path).rpartition(": ")[2]
    with pytest.raises(SettingsError, match=f"x: .*{named}: can't change while the head runs"):
        check_change(HEAD, other, "x")


# -- taken whole or not at all


def test_a_version_is_taken_whole_or_turned_down_whole_and_none_goes_back():
    def test(head):
        user, before = head.user, head.settings
        assert user.take("settings/other", None).startswith("settings/other: ")
        why = take(head, "(settings (rules (warm 2s)) (tick 5ms))")
        assert why == "settings 1:1: tick: can't change while the head runs" and head.settings is before
        assert "limit-burst" in take(head, '(settings (plan "gold" (limit-burst 1)))')
        assert head.settings is before
        assert take(head, '(settings (rules (warm 2s)) (plan "gold" (limit 10)))') == ""
        assert head.settings.plans[0].limit == 10 and head.settings.rules.warm_us == 2 * S
        # A version is what differs from the start, not from the version before.
        assert user.take("settings", version('(settings (plan "gold" (limit 20)))', 2)) == ""
        assert head.settings.plans[0].limit == 20 and head.settings.rules.warm_us == 0
        assert user.take("settings", None) == "" and head.settings == before
        assert [more["version"] for event, more in head.notes if event == "settings changed"] == [1, 2, 0]

    play(test)


def client_of(head):
    client = NbdClient(head.hub, head._network)
    client.open(head.address, head.hub.now() + S)
    client.go(head.scope, "v", head.hub.now() + S)
    return client


ALONE = TEXT[: TEXT.index("  (fleet")] + TEXT[TEXT.index("  (class") :]
ALONE = ALONE.replace("(heads 4)", "(heads 1)").replace(
    "  (rules (budget-window 10s) (cold-units 4) (budget-free 1))\n", ""
)


def test_an_open_request_keeps_the_deadline_it_was_taken_with():
    def test(head):
        client = client_of(head)
        assert client.call(Command.WRITE, 0, data=b"x" * 512).error == 0
        head.shelf.faults.hang = True
        ends = []

        def read():
            began = head.hub.now()
            assert client_of(head).call(Command.READ, 0, 512).error == Errno.ENOMEM
            ends.append(head.hub.now() - began)

        head.scope.spawn("first", read)
        head.hub.sleep(100_000)
        assert take(head, '(settings (class "read" (aim 100ms) (deadline 400ms)))') == ""
        head.scope.spawn("second", read)
        head.hub.sleep(3 * S)
        assert ends[0] < 500_000 and 1_000_000 < ends[1] <= 1_500_000 + 50_000

    play(test, ALONE.replace("(size 4MiB)", "(size 4MiB) (waiting refuse)"))


def test_a_lowered_limit_holds_from_then_on_and_a_raise_brings_no_windfall():
    def test(head):
        client, hub = client_of(head), head.hub
        assert client.call(Command.WRITE, 0, data=b"x" * 4096).error == 0

        def served(us):
            """Ask without a pause; return how many units were served."""
            end, count = hub.now() + us, 0
            while hub.now() < end:
                count += client.call(Command.READ, 0, 4096).error == 0
                hub.sleep(1_000)
            return count

        hub.sleep(10 * S)
        assert take(head, '(settings (plan "gold" (limit 20) (limit-burst 16)))') == ""
        assert served(4 * S) <= 16 + 4 * 20 + 1
        assert take(head, '(settings (plan "gold" (limit 100) (limit-burst 100000)))') == ""
        assert 0.7 * 200 <= served(2 * S) <= 2 * 100 + 1 + 16

    play(test, ALONE)
