"""Weights of scorers against a restart: two heads share them, one comes back as another life of itself.

What a scorer's thread answers may come at any later time, and so may every note: those of the life before
after those of the life that follows it. Production code are the carrier, the view, and all that is decided.
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
OTHER = Version(THING, 1, 0, f'(scorer "{NAME}" (parameter "power" (value 2)))', "op", 0, "wanted")
SETTINGS = ScoringSettings(
    scorers=(ScorerSettings(name=NAME),), rate=RATE, look_us=LOOK_US, say_us=300_000, again_us=600_000,
    hung_looks=2, suspend_us=600_000,
)  # fmt: skip
LATE_US, HANGS_US, STANDS_US = 1_550_000, 1_400_000, 2_200_000
QUICK_US = 10_000
NODES = ("n1", "n2", "n3")
EARLY_STEPS = 12  # about the farthest that a weight of an early life is, in sixteenths of a power of two


class _OnThread:
    """A scorer's thread: what it was asked it answers at any later time."""

    def __init__(self, world: World, hub: Hub, scorer: Scorer, place: str) -> None:
        self._world, self._hub, self._place = world, hub, place
        self._inner = InlineRunner(scorer)
        self._ready = False
        self.hangs_until = 0

    def start_round(self, pictures: Sequence[Snapshot]) -> None:
        """Begin a round."""

        def work() -> None:
            self._inner.start_round(pictures)
            self._ready = True
            self._world.touched.write(f"answers at {self._place}")

        self._hub.at_for(f"{self._place}'s thread", max(self._hub.now(), self.hangs_until), work)

    def answers(self) -> list[ScorerAnswer] | None:
        """Return what came of the round, once."""
        self._world.touched.write(f"answers at {self._place}")
        if not self._ready:
            return None
        self._ready = False
        return self._inner.answers()

    def close(self) -> None:
        """Ask nothing more."""


class _Telling(Swim):
    """A member whose notes by topic leave in datagrams of their own, all at once."""

    send: Callable[[bytes], None]

    def set_topic_note(self, topic: str, about: bytes) -> None:
        """Say something on a topic to all."""
        super().set_topic_note(topic, about)
        row = self.view.find(self.me.name)
        assert row is not None
        self.send(self.told([row.topics[topic]]))

    def told(self, topics: Sequence[TopicNote]) -> bytes:
        """Return a datagram with the word on oneself and some notes."""
        draft = Draft("fleet", Kind.GOSSIP, self.me.name, self.me.process, 0, 0)
        draft.add(encode_item(self.me))
        for note in topics:
            draft.add_topic(encode_item(note))
        return draft.pack()


class _Head:
    """One life of a head."""

    def __init__(self, world: World, place: str, name: str, life: int, port: int, to: int, slow: str,
                 times: int = 2) -> None:  # fmt: skip
        hub = world.hub
        self.place, self.began = place, hub.now()
        me = Record(name, life, 10 * port + life, 0, State.ALIVE, "x", port)
        self.swim = _Telling(Rules(fleet="fleet"), me, (), life)
        self.shared = SharedWeights(rules_of(SETTINGS))
        self._world, self._port, self._to, self._slow, self._times = world, port, to, slow, times
        self.scoring: Scoring | None = None
        self.thread: _OnThread | None = None
        self.late_us = 0  # of the next datagram that it sends
        self._logs: dict[str, float] = {}  # as they were at the step before

    def _seen(self) -> NodeObserver:
        now, sights = self._world.hub.now(), NodeObserver("z", 0)
        entries = [NodeEntry(one, number, zone="z", started_us=1) for number, one in enumerate(NODES)]
        sights.follow(now, [NodesChanged(ListKind.FULL, entries)], [])
        ends = [
            AttemptEnded(1, 1, one, Result.OK, QUICK_US * (self._times if one == self._slow else 1), True)
            for one in NODES for _ in range(4)
        ]  # fmt: skip
        sights.follow(now, ends, [])
        return sights

    def run(self) -> None:
        """Take part until the end (a task)."""
        world, hub = self._world, self._world.hub
        with hub.scope(self.place) as scope:
            port = world.posts.bind(("x", self._port), self._come)

            def send(data: bytes) -> None:
                late_us, self.late_us = self.late_us, 0
                if late_us:
                    hub.at_for("network", hub.now() + late_us, lambda: port.send(data, ("x", self._to)))
                else:
                    port.send(data, ("x", self._to))

            self.swim.send = send
            self.swim.start(hub.now())
            self.swim.send(self.swim.told([]))
            choice = ScorerSelection({(NAME, latency.KIND.version): latency.KIND}, SETTINGS.scorers)
            scored = ScoringState(self._seen(), self.shared, choice)
            self.scoring = Scoring(self._parts(scope), SETTINGS, scored, self.swim, self._asking)
            self.scoring.start()

    def _come(self, data: bytes, source: Address) -> None:
        before = self.swim.view.changes
        self.swim.receive(self._world.hub.now(), data, source)
        if self.swim.view.changes > before:
            self.swim.send(self.swim.told([]))  # who is new hears of this one

    def _parts(self, scope: Scope) -> HeadParts:
        parts = SimpleNamespace(hub=self._world.hub, scope=scope, note=lambda *_args, **_fields: None)
        return cast(HeadParts, parts)

    def _asking(self, hub: Hub, scorer: Scorer, _name: str) -> ScorerRunner:
        self.thread = _OnThread(self._world, hub, scorer, self.place)
        return self.thread

    def wrong(self, now: int) -> str | None:
        """Return what can't be of its weights."""
        most = RATE * (now - self.began) / 1e6 + 1e-9
        for node, log in self.shared.factors.logs.items():
            if abs(log) > most or not 0.25 <= weight_factor(log) <= 4:
                return f"{self.place}: {node} is at 2^{log:g} after {(now - self.began) / 1e6:g} s"
        logs = self.shared.factors.logs
        for node in logs.keys() & self._logs.keys():
            if abs(logs[node] - self._logs[node]) > RATE * 2 * LOOK_US / 1e6 + 1e-9:
                return f"{self.place}: {node} goes from 2^{self._logs[node]:g} to 2^{logs[node]:g} at once"
        self._logs = dict(logs)
        for one in self.shared.by_scorer.values():
            if one.guard.state in (ScorerState.SUSPENDED, ScorerState.HUNG) and one.guard.scores:
                return f"{self.place}: a scorer that lost its vote is heard"
            if (
                one.guard.state in (ScorerState.ACTIVE, ScorerState.PENDING)
                and now < one.guard.suspended_until
            ):
                return f"{self.place}: a scorer has its vote back before its time"
            power = dict(one.namespace.parameters)["power"]
            scores = one.guard.scores
            if scores and abs(max(scores.values()) / min(scores.values()) - self._times**power) > 1e-6:
                return f"{self.place}: another version's scores count as those of power {power:g}: {scores}"
        return None


def _restart(swaps: bool, hangs: bool = False) -> Callable[[World], None]:
    def build(world: World) -> None:
        hub = world.hub
        heads = {
            "a": _Head(world, "a", "a", 1, 1, 2, "n1"),
            "b": _Head(world, "b", "b", 1, 2, 1, "n2"),
        }
        a = heads["a"]
        back: list[_Head] = []

        killed = Event(hub)

        def comes_back() -> None:
            killed.wait()
            again = _Head(world, "b again", "b", 2, 2, 1, "n3", 4)
            back.append(again)
            again.run()

        def restart() -> None:
            world.kill("b")
            killed.set()

        for one in heads.values():
            world.spawn(one.place, "head", one.run)
        world.spawn("b again", "head", comes_back)
        world.fault("b is killed and comes back", "b", restart)
        b = heads["b"]
        world.fault("b's next word is late", "b", lambda: setattr(b, "late_us", LATE_US))
        if swaps:

            def swap() -> None:
                if a.scoring is not None:
                    world.wrong += [why for why in [a.scoring.apply(THING, OTHER)] if why]

            world.fault("a is to run another version", "a", swap)
        if hangs:

            def hang() -> None:
                if a.thread is not None:
                    a.thread.hangs_until = hub.now() + HANGS_US

            world.fault("a's scorer hangs", "a", hang)
            world.fault("a stands still", "a", lambda: hub.freeze("a", STANDS_US))
        serials: dict[tuple[int, int], int] = {}  # life and page: the newest that a counted
        lives = {"b": 1}

        def held() -> tuple[tuple[int, int, int], ...]:
            """Return life, page and serial of what a counts of b's."""
            found = []
            for one in a.shared.by_scorer.values():
                for number, (_, page) in one.peers._received.get("b", {}).items():
                    found.append((_life_of(page.entries), number, page.serial))
            return tuple(sorted(found))

        def judge(_view: object) -> str | None:
            for one in (*heads.values(), *back):
                if one.place not in world.dead and (wrong := one.wrong(hub.now())) is not None:
                    return wrong
            pages = held()
            for life, number, serial in pages:
                if life < lives["b"]:
                    return f"a counts what the life before said, after it heard the next: {pages}"
                lives["b"] = max(lives["b"], life)
                if serial < serials.get((life, number), 0):
                    return f"a goes back to page {serial} of life {life}"
                serials[life, number] = serial
            return None

        def finish() -> str | None:
            row = a.swim.view.find("b")
            if back and (row is None or row.record.started != 2):
                return f"a did not hear of the second life: {row and row.record}"
            return None

        world.view = lambda: (held(), tuple(sorted(a.shared.factors.logs.items())))
        world.judge, world.finish = judge, finish

    return build


def _life_of(entries: Sequence[Entry]) -> int:
    """Return in which life b said a page: the second sees the slow node slower."""
    return 2 if any(not -EARLY_STEPS <= entry.steps <= EARLY_STEPS // 2 for entry in entries) else 1


SCENARIOS = (
    Scenario("weights-restart", "a head that shares weights is killed and comes back", _restart(False),
             lag=True, until_us=2_100_000, most_steps=900),
    Scenario("weights-swap", "the same, and the other runs another version of its scorer", _restart(True),
             lag=True, until_us=1_200_000, most_steps=900),
    Scenario("weights-hung", "the same where a scorer hangs for a while, or the whole head",
             _restart(True, True), until_us=3_300_000, most_steps=900),
)  # fmt: skip
