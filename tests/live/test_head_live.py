"""A running head applies each setting that is declared as reloadable, and rejects changes of all others."""

from collections.abc import Iterator
from dataclasses import fields
from enum import Enum

import msgspec
import pytest

from harriertrack.config.settings import HeadSettings, NodeStandInSettings, VolumeSettings, parse
from harriertrack.config.settings.reload import (
    find_struct_type,
    check_reload,
    iter_declarations,
    iter_differences,
)
from harriertrack.config.sexp import SettingsError, bind, read_text, setting_names
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
from harriertrack.runtime.memory_streams import MemoryNetwork
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
VOLUME = VolumeSettings(name="v", size_bytes=64 * EXTENT, plan="gold")


def parse_settings(text=TEXT):
    return parse(read_text(text, "head.sexp"), "head.sexp")


def play(test, text=TEXT):
    """Run a head with one storage node on a virtual hub, and call `test` with the head."""
    hub = Hub.virtual(1)
    net = MemoryNetwork(hub)

    def main():
        with hub.scope("site") as scope:
            list_service = ListService(hub, net)
            list_service.start(scope)
            shelf = NodeServer(hub, net, NodeStandInSettings(listen=("127.0.0.1", 0), extent_bytes=EXTENT, unit_us=200,
                                                  window_us=20 * S, volumes=(VOLUME,)), ShardStorage(EXTENT))  # fmt: skip
            shelf.start(scope)
            list_service.set_member(Member(NodeEntry("shelf", 0), shelf.address))
            consul = msgspec.structs.replace(
                parse_settings(text).node_list.consul, address=list_service.address
            )
            settings = msgspec.structs.replace(
                parse_settings(text),
                node_list=msgspec.structs.replace(parse_settings(text).node_list, consul=consul))  # fmt: skip
            notes = []
            head = Head(hub, net, settings, lambda event, **more: notes.append((event, more)), ExtentMap(None),
                        wiring=Wiring(datagrams=MemoryDatagrams(hub)))  # fmt: skip
            scope.spawn("head", head.run)
            head.ready.wait()
            hub.sleep(100_000)
            head.user = SettingsUser(settings, head.apply_settings, head._note)
            head.shelf = shelf
            head.notes = notes
            head.scope = scope
            test(head)
            scope.cancel()

    hub.run(main)


def version(body, number=1):
    return Version("settings", number, number - 1, body, "ops", 0, "why")


def apply_version(head, body):
    """Apply a version; return "", or why it is rejected."""
    return head.user.apply("settings", version(body))


# -- each setting as declared


def iter_settings(section, steps=(), path="") -> Iterator[tuple[str, tuple, object]]:
    """Yield each setting of a section: its declared path, the steps that lead to it, and its field.

    A step is the name of an attribute, or a pair of such a name and an index.
    """
    names = setting_names(type(section))
    for field in msgspec.structs.fields(section):
        name = names[field.name]
        value, field_path = getattr(section, field.name), f"{path}: {name}" if path else name
        if find_struct_type(field.type) is None:
            yield field_path, (*steps, field.name), field
        elif isinstance(value, tuple) and value:
            yield from iter_settings(value[0], (*steps, (field.name, 0)), field_path)
        elif value is not None and value != ():
            yield from iter_settings(value, (*steps, field.name), field_path)


def replace_setting(section, steps, make):
    """Return a section in which the setting that the steps lead to is replaced by `make` of its value."""
    step, *rest = steps
    if isinstance(step, tuple):
        name, index = step
        items = getattr(section, name)
        items = (*items[:index], replace_setting(items[index], rest, make), *items[index + 1 :])
        return msgspec.structs.replace(section, **{name: items})
    value = getattr(section, step)
    return msgspec.structs.replace(
        section, **{step: replace_setting(value, rest, make) if rest else make(value)}
    )


def other_value(value, field):
    """Return a different valid value of the setting."""
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


def complete_head():
    """Return settings in which every optional section is present."""
    extra = """(region "r" (other "s") (peer "127.0.0.1" 1) (witness "127.0.0.1" 2))"""
    regions = """(volume "v" (regions (home "r")))"""
    head = bind(read_text(f"(head {extra})", "x"), HeadSettings, "x", parse_settings())
    return bind(read_text(f"(head {regions})", "x"), HeadSettings, "x", head)


HEAD = complete_head()
SETTINGS = {path: (steps, field) for path, steps, field in iter_settings(HEAD)}
RELOADABLE = [one.path for one in iter_declarations() if one.reloadable]
FIXED = [one.path for one in iter_declarations() if not one.reloadable]


def test_every_declared_setting_is_tested():
    assert set(SETTINGS) == {one.path for one in iter_declarations()}


def value_in_use(head, path):
    """Return a setting's value in the object of the running head that uses it."""
    group, _, _ = path.rpartition(": ")
    name, core, reception = SETTINGS[path][0][-1], head.core, head.reception
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


def test_each_reloadable_setting_takes_effect_and_can_be_reverted():
    def test(head):
        for path in RELOADABLE:
            steps, field = SETTINGS[path]
            if path.startswith("fleet: budgets: budget"):
                steps = ("fleet", "budgets", ("budgets", 1), steps[-1])
            before, used = head.settings, value_in_use(head, path)
            after = replace_setting(before, steps, lambda value, field=field: other_value(value, field))
            assert [one.reloadable for one in check_reload(before, after, "x")] == [True]
            head.apply_settings(after)
            head.hub.sleep(50_000)
            assert value_in_use(head, path) != used, path
            head.apply_settings(before)
            head.hub.sleep(50_000)
            assert value_in_use(head, path) == used, path

    play(test)


@pytest.mark.parametrize("path", FIXED)
def test_changes_of_each_other_setting_are_rejected_with_its_name(path):
    steps, field = SETTINGS[path]
    other = replace_setting(HEAD, steps, lambda value: other_value(value, field))
    assert [one.reloadable for one in iter_differences(HEAD, other)] == [False]
    is_repeated = len(steps) > 1 and isinstance(steps[-2], tuple)  # renamed, it is a different section
    name = (path.removesuffix(": name") if is_repeated else path).rpartition(": ")[2]
    with pytest.raises(SettingsError, match=f"x: .*{name}: can't change while the head runs"):
        check_reload(HEAD, other, "x")


# -- a version is applied completely or not at all


def test_a_version_is_applied_or_rejected_completely_and_none_restores_the_start():
    def test(head):
        user, before = head.user, head.settings
        assert user.apply("settings/other", None).startswith("settings/other: ")
        reason = apply_version(head, "(settings (rules (warm 2s)) (tick 5ms))")
        assert reason == "settings 1:1: tick: can't change while the head runs" and head.settings is before
        assert "limit-burst" in apply_version(head, '(settings (plan "gold" (limit-burst 1)))')
        assert head.settings is before
        assert apply_version(head, '(settings (rules (warm 2s)) (plan "gold" (limit 10)))') == ""
        assert head.settings.plans[0].limit == 10 and head.settings.rules.warm_us == 2 * S
        # A version overrides the settings at the start, not those of the version before.
        assert user.apply("settings", version('(settings (plan "gold" (limit 20)))', 2)) == ""
        assert head.settings.plans[0].limit == 20 and head.settings.rules.warm_us == 0
        assert user.apply("settings", None) == "" and head.settings == before
        assert [more["version"] for event, more in head.notes if event == "settings changed"] == [1, 2, 0]

    play(test)


def connect_client(head):
    client = NbdClient(head.hub, head._network)
    client.open(head.address, head.hub.now() + S)
    client.go(head.scope, "v", head.hub.now() + S)
    return client


SINGLE_HEAD = TEXT[: TEXT.index("  (fleet")] + TEXT[TEXT.index("  (class") :]
SINGLE_HEAD = SINGLE_HEAD.replace("(heads 4)", "(heads 1)").replace(
    "  (rules (budget-window 10s) (cold-units 4) (budget-free 1))\n", ""
)


def test_an_open_request_keeps_the_deadline_of_its_arrival():
    def test(head):
        client = connect_client(head)
        assert client.call(Command.WRITE, 0, data=b"x" * 512).error == 0
        head.shelf.faults.hang = True
        durations = []

        def read():
            started_at = head.hub.now()
            assert connect_client(head).call(Command.READ, 0, 512).error == Errno.ENOMEM
            durations.append(head.hub.now() - started_at)

        head.scope.spawn("first", read)
        head.hub.sleep(100_000)
        assert apply_version(head, '(settings (class "read" (aim 100ms) (deadline 400ms)))') == ""
        head.scope.spawn("second", read)
        head.hub.sleep(3 * S)
        assert durations[0] < 500_000 and 1_000_000 < durations[1] <= 1_500_000 + 50_000

    play(test, SINGLE_HEAD.replace("(size 4MiB)", "(size 4MiB) (waiting refuse)"))


def test_a_lowered_limit_holds_at_once_and_a_raised_one_grants_no_burst():
    def test(head):
        client, hub = connect_client(head), head.hub
        assert client.call(Command.WRITE, 0, data=b"x" * 4096).error == 0

        def served(us):
            """Send reads without a pause for `us`; return how many units were served."""
            end, count = hub.now() + us, 0
            while hub.now() < end:
                count += client.call(Command.READ, 0, 4096).error == 0
                hub.sleep(1_000)
            return count

        hub.sleep(10 * S)
        assert apply_version(head, '(settings (plan "gold" (limit 20) (limit-burst 16)))') == ""
        assert served(4 * S) <= 16 + 4 * 20 + 1
        assert apply_version(head, '(settings (plan "gold" (limit 100) (limit-burst 100000)))') == ""
        assert 0.7 * 200 <= served(2 * S) <= 2 * 100 + 1 + 16

    play(test, SINGLE_HEAD)
