"""A rollout at two heads: who decides dies or loses its term, a named head comes back or turns it down.

Production code are the conductor, its carrier, the record with those who follow it, and the client of the
witness. Represented are the term (who has it is handed in: models/terms.py looks at that) and the view.
"""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import cast

import msgspec

from harriertrack.config.settings import ChangesSettings
from harriertrack.config.settings.fleet import RolloutSettings
from harriertrack.decisions.fleet.budgets import Term
from harriertrack.decisions.fleet.changes.operations import propose
from harriertrack.decisions.fleet.changes.record import Kind, Record as Changed, Version
from harriertrack.decisions.fleet.changes.version_state import ACTIVE, VersionState
from harriertrack.decisions.fleet.rollout.answer_counts import AnswerCounter
from harriertrack.gateway.fleet.changes.carrier import Changes
from harriertrack.gateway.fleet.decider import FleetDecider
from harriertrack.gateway.fleet.rollout.carrier import Rollouts, no_usage
from harriertrack.gateway.parts import HeadParts
from harriertrack.gateway.witness import WitnessClient
from harriertrack.lab.interleaving.scenarios.changes import THING, History
from harriertrack.lab.interleaving.scenarios.witness import CALL_US, WITNESS, witness_of
from harriertrack.lab.interleaving.world import Scenario, World
from harriertrack.membership.fleet.change_record import PATH, encode
from harriertrack.membership.fleet.messages import Record, State
from harriertrack.membership.fleet.swim import Rules, Swim
from harriertrack.runtime.datagrams import Address
from harriertrack.runtime.hub import Event, Scope
from harriertrack.storage.changes import ChangesCache

TERMS = "terms"
CHANGES = ChangesSettings(look_us=300_000, spread_us=1)
ROLLOUT = RolloutSettings(report_us=150_000, look_us=150_000)
PLAN = (
    '(plan (before 0) (settle 0) (ready 2s) (compares failed) (stage "one" (heads 1) (soak 0) (least 0))'
    ' (stage "all" (share 1) (soak 0) (least 0)))'
)
NAMES = ("d1", "d2")
UNTIL_US = 1_250_000
SETTLED_US = 1_050_000  # after the last blow it has come to an end


class _Terms:
    """Who decides: one head at a time, in terms that are counted."""

    def __init__(self, world: World) -> None:
        self._world, self.holder, self.epoch = world, NAMES[0], 1

    def kept_by(self, name: str) -> Term | None:
        """Return a head's term."""
        self._world.touched.read(TERMS)
        return Term(self.epoch, self.epoch) if self.holder == name else None

    def passes(self) -> None:
        """The other head decides from now on."""
        self._world.touched.write(TERMS)
        self.holder = next(one for one in NAMES if one != self.holder)
        self.epoch += 1


class _Deciding:
    """What a head tells and hears of who decides, in datagrams that may come in any order."""

    def __init__(self, world: World, name: str, terms: _Terms, witness: WitnessClient) -> None:
        self._world, self._name, self._terms, self.witness = world, name, terms, witness
        self.on_report: dict[str, Callable[[int, str, bytes], None]] = {}
        self.on_ruling: dict[str, Callable[[int, Term, bytes], None]] = {}
        self._port = world.posts.bind(("x", 1 + NAMES.index(name)), self._come)

    def deciding_term(self, _now: int) -> Term | None:
        """Return the term in which this head decides."""
        return self._terms.kept_by(self._name)

    def _tell(self, name: str, *words: object) -> None:
        self._port.send(msgspec.msgpack.encode(words), ("x", 1 + NAMES.index(name)))

    def report(self, topic: str, body: bytes) -> None:
        """Tell who decides."""
        now = self._world.hub.now()
        if self.deciding_term(now) is not None:
            self.on_report[topic](now, self._name, body)
        else:
            self._tell(self._terms.holder, "report", topic, self._name, body)

    def rule(self, topic: str, body: bytes) -> bool:
        """Tell everybody."""
        now = self._world.hub.now()
        term = self.deciding_term(now)
        if term is None:
            return False
        for name in NAMES:
            if name != self._name:
                self._tell(name, "ruling", topic, self._name, body)
        self.on_ruling[topic](now, term, body)
        return True

    def _come(self, data: bytes, _source: Address) -> None:
        what, topic, name, body = msgspec.msgpack.decode(data, type=tuple[str, str, str, bytes])
        now = self._world.hub.now()
        if what == "report" and self.deciding_term(now) is not None:
            self.on_report[topic](now, name, body)
        elif what == "ruling":
            self.on_ruling[topic](now, Term(self._terms.epoch, self._terms.epoch), body)


class _User:
    """What the thing is for in a head."""

    def __init__(self, runs: dict[str, int], name: str, turns_down: Callable[[], bool]) -> None:
        self._runs, self._name, self._turns_down = runs, name, turns_down

    def apply(self, _thing: str, version: Version | None) -> str:
        """Apply a version."""
        if version is not None and self._turns_down():
            return "not here"
        self._runs[self._name] = version.number if version is not None else 0
        return ""


def _rollout(dies: bool = False, returns: bool = False, falls: bool = False) -> Callable[[World], None]:
    def build(world: World) -> None:
        hub, terms = world.hub, _Terms(world)
        start = propose(Changed(), THING, 0, "(settings)", "op", 1, "wanted", PLAN)
        witness = witness_of(world, value=encode(start), path=PATH)
        history = History(witness, start)
        disks = {name: ChangesCache(None) for name in NAMES}
        runs = dict.fromkeys(NAMES, 0)  # by head: the version that it runs now
        took: set[str] = set()  # heads that ever ran the version
        refuses = [False]
        struck = [0]  # when anything went wrong last
        killed = Event(hub)

        def struck_by(act: Callable[[], None]) -> Callable[[], None]:
            def strike() -> None:
                struck[0] = hub.now()
                act()

            return strike

        def parts(scope: Scope, place: str) -> HeadParts:
            settings = SimpleNamespace(volumes=(), state_dir=None)
            one = SimpleNamespace(hub=hub, scope=scope, settings=settings, network=world.network, name=place,
                                  note=lambda *_args, **_fields: None)  # fmt: skip
            return cast(HeadParts, one)

        def head(name: str, place: str, life: int) -> None:
            with hub.scope(place) as scope:
                swim = Swim(Rules(fleet="f"), _member(name, life), (), 1)
                swim.start(hub.now())
                for other in NAMES:
                    swim.view.apply(hub.now(), _member(other, 1))
                client = WitnessClient(hub, world.network, (WITNESS, 8500), CALL_US, place)
                deciding = cast(FleetDecider, _Deciding(world, name, terms, client))
                mine = parts(scope, place)
                runs[name] = 0
                witness.up.wait()
                changes = Changes(mine, CHANGES, swim, deciding, lambda: None, disks[name])
                user = _User(runs, name, lambda: name == "d2" and refuses[0])
                changes.register_user(Kind.SETTINGS, user)
                Rollouts(mine, ROLLOUT, swim, deciding, changes, AnswerCounter({}), no_usage).start()
                changes.start()

        def again(name: str) -> None:
            killed.wait()
            head(name, f"{name} again", 2)

        def restart() -> None:
            world.kill("d2")
            killed.set()

        for name in NAMES:
            world.spawn(name, "head", head, name, name, 1)
        world.fault("the term passes", TERMS, struck_by(terms.passes))
        if dies:
            world.may_die("d1")
        if returns:
            world.spawn("d2 again", "head", again, "d2")
            world.fault("d2 is killed and comes back", "d2", struck_by(restart))
        if falls:
            world.fault("d2 does not take it", "d2", struck_by(lambda: refuses.__setitem__(0, True)))

        def judge(_view: object) -> str | None:
            took.update(name for name, number in runs.items() if number)
            for name, number in runs.items():
                if number and not any(_may_run(record, name) for record in history.records):
                    return f"{name} runs a version that was never to run there"
            for before, after in zip(history.records, history.records[1:], strict=False):
                was, one = before.find(THING, 1), after.find(THING, 1)
                assert was is not None and one is not None
                if one.standing is VersionState.IN_FORCE and was.standing is not VersionState.IN_FORCE:
                    if missing := set(was.heads) - took:
                        return f"in force, and {sorted(missing)} never ran it"
                    if len(was.heads) < len(NAMES):
                        return f"in force after {was.heads} alone"
                if one.stage > was.stage > 0 and not set(was.heads) <= took:
                    return f"stage {one.stage} begins, and {was.heads} did not all run it"
            return history.wrong()

        def finish() -> str | None:
            history.now()
            one = history.records[-1].find(THING, 1)
            assert one is not None
            if hub.now() < struck[0] + SETTLED_US:
                return None
            if refuses[0] and "d2" not in took:
                goes_on = one.standing in (VersionState.ADVANCING, VersionState.IN_FORCE)
                return f"it is {one.standing.value}, and a head does not take it" if goes_on else None
            alive = [name for name in NAMES if name not in world.dead or (name == "d2" and returns)]
            if (
                terms.holder in alive
                and len(alive) == len(NAMES)
                and one.standing is not VersionState.IN_FORCE
            ):
                return f"it came to rest {one.standing.value}, stage {one.stage}: {one.reason}"
            return None

        world.view = lambda: (history.now(), tuple(runs.items()), terms.epoch)
        world.judge, world.finish = judge, finish

    return build


def _member(name: str, life: int) -> Record:
    number = 1 + NAMES.index(name)
    return Record(name, life, 10 * number + life, 0, State.ALIVE, "x", number)


def _may_run(record: Changed, name: str) -> bool:
    one = record.find(THING, 1)
    if one is None:
        return False
    return one.standing is VersionState.IN_FORCE or (one.standing in ACTIVE and one.targets(name))


SCENARIOS = (
    Scenario("rollout-decider", "a rollout whose decider loses its term, or dies, in any step",
             _rollout(dies=True), until_us=UNTIL_US, most_steps=1500),
    Scenario("rollout-restart", "a rollout of which a named head is killed and comes back",
             _rollout(returns=True), until_us=UNTIL_US, most_steps=1500),
    Scenario("rollout-falls", "a rollout of which a named head does not take the version",
             _rollout(falls=True), until_us=UNTIL_US, most_steps=1500),
)  # fmt: skip
