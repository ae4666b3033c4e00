"""A rollout at two heads: the decider dies or loses its term, a target head restarts or rejects the version.

Production code: the rollout controller, its carrier, the change record with its followers, and the witness
client. Modelled: the term (its holder is given; models/terms.py checks the election) and the membership view.
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
SETTLE_US = 1_050_000  # longest time from the last fault to the end of the rollout


class _Terms:
    """The deciding term: one head holds it at a time, and its epoch grows with each holder."""

    def __init__(self, world: World) -> None:
        self._world, self.holder, self.epoch = world, NAMES[0], 1

    def term_of(self, name: str) -> Term | None:
        """Return the term of a head if it holds it."""
        self._world.touched.read(TERMS)
        return Term(self.epoch, self.epoch) if self.holder == name else None

    def pass_to_other_head(self) -> None:
        """Give the term to the other head."""
        self._world.touched.write(TERMS)
        self.holder = next(name for name in NAMES if name != self.holder)
        self.epoch += 1


class _DeciderTransport:
    """Reports to the decider and its rulings, in datagrams that may arrive in any order."""

    def __init__(self, world: World, name: str, terms: _Terms, witness: WitnessClient) -> None:
        self._world, self._name, self._terms, self.witness = world, name, terms, witness
        self.on_report: dict[str, Callable[[int, str, bytes], None]] = {}
        self.on_ruling: dict[str, Callable[[int, Term, bytes], None]] = {}
        self._port = world.posts.bind(("x", 1 + NAMES.index(name)), self._receive)

    def deciding_term(self, _now: int) -> Term | None:
        """Return the term in which this head decides."""
        return self._terms.term_of(self._name)

    def _send(self, name: str, *words: object) -> None:
        self._port.send(msgspec.msgpack.encode(words), ("x", 1 + NAMES.index(name)))

    def report(self, topic: str, body: bytes) -> None:
        """Send a report to the decider."""
        now = self._world.hub.now()
        if self.deciding_term(now) is not None:
            self.on_report[topic](now, self._name, body)
        else:
            self._send(self._terms.holder, "report", topic, self._name, body)

    def rule(self, topic: str, body: bytes) -> bool:
        """Send a ruling to all heads; return whether this head decides."""
        now = self._world.hub.now()
        term = self.deciding_term(now)
        if term is None:
            return False
        for name in NAMES:
            if name != self._name:
                self._send(name, "ruling", topic, self._name, body)
        self.on_ruling[topic](now, term, body)
        return True

    def _receive(self, data: bytes, _source: Address) -> None:
        what, topic, name, body = msgspec.msgpack.decode(data, type=tuple[str, str, str, bytes])
        now = self._world.hub.now()
        if what == "report" and self.deciding_term(now) is not None:
            self.on_report[topic](now, name, body)
        elif what == "ruling":
            self.on_ruling[topic](now, Term(self._terms.epoch, self._terms.epoch), body)


class _VersionUser:
    """The user of the changed settings in a head: it applies or rejects versions."""

    def __init__(self, runs: dict[str, int], name: str, rejects: Callable[[], bool]) -> None:
        self._runs, self._name, self._rejects = runs, name, rejects

    def apply(self, _thing: str, version: Version | None) -> str:
        """Apply a version."""
        if version is not None and self._rejects():
            return "not here"
        self._runs[self._name] = version.number if version is not None else 0
        return ""


def _rollout(
    decider_may_die: bool = False, restarts: bool = False, rejects: bool = False
) -> Callable[[World], None]:
    def build(world: World) -> None:
        hub, terms = world.hub, _Terms(world)
        start = propose(Changed(), THING, 0, "(settings)", "op", 1, "wanted", PLAN)
        witness = witness_of(world, value=encode(start), path=PATH)
        history = History(witness, start)
        disks = {name: ChangesCache(None) for name in NAMES}
        runs = dict.fromkeys(NAMES, 0)  # by head: the version that it runs now; 0: none
        ran_version: set[str] = set()  # heads that have run the version at any time
        d2_rejects = [False]
        last_fault_us = [0]  # time of the last fault
        killed = Event(hub)

        def as_fault(act: Callable[[], None]) -> Callable[[], None]:
            def inject() -> None:
                last_fault_us[0] = hub.now()
                act()

            return inject

        def parts(scope: Scope, place: str) -> HeadParts:
            settings = SimpleNamespace(volumes=(), state_dir=None)
            head_parts = SimpleNamespace(
                hub=hub, scope=scope, settings=settings, network=world.network, name=place,
                note=lambda *_args, **_fields: None,
            )  # fmt: skip
            return cast(HeadParts, head_parts)

        def head(name: str, place: str, incarnation: int) -> None:
            with hub.scope(place) as scope:
                swim = Swim(Rules(fleet="f"), _member_record(name, incarnation), (), 1)
                swim.start(hub.now())
                for other in NAMES:
                    swim.view.apply(hub.now(), _member_record(other, 1))
                client = WitnessClient(hub, world.network, (WITNESS, 8500), CALL_US, place)
                transport = cast(FleetDecider, _DeciderTransport(world, name, terms, client))
                head_parts = parts(scope, place)
                runs[name] = 0
                witness.up.wait()
                changes = Changes(head_parts, CHANGES, swim, transport, lambda: None, disks[name])
                user = _VersionUser(runs, name, lambda: name == "d2" and d2_rejects[0])
                changes.register_user(Kind.SETTINGS, user)
                Rollouts(head_parts, ROLLOUT, swim, transport, changes, AnswerCounter({}), no_usage).start()
                changes.start()

        def run_again(name: str) -> None:
            killed.wait()
            head(name, f"{name} again", 2)

        def restart() -> None:
            world.kill("d2")
            killed.set()

        for name in NAMES:
            world.spawn(name, "head", head, name, name, 1)
        world.fault("the term passes", TERMS, as_fault(terms.pass_to_other_head))
        if decider_may_die:
            world.may_die("d1")
        if restarts:
            world.spawn("d2 again", "head", run_again, "d2")
            world.fault("d2 is killed and comes back", "d2", as_fault(restart))
        if rejects:
            world.fault("d2 does not take it", "d2", as_fault(lambda: d2_rejects.__setitem__(0, True)))

        def judge(_view: object) -> str | None:
            ran_version.update(name for name, number in runs.items() if number)
            for name, number in runs.items():
                if number and not any(_is_allowed_to_run(record, name) for record in history.records):
                    return f"{name} runs a version that was never to run there"
            for before, after in zip(history.records, history.records[1:], strict=False):
                old, new = before.find(THING, 1), after.find(THING, 1)
                assert old is not None and new is not None
                if new.standing is VersionState.IN_FORCE and old.standing is not VersionState.IN_FORCE:
                    if missing := set(old.heads) - ran_version:
                        return f"in force, and {sorted(missing)} never ran it"
                    if len(old.heads) < len(NAMES):
                        return f"in force after {old.heads} alone"
                if new.stage > old.stage > 0 and not set(old.heads) <= ran_version:
                    return f"stage {new.stage} begins, and {old.heads} did not all run it"
            return history.wrong()

        def finish() -> str | None:
            history.now()
            version = history.records[-1].find(THING, 1)
            assert version is not None
            if hub.now() < last_fault_us[0] + SETTLE_US:
                return None
            if d2_rejects[0] and "d2" not in ran_version:
                is_active = version.standing in (VersionState.ADVANCING, VersionState.IN_FORCE)
                return f"it is {version.standing.value}, and a head does not take it" if is_active else None
            alive = [name for name in NAMES if name not in world.dead or (name == "d2" and restarts)]
            if (
                terms.holder in alive
                and len(alive) == len(NAMES)
                and version.standing is not VersionState.IN_FORCE
            ):
                return f"it came to rest {version.standing.value}, stage {version.stage}: {version.reason}"
            return None

        world.view = lambda: (history.now(), tuple(runs.items()), terms.epoch)
        world.judge, world.finish = judge, finish

    return build


def _member_record(name: str, incarnation: int) -> Record:
    number = 1 + NAMES.index(name)
    return Record(name, incarnation, 10 * number + incarnation, 0, State.ALIVE, "x", number)


def _is_allowed_to_run(record: Changed, name: str) -> bool:
    version = record.find(THING, 1)
    if version is None:
        return False
    return version.standing is VersionState.IN_FORCE or (version.standing in ACTIVE and version.targets(name))


SCENARIOS = (
    Scenario("rollout-decider", "a rollout whose decider loses its term, or dies, in any step",
             _rollout(decider_may_die=True), until_us=UNTIL_US, most_steps=1500),
    Scenario("rollout-restart", "a rollout of which a named head is killed and comes back",
             _rollout(restarts=True), until_us=UNTIL_US, most_steps=1500),
    Scenario("rollout-falls", "a rollout of which a named head does not take the version",
             _rollout(rejects=True), until_us=UNTIL_US, most_steps=1500),
)  # fmt: skip
