"""The fleet's view in figures, simulated: `python -m benchmarks.fleet_view rest|crash|hour|loss [SEEDS]`.

Members alone, without heads, at the default figures. Beside them, as simple as they can be and still be fair:
every member's heartbeats to every other one with phi-accrual (Hayashibara and others, SRDS 2004: suspects at
phi 8 from the last 200 intervals), and sessions at a witness (TTL 3 s, renewed and listed each second).
"""

from __future__ import annotations

import math
import os
import random
import statistics
import sys
from collections import deque
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

from harriertrack.lab.fleet.swarm import Swarm
from harriertrack.membership.fleet.messages import State
from harriertrack.membership.fleet.swim import Rules

S = 1_000_000
SIZES = (5, 10, 40, 200)
PHI, INTERVALS = 8.0, 200
TTL_S = 3.0


def settled(count: int, seed: int) -> Swarm:
    """Return a fleet that agrees."""
    one = Swarm(Rules(), seed)
    for number in range(count):
        one.start(f"m{number}")
    assert one.run_until_agreed(120 * S) >= 0
    one.seen.clear()
    return one


def rest(task: tuple[int, int]) -> tuple[float, float]:
    """Return datagrams and bytes a second that a member sends at rest."""
    count, seed = task
    one = settled(count, seed)
    one.run(30 * S)  # news of the start is passed on for a while

    def sent() -> tuple[int, int]:
        counts = [member.counts for member in one.members.values()]
        return sum(each.sent for each in counts), sum(each.sent_bytes for each in counts)

    before = sent()
    one.run(120 * S)
    after = sent()
    return (after[0] - before[0]) / count / 120, (after[1] - before[1]) / count / 120


def crash(task: tuple[int, int]) -> tuple[float, float, float, float]:
    """Kill one; return seconds until it is suspected, first dead, dead to all, and from first to all."""
    count, seed = task
    one = settled(count, seed)
    one.run(random.Random(seed).randrange(5 * S))
    killed = one.now
    one.kill("m3")
    one.run_until_agreed(200 * S)
    of = {state: [seen.t for seen in one.seen if seen.change.after.state is state] for state in State}
    first, last = min(of[State.DEAD]), max(of[State.DEAD])
    suspected = min(of[State.SUSPECT])
    return (suspected - killed) / S, (first - killed) / S, (last - killed) / S, (last - first) / S


def hour(task: tuple[int, int]) -> tuple[int, int]:
    """Return suspicions and burials of an hour at rest."""
    count, seed = task
    one = settled(count, seed)
    one.run(3600 * S)
    return tuple(sum(seen.change.after.state is state for seen in one.seen)
                 for state in (State.SUSPECT, State.DEAD))  # type: ignore[return-value]  # fmt: skip


def loss(task: tuple[int, int]) -> tuple[int, int, float]:
    """At 30 % loss for 300 s, return lives wrongly buried, in how many views, and for how long at most."""
    count, seed = task
    one = settled(count, seed)
    one.loss = 0.3
    one.run(300 * S)
    buried = [seen for seen in one.seen if seen.change.after.state is State.DEAD]
    back = 0
    for seen in buried:
        returns = [later.t for later in one.seen if later.member == seen.member and later.t > seen.t
                   and later.change.after.name == seen.change.after.name]  # fmt: skip
        back = max(back, (min(returns) if returns else one.now) - seen.t)
    lives = {(seen.change.after.name, seen.change.after.incarnation) for seen in buried}
    return len(lives), len(buried), back / S


def phi_accrual(lost: float, seed: int, seconds: int = 36_000) -> tuple[float, int]:
    """Return how long after its death one member suspects another, and how often it wrongly did before."""
    rng = random.Random(seed)
    gaps: deque[float] = deque([1.0] * 20, maxlen=INTERVALS)
    last, wrong = 0.0, 0

    def bound() -> float:
        """Return the silence at which phi is reached: the tail of a normal distribution."""
        mean = statistics.fmean(gaps)
        deviation = max(0.1, statistics.pstdev(gaps))
        return mean + deviation * statistics.NormalDist().inv_cdf(1 - 10**-PHI)

    limit = bound()
    for second in range(1, seconds):
        if rng.random() < lost:
            continue
        at = second + rng.uniform(0.0002, 0.0008)
        if at - last > limit:
            wrong += 1
        gaps.append(at - last)
        last = at
        if second % 20 == 0:
            limit = bound()
    return last + limit - seconds + rng.random(), wrong


def many(pool: ProcessPoolExecutor, work: Callable, count: int, seeds: int) -> list:
    """Do a piece of work for each seed."""
    return list(pool.map(work, [(count, seed) for seed in range(seeds)]))


def main() -> None:
    """Print what was asked for, as Markdown rows."""
    what, seeds = sys.argv[1], int(sys.argv[2]) if len(sys.argv) > 2 else 10
    with ProcessPoolExecutor(max_workers=os.cpu_count()) as pool:
        match what:
            case "rest":
                for count in SIZES:
                    found = many(pool, rest, count, seeds)
                    sent, size = (statistics.fmean(column) for column in zip(*found, strict=True))
                    print(f"| {count} | {sent:.2f} | {size:.0f} | {count - 1} | {2 * count} |", flush=True)
            case "crash":
                for count in SIZES:
                    found = many(pool, crash, count, seeds)
                    told = []
                    for column in zip(*found, strict=True):
                        ordered = sorted(column)
                        worst = ordered[math.ceil(0.95 * len(ordered)) - 1]
                        told.append(f"{statistics.fmean(ordered):.1f} ({worst:.1f})")
                    print(f"| {count} | " + " | ".join(told) + " |", flush=True)
                for lost in (0.0, 0.3):
                    deaths = [phi_accrual(lost, seed, 3600) for seed in range(seeds)]
                    found_s, wrong = (statistics.fmean(column) for column in zip(*deaths, strict=True))
                    print(f"phi-accrual, loss {lost}: found after {found_s:.1f} s; "
                          f"wrongly suspected {wrong:.1f} times a pair and hour")  # fmt: skip
                print(f"witness sessions: known to all {TTL_S - 0.5:.1f} to {TTL_S + 1:.1f} s after a death")
            case "hour":
                found = many(pool, hour, 40, seeds)
                print(f"40 members, an hour, {seeds} seeds: {sum(one[0] for one in found)} suspicions, "
                      f"{sum(one[1] for one in found)} burials")  # fmt: skip
            case "loss":
                for count in (8, 40):
                    found = many(pool, loss, count, seeds)
                    lives, views = sum(one[0] for one in found), sum(one[1] for one in found)
                    longest = max(one[2] for one in found)
                    print(f"{count} members, 300 s at 30 % loss, {seeds} seeds: {lives} lives wrongly "
                          f"buried, in {views} views, for {longest:.1f} s at most", flush=True)  # fmt: skip


if __name__ == "__main__":
    main()
