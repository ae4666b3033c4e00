"""Budgets measured: what is served beside one bucket for all, how soon shares move, what dividing costs.

`python -m benchmarks.fleet_budgets served | soon | trials | keeper | stop`. Simulated but for `keeper`
(processor time and memory of the decisions and the codec) and `stop` (processes).
"""

from __future__ import annotations

import argparse
import copy
import random
import statistics
import tempfile
import time
import tracemalloc
from collections import defaultdict
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeVar

from harriertrack.decisions.fleet.budgets import (
    BudgetRules,
    BudgetShare,
    BudgetTotal,
    Claim,
    LeaseRequest,
    Term,
)
from harriertrack.decisions.fleet.holder import LeaseHolder
from harriertrack.decisions.fleet.ledger import Ledger
from harriertrack.lab.fleet import scenario
from harriertrack.lab.fleet.division import Division, Trial
from harriertrack.lab.fleet.processes import RESUME_ALLOWANCE_US, play_processes
from harriertrack.membership.fleet import topic_datagrams
from harriertrack.rules import budgets, recording as rec

S = 1_000_000
T = TypeVar("T")
RULES = BudgetRules(clock_error=0.001, term_us=10 * S)


def _division(heads: int, seed: int, fixed: float, rate: float) -> Division:
    one = Division(heads, {"v": BudgetTotal(rate, rate / 5, heads, fixed)}, seed, RULES, clocks=0.001)
    one.measure = lambda said: len(
        topic_datagrams.encode(
            "fleet", said if not isinstance(said, Term) else (topic_datagrams.Kind.TERM, 0, said)
        )
    )
    return one


def _set_demand(one: Division, **demand: float) -> None:
    for name in one.names:
        one.demand[name, "v"] = demand.get(name, 0.0)


def _even(one: Division, part: float) -> None:
    rate = one.totals["v"].rate
    _set_demand(one, **{name: part * rate / len(one.names) for name in one.names})


def _skewed(one: Division, part: float) -> None:
    """A quarter of the heads get ten times what the others do."""
    rate, many = one.totals["v"].rate, max(1, len(one.names) // 4)
    weights = {name: 10.0 if at < many else 1.0 for at, name in enumerate(one.names)}
    total = sum(weights.values())
    _set_demand(one, **{name: part * rate * weight / total for name, weight in weights.items()})


def _jumping(one: Division, us: int) -> None:
    end, turn = one.now + us, 0
    while one.now < end:
        _set_demand(one, **{one.names[(turn * 7) % len(one.names)]: 0.9 * one.totals["v"].rate})
        one.run(S)
        turn += 1


def _kills(one: Division, part: float) -> None:
    """Some are killed, and their traffic goes to the others."""
    keeper = one.ledger_owner()
    others = [name for name in one.names if keeper is None or name != keeper.name]
    gone = one.random.sample(others, max(1, round(part * len(others))))
    for name in gone:
        one.kill(name)
    left = [name for name in one.names if name in one.members]
    _set_demand(one, **{name: 0.9 * one.totals["v"].rate / len(left) for name in left})


def _served_one(arguments: tuple[str, int, float, int]) -> tuple[float, float, float, float]:
    what, heads, fixed, seed = arguments
    one = _division(heads, seed, fixed, 50.0 * heads)
    _skewed(one, 0.9) if what.startswith("skewed") else _even(one, 0.9)
    one.run(8 * S)
    if what.startswith("killed"):
        _kills(one, float(what.split()[1]) / 100)
    elif what == "even, full":
        _even(one, 1.3)
    elif what == "skewed, full":
        _skewed(one, 1.3)
    if what.startswith(("even", "skewed")):
        one.run(3 * S)
    before, sent, size = copy.copy(one.tally["v"]), one.sent, one.sent_bytes
    if what == "jumping":
        _jumping(one, 12 * S)
    else:
        one.run(10 * S)
    tally, breaches = one.tally["v"], budgets.check(one.records)
    assert not breaches, breaches
    ideal = max(1.0, tally.ideal - before.ideal)
    return (
        (tally.served - before.served) / ideal, (tally.even - before.even) / ideal,
        (one.sent - sent) / 10 / heads, (one.sent_bytes - size) / 10 / heads,
    )  # fmt: skip


def _served(seeds: int) -> None:
    whats = ("even", "even, full", "skewed", "skewed, full", "jumping", "killed 1", "killed 30", "killed 70")
    print("demand | heads | fixed | served / ideal | even division / ideal | datagrams a second each | bytes")
    with ProcessPoolExecutor() as pool:
        for heads in (12, 40, 200):
            for fixed in (0.1, 0.3):
                for what in whats:
                    runs = [(what, heads, fixed, seed) for seed in range(seeds)]
                    found = list(zip(*pool.map(_served_one, runs), strict=True))
                    means = [statistics.mean(column) for column in found]
                    print(f"{what} | {heads} | {fixed} | {means[0]:.3f} (least {min(found[0]):.3f}) | "
                          f"{means[1]:.3f} | {means[2]:.1f} | {means[3]:.0f}")  # fmt: skip


def _soon_one(arguments: tuple[str, int, int]) -> float:
    """Return after how many seconds a head that got all traffic holds nine tenths of what it may."""
    what, heads, seed = arguments
    one = _division(heads, seed, 0.1, 50.0 * heads)
    rate = one.totals["v"].rate
    one.run(5 * S)
    keeper = one.ledger_owner()
    assert keeper is not None
    first, second = [name for name in one.names if name != keeper.name][:2]
    _set_demand(one, **{first: rate})
    one.run(5 * S)
    if what == "holder killed":
        one.kill(first)
    elif what == "keeper killed":
        one.kill(keeper.name)
    elif what == "keeper leaves":
        one.leave(keeper.name)
    _set_demand(one, **{second: rate})
    began = one.now
    while one.now < began + 60 * S:
        one.run(10_000)
        held = one.members[second].holder.budgets.get("v")
        if held is not None and held.share.leased >= 0.9 * 0.9 * rate:
            break
    return (one.now - began) / S


def _soon(seeds: int) -> None:
    print("what happened | heads | seconds until the new share: median, most")
    with ProcessPoolExecutor() as pool:
        for heads in (12, 200):
            for what in ("traffic jumps", "holder killed", "keeper leaves", "keeper killed"):
                found = list(pool.map(_soon_one, [(what, heads, seed) for seed in range(seeds)]))
                print(f"{what} | {heads} | {statistics.median(found):.2f}, {max(found):.2f}")


def _trial_one(arguments: tuple[int, int, int]) -> tuple[int, int, bool, int]:
    heads, seed, seconds = arguments
    rules = BudgetRules(clock_error=0.01, term_us=2 * S, patience_us=S)
    wholes = {f"v{at}": BudgetTotal(200.0, 40.0, heads, 0.1) for at in range(2)}
    one = Division(heads, wholes, seed, rules, clocks=0.01)
    trial = Trial(one)
    trial.run(seconds * S)
    terms = len({record.term for record in one.records if isinstance(record, rec.ShareGranted)})
    trial.heal()
    for name in one.names:
        one.demand[name, "v0"] = one.demand[name, "v1"] = 0.0
    one.demand["head0", "v0"] = 300.0
    one.run(12 * S)
    share = one.members["head0"].holder.budgets["v0"].share.leased
    return seed, len(budgets.check(one.records)), share < 0.8 * 180, terms


def _trials(heads: int, seeds: int, seconds: int) -> None:
    broken, starved, terms = [], [], 0
    with ProcessPoolExecutor() as pool:
        runs = [(heads, seed, seconds) for seed in range(seeds)]
        for seed, breaches, hungry, number in pool.map(_trial_one, runs):
            terms += number
            broken += [seed] if breaches else []
            starved += [seed] if hungry else []
    print(f"{seeds} seeds, {heads} heads, {seconds} s of faults each, {terms} terms that granted: "
          f"rules broken in {broken}, starved after in {starved}")  # fmt: skip


@dataclass(slots=True)
class _Spent:
    """Processor time by who used it, and what passed."""

    seconds: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    asks: int = 0
    bytes: int = 0

    def timed(self, what: str, act: Callable[..., T], *arguments: object) -> T:
        began = time.process_time()
        found = act(*arguments)
        self.seconds[what] += time.process_time() - began
        return found

    def carried(self, said: topic_datagrams.Message) -> topic_datagrams.Message:
        data = self.timed("codec", topic_datagrams.encode, "fleet", said)
        self.bytes += len(data)
        return self.timed("codec", topic_datagrams.decode, "fleet", data)


def _exchange(spent: _Spent, now: int, ledger: Ledger, holders: list[LeaseHolder]) -> None:
    for holder in holders:
        for ask in spent.timed("holders", holder.due_requests, now):
            spent.asks += 1
            grant = spent.timed("ledger", ledger.handle_request, now, spent.carried(ask))
            if grant is not None:
                spent.timed("holders", holder.apply_grant, now, spent.carried(grant))
    for grant in spent.timed("ledger", ledger.rebalance, now):
        holder = holders[int(grant.holder.removeprefix("head"))]
        spent.timed("holders", holder.apply_grant, now, spent.carried(grant))


def _keeper(heads: int, volumes: int, hosts: int, traced: bool) -> None:
    """The processor time or memory of one ledger that keeps many busy volumes, and of its holders."""
    if traced:
        tracemalloc.start()
    ledger = Ledger(0, Term(1, 1), 0, BudgetRules())
    holders = [LeaseHolder(0, f"head{number}", number, ledger.rules, 0) for number in range(heads)]
    rng = random.Random(1)
    wants: dict[BudgetShare, float] = {}
    for volume in range(volumes):
        for number in rng.sample(range(heads), hosts):
            portion = holders[number].open(0, f"limits/vol{volume}", BudgetTotal(100.0, 50.0, hosts, 0.1))
            wants[portion] = rng.choice((1.0, 5.0, 40.0))
    for holder in holders:
        holder.observe_term(0, ledger.term)
    now, spent, moves, seconds = S, _Spent(), 0, 3
    for step in range(20 * (seconds + 2)):
        now += 50_000
        if step == 40:
            spent, moves = _Spent(), ledger.moves
        for portion, wanted in wants.items():
            if rng.random() < 0.2 * wanted * 0.05:
                portion.record_demand(5.0)
        _exchange(spent, now, ledger, holders)
    print(f"{heads} heads, {volumes} busy volumes of {hosts} hosts: ", end="")
    if traced:
        memory, _ = tracemalloc.get_traced_memory()
        print(f"{memory / 1e6:.1f} MB for the ledger and all holders")
        return
    each = {what: used / seconds for what, used in spent.seconds.items()}
    print(f"ledger {each['ledger']:.3f} of a core, codec both ways {each['codec']:.3f}, holders "
          f"{each['holders'] / heads:.4f} each; {spent.asks / seconds:.0f} asks and "
          f"{spent.bytes / seconds / 1000:.0f} kB a second, "
          f"{(ledger.moves - moves) / seconds:.0f} moves a second")  # fmt: skip


def _claim_cost() -> None:
    ledger = Ledger(0, Term(1, 1), 0, BudgetRules())
    claims = tuple(Claim(f"limits/vol{number}", 90.0, 10.0, 0, 0.0) for number in range(16))
    began = time.process_time()
    for number in range(1, 5001):
        ledger.handle_request(number, LeaseRequest(0, ledger.term, "a", 1, 1, number, S, 1.0, claims))
    print(f"an ask of 16 claims: {(time.process_time() - began) / 5000 * 1e6:.0f} us")


def _stop(runs: int) -> None:
    """What a head that stood still past its lease sends on waking: units at the nodes, over processes."""
    day = scenario.load("budget-stop")
    unit = 4096
    for seed in range(1, runs + 1):
        recorder = rec.Recorder()
        with tempfile.TemporaryDirectory() as folder:
            play_processes(day, 6, seed, recorder, Path(folder))
        records = recorder.records
        limited = {one.budget.partition("/")[2] for one in records if isinstance(one, rec.BudgetFacts)}
        names = {one.number: one.head for one in records if isinstance(one, rec.HeadLifecycle) and one.up}
        got = [one for one in records if isinstance(one, rec.AttemptReceived) and one.volume in limited]
        after = []
        for still in records:
            if isinstance(still, rec.HeadPaused) and still.unread and still.us > S:
                woke = still.t + still.us - RESUME_ALLOWANCE_US
                mine = [one for one in got if names.get(one.head) == still.head]
                first = [one.length for one in mine if woke - 10_000 <= one.t < woke + 100_000]
                after.append(sum(first) / unit)
        print(f"seed {seed}: units within 0.1 s of waking, by standstill: "
              f"{', '.join(f'{units:.0f}' for units in after)}; "
              f"{len(budgets.check(records))} breaches")  # fmt: skip


def main() -> None:
    """Measure what is named."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=("served", "soon", "trials", "keeper", "stop"))
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--heads", type=int, default=12)
    parser.add_argument("--seconds", type=int, default=40)
    parser.add_argument("--volumes", type=int, default=10_000)
    parser.add_argument("--hosts", type=int, default=4)
    chosen = parser.parse_args()
    match chosen.what:
        case "served":
            _served(chosen.seeds)
        case "soon":
            _soon(chosen.seeds)
        case "trials":
            _trials(chosen.heads, chosen.seeds, chosen.seconds)
        case "keeper":
            _claim_cost()
            for traced in (False, True):
                _keeper(chosen.heads, chosen.volumes, chosen.hosts, traced)
        case "stop":
            _stop(chosen.seeds)


if __name__ == "__main__":
    main()
