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
ERROR = 0.01  # of a clock's rate


class ApartWitness(Witness):
    """The stand-in; each connection is a place of its own, and all meet in what the witness keeps."""

    def __init__(self, hub: Hub, network: Network, touched: FootprintRecorder) -> None:
        super().__init__(hub, network)
        self._touched = touched
        self.up = Event(hub)  # it listens

    def _handle(self, asked: HttpRequest) -> HttpResponse | None:
        self._touched.write(WITNESS)
        return super()._handle(asked)

    def stored(self, path: str) -> tuple[bytes, str, int]:
        """Return a key's value, holder, and count of holders."""
        key = json.loads(self.backup())["keys"].get(path.removeprefix("/v1/kv/"), ["", "", 0, 0])
        return base64.b64decode(key[0]), key[1], key[2]


def witness_of(world: World, sessions: tuple[str, ...] = (), value: bytes | None = None,
               path: str = PATH) -> ApartWitness:  # fmt: skip
    """Start a witness that knows some sessions, and a key if it has a value."""
    one = ApartWitness(world.hub, world.network, world.touched)
    keys = {}
    if value is not None:
        keys[path.removeprefix("/v1/kv/")] = [base64.b64encode(value).decode(), "", 0, 1]
    kept = {"sessions": dict.fromkeys(sessions, 60 * TTL_US), "keys": keys, "number": 0, "index": 1}
    one.restore(json.dumps(kept).encode())

    def serve() -> None:
        with world.hub.scope(WITNESS) as scope:
            one.start(scope, (WITNESS, 8500))
            one.up.set()

    world.network.apart(WITNESS)
    world.spawn(WITNESS, "serves", serve)
    return one


def _client(world: World, me: str) -> WitnessClient:
    return WitnessClient(world.hub, world.network, (WITNESS, 8500), CALL_US, me)


def _two_writers(rounds: int, dies: bool) -> Callable[[World], None]:
    """Two heads change one record; each was told the truth of what became of its change."""

    def build(world: World) -> None:
        witness = witness_of(world, ("s-a", "s-b"), b"0")
        said: dict[str, list[str]] = {"a": [], "b": []}

        def writer(me: str) -> None:
            client = _client(world, me)
            witness.up.wait()
            for _ in range(rounds):
                try:
                    key = client.key(PATH)
                    assert key is not None
                    value = key.value + me.encode()
                    index = client.change(PATH, "lock", f"s-{me}", value, key.index)
                    if index:
                        client.change(PATH, "unlock", f"s-{me}", value, index)
                    said[me].append("won" if index else "lost")
                except FAILURES:
                    said[me].append("unknown")

        for me in ("a", "b"):
            world.spawn(me, "writes", writer, me, ends=True)
        if dies:
            world.may_die("a")

        def judge(_view: object) -> str | None:
            value = witness.stored(PATH)[0].decode()
            for me, words in said.items():
                if words.count("won") > value.count(me):
                    return f"{me} was told that it won, and its change is gone: {value}, {said}"
                if value.count(me) > words.count("won") + words.count("unknown") + 1:
                    return f"a change was made twice: {value}, {said}"
            return None

        def finish() -> str | None:
            value = witness.stored(PATH)[0].decode()
            for me, words in said.items():
                if me not in world.dead and "unknown" not in words and words.count("won") != value.count(me):
                    return f"{me} was told {words}, and the record says {value}"
            return None if len(value) > 1 or world.dead else "of two changes of one version one wins"

        world.view = lambda: (witness.stored(PATH)[0], tuple(said["a"]), tuple(said["b"]))
        world.judge, world.finish = judge, finish

    return build


def _lock_and_death(world: World) -> None:
    """Two heads want a volume, one may be killed: never do two act for it, and one gets it."""
    hub = world.hub
    witness = witness_of(world)
    holding = {me: HeldLocks(Session(TTL_US, ERROR)) for me in ("a", "b")}
    epochs: list[str] = []

    def head(me: str) -> None:
        mine, client = holding[me], _client(world, me)
        witness.up.wait()
        for _ in range(4):
            hub.sleep(TTL_US // 2)
            try:
                _keep_session(client, mine.session)
                if not mine.epoch(VOLUME, hub.now()):
                    _take(client, mine)
            except FAILURES:
                continue

    def _keep_session(client: WitnessClient, session: Session) -> None:
        asked_at = hub.now()
        if session.valid(asked_at) and client.renew_session(session.id):
            session.record_grant(session.id, asked_at)
            return
        session.invalidate()
        asked_at = hub.now()
        session.record_grant(client.create_session(TTL_US), asked_at)

    def _take(client: WitnessClient, mine: HeldLocks) -> None:
        lock = client.lock(VOLUME)
        if lock is None or not lock.session:
            index = lock.index if lock is not None else 0
            if not client.acquire_lock(VOLUME, mine.session.id, VolumeRecord("a", ("a",)), index):
                return
            lock = client.lock(VOLUME)
        if lock is not None and lock.session == mine.session.id:
            mine.add(VOLUME, lock.epoch)  # also if the answer to an earlier take was lost
            epochs.append(f"{lock.epoch}{mine.session.id}")

    for me in holding:
        world.spawn(me, "head", head, me, ends=True)
    world.may_die("a")
    world.fault("a stands still", "a", lambda: hub.freeze("a", 3 * TTL_US))

    def acting() -> tuple[int, ...]:
        return tuple(0 if me in world.dead else mine.epoch(VOLUME, hub.now()) for me, mine in holding.items())

    def judge(_view: object) -> str | None:
        if sum(epoch > 0 for epoch in acting()) > 1:
            return f"two act for one volume, under epochs {acting()}"
        if len({one.partition("s")[0] for one in epochs}) < len(set(epochs)):
            return f"an epoch was given twice: {epochs}"
        return None

    world.view = lambda: (*acting(), witness.stored(PATH)[1:])
    world.judge = judge
    world.finish = lambda: None if epochs else "nobody ever got it"


SCENARIOS = (
    Scenario("witness-two-writers", "two changes of one version of a key", _two_writers(1, False)),
    Scenario("witness-killed-writer", "the same, and one may be killed", _two_writers(1, True)),
    Scenario("witness-record", "two writers, each twice, one may be killed", _two_writers(2, True),
             most_steps=600),
    Scenario("witness-lock", "a volume's lock and its holder's death", _lock_and_death,
             until_us=9_000_000, most_steps=900),
    Scenario("witness-lock-slow", "the same on slow machines", _lock_and_death,
             lag=True, until_us=9_000_000, most_steps=900),
)  # fmt: skip
