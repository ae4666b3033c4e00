"""Shared weights of storage nodes, measured: days, bytes, and what a liar moves. Simulated.

`python -m benchmarks.fleet_scoring [days|bytes|liars] [--heads 12] [--seeds 3]`. Days: real heads, nodes,
list and clients; scores by `fill-aware` and `least-latency`; heads that share weights beside heads that go by
their own alone, heads without any, and an oracle that knows at each moment how fast each node works. Told
are: worth served of what was asked; the 99th percentile of served requests' time; and the most that a node
was given, by its capacity, beside an even fill (1 is ideal).
"""

from __future__ import annotations

import argparse
import itertools
import random
import statistics
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor

import msgspec

from harriertrack.config.settings import ScorerSettings, ScoringSettings
from harriertrack.decisions.fleet.scoring.aggregation import Opinion, aggregate
from harriertrack.decisions.fleet.scoring.rules import ScoringRules
from harriertrack.decisions.fleet.scoring.weight_exchange import Publisher, select_publishers
from harriertrack.decisions.fleet.scoring.weights import normalise
from harriertrack.lab.fleet import scenario
from harriertrack.lab.fleet.rig import SimulatedFleet
from harriertrack.lab.fleet.scenario import FleetDaySettings, StepSettings, Verb
from harriertrack.lab.fleet.swarm import Swarm
from harriertrack.lab.rig import HeadSlot
from harriertrack.membership.fleet import weight_pages
from harriertrack.membership.fleet.messages import decode, encode_item
from harriertrack.membership.fleet.swim import Rules, Send
from harriertrack.rules import checker, recording as rec, scoring as score_rules
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.memory_streams import MemoryNetwork

S = 1_000_000
WAYS = ("none", "own", "shared", "oracle")
SLOW = 3.0
LOOK_US = 100_000
TURN_US = 30 * S
BEFORE = 20  # seconds before heads are killed and come back
APART = ("third", "turn")
ZONES = ("z0", "z1", "z2")


class Loaded(SimulatedFleet):
    """A fleet whose nodes are about half taken; its heads may be told how fast each node works."""

    oracle = False
    apart: str = ""  # "third": one node works at a third of its speed; "turn": another one every 30 s

    def build(self) -> None:
        """Build the day; single nodes differ from then on."""
        super().build()
        if self.apart:
            self.scope.spawn("nodes apart", self._differ)

    def _differ(self) -> None:
        names = sorted(self.nodes)
        for turn in itertools.count():
            for number, name in enumerate(names):
                struck = number == (turn * 2 + 1) % len(names)
                self.nodes[name].faults.slow = SLOW if struck else 1.0
            if self.apart == "third":
                return
            self.hub.sleep(TURN_US)

    def load(self, taken: float, rate: float, cores: int = 4) -> None:
        """Let so many requests a second take the nodes, all of them quick, for such a part of their time."""
        day = self.day = msgspec.structs.replace(self.day, cores=cores)
        took = taken * 1e6 * day.nodes * day.cores / rate  # of a request, on one core
        self.day = msgspec.structs.replace(day, request_us=round(took * 0.45), unit_us=round(took * 0.2))

    def start_head(self, slot: HeadSlot) -> None:
        """Start a head; for an oracle's weights nobody is asked."""
        super().start_head(slot)
        scored = slot.head.scoring_state if slot.head is not None else None
        if self.oracle and scored is not None:
            scored.shared.update = lambda now, moment: []  # type: ignore[method-assign]
            self.scope.spawn("oracle", self._tell, scored.shared.factors)

    def _tell(self, factors: object) -> None:
        while True:
            scores = {name: 1 / shelf.faults.slow for name, shelf in self.nodes.items()}
            factors.logs = normalise(scores)  # type: ignore[attr-defined]
            self.hub.sleep(LOOK_US)


def _steps(kind: str, seconds: int) -> tuple[StepSettings, ...]:
    rest = StepSettings(name=Verb.REST, for_us=seconds * S)
    if kind == "same" or kind in APART:
        happens: tuple[StepSettings, ...] = (rest,)
    elif kind == "differ":
        happens = (StepSettings(name=Verb.SLOW, zone="z1", times=SLOW, for_us=seconds * S), rest)
    elif kind == "returned":  # heads that know are joined by as many that have just started
        slow = StepSettings(name=Verb.SLOW, zone="z1", times=SLOW, for_us=(seconds + BEFORE) * S)
        known = StepSettings(name=Verb.REST, for_us=BEFORE * S)
        back = (StepSettings(name=Verb.KILL, who=("0..0.5",)), StepSettings(name=Verb.START))
        happens = (slow, known, *back, rest)
    elif kind == "change":
        half = StepSettings(name=Verb.REST, for_us=seconds * S // 2)
        us = seconds * S // 2
        slow = (StepSettings(name=Verb.SLOW, zone=zone, times=SLOW, for_us=us) for zone in ZONES[1:])
        happens = tuple(step for one in slow for step in (one, half))
    else:
        second = StepSettings(name=Verb.REST, for_us=S)
        happens = tuple(
            step for at in range(seconds)
            for step in (StepSettings(name=Verb.SLOW, zone=ZONES[at % 3], times=SLOW, for_us=S), second)
        )  # fmt: skip
    return (*scenario.load("score-plain").steps[:2], *happens)


def _day(kind: str, way: str, scorer: str, seconds: int) -> FleetDaySettings:
    day = scenario.load("score-plain")
    scoring = ScoringSettings(
        scorers=(ScorerSettings(name=scorer),), alone=way == "own", tell_us=500_000, suspend_us=S
    )
    return msgspec.structs.replace(day, steps=_steps(kind, seconds),
                                   scoring=None if way == "none" else scoring)  # fmt: skip


Run = tuple[str, str, str, int, int, int, float, float, int, int]


def _play(arguments: Run) -> dict[str, float]:
    kind, way, scorer, heads, seed, seconds, rate, taken, after, cores = arguments
    recorder = rec.Recorder()
    hub = Hub.virtual(seed)
    day = msgspec.structs.replace(_day(kind, way, scorer, seconds), rate=rate)
    rig = Loaded(hub, MemoryNetwork(hub), day, heads, seed, recorder)
    rig.oracle = way == "oracle"
    rig.apart = kind if kind in APART else ""
    rig.load(taken, heads * rate, cores)
    hub.run(rig.run)
    return _judged(rig, kind, recorder.records, after * S)


def _judged(rig: Loaded, kind: str, records: list[rec.Record], after_us: int = 0) -> dict[str, float]:
    """Judge what was asked so long after the first request: before that nothing can be known of nodes."""
    classes = {one.name: one for one in rig.classes}
    plans = {one.name: one for one in rig.plans}
    price = {one.name: plans[one.plan].price for one in rig.volumes}
    takes: dict[tuple[str, int], rec.RequestSent] = {}
    earned = possible = 0.0
    took: list[int] = []
    given: dict[str, float] = defaultdict(float)
    since = next(one.t for one in records if isinstance(one, rec.RequestSent)) + after_us
    for one in records:
        if isinstance(one, rec.RequestSent | rec.FinalAnswer | rec.AttemptReceived) and one.t < since:
            continue
        if isinstance(one, rec.RequestSent):
            takes[one.client, one.request] = one
            possible += 0.0 if one.again else classes[one.class_name].worth * price[one.volume]
        elif isinstance(one, rec.FinalAnswer) and one.outcome == "served":
            if (take := takes.get((one.client, one.request))) is None:
                continue
            kind_of = classes[take.class_name]
            late = one.t - take.t > kind_of.aim_us
            earned += kind_of.worth * price[take.volume] * (kind_of.late_worth if late else 1.0)
            took.append(one.t - take.t)
        elif isinstance(one, rec.AttemptReceived):
            given[one.node] += 1
    slow = {"differ": {"z1": SLOW}, "returned": {"z1": SLOW}}.get(kind, {})
    if kind == "third":
        slow = {sorted(rig.nodes)[1]: SLOW}
    zones = {name: shelf.settings.zone for name, shelf in rig.nodes.items()}
    able = {name: 1 / slow.get(zone, slow.get(name, 1.0)) for name, zone in zones.items()}
    share = [given[name] / sum(given.values()) / (able[name] / sum(able.values())) for name in able]
    weights = [one for one in records if isinstance(one, rec.Weights)]
    return {
        "worth": earned / possible, "p99": sorted(took)[int(0.99 * len(took))] / 1e3, "most": max(share),
        "broken": float(len(checker.check(records)) + len(score_rules.check(records))),
        "away": max((abs(log) for one in weights for log in one.used.values()), default=0.0),
    }  # fmt: skip


def days(heads: int, seeds: int, seconds: int, kinds: list[str], rate: float, taken: float, after: int,
         cores: int, scorers: tuple[str, ...]) -> None:  # fmt: skip
    """Measure days."""
    print("day | scorer | way | worth | p99, ms | most given | farthest weight | rules broken")
    with ProcessPoolExecutor(2) as pool:
        for kind in kinds:
            for scorer in scorers:
                for way in WAYS:
                    if scorer != scorers[0] and way in ("none", "oracle"):
                        continue  # no scorer is asked there
                    runs = [
                        (kind, way, scorer, heads, seed, seconds, rate, taken, after, cores)
                        for seed in range(1, seeds + 1)
                    ]
                    found = list(pool.map(_play, runs))
                    mean = {name: statistics.mean(one[name] for one in found) for name in found[0]}
                    print(f"{kind} | {scorer} | {way} | {mean['worth']:.3f} | {mean['p99']:.0f} | "
                          f"{mean['most']:.2f} | {2 ** mean['away']:.2f} | {mean['broken'] * seeds:.0f}",
                          flush=True)  # fmt: skip


def notes(members: int, nodes: int, part: float, seconds: int) -> tuple[float, float, float, float]:
    """Return bytes of notes by topic that leave a member in a second, in the mean and most; how old what
    members hold of a page is, in seconds; and what part of all pages they do not hold at all.
    """
    rules, draws = ScoringRules(), random.Random(1)
    swarm = Swarm(Rules(), seed=1)
    names = [f"m{number}" for number in range(members)]
    for name in names:
        swarm.start(name)
        swarm.run(20_000)
    swarm.run_until_agreed(60 * S)
    says = {name: Publisher(1, rules) for name in names}
    # A part of the nodes differ from the others by more than chance.
    logs = {f"node{at}": draws.uniform(-1, 1) if at < nodes * part else 0.0 for at in range(nodes)}
    said: dict[tuple[str, str], dict[int, int]] = defaultdict(dict)  # when each version was
    sent: dict[str, int] = defaultdict(int)
    transmit = swarm._transmit

    def counted(process: str, send: Send) -> None:
        sent[process] += sum(len(encode_item(note)) for note in decode(send.data).topics)
        transmit(process, send)

    swarm._transmit = counted  # type: ignore[method-assign]
    began, speaking = swarm.now, sorted(select_publishers(names, 0, rules.reporters))
    for _ in range(2 * seconds):
        for name in speaking:
            opinions = {node: Opinion(log + draws.gauss(0, 0.07), 50, 0) for node, log in logs.items()}
            if (page := says[name].next_page(swarm.now, opinions, len(speaking))) is not None:
                topic = weight_pages.topic_of(page)
                swarm.members[name].set_topic_note(topic, weight_pages.encode(page))
                row = swarm.members[name].view.find(name)
                assert row is not None
                said[name, topic][row.topics[topic].version] = swarm.now
        swarm.run(S // 2)
    took = (swarm.now - began) / S
    ages, unheard = [], 0
    for swim in swarm.members.values():
        for (speaker, topic), versions in said.items():
            row = swim.view.find(speaker)
            mine = row.topics.get(topic) if row is not None else None
            unheard += mine is None
            if mine is not None:
                ages.append((swarm.now - versions[mine.version]) / S)
    mean, most = statistics.mean(sent.values()) / took, max(sent.values()) / took
    return mean, most, statistics.mean(ages), unheard / (len(said) * members)


def bytes_table(seconds: int) -> None:
    """Measure bytes."""
    print("heads | nodes | that differ | bytes a second, mean | most of a head | age held, s | unheard")
    for members, nodes, part in ((10, 6, 1), (10, 200, 0.1), (10, 200, 1), (200, 6, 1), (200, 200, 0.1),
                                 (200, 200, 1)):  # fmt: skip
        mean, most, age, unheard = notes(members, nodes, part, seconds)
        told = f"{mean:.0f} | {most:.0f} | {age:.1f} | {unheard:.2f}"
        print(f"{members} | {nodes} | {part} | {told}", flush=True)


def liars_table() -> None:
    """Measure what liars move: heads that agree up to some scatter, and a part that says the contrary."""
    rules, draws = ScoringRules(), random.Random(1)
    print("scatter, powers of two | liars | moved by the median, mean | most | a mean would move")
    for scatter in (0.1, 0.5):
        for part in (0.05, 0.1, 0.2, 0.3, 0.4):
            moved, mean_moved = [], []
            for _ in range(2000):
                truth, count = draws.uniform(-1.5, 1.5), 30
                honest = [
                    Opinion(truth + draws.gauss(0, scatter), draws.uniform(10, 60), draws.randrange(8 * S))
                    for _ in range(count)
                ]
                wrong = round(part * count)
                lie = Opinion(-2.0 if truth > 0 else 2.0, 255, 0)
                told = [*honest[wrong:], *[lie] * wrong]
                moved.append(abs(aggregate(told, count, rules) - aggregate(honest, count, rules)))
                mean_moved.append(abs(statistics.mean(one.log for one in told)
                                      - statistics.mean(one.log for one in honest)))  # fmt: skip
            print(f"{scatter} | {part:.2f} | {statistics.mean(moved):.2f} | {max(moved):.2f} | "
                  f"{statistics.mean(mean_moved):.2f}", flush=True)  # fmt: skip


def main() -> None:
    """Measure, and print tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", nargs="*", default=["days", "bytes", "liars"])
    parser.add_argument("--heads", type=int, default=12)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--rate", type=float, default=25.0, help="Requests a second, a head.")
    parser.add_argument("--taken", type=float, default=0.6, help="Part of the nodes' time, none slow.")
    parser.add_argument("--seconds", type=int, default=40)
    parser.add_argument("--after", type=int, default=0, help="Judge what is asked so many seconds later.")
    parser.add_argument("--cores", type=int, default=4, help="Of a node: with few, few requests take it.")
    parser.add_argument("--scorers", nargs="*", default=["fill-aware", "least-latency"])
    parser.add_argument(
        "--days", nargs="*", default=["same", "differ", "change", "herd"], help="Also: third, turn, returned."
    )
    given = parser.parse_args()
    if "liars" in given.what:
        liars_table()
    if "bytes" in given.what:
        bytes_table(given.seconds)
    if "days" in given.what:
        days(given.heads, given.seeds, given.seconds, given.days, given.rate, given.taken,
             given.after, given.cores, tuple(given.scorers))  # fmt: skip


if __name__ == "__main__":
    main()
