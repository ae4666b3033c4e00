"""Scorers' weights across a restart: two heads share them, and one restarts as a new incarnation.

A scorer thread's answers may arrive at any later time, and so may every note: a note of the old incarnation
may follow one of the new. Production code: the carrier, the membership view, and all decisions.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from types import SimpleNamespace
from typing import cast

from harriertrack.config.settings import ScorerSettings, ScoringSettings
from harriertrack.decisions.fleet.changes.record import Version
from harriertrack.decisions.fleet.scoring.observer import NodeObserver
from harriertrack.decisions.fleet.scoring.scorer_guard import ScorerAnswer, ScorerState
from harriertrack.decisions.fleet.scoring.scorers import latency
from harriertrack.decisions.fleet.scoring.scorers.base import Scorer
from harriertrack.decisions.fleet.scoring.shared_weights import SharedWeights
from harriertrack.decisions.fleet.scoring.snapshot import Snapshot
from harriertrack.decisions.fleet.scoring.weight_exchange import Entry
from harriertrack.decisions.fleet.scoring.weights import weight_factor
from harriertrack.decisions.interface import AttemptEnded, ListKind, NodeEntry, NodesChanged, Result
from harriertrack.gateway.fleet.scoring.carrier import Scoring, ScoringState, rules_of
from harriertrack.gateway.fleet.scoring.scorer_runner import InlineRunner, ScorerRunner
from harriertrack.gateway.fleet.scoring.selection import ScorerSelection
from harriertrack.gateway.parts import HeadParts
from harriertrack.lab.interleaving.world import Scenario, World
from harriertrack.membership.fleet.messages import Draft, Kind, Record, State, TopicNote, encode_item
from harriertrack.membership.fleet.swim import Rules, Swim
from harriertrack.runtime.datagrams import Address
from harriertrack.runtime.hub import Event, Hub, Scope

LOOK_US, RATE = 500_000, 0.5
NAME = latency.KIND.name
THING = f"scorer/{NAME}"
OTHER_VERSION = Version(THING, 1, 0, f'(scorer "{NAME}" (parameter "power" (value 2)))', "op", 0, "wanted")
SETTINGS = ScoringSettings(
    scorers=(ScorerSettings(name=NAME),), rate=RATE, look_us=LOOK_US, say_us=300_000, again_us=600_000,
    hung_looks=2, suspend_us=600_000,
)  # fmt: skip
LATE_US, HANG_US, FREEZE_US = 1_550_000, 1_400_000, 2_200_000
FAST_US = 10_000
NODES = ("n1", "n2", "n3")
EARLY_STEPS = 12  # about the largest weight of the first incarnation: log2 in sixteenths


class _ThreadRunner:
    """A modelled scorer thread: it answers a round at any later time."""

    def __init__(self, world: World, hub: Hub, scorer: Scorer, place: str) -> None:
        self._world, self._hub, self._place = world, hub, place
        self._runner = InlineRunner(scorer)
        self._ready = False
        self.hangs_until = 0

    def start_round(self, snapshots: Sequence[Snapshot]) -> None:
        """Start a round on the thread."""

        def work() -> None:
            self._runner.start_round(snapshots)
            self._ready = True
            self._world.touched.write(f"answers at {self._place}")

        self._hub.at_for(f"{self._place}'s thread", max(self._hub.now(), self.hangs_until), work)

    def answers(self) -> list[ScorerAnswer] | None:
        """Return the answers of a round that is ready, once; None if there are none."""
        self._world.touched.write(f"answers at {self._place}")
        if not self._ready:
            return None
        self._ready = False
        return self._runner.answers()

    def close(self) -> None:
        """Does nothing: there is no real thread to end."""


class _NoteSendingSwim(Swim):
    """A member that sends each topic note at once, in a datagram of its own."""

    send: Callable[[bytes], None]

    def set_topic_note(self, topic: str, about: bytes) -> None:
        """Set the note of a topic and send it to the peer."""
        super().set_topic_note(topic, about)
        row = self.view.find(self.me.name)
        assert row is not None
        self.send(self.pack_gossip([row.topics[topic]]))

    def pack_gossip(self, topics: Sequence[TopicNote]) -> bytes:
        """Return a gossip datagram with this member's own record and some notes."""
        draft = Draft("fleet", Kind.GOSSIP, self.me.name, self.me.process, 0, 0)
        draft.add(encode_item(self.me))
        for note in topics:
            draft.add_topic(encode_item(note))
        return draft.pack()


class _Head:
    """One incarnation of a head."""

    def __init__(self, world: World, place: str, name: str, incarnation: int, port: int, peer_port: int,
                 slow_node: str, slowdown: int = 2) -> None:  # fmt: skip
        hub = world.hub
        self.place, self.started_at_us = place, hub.now()
        record = Record(name, incarnation, 10 * port + incarnation, 0, State.ALIVE, "x", port)
        self.swim = _NoteSendingSwim(Rules(fleet="fleet"), record, (), incarnation)
        self.shared = SharedWeights(rules_of(SETTINGS))
        self._world, self._port, self._peer_port = world, port, peer_port
        self._slow_node, self._slowdown = slow_node, slowdown
        self.scoring: Scoring | None = None
        self.thread: _ThreadRunner | None = None
        self.late_us = 0  # delay of the next datagram that it sends
        self._previous_logs: dict[str, float] = {}  # at the step before

    def _observe_nodes(self) -> NodeObserver:
        now, observer = self._world.hub.now(), NodeObserver("z", 0)
        entries = [NodeEntry(node, number, zone="z", started_us=1) for number, node in enumerate(NODES)]
        observer.follow(now, [NodesChanged(ListKind.FULL, entries)], [])
        ends = [
            AttemptEnded(
                1, 1, node, Result.OK, FAST_US * (self._slowdown if node == self._slow_node else 1), True
            )
            for node in NODES for _ in range(4)
        ]  # fmt: skip
        observer.follow(now, ends, [])
        return observer

    def run(self) -> None:
        """Run the head until the end of the scenario (a task)."""
        world, hub = self._world, self._world.hub
        with hub.scope(self.place) as scope:
            port = world.posts.bind(("x", self._port), self._receive)

            def send(data: bytes) -> None:
                late_us, self.late_us = self.late_us, 0
                if late_us:
                    hub.at_for(
                        "network", hub.now() + late_us, lambda: port.send(data, ("x", self._peer_port))
                    )
                else:
                    port.send(data, ("x", self._peer_port))

            self.swim.send = send
            self.swim.start(hub.now())
            self.swim.send(self.swim.pack_gossip([]))
            selection = ScorerSelection({(NAME, latency.KIND.version): latency.KIND}, SETTINGS.scorers)
            state = ScoringState(self._observe_nodes(), self.shared, selection)
            self.scoring = Scoring(self._parts(scope), SETTINGS, state, self.swim, self._create_runner)
            self.scoring.start()

    def _receive(self, data: bytes, source: Address) -> None:
        before = self.swim.view.changes
        self.swim.receive(self._world.hub.now(), data, source)
        if self.swim.view.changes > before:
            self.swim.send(self.swim.pack_gossip([]))  # announces this member to the new one

    def _parts(self, scope: Scope) -> HeadParts:
        parts = SimpleNamespace(hub=self._world.hub, scope=scope, note=lambda *_args, **_fields: None)
        return cast(HeadParts, parts)

    def _create_runner(self, hub: Hub, scorer: Scorer, _name: str) -> ScorerRunner:
        self.thread = _ThreadRunner(self._world, hub, scorer, self.place)
        return self.thread

    def wrong(self, now: int) -> str | None:
        """Return the first violation in its weights and scorer states, if any."""
        limit = RATE * (now - self.started_at_us) / 1e6 + 1e-9
        for node, log in self.shared.factors.logs.items():
            if abs(log) > limit or not 0.25 <= weight_factor(log) <= 4:
                return f"{self.place}: {node} is at 2^{log:g} after {(now - self.started_at_us) / 1e6:g} s"
        logs = self.shared.factors.logs
        previous = self._previous_logs
        for node in logs.keys() & previous.keys():
            if abs(logs[node] - previous[node]) > RATE * 2 * LOOK_US / 1e6 + 1e-9:
                return f"{self.place}: {node} goes from 2^{previous[node]:g} to 2^{logs[node]:g} at once"
        self._previous_logs = dict(logs)
        for scorer in self.shared.by_scorer.values():
            if scorer.guard.state in (ScorerState.SUSPENDED, ScorerState.HUNG) and scorer.guard.scores:
                return f"{self.place}: a scorer that lost its vote is heard"
            if (
                scorer.guard.state in (ScorerState.ACTIVE, ScorerState.PENDING)
                and now < scorer.guard.suspended_until
            ):
                return f"{self.place}: a scorer has its vote back before its time"
            power = dict(scorer.namespace.parameters)["power"]
            scores = scorer.guard.scores
            if scores and abs(max(scores.values()) / min(scores.values()) - self._slowdown**power) > 1e-6:
                return f"{self.place}: another version's scores count as those of power {power:g}: {scores}"
        return None


def _restart(swaps_version: bool, may_hang: bool = False) -> Callable[[World], None]:
    def build(world: World) -> None:
        hub = world.hub
        heads = {
            "a": _Head(world, "a", "a", 1, 1, 2, "n1"),
            "b": _Head(world, "b", "b", 1, 2, 1, "n2"),
        }
        a = heads["a"]
        restarted: list[_Head] = []

        killed = Event(hub)

        def run_second_incarnation() -> None:
            killed.wait()
            head = _Head(world, "b again", "b", 2, 2, 1, "n3", 4)
            restarted.append(head)
            head.run()

        def restart() -> None:
            world.kill("b")
            killed.set()

        for head in heads.values():
            world.spawn(head.place, "head", head.run)
        world.spawn("b again", "head", run_second_incarnation)
        world.fault("b is killed and comes back", "b", restart)
        b = heads["b"]
        world.fault("b's next word is late", "b", lambda: setattr(b, "late_us", LATE_US))
        if swaps_version:

            def swap_version() -> None:
                if a.scoring is not None:
                    world.wrong += [error for error in [a.scoring.apply(THING, OTHER_VERSION)] if error]

            world.fault("a is to run another version", "a", swap_version)
        if may_hang:

            def hang_scorer() -> None:
                if a.thread is not None:
                    a.thread.hangs_until = hub.now() + HANG_US

            world.fault("a's scorer hangs", "a", hang_scorer)
            world.fault("a stands still", "a", lambda: hub.freeze("a", FREEZE_US))
        # By incarnation and page: the newest serial that a used.
        newest_serials: dict[tuple[int, int], int] = {}
        newest_incarnations = {"b": 1}

        def used_pages() -> tuple[tuple[int, int, int], ...]:
            """Return incarnation, page and serial of each page of b that a uses."""
            found = []
            for scorer in a.shared.by_scorer.values():
                for number, (_, page) in scorer.peers._received.get("b", {}).items():
                    found.append((_incarnation_of(page.entries), number, page.serial))
            return tuple(sorted(found))

        def judge(_view: object) -> str | None:
            for head in (*heads.values(), *restarted):
                if head.place not in world.dead and (wrong := head.wrong(hub.now())) is not None:
                    return wrong
            pages = used_pages()
            for incarnation, number, serial in pages:
                if incarnation < newest_incarnations["b"]:
                    return f"a counts what the life before said, after it heard the next: {pages}"
                newest_incarnations["b"] = max(newest_incarnations["b"], incarnation)
                if serial < newest_serials.get((incarnation, number), 0):
                    return f"a goes back to page {serial} of life {incarnation}"
                newest_serials[incarnation, number] = serial
            return None

        def finish() -> str | None:
            row = a.swim.view.find("b")
            if restarted and (row is None or row.record.started != 2):
                return f"a did not hear of the second life: {row and row.record}"
            return None

        world.view = lambda: (used_pages(), tuple(sorted(a.shared.factors.logs.items())))
        world.judge, world.finish = judge, finish

    return build


def _incarnation_of(entries: Sequence[Entry]) -> int:
    """Return which incarnation of b sent a page: the second observes its slow node as slower."""
    return 2 if any(not -EARLY_STEPS <= entry.steps <= EARLY_STEPS // 2 for entry in entries) else 1


SCENARIOS = (
    Scenario("weights-restart", "a head that shares weights is killed and comes back", _restart(False),
             lag=True, until_us=2_100_000, most_steps=900),
    Scenario("weights-swap", "the same, and the other runs another version of its scorer", _restart(True),
             lag=True, until_us=1_200_000, most_steps=900),
    Scenario("weights-hung", "the same where a scorer hangs for a while, or the whole head",
             _restart(True, True), until_us=3_300_000, most_steps=900),
)  # fmt: skip
