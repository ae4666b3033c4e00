"""Keys at the witness: two writers of one record, and a lock whose holder is killed."""

from __future__ import annotations

import base64
import json
from collections.abc import Callable

from harriertrack.gateway.witness import FAILURES, WitnessClient
from harriertrack.lab.interleaving.footprints import FootprintRecorder
from harriertrack.lab.interleaving.world import Scenario, World
from harriertrack.membership.leases import KEY_PREFIX, HeldLocks, Session, VolumeRecord
from harriertrack.runtime.hub import Event, Hub
from harriertrack.runtime.streams import Network
from harriertrack.standin.http import HttpRequest, HttpResponse
from harriertrack.standin.witness import Witness

WITNESS = "witness"
VOLUME = "v"
PATH = f"{KEY_PREFIX}{VOLUME}"
TTL_US = 1_000_000
CALL_US = 400_000
ERROR = 0.01  # bound of the error of a clock's rate


class ApartWitness(Witness):
    """The stand-in witness; each connection is a place of its own, and all share the stored keys."""

    def __init__(self, hub: Hub, network: Network, touched: FootprintRecorder) -> None:
        super().__init__(hub, network)
        self._touched = touched
        self.up = Event(hub)  # set once it listens

    def _handle(self, request: HttpRequest) -> HttpResponse | None:
        self._touched.write(WITNESS)
        return super()._handle(request)

    def stored(self, path: str) -> tuple[bytes, str, int]:
        """Return a key's value, the session that holds it, and the number of holders so far."""
        key = json.loads(self.backup())["keys"].get(path.removeprefix("/v1/kv/"), ["", "", 0, 0])
        return base64.b64decode(key[0]), key[1], key[2]


def witness_of(world: World, sessions: tuple[str, ...] = (), value: bytes | None = None,
               path: str = PATH) -> ApartWitness:  # fmt: skip
    """Start a witness with some sessions and, if a value is given, one key."""
    witness = ApartWitness(world.hub, world.network, world.touched)
    keys = {}
    if value is not None:
        keys[path.removeprefix("/v1/kv/")] = [base64.b64encode(value).decode(), "", 0, 1]
    backup = {"sessions": dict.fromkeys(sessions, 60 * TTL_US), "keys": keys, "number": 0, "index": 1}
    witness.restore(json.dumps(backup).encode())

    def serve() -> None:
        with world.hub.scope(WITNESS) as scope:
            witness.start(scope, (WITNESS, 8500))
            witness.up.set()

    world.network.apart(WITNESS)
    world.spawn(WITNESS, "serves", serve)
    return witness


def _client(world: World, name: str) -> WitnessClient:
    return WitnessClient(world.hub, world.network, (WITNESS, 8500), CALL_US, name)


def _two_writers(rounds: int, may_die: bool) -> Callable[[World], None]:
    """Two heads change one record; the result that each gets agrees with what the witness stored."""

    def build(world: World) -> None:
        witness = witness_of(world, ("s-a", "s-b"), b"0")
        results: dict[str, list[str]] = {"a": [], "b": []}

        def writer(name: str) -> None:
            client = _client(world, name)
            witness.up.wait()
            for _ in range(rounds):
                try:
                    key = client.key(PATH)
                    assert key is not None
                    value = key.value + name.encode()
                    index = client.change(PATH, "lock", f"s-{name}", value, key.index)
                    if index:
                        client.change(PATH, "unlock", f"s-{name}", value, index)
                    results[name].append("won" if index else "lost")
                except FAILURES:
                    results[name].append("unknown")

        for name in ("a", "b"):
            world.spawn(name, "writes", writer, name, ends=True)
        if may_die:
            world.may_die("a")

        def judge(_view: object) -> str | None:
            value = witness.stored(PATH)[0].decode()
            for name, outcomes in results.items():
                if outcomes.count("won") > value.count(name):
                    return f"{name} was told that it won, and its change is gone: {value}, {results}"
                if value.count(name) > outcomes.count("won") + outcomes.count("unknown") + 1:
                    return f"a change was made twice: {value}, {results}"
            return None

        def finish() -> str | None:
            value = witness.stored(PATH)[0].decode()
            for name, outcomes in results.items():
                if (
                    name not in world.dead
                    and "unknown" not in outcomes
                    and outcomes.count("won") != value.count(name)
                ):
                    return f"{name} was told {outcomes}, and the record says {value}"
            return None if len(value) > 1 or world.dead else "of two changes of one version one wins"

        world.view = lambda: (witness.stored(PATH)[0], tuple(results["a"]), tuple(results["b"]))
        world.judge, world.finish = judge, finish

    return build


def _lock_holder_dies(world: World) -> None:
    """Two heads compete for a volume, one may be killed: at most one acts for it, and one gets it."""
    hub = world.hub
    witness = witness_of(world)
    locks_by_head = {name: HeldLocks(Session(TTL_US, ERROR)) for name in ("a", "b")}
    epochs: list[str] = []

    def head(name: str) -> None:
        locks, client = locks_by_head[name], _client(world, name)
        witness.up.wait()
        for _ in range(4):
            hub.sleep(TTL_US // 2)
            try:
                _renew_or_create_session(client, locks.session)
                if not locks.epoch(VOLUME, hub.now()):
                    _acquire(client, locks)
            except FAILURES:
                continue

    def _renew_or_create_session(client: WitnessClient, session: Session) -> None:
        requested_at_us = hub.now()
        if session.valid(requested_at_us) and client.renew_session(session.id):
            session.record_grant(session.id, requested_at_us)
            return
        session.invalidate()
        requested_at_us = hub.now()
        session.record_grant(client.create_session(TTL_US), requested_at_us)

    def _acquire(client: WitnessClient, locks: HeldLocks) -> None:
        lock = client.lock(VOLUME)
        if lock is None or not lock.session:
            index = lock.index if lock is not None else 0
            if not client.acquire_lock(VOLUME, locks.session.id, VolumeRecord("a", ("a",)), index):
                return
            lock = client.lock(VOLUME)
        if lock is not None and lock.session == locks.session.id:
            locks.add(VOLUME, lock.epoch)  # also if the answer to an earlier request for the lock was lost
            epochs.append(f"{lock.epoch}{locks.session.id}")

    for name in locks_by_head:
        world.spawn(name, "head", head, name, ends=True)
    world.may_die("a")
    world.fault("a stands still", "a", lambda: hub.freeze("a", 3 * TTL_US))

    def acting_epochs() -> tuple[int, ...]:
        return tuple(
            0 if name in world.dead else locks.epoch(VOLUME, hub.now())
            for name, locks in locks_by_head.items()
        )

    def judge(_view: object) -> str | None:
        if sum(epoch > 0 for epoch in acting_epochs()) > 1:
            return f"two act for one volume, under epochs {acting_epochs()}"
        if len({one.partition("s")[0] for one in epochs}) < len(set(epochs)):
            return f"an epoch was given twice: {epochs}"
        return None

    world.view = lambda: (*acting_epochs(), witness.stored(PATH)[1:])
    world.judge = judge
    world.finish = lambda: None if epochs else "nobody ever got it"


SCENARIOS = (
    Scenario("witness-two-writers", "two changes of one version of a key", _two_writers(1, False)),
    Scenario("witness-killed-writer", "the same, and one may be killed", _two_writers(1, True)),
    Scenario("witness-record", "two writers, each twice, one may be killed", _two_writers(2, True),
             most_steps=600),
    Scenario("witness-lock", "a volume's lock and its holder's death", _lock_holder_dies,
             until_us=9_000_000, most_steps=900),
    Scenario("witness-lock-slow", "the same on slow machines", _lock_holder_dies,
             lag=True, until_us=9_000_000, most_steps=900),
)  # fmt: skip
