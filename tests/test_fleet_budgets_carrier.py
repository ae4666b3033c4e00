"""Budgets in running heads: datagrams, the witness, the scheduler module, operator output, days that break rules."""

import json
import subprocess
import sys
import time

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from harriertrack.config.settings import (
    BudgetSettings,
    FleetBudgetSettings,
    BudgetName,
    FleetSeedSettings,
    FleetSettings,
    PlanSettings,
    RuleSettings,
)
from harriertrack.config.sexp import SettingsError
from harriertrack.config.formatting import format_settings
from harriertrack.decisions import interface as api
from harriertrack.decisions.fleet.budgets import LeaseRequest, BudgetRules, Claim, Grant, ShareUpdate, Term
from harriertrack.decisions.fleet.ledger import Ledger
from harriertrack.decisions.fleet.budget_shares import (
    BUDGET_UNITS,
    BudgetSpec,
    BudgetShares,
    BudgetKind,
    budget_name,
)
from harriertrack.decisions.scheduler import Scheduler
from harriertrack.gateway.fleet import budgets as carrier
from harriertrack.gateway.head import Wiring
from harriertrack.lab.fleet import scenario
from harriertrack.lab.fleet.later import as_later_version
from harriertrack.lab.fleet.processes import LoopbackAddresses
from harriertrack.lab.fleet.rig import simulate
from harriertrack.membership.fleet import topic_datagrams
from harriertrack.membership.fleet.topic_datagrams import Kind, MalformedDatagram
from harriertrack.membership.fleet.messages import MAX_DATAGRAM_BYTES, decode as decode_member
from harriertrack.membership.fleet.status_document import parse_document
from harriertrack.rules import budgets as rules, checker, recording as rec
from harriertrack.runtime.datagrams import MemoryDatagrams
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.memory_streams import MemoryNetwork
from harriertrack.standin.witness import Witness
from tests.test_fleet_days import head
from harriertrack.protocol.nbd.wire import Command
from tests.test_head import DISK, EXTENT, SHARED, Site

S = 1_000_000
COMMAND = [sys.executable, "-m", "harriertrack"]

# -- the codec

TERM = Term(3, 9)
REQUEST = LeaseRequest(0, TERM, "a", 7, 2, 5, S, 1.5, (Claim("limits/v", 10.0, 4.0, 2, 0.5),))
GRANT = Grant(1, TERM, "a", 7, 2, 5, S, (ShareUpdate("limits/v", 3, 2.5, 0.0),))


@pytest.mark.parametrize("said", [REQUEST, GRANT, (Kind.TERM, 4, TERM), (Kind.VACATED, 0, TERM)])
def test_datagrams_round_trip_and_are_malformed_to_members_without_budgets(said):
    data = topic_datagrams.encode("f", said)
    assert topic_datagrams.decode("f", data) == said
    with pytest.raises(MalformedDatagram):
        decode_member(data)
    with pytest.raises(topic_datagrams.ForeignFleet):
        topic_datagrams.decode("g", data)


@given(st.binary(max_size=1500), st.integers(0, 200), st.integers(0, 255))
@settings(max_examples=300, deadline=None)
def test_any_bytes_are_decoded_or_rejected(tail, at, byte):
    good = bytearray(topic_datagrams.encode("f", REQUEST))
    good[at % len(good)] = byte
    for data in (topic_datagrams.MARK + tail, bytes(good), bytes(good[: at % len(good)])):
        try:
            said = topic_datagrams.decode("f", data)
        except MalformedDatagram:
            continue
        for claim in said.claims if isinstance(said, LeaseRequest) else ():
            assert claim.movable >= 0 and claim.demand >= 0 and claim.version >= 0, (
                "no negative number is accepted"
            )


def test_added_fields_are_ignored_and_too_new_versions_are_rejected():
    raw = msgspec.msgpack.decode(topic_datagrams.encode("f", GRANT)[1:])
    assert topic_datagrams.decode("f", topic_datagrams.MARK + msgspec.msgpack.encode([*raw, "more"])) == GRANT
    with pytest.raises(topic_datagrams.UnsupportedVersion):
        topic_datagrams.decode("f", topic_datagrams.MARK + msgspec.msgpack.encode([9, *raw[1:]]))


@pytest.mark.parametrize("said", [
    REQUEST, GRANT, (Kind.TERM, 4, TERM), topic_datagrams.ZoneObservations("a", ()), topic_datagrams.ZoneDecisions(TERM, ()),
    topic_datagrams.Report("t", "a", b"x"), topic_datagrams.Ruling("t", TERM, b"x"),
])  # fmt: skip
def test_datagrams_of_the_simulated_later_version_are_read(said):
    data = as_later_version(topic_datagrams.encode("f", said))
    assert data != topic_datagrams.encode("f", said) and topic_datagrams.decode("f", data) == said


def test_requests_and_grants_of_many_long_names_fit_datagrams():
    portions = BudgetShares(BudgetRules(), 1, "n" * 64, 1 << 61, 9, {BudgetKind.LIMITS: BudgetSpec(0.1)}, 0)
    (holder,) = portions.holders
    holder.observe_term(0, Term(1 << 40, 1 << 61))
    plan = api.Plan("p", limit=1e9, limit_burst=1e9)
    for number in range(300):
        portions.limit(0, api.RequestArrived(1, "c", "p", f"v{number:0>120}", "", 0, 9e9, S, 9), plan)
    ledger = Ledger(0, holder.term, 0, BudgetRules())
    requests = holder.due_requests(100_000)
    assert (
        sum(len(one.claims) for one in requests) == 300
        and max(len(topic_datagrams.encode("f" * 64, one)) for one in requests) <= MAX_DATAGRAM_BYTES
    )
    for request in requests:
        assert (
            len(topic_datagrams.encode("f" * 64, ledger.handle_request(100_000, request)))
            <= MAX_DATAGRAM_BYTES
        )
    updates = ledger.rebalance(200_000)
    assert sum(len(one.shares) for one in updates) == 300
    assert max(len(topic_datagrams.encode("f" * 64, one)) for one in updates) <= MAX_DATAGRAM_BYTES


# -- settings

FLEET = '(fleet "a" (listen "127.0.0.1" 7946) (budgets (witness "127.0.0.1" 8500) %s))'
TWO = "(heads 4)"


def test_budget_settings_round_trip_and_a_head_without_them_loads_no_budget_modules():
    one = head(TWO + FLEET % "(budget limits (fixed 0.5)) (budget connections (whole 9) (burst 3))")
    text = format_settings("head", one)
    assert '(budget "limits"' in text and '(witness "127.0.0.1" 8500)' in text
    code = ("import sys, harriertrack.gateway.fleet.member, harriertrack.service.head, harriertrack.wirehost;"
            "print(' '.join(sys.modules))")  # fmt: skip
    loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    assert not [name for name in loaded if "decisions.fleet" in name or "budget" in name]


@pytest.mark.parametrize(("text", "why"), [
    ("(budget limits) (budget limits)", "twice"),
    ("(budget limits (whole 5))", "whole"),
    ("(budget connections)", "whole"),
    ("(budget attempts (whole 5) (burst 5))", "budget-window"),
    ("(budget cold)", "cold-units"),
    ("(budget sheep)", "sheep"),
    ("(budget takeovers (whole 8) (burst 2))", "region"),
    ("(budget links (whole 8) (burst 2))", "burst"),
    ("(budget links (whole 8) (fixed 0.1))", "one for each head"),
    ("(budget limits) (ask 900ms)", "ask"),
    ("(budget limits) (term 1s)", "term"),
])  # fmt: skip
def test_invalid_budget_settings_are_reported_with_their_field(text, why):
    with pytest.raises(SettingsError, match=why):
        head(TWO + FLEET % text)


def test_a_fixed_part_too_small_for_the_largest_request_is_reported():
    plans = (PlanSettings(name="p", rate=1000, limit=100, limit_burst=100),)
    run(lambda heads: None, count=1, plans=plans, fixed=0.9)
    from harriertrack.config.settings import check_head

    def check(heads):
        invalid = msgspec.structs.replace(
            heads.sites[0].head.settings,
            plans=(PlanSettings(name="p", rate=1000, limit=100, limit_burst=20),),
        )
        with pytest.raises(SettingsError, match="limit-burst"):
            check_head(invalid, "x")

    run(check, count=1, plans=plans, fixed=0.9)


# -- the scheduler module


class RecordingShares:
    """Budget shares with a given number of tokens that record each call."""

    def __init__(self, tokens=0, part=0.0):
        self.tokens, self.part, self.calls = tokens, part, []

    def limit(self, now, request, plan):
        self.calls.append(("limit", request.volume, request.units))

    def further(self, now, draw):
        self.calls.append(("further", draw))
        self.tokens -= draw
        return self.tokens + draw > 0

    def trial(self, now, node):
        self.calls.append(("trial", node))
        self.tokens -= 1
        return self.tokens >= 0

    def cold(self, now, node, rate, units):
        self.calls.append(("cold", node, rate))
        return self.part


def module(shares=None, **more):
    classes = (api.RequestClass("read", 300_000, 900_000, effect=api.Effect.SAFE),)
    plans = (api.Plan("p", limit=100.0, limit_burst=20.0),)
    configured = api.Settings(4, classes, plans, max_attempts=9, **more)
    one = Scheduler(configured, 1, shares=shares)
    nodes = [api.NodeEntry(f"n{number}", number, started_us=-10 * S) for number in range(2)]
    one.handle(0, [api.NodesChanged(api.ListKind.FULL, nodes)])
    return one


def arrived(number, shard=0, units=4.0):
    return api.RequestArrived(number, "read", "p", "v", "", shard, units, 900_000, 4)


def test_a_module_uses_its_share_of_a_limit_instead_of_an_even_part():
    shares = BudgetShares(BudgetRules(), 1, "a", 1, 4, {BudgetKind.LIMITS: BudgetSpec(0.4)}, 0)
    one = module(shares)
    one.handle(10 * S, [arrived(1)])
    ((name, share),) = shares
    assert name == "limits/v" and share.requested == 4
    assert one._volumes["v", "p"].limit is share and share.capacity == pytest.approx(20 * 0.1)
    share.set_leased(10 * S, 60.0, 12.0)
    shares.holders[0].lease.expires_at = 20 * S
    sent = [one for one in one.handle(10 * S + 1000, [arrived(2), arrived(3)]) if isinstance(one, api.Send)]
    assert len(sent) >= 2 and share.level < 14 - 8 + 1, "sent requests are drawn from the share"


def test_further_attempts_beyond_the_own_share_are_drawn_from_the_fleet_budget():
    def tries(shares):
        one = module(shares, budget_window_us=10 * S, budget_share=0.0)
        sent, actions, number, now = 0, one.handle(S, [arrived(1)]), 0, S
        while any(isinstance(action, api.Send) for action in actions):
            sent += 1
            now += 1000
            event = api.AttemptEnded(1, number, "n0", api.Result.ERROR, 500, False)
            number, actions = number + 1, one.handle(now, [event])
        return sent

    assert tries(None) == 1 and tries(RecordingShares(0)) == 1
    assert tries(RecordingShares(3)) == 4, "one of its own, and the available tokens"


def test_a_cold_node_gets_this_heads_share_of_its_rate():
    def sent(shares):
        one = module(
            shares, cold_units=40.0, cold_share=0.25, warm_us=8 * S, fall_us=2 * S, fall_multiple=2.0
        )
        one.handle(S, [api.NodesChanged(api.ListKind.CHANGES, [api.NodeEntry("n0", 0, started_us=S)])])
        actions = [one.handle(S + step * 20_000, [arrived(step, units=1.0)]) for step in range(60)]
        return sum(isinstance(action, api.Send) for batch in actions for action in batch)

    shares = RecordingShares(part=0.0)
    none, even, much = sent(shares), sent(None), sent(RecordingShares(part=80.0))
    assert (
        none < even < much and shares.calls[0][:2] == ("cold", "n0") or shares.calls[1][:2] == ("cold", "n0")
    )


def test_trials_of_a_silent_node_keep_to_the_fleet_budget():
    def tries(shares):
        one = module(shares)
        sent = 0
        for step in range(400):
            now = S + step * 50_000
            actions = one.handle(now, [arrived(step, units=1.0)])
            sends = [action for action in actions if isinstance(action, api.Send)]
            sent += len(sends) if step >= 40 else 0
            for action in sends:
                one.handle(
                    now + 1, [api.AttemptEnded(action.request, 0, "n0", api.Result.CONNECT_FAILED, 500, True)]
                )
        return sent

    assert tries(None) >= 8
    assert tries(RecordingShares(3)) <= 3 and tries(RecordingShares(0)) == 0, (
        "without tokens there are no trials"
    )


def test_a_small_fixed_part_still_saves_up_one_whole_token():
    specs = {BudgetKind.TRIALS: BudgetSpec(0.2, 4.0, 4.0)}
    shares = BudgetShares(BudgetRules(clock_error=0.0), 1, "a", 1, 200, specs, 0)
    assert not shares.trial(S, "n0")
    assert shares.trial(260 * S, "n0") and not shares.trial(261 * S, "n0")


def test_connections_and_list_calls_wait_for_tokens():
    specs = {
        BudgetKind.CONNECTIONS: BudgetSpec(0.5, 8.0, 8.0),
        BudgetKind.LIST_CALLS: BudgetSpec(0.5, 8.0, 8.0),
    }
    shares = BudgetShares(BudgetRules(clock_error=0.0), 1, "a", 1, 4, specs, 0)
    assert shares.connection_wait(S, "n0") == 0 and shares.connection_wait(S, "n1") == 0
    assert shares.connection_wait(S, "n0") == pytest.approx(S, rel=0.01), (
        "this head's fixed part is one per second"
    )
    assert shares.connection_wait(2 * S, "n0", again=True) == 0
    assert shares.list_call_wait(S) == 0 and shares.list_call_wait(S) > 0
    assert BudgetShares(BudgetRules(), 1, "a", 1, 4, {}, 0).connection_wait(S, "n0") == 0
    assert set(BUDGET_UNITS) == set(BudgetKind) and {one.value for one in BudgetKind} == {
        one.value for one in BudgetName
    }
    assert budget_name(BudgetKind.ATTEMPTS) == "attempts"


# -- heads on one hub


class Heads:
    """Heads of a fleet with budgets, and a witness."""

    def __init__(self, hub, scope, count=3, fixed=0.2, plans=None, more=(), **figures):
        self.hub, self.net, self.datagrams = hub, MemoryNetwork(hub), MemoryDatagrams(hub)
        self.witness = Witness(hub, self.net)
        self.witness.start(scope)
        plans = plans or (PlanSettings(name="p", rate=1000, limit=200, limit_burst=400),)
        budgets = FleetBudgetSettings(
            witness=self.witness.address, term_us=2 * S, patience_us=S, timeout_us=S // 2,
            budgets=(BudgetSettings(name=BudgetName.LIMITS, fixed=fixed), *more), **figures,
        )  # fmt: skip
        seeds = (FleetSeedSettings(name="h0", address=("127.0.0.1", 40_000)),)
        self.sites = []
        for number in range(count):
            fleet = FleetSettings(name=f"h{number}", listen=("127.0.0.1", 40_000 + number), seeds=seeds, probe_us=300_000,
                                  answer_us=150_000, gossip_us=60_000, budgets=budgets)  # fmt: skip
            volumes = (DISK, msgspec.structs.replace(SHARED, hosts=2))
            self.sites.append(Site(hub, self.net, scope, wiring=Wiring(datagrams=self.datagrams), fleet=fleet, heads=4,
                                   plans=plans, volumes=volumes,
                                   rules=RuleSettings(budget_window_us=S)))  # fmt: skip

    def seat(self, number):
        return self.sites[number].head.fleet.services.budgets._locks[0]

    def owners(self):
        return [number for number in range(len(self.sites)) if not self.sites[number].task.done
                and self.seat(number).candidate.holds_term(self.hub.now())]  # fmt: skip

    def document(self, number):
        stream = self.net.connect(self.sites[number].head.fleet.address)
        body = b""
        while data := stream.read(self.hub.now() + 3 * S):
            body += data
        return parse_document(body).budgets


def run(test, **more):
    hub = Hub.virtual(1)

    def main():
        with hub.scope("test") as scope:
            test(Heads(hub, scope, **more))
            scope.cancel()

    hub.run(main)


def test_one_head_owns_the_ledger_and_gives_it_back_when_it_leaves():
    def test(heads):
        heads.hub.sleep(6 * S)
        (first,) = heads.owners()
        assert heads.document(first).ledgers[0].epoch == 1
        assert {heads.seat(number).holder.term.epoch for number in range(3)} == {1}
        heads.sites[first].head.stop()
        heads.hub.sleep(1_500_000)
        assert heads.sites[first].task.done
        (second,) = heads.owners()
        assert second != first and heads.document(second).ledgers[0].epoch == 2, (
            "before a session would expire"
        )

    run(test)


def test_an_unreachable_witness_ends_the_term_and_its_return_starts_another():
    def test(heads):
        heads.hub.sleep(6 * S)
        (owner,) = heads.owners()
        heads.witness.down = True
        heads.hub.sleep(3 * S)
        assert heads.owners() == []
        assert "fleet budgets: term over" in [event for event, _ in heads.sites[owner].notes]
        assert any(event == "fleet budgets: no witness" for site in heads.sites for event, _ in site.notes)
        heads.witness.down = False
        heads.hub.sleep(5 * S)
        assert len(heads.owners()) == 1

    run(test)


def test_a_witness_restored_under_a_live_owner_ends_its_term():
    def test(heads):
        kept = heads.witness.backup()
        heads.hub.sleep(6 * S)
        (owner,) = heads.owners()
        before = heads.seat(owner).candidate.ledger
        heads.witness.restore(kept)  # without sessions and locks
        heads.hub.sleep(S)
        assert heads.seat(owner).candidate.ledger is not before
        heads.hub.sleep(8 * S)
        (owner,) = heads.owners()
        ledger = heads.seat(owner).candidate.ledger
        assert ledger.term != before.term and ledger.term.epoch == 1

    run(test)


def test_demand_moves_shares_and_operators_see_them():
    def test(heads):
        hub = heads.hub
        hub.sleep(6 * S)
        client = heads.sites[1].client("shared")
        del client
        portions = heads.sites[1].head.fleet.services.budgets.shares
        plan = api.Plan("p", limit=200.0, limit_burst=400.0)
        for step in range(100):
            portions.limit(hub.now(), api.RequestArrived(step, "read", "p", "shared", "", 0, 3.0, S, 2), plan)
            hub.sleep(20_000)
        document = heads.document(1)
        (share,) = document.portions
        assert share.budget == "limits/shared" and share.unit == "units" and share.fixed == pytest.approx(20)
        assert share.share > 100 and share.wanted == pytest.approx(130, rel=0.2)
        (owner,) = heads.owners()
        (ledger,) = heads.document(owner).ledgers
        (holding,) = ledger.slips
        assert (holding.holder, holding.there, holding.counted) == ("h1", True, pytest.approx(share.share))
        assert ledger.movable == {"limits/shared": pytest.approx(160)}
        hub.sleep(10 * S)
        assert heads.document(1).portions == [] and heads.document(owner).ledgers[0].slips == [], (
            "idle budgets are closed"
        )

    run(test)


def test_malformed_and_foreign_datagrams_harm_no_head():
    def test(heads):
        hub = heads.hub
        hub.sleep(6 * S)
        rng, port = hub.random, heads.datagrams.bind(("127.0.0.1", 0), lambda *one: None)
        for _ in range(1500):
            data = bytearray(
                topic_datagrams.encode(
                    "fleet" if rng.random() < 0.7 else "other", rng.choice((REQUEST, GRANT))
                )
            )
            if rng.random() < 0.5:
                data[rng.randrange(1, len(data))] = rng.randrange(256)
                del data[rng.randrange(1, len(data) + 1) :]
            port.send(bytes(data), ("127.0.0.1", 40_000 + rng.randrange(3)))
            hub.sleep(500)
        port.send(topic_datagrams.encode("fleet", (Kind.TERM, 77, TERM)), ("127.0.0.1", 40_000))
        hub.sleep(2 * S)
        counts = [heads.document(number).counts for number in range(3)]
        assert sum(one["garbage"] for one in counts) > 100 and sum(one["strangers"] for one in counts) > 50
        assert len(heads.owners()) == 1 and not [site for site in heads.sites if site.task.done]

    run(test)


def test_two_ledgers_have_owners_and_every_kind_of_budget_is_wired():
    more = (BudgetSettings(name=BudgetName.CONNECTIONS, fixed=0.5, whole=400, burst=100),
            BudgetSettings(name=BudgetName.LIST_CALLS, fixed=0.5, whole=400, burst=100),
            BudgetSettings(name=BudgetName.ATTEMPTS, fixed=0.5, whole=40, burst=40))  # fmt: skip

    def test(heads):
        hub = heads.hub
        hub.sleep(6 * S)
        seats = [
            [
                seat.candidate.holds_term(hub.now())
                for seat in site.head.fleet.services.budgets._locks.values()
            ]
            for site in heads.sites
        ]
        assert [sum(column) for column in zip(*seats, strict=True)] == [1, 1]
        client = heads.sites[0].client("shared")
        assert client.read(0, 4096, hub.now() + S).data == bytes(4096) if hasattr(client, "read") else True
        assert heads.sites[0].head.module.settings.budget_free == 0

    run(test, more=more, ledgers=2)


def test_open_links_are_divided_and_closed_when_the_lease_expires():
    more = (BudgetSettings(name=BudgetName.LINKS, fixed=0.5, whole=8),)

    def test(heads):
        hub, head = heads.hub, heads.sites[0].head
        hub.sleep(6 * S)
        links, portions = head._links, head.fleet.services.budgets.shares
        for export in ("disk", "shared"):
            client = heads.sites[0].client(export)
            for number in range(12):
                assert not client.call(Command.WRITE, number * EXTENT, data=b"x" * 512).error

        def used():
            return {
                name.partition("/")[2]: round(one.in_use)
                for name, one in portions
                if name.startswith("links/")
            }

        before = used()
        assert before == {"n0": 2, "n1": 2} and len(links) == 4, (
            "one link per node comes from the leased share"
        )
        heads.datagrams._fate = lambda *_: ()
        hub.sleep(4 * S)
        if head.fleet.services.budgets._locks[0].candidate.ledger is None:
            assert used() == {"n0": 1, "n1": 1} and len(links) == 2, "only the fixed part"
        heads.datagrams._fate = lambda *_: (100,)
        hub.sleep(4 * S)
        for export in ("disk", "shared"):
            client = heads.sites[0].client(export)
            assert not client.call(Command.WRITE, 0, data=b"x" * 512).error

    run(test, more=more)


# -- the rules

FACTS = rec.BudgetFacts(t=0, budget="b", rate=10.0, burst=5.0, moving=8.0, slack=0.5)


def requested_share(t, holder="a", number=1, tenure=1, applied=(), term=(1, 1), instance=1):
    return rec.ShareRequested(t=t, holder=holder, instance=instance, ledger=0, term=term, tenure=tenure, number=number,
                          applied=list(applied))  # fmt: skip


def granted_share(t, rate, holder="a", answers=1, version=1, tenure=1, term=(1, 1), instance=1):
    return rec.ShareGranted(t=t, holder=holder, instance=instance, ledger=0, term=term, tenure=tenure, answers=answers,
                            lease_us=S, shares=[("b", version, rate)])  # fmt: skip


def drawn(t, units):
    return rec.BudgetUsed(t=t, budget="b", holder="a", units=units)


@pytest.mark.parametrize(("broken", "records"), [
    ([], [requested_share(0), granted_share(1, 8.0), requested_share(2 * S, "b"), granted_share(2 * S, 8.0, "b")]),
    ([1], [requested_share(0), granted_share(1, 8.0), requested_share(S // 2, "b"), granted_share(S // 2, 1.0, "b")]),
    ([1], [requested_share(0), granted_share(1, 8.5)]),
    ([1], [requested_share(0), granted_share(1, 8.0), granted_share(2, 2.0, answers=0, version=2), requested_share(3, "b"), granted_share(4, 6.0, "b")]),
    ([], [requested_share(0), granted_share(1, 8.0), granted_share(2, 2.0, answers=0, version=2), requested_share(3, number=2, applied=[("b", 2)]),
          requested_share(3, "b"), granted_share(4, 6.0, "b")]),
    ([], [requested_share(0), granted_share(1, 8.0), requested_share(2, tenure=2), requested_share(3, "b"), granted_share(4, 8.0, "b")]),
    ([1], [requested_share(0), granted_share(1, 8.0), requested_share(2, tenure=2, instance=2), granted_share(4, 8.0, tenure=2, instance=2)]),
    ([], [requested_share(0), granted_share(1, 8.0), requested_share(2, term=(2, 1)), requested_share(3, "b", term=(2, 1)), granted_share(4, 8.0, "b", term=(2, 1))]),
    ([], [drawn(0, 5.0), drawn(S // 2, 5.0), drawn(S, 5.4)]),
    ([2], [drawn(0, 5.0), drawn(S // 2, 5.6)]),
    ([2], [drawn(0, 0.0), drawn(99 * S, 5.6)]),
])  # fmt: skip
def test_the_rules_find_exactly_the_excess(broken, records):
    assert [one.rule for one in rules.check([FACTS, *records])] == broken


def day(name, **changes):
    plan = msgspec.structs.replace(scenario.load(name), **changes)
    recorder = rec.Recorder()
    simulate(plan, plan.processes, 1, recorder)
    return recorder.records


def test_a_day_grants_shares_and_without_a_safeguard_breaks_the_rules(monkeypatch):
    records = day("budget-jump")
    most = max(rate for one in records if isinstance(one, rec.ShareGranted) for _, _, rate in one.shares)
    movable = next(one.moving for one in records if isinstance(one, rec.BudgetFacts))
    assert 0.8 * movable < most <= movable * (1 + 1e-6)

    def free_at_once(self, name, holding, rate, tokens=0.0, change=Ledger._change):
        change(self, name, holding, rate, tokens)
        holding.committed = holding.granted

    monkeypatch.setattr(Ledger, "_change", free_at_once)
    broken = day("budget-partition")  # with lost messages while demand moves
    assert 1 in {one.rule for one in rules.check(broken)}


def test_heads_that_create_tokens_break_the_limit_at_the_nodes(monkeypatch):
    from harriertrack.decisions.fleet.holder import LeaseHolder

    def fills(self, now, grant, take=LeaseHolder.apply_grant):
        changed = take(self, now, grant)
        for share in grant.shares:
            if changed and share.budget in self.budgets:
                self.budgets[share.budget].share.level = self.budgets[share.budget].share.capacity
        return changed

    monkeypatch.setattr(LeaseHolder, "apply_grant", fills)
    assert 7 in {one.rule for one in checker.check(day("budget-jump"))}


def test_a_day_without_budgets_has_no_witness_to_fail():
    from harriertrack.config.sexp import read_text

    with pytest.raises(SettingsError, match="witness"):
        scenario.parse(read_text('(fleet-day "x" (step dark (for 1s)))', "x"), "x")


# -- processes


@pytest.mark.real_time
def test_a_witness_process_keeps_its_state_and_reports_invalid_addresses(tmp_path):
    place, state = "{}:{}".format(*LoopbackAddresses().next()), tmp_path / "state"
    import urllib.request

    def start():
        process = subprocess.Popen([*COMMAND, "standin", "witness", "--listen", place, "--state", str(state)],
                                   stderr=subprocess.PIPE, text=True)  # fmt: skip
        assert "witness serves" in process.stderr.readline()
        return process

    def call(method, target, body=b""):
        request = urllib.request.Request(f"http://{place}{target}", data=body or None, method=method)
        with urllib.request.urlopen(request, timeout=10) as answer:
            return json.loads(answer.read())

    process = start()
    try:
        session = call("PUT", "/v1/session/create", b'{"TTL": "60s"}')["ID"]
        lock = [{"KV": {"Verb": "check-not-exists", "Key": "k", "Index": 0}},
                {"KV": {"Verb": "lock", "Key": "k", "Value": "eA==", "Session": session}}]  # fmt: skip
        call("PUT", "/v1/txn", json.dumps(lock).encode())
        process.kill()
        process.wait()
        process = start()
        (key,) = call("GET", "/v1/kv/k")
        assert (key["Session"], key["LockIndex"], key["Value"]) == (session, 1, "eA==")
        assert call("PUT", "/v1/session/create", b'{"TTL": "60s"}')["ID"] != session
    finally:
        process.kill()
        process.wait()
    for arguments in (["--listen", "x"], ["--listen", place, "--state", str(tmp_path)]):
        done = subprocess.run(
            [*COMMAND, "standin", "witness", *arguments], capture_output=True, text=True, timeout=30
        )
        assert done.returncode == 2 and "Traceback" not in done.stderr, done.stderr


@pytest.mark.real_time
@pytest.mark.timeout(200)
def test_operators_see_shares_and_ledgers_of_processes(tmp_path):
    path = tmp_path / "small.sexp"
    path.write_text(
        """(fleet-day "small" (processes 3) (shelves 1) (rate 20) (volumes 1) (hosts 3) (limit 1) (limit-burst 400)
        (figures (probe 300ms) (answer 150ms) (gossip 60ms) (reach 1s) (slack 3))
        (budgets (term 2s) (patience 1s) (budget limits (fixed 0.3)))
        (step start) (step demand (who "head1")) (step rest (for 90s)))"""
    )
    kept = tmp_path / "kept"
    playing = subprocess.Popen(
        [*COMMAND, "fleet", "day", str(path), "--keep", str(kept)], stderr=subprocess.PIPE
    )
    try:
        until, shares, granted = time.monotonic() + 80, 0.0, []
        while not (shares and granted):
            assert time.monotonic() < until and playing.poll() is None
            documents = [budgets_document(kept / f"head{number}.sexp") for number in range(3)]
            shares = sum(one["share"] for each in documents if each for one in each["portions"])
            granted = [
                ledger["slips"] for each in documents if each for ledger in each["ledgers"] if ledger["slips"]
            ]
        text = subprocess.run([*COMMAND, "fleet", "budgets", "--settings", str(kept / "head1.sexp"), "--volume", "vol0"],
                              capture_output=True, text=True, timeout=30).stdout  # fmt: skip
        assert "limits/vol0" in text and "ledger 0" in text and "epoch" in text
    finally:
        playing.send_signal(2)
        playing.communicate(timeout=60)


def budgets_document(path):
    done = subprocess.run([*COMMAND, "fleet", "budgets", "--settings", str(path), "--json"], capture_output=True, text=True,
                          timeout=30)  # fmt: skip
    return json.loads(done.stdout) if done.returncode == 0 else None


def test_settings_reach_the_rules_and_share_their_defaults():
    settings = FleetBudgetSettings(witness=("h", 1), budgets=(BudgetSettings(name=BudgetName.LIMITS),))
    assert carrier.rules_of(settings) == BudgetRules()
    assert carrier.rules_of(msgspec.structs.replace(settings, contenders=2, weight=3.0)) == BudgetRules(
        contenders=2, weight=3.0
    )


def test_an_owner_that_most_heads_do_not_reach_gives_the_ledger_up():
    def test(heads):
        hub = heads.hub
        hub.sleep(8 * S)
        (owner,) = heads.owners()
        alone = {f"h{owner}"}  # it reaches the witness, but no other head
        heads.datagrams._fate = lambda source, target, _size: (
            () if (source in alone) != (target in alone) else (100,)
        )
        hub.sleep(40 * S)
        (other,) = heads.owners()
        assert other != owner and "fleet budgets: outnumbered" in [
            event for event, _ in heads.sites[owner].notes
        ]
        sources = [seat.owner_address if not seat.owned else "itself" for seat in map(heads.seat, range(4))]
        assert sum(one is not None for one in sources) >= 3, "the others have an owner to send requests to"
        hub.sleep(20 * S)
        assert heads.owners() == [other], (
            "the isolated head sees fewer heads and does not acquire the lock again"
        )

    run(test, count=4)
