"""Budgets measured: what is served beside one bucket for all, how soon shares move, what dividing costs.

`python benchmarks/fleet_budgets.py served | soon | trials | keeper | stop`. Simulated but for `keeper` (processor
time and memory of the decisions and the codec) and `stop` (processes).
"""

from __future__ import annotations

import argparse
import copy
import statistics
import tempfile
import time
import tracemalloc
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from harriertrack.decisions.fleet.budgets import Ask, BudgetRules, Claim, Term, Whole
from harriertrack.decisions.fleet.holder import Holder
from harriertrack.decisions.fleet.ledger import Ledger
from harriertrack.lab.fleet import scenario
from harriertrack.lab.fleet.division import Division, Trial
from harriertrack.lab.fleet.processes import play_processes
from harriertrack.membership.fleet import budgeting
from harriertrack.rules import budgets, recording as rec

S = 1_000_000
RULES = BudgetRules(clock_error=0.001, term_us=10 * S)


def division(heads: int, seed: int, fixed: float, rate: float) -> Division:
    one = Division(heads, {"v": Whole(rate, rate / 5, heads, fixed)}, seed, RULES, clocks=0.001)
    one.measure = lambda said: len(
        budgeting.encode("fleet", said if not isinstance(said, Term) else (budgeting.Kind.TERM, 0, said))
    )
    return one


def set_demand(one: Division, **demand: float) -> None:
    for name in one.names:
        one.demand[name, "v"] = demand.get(name, 0.0)


def even(one: Division, part: float) -> None:
    rate = one.wholes["v"].rate
    set_demand(one, **{name: part * rate / len(one.names) for name in one.names})


def skewed(one: Division, part: float) -> None:
    """A quarter of the heads get ten times what the others do."""
    rate, many = one.wholes["v"].rate, max(1, len(one.names) // 4)
    weights = {name: 10.0 if at < many else 1.0 for at, name in enumerate(one.names)}
    total = sum(weights.values())
    set_demand(one, **{name: part * rate * weight / total for name, weight in weights.items()})


def jumping(one: Division, us: int) -> None:
    end, turn = one.now + us, 0
    while one.now < end:
        set_demand(one, **{one.names[(turn * 7) % len(one.names)]: 0.9 * one.wholes["v"].rate})
        one.run(S)
        turn += 1


def kills(one: Division, part: float) -> None:
    """Some are killed, and their traffic goes to the others."""
    keeper = one.keeper()
    others = [name for name in one.names if keeper is None or name != keeper.name]
    gone = one.random.sample(others, max(1, round(part * len(others))))
    for name in gone:
        one.kill(name)
    left = [name for name in one.names if name in one.members]
    set_demand(one, **{name: 0.9 * one.wholes["v"].rate / len(left) for name in left})


def served_one(arguments: tuple[str, int, float, int]) -> tuple[float, float, float, float]:
    what, heads, fixed, seed = arguments
    one = division(heads, seed, fixed, 50.0 * heads)
    skewed(one, 0.9) if what.startswith("skewed") else even(one, 0.9)
    one.run(8 * S)
    if what.startswith("killed"):
        kills(one, float(what.split()[1]) / 100)
    elif what == "even, full":
        even(one, 1.3)
    elif what == "skewed, full":
        skewed(one, 1.3)
    if what.startswith(("even", "skewed")):
        one.run(3 * S)
    before, sent, size = copy.copy(one.tally["v"]), one.sent, one.sent_bytes
    if what == "jumping":
        jumping(one, 12 * S)
    else:
        one.run(10 * S)
    tally, breaches = one.tally["v"], budgets.check(one.records)
    assert not breaches, breaches
    ideal = max(1.0, tally.ideal - before.ideal)
    return (
        (tally.served - before.served) / ideal, (tally.even - before.even) / ideal,
        (one.sent - sent) / 10 / heads, (one.sent_bytes - size) / 10 / heads,
    )  # fmt: skip


def served(seeds: int) -> None:
    whats = ("even", "even, full", "skewed", "skewed, full", "jumping", "killed 1", "killed 30", "killed 70")
    print("demand | heads | fixed | served / ideal | an even division / ideal | datagrams a second a head | bytes")
    with ProcessPoolExecutor() as pool:
        for heads in (12, 40, 200):
            for fixed in (0.1, 0.3):
                for what in whats:
                    runs = [(what, heads, fixed, seed) for seed in range(seeds)]
                    found = list(zip(*pool.map(served_one, runs), strict=True))
                    means = [statistics.mean(column) for column in found]
                    print(f"{what} | {heads} | {fixed} | {means[0]:.3f} (least {min(found[0]):.3f}) | {means[1]:.3f} | "
                          f"{means[2]:.1f} | {means[3]:.0f}")  # fmt: skip


def soon_one(arguments: tuple[str, int, int]) -> float:
    """Return after how many seconds a head that got all traffic holds nine tenths of what it may."""
    what, heads, seed = arguments
    one = division(heads, seed, 0.1, 50.0 * heads)
    rate = one.wholes["v"].rate
    one.run(5 * S)
    keeper = one.keeper()
    assert keeper is not None
    first, second = [name for name in one.names if name != keeper.name][:2]
    set_demand(one, **{first: rate})
    one.run(5 * S)
    if what == "holder killed":
        one.kill(first)
    elif what == "keeper killed":
        one.kill(keeper.name)
    elif what == "keeper leaves":
        one.leave(keeper.name)
    set_demand(one, **{second: rate})
    began = one.now
    while one.now < began + 60 * S:
        one.run(10_000)
        held = one.members[second].holder.held.get("v")
        if held is not None and held.portion.share >= 0.9 * 0.9 * rate:
            break
    return (one.now - began) / S


def soon(seeds: int) -> None:
    print("what happened | heads | seconds until the new share: median, most")
    with ProcessPoolExecutor() as pool:
        for heads in (12, 200):
            for what in ("traffic jumps", "holder killed", "keeper leaves", "keeper killed"):
                found = list(pool.map(soon_one, [(what, heads, seed) for seed in range(seeds)]))
                print(f"{what} | {heads} | {statistics.median(found):.2f}, {max(found):.2f}")


def trial_one(arguments: tuple[int, int, int]) -> tuple[int, int, bool, int]:
    heads, seed, seconds = arguments
    rules = BudgetRules(clock_error=0.01, term_us=2 * S, patience_us=S)
    wholes = {f"v{at}": Whole(200.0, 40.0, heads, 0.1) for at in range(2)}
    one = Division(heads, wholes, seed, rules, clocks=0.01)
    trial = Trial(one)
    trial.run(seconds * S)
    terms = len({record.term for record in one.records if isinstance(record, rec.GrantedShare)})
    trial.heal()
    for name in one.names:
        one.demand[name, "v0"] = one.demand[name, "v1"] = 0.0
    one.demand["head0", "v0"] = 300.0
    one.run(12 * S)
    share = one.members["head0"].holder.held["v0"].portion.share
    return seed, len(budgets.check(one.records)), share < 0.8 * 180, terms


def trials(heads: int, seeds: int, seconds: int) -> None:
    broken, starved, terms = [], [], 0
    with ProcessPoolExecutor() as pool:
        for seed, breaches, hungry, number in pool.map(trial_one, [(heads, seed, seconds) for seed in range(seeds)]):
            terms += number
            broken += [seed] if breaches else []
            starved += [seed] if hungry else []
    print(f"{seeds} seeds, {heads} heads, {seconds} s of faults each, {terms} terms that granted: "
          f"rules broken in {broken}, starved after in {starved}")  # fmt: skip


def keeper(heads: int, volumes: int, hosts: int, traced: bool) -> None:
    """The processor time or memory of one ledger that keeps many busy volumes, and of its holders."""
    if traced:
        tracemalloc.start()
    rules = BudgetRules()
    ledger = Ledger(0, Term(1, 1), 0, rules)
    holders = [Holder(0, f"head{number}", number, rules, 0) for number in range(heads)]
    rng = __import__("random").Random(1)
    wants = {}
    for volume in range(volumes):
        for number in rng.sample(range(heads), hosts):
            name = f"limits/vol{volume}"
            wants[number, name] = rng.choice((1.0, 5.0, 40.0))
            holders[number].open(0, name, Whole(100.0, 50.0, hosts, 0.1))
    for holder in holders:
        holder.hear(0, ledger.term)
    moves = 0
    now, spent, asks, size = S, {"ledger": 0.0, "codec": 0.0, "holders": 0.0}, 0, 0
    seconds = 3

    def timed(what: str, act):  # type: ignore[no-untyped-def]
        began = time.process_time()
        found = act()
        spent[what] += time.process_time() - began
        return found

    for step in range(20 * (seconds + 2)):
        now += 50_000
        if step == 40:
            spent = dict.fromkeys(spent, 0.0)
            asks = size = 0
            moves = ledger.moves
        for number, holder in enumerate(holders):
            for name, held in holder.held.items():
                wanted = wants[number, name]
                if rng.random() < 0.2 * wanted * 0.05:
                    held.portion.asked(5.0)
        for number, holder in enumerate(holders):
            for ask in timed("holders", lambda holder=holder: holder.asks(now)):
                data = timed("codec", lambda ask=ask: budgeting.encode("fleet", ask))
                said = timed("codec", lambda data=data: budgeting.decode("fleet", data))
                grant = timed("ledger", lambda said=said: ledger.ask(now, said))
                asks += 1
                size += len(data)
                if grant is not None:
                    data = timed("codec", lambda grant=grant: budgeting.encode("fleet", grant))
                    size += len(data)
                    timed("holders", lambda holder=holder, grant=grant: holder.granted(now, grant))
        for grant in timed("ledger", lambda: ledger.round(now)):
            data = timed("codec", lambda grant=grant: budgeting.encode("fleet", grant))
            size += len(data)
            number = int(grant.holder.removeprefix("head"))
            timed("holders", lambda number=number, grant=grant: holders[number].granted(now, grant))
    print(f"{heads} heads, {volumes} busy volumes of {hosts} hosts: ", end="")
    if traced:
        memory, _ = tracemalloc.get_traced_memory()
        print(f"{memory / 1e6:.1f} MB for the ledger and all holders")
        return
    print(f"ledger {spent['ledger'] / seconds:.3f} of a core, codec both ways {spent['codec'] / seconds:.3f}, "
          f"holders {spent['holders'] / seconds / heads:.4f} each; {asks / seconds:.0f} asks and "
          f"{size / seconds / 1000:.0f} kB a second, {(ledger.moves - moves) / seconds:.0f} moves a second")  # fmt: skip


def claim_cost() -> None:
    ledger = Ledger(0, Term(1, 1), 0, BudgetRules())
    claims = tuple(Claim(f"limits/vol{number}", 90.0, 10.0, 0, 0.0) for number in range(16))
    began = time.process_time()
    for number in range(1, 5001):
        ledger.ask(number, Ask(0, ledger.term, "a", 1, 1, number, S, 1.0, claims))
    print(f"an ask of 16 claims: {(time.process_time() - began) / 5000 * 1e6:.0f} us")


def stop(runs: int) -> None:
    """What a head that stood still past its lease sends on waking: units at the nodes, over processes."""
    day = scenario.load("budget-stop")
    unit = 4096
    for seed in range(1, runs + 1):
        recorder = rec.Recorder()
        with tempfile.TemporaryDirectory() as folder:
            play_processes(day, 6, seed, recorder, Path(folder))
        names, after, limited = {}, [], {
            one.budget.partition("/")[2] for one in recorder.records if isinstance(one, rec.BudgetFacts)
        }
        for one in recorder.records:
            if isinstance(one, rec.Head) and one.up:
                names[one.number] = one.head
        got = [one for one in recorder.records if isinstance(one, rec.Got) and one.volume in limited]
        for still in (one for one in recorder.records if isinstance(one, rec.Stood) and one.unread and one.us > S):
            woke = still.t + still.us - 500_000
            units = sum(one.length / unit for one in got
                        if names.get(one.head) == still.head and woke - 10_000 <= one.t < woke + 100_000)  # fmt: skip
            after.append(units)
        print(f"seed {seed}: units within 0.1 s of waking, by standstill: "
              f"{', '.join(f'{units:.0f}' for units in after)}; breaches {len(budgets.check(recorder.records))}")  # fmt: skip


def main() -> None:
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
            served(chosen.seeds)
        case "soon":
            soon(chosen.seeds)
        case "trials":
            trials(chosen.heads, chosen.seeds, chosen.seconds)
        case "keeper":
            claim_cost()
            for traced in (False, True):
                keeper(chosen.heads, chosen.volumes, chosen.hosts, traced)
        case "stop":
            stop(chosen.seeds)


if __name__ == "__main__":
    main()
