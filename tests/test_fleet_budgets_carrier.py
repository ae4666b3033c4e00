"""Budgets in running heads: datagrams, the witness, the module's part, what operators see, days that break rules."""

import json
import subprocess
import sys
import time

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from harriertrack.config.settings import (
    BudgetSettings,
    BudgetsSettings,
    BudgetUse,
    FleetSeedSettings,
    FleetSettings,
    PlanSettings,
    RuleSettings,
)
from harriertrack.config.sexp import SettingsError
from harriertrack.config.written import written
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
from harriertrack.lab.fleet.later import later
from harriertrack.lab.fleet.processes import Places
from harriertrack.lab.fleet.rig import simulate
from harriertrack.membership.fleet import topic_datagrams
from harriertrack.membership.fleet.topic_datagrams import Kind, MalformedDatagram
from harriertrack.membership.fleet.messages import MAX_DATAGRAM_BYTES, decode as decode_member
from harriertrack.membership.fleet.status_document import parse_document
from harriertrack.rules import budgets as rules, checker, recording as rec
from harriertrack.runtime.datagrams import MemoryDatagrams
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import MemoryNetwork
from harriertrack.standin.witness import Witness
from tests.test_fleet_days import head
from harriertrack.protocol.nbd.wire import Command
from tests.test_head import DISK, EXTENT, SHARED, Site

S = 1_000_000
COMMAND = [sys.executable, "-m", "harriertrack"]

# -- the codec

TERM = Term(3, 9)
ASK = LeaseRequest(0, TERM, "a", 7, 2, 5, S, 1.5, (Claim("limits/v", 10.0, 4.0, 2, 0.5),))
GRANT = Grant(1, TERM, "a", 7, 2, 5, S, (ShareUpdate("limits/v", 3, 2.5, 0.0),))


@pytest.mark.parametrize("said", [ASK, GRANT, (Kind.TERM, 4, TERM), (Kind.VACATED, 0, TERM)])
def test_what_is_said_is_read_back_and_is_garbage_to_members_without_budgets(said):
    data = topic_datagrams.encode("f", said)
    assert topic_datagrams.decode("f", data) == said
    with pytest.raises(MalformedDatagram):
        decode_member(data)
    with pytest.raises(topic_datagrams.ForeignFleet):
        topic_datagrams.decode("g", data)


@given(st.binary(max_size=1500), st.integers(0, 200), st.integers(0, 255))
@settings(max_examples=300, deadline=None)
def test_any_bytes_are_read_or_refused(tail, at, byte):
    good = bytearray(topic_datagrams.encode("f", ASK))
    good[at % len(good)] = byte
    for data in (topic_datagrams.MARK + tail, bytes(good), bytes(good[: at % len(good)])):
        try:
            said = topic_datagrams.decode("f", data)
        except MalformedDatagram:
            continue
        for claim in said.claims if isinstance(said, LeaseRequest) else ():
            assert claim.movable >= 0 and claim.demand >= 0 and claim.version >= 0, (
                "no number that could do harm"
            )


def test_later_versions_add_fields_and_too_new_ones_are_told():
    raw = msgspec.msgpack.decode(topic_datagrams.encode("f", GRANT)[1:])
    assert topic_datagrams.decode("f", topic_datagrams.MARK + msgspec.msgpack.encode([*raw, "more"])) == GRANT
    with pytest.raises(topic_datagrams.UnsupportedVersion):
        topic_datagrams.decode("f", topic_datagrams.MARK + msgspec.msgpack.encode([9, *raw[1:]]))


@pytest.mark.parametrize("said", [
    ASK, GRANT, (Kind.TERM, 4, TERM), topic_datagrams.ZoneObservations("a", ()), topic_datagrams.ZoneDecisions(TERM, ()),
    topic_datagrams.Report("t", "a", b"x"), topic_datagrams.Ruling("t", TERM, b"x"),
])  # fmt: skip
def test_what_the_later_version_of_rehearsals_says_is_read_by_this_one(said):
    data = later(topic_datagrams.encode("f", said))
    assert data != topic_datagrams.encode("f", said) and topic_datagrams.decode("f", data) == said


def test_asks_and_grants_of_many_long_names_fit_datagrams():
    portions = BudgetShares(BudgetRules(), 1, "n" * 64, 1 << 61, 9, {BudgetKind.LIMITS: BudgetSpec(0.1)}, 0)
    (holder,) = portions.holders
    holder.observe_term(0, Term(1 << 40, 1 << 61))
    plan = api.Plan("p", limit=1e9, limit_burst=1e9)
    for number in range(300):
        portions.limit(0, api.RequestArrived(1, "c", "p", f"v{number:0>120}", "", 0, 9e9, S, 9), plan)
    ledger = Ledger(0, holder.term, 0, BudgetRules())
    asks = holder.due_requests(100_000)
    assert (
        sum(len(ask.claims) for ask in asks) == 300
        and max(len(topic_datagrams.encode("f" * 64, a)) for a in asks) <= MAX_DATAGRAM_BYTES
    )
    for ask in asks:
        assert (
            len(topic_datagrams.encode("f" * 64, ledger.handle_request(100_000, ask))) <= MAX_DATAGRAM_BYTES
        )
    news = ledger.rebalance(200_000)
    assert sum(len(one.shares) for one in news) == 300
    assert max(len(topic_datagrams.encode("f" * 64, one)) for one in news) <= MAX_DATAGRAM_BYTES


# -- settings

FLEET = '(fleet "a" (listen "127.0.0.1" 7946) (budgets (witness "127.0.0.1" 8500) %s))'
TWO = "(heads 4)"


def test_budgets_are_read_and_written_back_and_a_head_without_loads_nothing_of_them():
    one = head(TWO + FLEET % "(budget limits (fixed 0.5)) (budget connections (whole 9) (burst 3))")
    text = written("head", one)
    assert '(budget "limits"' in text and '(witness "127.0.0.1" 8500)' in text
    code = ("import sys, harriertrack.gateway.fleet.carrier, harriertrack.service.head, harriertrack.wirehost;"
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
def test_budgets_that_can_not_be_are_told_with_their_field(text, why):
    with pytest.raises(SettingsError, match=why):
        head(TWO + FLEET % text)


def test_a_fixed_part_that_could_never_send_the_largest_request_is_told():
    plans = (PlanSettings(name="p", rate=1000, limit=100, limit_burst=100),)
    run(lambda heads: None, count=1, plans=plans, fixed=0.9)
    from harriertrack.config.settings import check_head

    def check(heads):
        spoilt = msgspec.structs.replace(
            heads.sites[0].head.settings,
            plans=(PlanSettings(name="p", rate=1000, limit=100, limit_burst=20),),
        )
        with pytest.raises(SettingsError, match="limit-burst"):
            check_head(spoilt, "x")

    run(check, count=1, plans=plans, fixed=0.9)


# -- the module's part


class Counting:
    """Portions that say what a test wants."""

    def __init__(self, tokens=0, part=0.0):
        self.tokens, self.part, self.asked = tokens, part, []

    def limit(self, now, ask, plan):
        self.asked.append(("limit", ask.volume, ask.units))

    def further(self, now, draw):
        self.asked.append(("further", draw))
        self.tokens -= draw
        return self.tokens + draw > 0

    def trial(self, now, node):
        self.asked.append(("trial", node))
        self.tokens -= 1
        return self.tokens >= 0

    def cold(self, now, node, rate, units):
        self.asked.append(("cold", node, rate))
        return self.part


def module(portions=None, **more):
    classes = (api.RequestClass("read", 300_000, 900_000, effect=api.Effect.SAFE),)
    plans = (api.Plan("p", limit=100.0, limit_burst=20.0),)
    told = api.Settings(4, classes, plans, max_attempts=9, **more)
    one = Scheduler(told, 1, portions=portions)
    nodes = [api.NodeEntry(f"n{number}", number, started_us=-10 * S) for number in range(2)]
    one.handle(0, [api.NodesChanged(api.ListKind.FULL, nodes)])
    return one


def arrived(number, shard=0, units=4.0):
    return api.RequestArrived(number, "read", "p", "v", "", shard, units, 900_000, 4)


def test_a_module_uses_its_portion_of_a_limit_in_place_of_an_even_part():
    portions = BudgetShares(BudgetRules(), 1, "a", 1, 4, {BudgetKind.LIMITS: BudgetSpec(0.4)}, 0)
    one = module(portions)
    one.handle(10 * S, [arrived(1)])
    ((name, portion),) = portions
    assert name == "limits/v" and portion.requested == 4
    assert one._volumes["v", "p"].limit is portion and portion.capacity == pytest.approx(20 * 0.1)
    portion.set_leased(10 * S, 60.0, 12.0)
    portions.holders[0].lease.expires_at = 20 * S
    sent = [one for one in one.handle(10 * S + 1000, [arrived(2), arrived(3)]) if isinstance(one, api.Send)]
    assert len(sent) >= 2 and portion.level < 14 - 8 + 1, "what it sends is drawn from the portion"


def test_further_attempts_past_the_own_share_are_drawn_from_the_fleets():
    def tries(portions):
        one = module(portions, budget_window_us=10 * S, budget_share=0.0)
        sent, actions, number, now = 0, one.handle(S, [arrived(1)]), 0, S
        while any(isinstance(action, api.Send) for action in actions):
            sent += 1
            now += 1000
            event = api.AttemptEnded(1, number, "n0", api.Result.ERROR, 500, False)
            number, actions = number + 1, one.handle(now, [event])
        return sent

    assert tries(None) == 1 and tries(Counting(0)) == 1
    assert tries(Counting(3)) == 4, "one of its own, and what is to be had"


def test_a_cold_node_gets_this_heads_part_of_what_it_bears():
    def sent(portions):
        one = module(
            portions, cold_units=40.0, cold_share=0.25, warm_us=8 * S, fall_us=2 * S, fall_multiple=2.0
        )
        one.handle(S, [api.NodesChanged(api.ListKind.CHANGES, [api.NodeEntry("n0", 0, started_us=S)])])
        actions = [one.handle(S + step * 20_000, [arrived(step, units=1.0)]) for step in range(60)]
        return sum(isinstance(action, api.Send) for batch in actions for action in batch)

    portions = Counting(part=0.0)
    none, even, much = sent(portions), sent(None), sent(Counting(part=80.0))
    assert (
        none < even < much
        and portions.asked[0][:2] == ("cold", "n0")
        or portions.asked[1][:2] == ("cold", "n0")
    )


def test_a_silent_node_is_tried_as_often_as_the_fleet_may():
    def tries(portions):
        one = module(portions)
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
    assert tries(Counting(3)) <= 3 and tries(Counting(0)) == 0, "none are to be had, none are made"


def test_a_head_alone_saves_up_for_one_thing_at_least():
    divided = {BudgetKind.TRIALS: BudgetSpec(0.2, 4.0, 4.0)}
    portions = BudgetShares(BudgetRules(clock_error=0.0), 1, "a", 1, 200, divided, 0)
    assert not portions.trial(S, "n0")
    assert portions.trial(260 * S, "n0") and not portions.trial(261 * S, "n0")


def test_links_and_list_calls_wait_for_their_turn():
    divided = {
        BudgetKind.CONNECTIONS: BudgetSpec(0.5, 8.0, 8.0),
        BudgetKind.LIST_CALLS: BudgetSpec(0.5, 8.0, 8.0),
    }
    portions = BudgetShares(BudgetRules(clock_error=0.0), 1, "a", 1, 4, divided, 0)
    assert portions.connection_wait(S, "n0") == 0 and portions.connection_wait(S, "n1") == 0
    assert portions.connection_wait(S, "n0") == pytest.approx(S, rel=0.01), "one a second is this head's"
    assert portions.connection_wait(2 * S, "n0", again=True) == 0
    assert portions.list_call_wait(S) == 0 and portions.list_call_wait(S) > 0
    assert BudgetShares(BudgetRules(), 1, "a", 1, 4, {}, 0).connection_wait(S, "n0") == 0
    assert set(BUDGET_UNITS) == set(BudgetKind) and {one.value for one in BudgetKind} == {
        one.value for one in BudgetUse
    }
    assert budget_name(BudgetKind.ATTEMPTS) == "attempts"


# -- heads on one hub


class Heads:
    """Heads of a fleet that divides, with a witness."""

    def __init__(self, hub, scope, count=3, fixed=0.2, plans=None, more=(), **figures):
        self.hub, self.net, self.datagrams = hub, MemoryNetwork(hub), MemoryDatagrams(hub)
        self.witness = Witness(hub, self.net)
        self.witness.start(scope)
        plans = plans or (PlanSettings(name="p", rate=1000, limit=200, limit_burst=400),)
        budgets = BudgetsSettings(
            witness=self.witness.address, term_us=2 * S, patience_us=S, timeout_us=S // 2,
            budgets=(BudgetSettings(name=BudgetUse.LIMITS, fixed=fixed), *more), **figures,
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
        return self.sites[number].head.fleet.together.budgets._seats[0]

    def keepers(self):
        return [number for number in range(len(self.sites)) if not self.sites[number].task.done
                and self.seat(number).candidate.holds_term(self.hub.now())]  # fmt: skip

    def told(self, number):
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


def test_one_head_keeps_the_ledger_and_hands_it_on_when_it_leaves():
    def test(heads):
        heads.hub.sleep(6 * S)
        (first,) = heads.keepers()
        assert heads.told(first).ledgers[0].epoch == 1
        assert {heads.seat(number).holder.term.epoch for number in range(3)} == {1}
        heads.sites[first].head.stop()
        heads.hub.sleep(1_500_000)
        assert heads.sites[first].task.done
        (second,) = heads.keepers()
        assert second != first and heads.told(second).ledgers[0].epoch == 2, "sooner than a session ends"

    run(test)


def test_a_dark_witness_ends_the_term_and_its_return_begins_one():
    def test(heads):
        heads.hub.sleep(6 * S)
        (keeper,) = heads.keepers()
        heads.witness.down = True
        heads.hub.sleep(3 * S)
        assert heads.keepers() == []
        assert "fleet budgets: term over" in [event for event, _ in heads.sites[keeper].notes]
        assert any(event == "fleet budgets: no witness" for site in heads.sites for event, _ in site.notes)
        heads.witness.down = False
        heads.hub.sleep(5 * S)
        assert len(heads.keepers()) == 1

    run(test)


def test_a_witness_restored_under_a_living_keeper_ends_its_term():
    def test(heads):
        kept = heads.witness.kept()
        heads.hub.sleep(6 * S)
        (keeper,) = heads.keepers()
        before = heads.seat(keeper).candidate.ledger
        heads.witness.take_up(kept)  # it knows no session and no lock
        heads.hub.sleep(S)
        assert heads.seat(keeper).candidate.ledger is not before
        heads.hub.sleep(8 * S)
        (keeper,) = heads.keepers()
        ledger = heads.seat(keeper).candidate.ledger
        assert ledger.term != before.term and ledger.term.epoch == 1

    run(test)


def test_demand_moves_shares_and_operators_see_them():
    def test(heads):
        hub = heads.hub
        hub.sleep(6 * S)
        client = heads.sites[1].client("shared")
        del client
        portions = heads.sites[1].head.fleet.together.budgets.portions
        plan = api.Plan("p", limit=200.0, limit_burst=400.0)
        for step in range(100):
            portions.limit(hub.now(), api.RequestArrived(step, "read", "p", "shared", "", 0, 3.0, S, 2), plan)
            hub.sleep(20_000)
        told = heads.told(1)
        (portion,) = told.portions
        assert (
            portion.budget == "limits/shared"
            and portion.unit == "units"
            and portion.fixed == pytest.approx(20)
        )
        assert portion.share > 100 and portion.wanted == pytest.approx(130, rel=0.2)
        (keeper,) = heads.keepers()
        (ledger,) = heads.told(keeper).ledgers
        (slip,) = ledger.slips
        assert (slip.holder, slip.there, slip.counted) == ("h1", True, pytest.approx(portion.share))
        assert ledger.movable == {"limits/shared": pytest.approx(160)}
        hub.sleep(10 * S)
        assert heads.told(1).portions == [] and heads.told(keeper).ledgers[0].slips == [], (
            "idle, and forgotten"
        )

    run(test)


def test_garbage_and_strangers_harm_no_head():
    def test(heads):
        hub = heads.hub
        hub.sleep(6 * S)
        rng, port = hub.random, heads.datagrams.bind(("127.0.0.1", 0), lambda *one: None)
        for _ in range(1500):
            data = bytearray(
                topic_datagrams.encode("fleet" if rng.random() < 0.7 else "other", rng.choice((ASK, GRANT)))
            )
            if rng.random() < 0.5:
                data[rng.randrange(1, len(data))] = rng.randrange(256)
                del data[rng.randrange(1, len(data) + 1) :]
            port.send(bytes(data), ("127.0.0.1", 40_000 + rng.randrange(3)))
            hub.sleep(500)
        port.send(topic_datagrams.encode("fleet", (Kind.TERM, 77, TERM)), ("127.0.0.1", 40_000))
        hub.sleep(2 * S)
        counts = [heads.told(number).counts for number in range(3)]
        assert sum(one["garbage"] for one in counts) > 100 and sum(one["strangers"] for one in counts) > 50
        assert len(heads.keepers()) == 1 and not [site for site in heads.sites if site.task.done]

    run(test)


def test_two_ledgers_are_kept_and_every_use_is_wired():
    more = (BudgetSettings(name=BudgetUse.CONNECTIONS, fixed=0.5, whole=400, burst=100),
            BudgetSettings(name=BudgetUse.LIST_CALLS, fixed=0.5, whole=400, burst=100),
            BudgetSettings(name=BudgetUse.ATTEMPTS, fixed=0.5, whole=40, burst=40))  # fmt: skip

    def test(heads):
        hub = heads.hub
        hub.sleep(6 * S)
        seats = [
            [
                seat.candidate.holds_term(hub.now())
                for seat in site.head.fleet.together.budgets._seats.values()
            ]
            for site in heads.sites
        ]
        assert [sum(column) for column in zip(*seats, strict=True)] == [1, 1]
        client = heads.sites[0].client("shared")
        assert client.read(0, 4096, hub.now() + S).data == bytes(4096) if hasattr(client, "read") else True
        assert heads.sites[0].head.module.settings.budget_free == 0

    run(test, more=more, ledgers=2)


def test_links_open_at_a_time_are_divided_and_closed_when_the_lease_ends():
    more = (BudgetSettings(name=BudgetUse.LINKS, fixed=0.5, whole=8),)

    def test(heads):
        hub, head = heads.hub, heads.sites[0].head
        hub.sleep(6 * S)
        links, portions = head._links, head.fleet.together.budgets.portions
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
        assert before == {"n0": 2, "n1": 2} and len(links) == 4, "one of each node's is a share"
        heads.datagrams._fate = lambda *_: ()
        hub.sleep(4 * S)
        if head.fleet.together.budgets._seats[0].candidate.ledger is None:
            assert used() == {"n0": 1, "n1": 1} and len(links) == 2, "the fixed part alone"
        heads.datagrams._fate = lambda *_: (100,)
        hub.sleep(4 * S)
        for export in ("disk", "shared"):
            client = heads.sites[0].client(export)
            assert not client.call(Command.WRITE, 0, data=b"x" * 512).error

    run(test, more=more)


# -- the rules

FACTS = rec.BudgetFacts(t=0, budget="b", rate=10.0, burst=5.0, moving=8.0, slack=0.5)


def asked(t, holder="a", number=1, tenure=1, applied=(), term=(1, 1), instance=1):
    return rec.AskedShare(t=t, holder=holder, instance=instance, ledger=0, term=term, tenure=tenure, number=number,
                          applied=list(applied))  # fmt: skip


def granted(t, rate, holder="a", answers=1, version=1, tenure=1, term=(1, 1), instance=1):
    return rec.GrantedShare(t=t, holder=holder, instance=instance, ledger=0, term=term, tenure=tenure, answers=answers,
                            lease_us=S, shares=[("b", version, rate)])  # fmt: skip


def drawn(t, units):
    return rec.Drawn(t=t, budget="b", holder="a", units=units)


@pytest.mark.parametrize(("broken", "records"), [
    ([], [asked(0), granted(1, 8.0), asked(2 * S, "b"), granted(2 * S, 8.0, "b")]),
    ([1], [asked(0), granted(1, 8.0), asked(S // 2, "b"), granted(S // 2, 1.0, "b")]),
    ([1], [asked(0), granted(1, 8.5)]),
    ([1], [asked(0), granted(1, 8.0), granted(2, 2.0, answers=0, version=2), asked(3, "b"), granted(4, 6.0, "b")]),
    ([], [asked(0), granted(1, 8.0), granted(2, 2.0, answers=0, version=2), asked(3, number=2, applied=[("b", 2)]),
          asked(3, "b"), granted(4, 6.0, "b")]),
    ([], [asked(0), granted(1, 8.0), asked(2, tenure=2), asked(3, "b"), granted(4, 8.0, "b")]),
    ([1], [asked(0), granted(1, 8.0), asked(2, tenure=2, instance=2), granted(4, 8.0, tenure=2, instance=2)]),
    ([], [asked(0), granted(1, 8.0), asked(2, term=(2, 1)), asked(3, "b", term=(2, 1)), granted(4, 8.0, "b", term=(2, 1))]),
    ([], [drawn(0, 5.0), drawn(S // 2, 5.0), drawn(S, 5.4)]),
    ([2], [drawn(0, 5.0), drawn(S // 2, 5.6)]),
    ([2], [drawn(0, 0.0), drawn(99 * S, 5.6)]),
])  # fmt: skip
def test_the_rules_find_what_is_too_much_and_nothing_else(broken, records):
    assert [one.rule for one in rules.check([FACTS, *records])] == broken


def day(name, **changes):
    plan = msgspec.structs.replace(scenario.load(name), **changes)
    recorder = rec.Recorder()
    simulate(plan, plan.processes, 1, recorder)
    return recorder.records


def test_a_day_grants_shares_and_one_without_a_protection_breaks_its_rules(monkeypatch):
    records = day("budget-jump")
    most = max(rate for one in records if isinstance(one, rec.GrantedShare) for _, _, rate in one.shares)
    whole = next(one.moving for one in records if isinstance(one, rec.BudgetFacts))
    assert 0.8 * whole < most <= whole * (1 + 1e-6)

    def at_once(self, name, slip, rate, tokens=0.0, change=Ledger._change):
        change(self, name, slip, rate, tokens)
        slip.committed = slip.granted

    monkeypatch.setattr(Ledger, "_change", at_once)
    broken = day("budget-partition")  # with lost messages while demand jumps
    assert 1 in {one.rule for one in rules.check(broken)}


def test_heads_that_make_units_break_the_limit_at_the_nodes(monkeypatch):
    from harriertrack.decisions.fleet.holder import LeaseHolder

    def fills(self, now, grant, take=LeaseHolder.apply_grant):
        changed = take(self, now, grant)
        for share in grant.shares:
            if changed and share.budget in self.budgets:
                self.budgets[share.budget].share.level = self.budgets[share.budget].share.capacity
        return changed

    monkeypatch.setattr(LeaseHolder, "apply_grant", fills)
    assert 7 in {one.rule for one in checker.check(day("budget-jump"))}


def test_a_day_without_budgets_has_no_witness_to_lose():
    from harriertrack.config.sexp import read_text

    with pytest.raises(SettingsError, match="witness"):
        scenario.parse(read_text('(fleet-day "x" (step dark (for 1s)))', "x"), "x")


# -- processes


@pytest.mark.real_time
def test_a_witness_process_keeps_its_state_and_tells_bad_places(tmp_path):
    place, state = "{}:{}".format(*Places().next()), tmp_path / "state"
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
def test_operators_see_who_holds_what_over_processes(tmp_path):
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
        until, shares, lent = time.monotonic() + 80, 0.0, []
        while not (shares and lent):
            assert time.monotonic() < until and playing.poll() is None
            told = [asked_budgets(kept / f"head{number}.sexp") for number in range(3)]
            shares = sum(one["share"] for each in told if each for one in each["portions"])
            lent = [ledger["slips"] for each in told if each for ledger in each["ledgers"] if ledger["slips"]]
        text = subprocess.run([*COMMAND, "fleet", "budgets", "--settings", str(kept / "head1.sexp"), "--volume", "vol0"],
                              capture_output=True, text=True, timeout=30).stdout  # fmt: skip
        assert "limits/vol0" in text and "ledger 0" in text and "epoch" in text
    finally:
        playing.send_signal(2)
        playing.communicate(timeout=60)


def asked_budgets(path):
    done = subprocess.run([*COMMAND, "fleet", "budgets", "--settings", str(path), "--json"], capture_output=True, text=True,
                          timeout=30)  # fmt: skip
    return json.loads(done.stdout) if done.returncode == 0 else None


def test_figures_reach_the_rules_and_have_one_set_of_defaults():
    settings = BudgetsSettings(witness=("h", 1), budgets=(BudgetSettings(name=BudgetUse.LIMITS),))
    assert carrier.rules_of(settings) == BudgetRules()
    assert carrier.rules_of(msgspec.structs.replace(settings, contenders=2, weight=3.0)) == BudgetRules(
        contenders=2, weight=3.0
    )


def test_a_keeper_whom_most_do_not_reach_gives_the_ledger_up():
    def test(heads):
        hub = heads.hub
        hub.sleep(8 * S)
        (keeper,) = heads.keepers()
        alone = {f"h{keeper}"}  # it reaches the witness, and none of the others
        heads.datagrams._fate = lambda source, target, _size: (
            () if (source in alone) != (target in alone) else (100,)
        )
        hub.sleep(40 * S)
        (other,) = heads.keepers()
        assert other != keeper and "fleet budgets: outnumbered" in [
            event for event, _ in heads.sites[keeper].notes
        ]
        asks = [seat.keeper if not seat.mine else "itself" for seat in map(heads.seat, range(4))]
        assert sum(one is not None for one in asks) >= 3, "the others have somebody to ask"
        hub.sleep(20 * S)
        assert heads.keepers() == [other], "the one that is alone sees fewer, and does not take it back"

    run(test, count=4)
