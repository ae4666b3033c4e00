"""How soon all heads together are inside a whole that was lowered, and use one that was raised.

Simulated heads that only divide (lab/fleet/division/), each with its own clock; all are told at one moment,
or one after the other. Times are from when the last head was told.
"""

from __future__ import annotations

from dataclasses import replace
from statistics import median

import click

from harriertrack.decisions.fleet.budgets import BudgetRules, BudgetTotal
from harriertrack.lab.fleet.division import Division
from harriertrack.rules import budgets

SECOND = 1_000_000
RULES = BudgetRules(clock_error=0.01, term_us=10 * SECOND, patience_us=2 * SECOND)
WHOLE = BudgetTotal(1000.0, 200.0, 1, 0.1)
BUDGET = "v0"


def used(one: Division) -> float:
    """Return what all heads together may draw a second."""
    return sum(held.share.rate for member in one.members.values() for held in member.holder.budgets.values())


def play(heads: int, seed: int, times: float, loss: float, apart_us: int) -> tuple[float, int]:
    """Return after how many seconds the new whole is kept (raised: used to nine tenths), and breaches."""
    one = Division(heads, {BUDGET: replace(WHOLE, hosts=heads)}, seed, RULES, clocks=0.01)
    busy = one.names[: max(2, heads // 4)]
    for name in busy:  # together twice of the larger whole
        one.demand[name, BUDGET] = 2 * max(1.0, times) * WHOLE.rate / len(busy)
    one.run(8 * SECOND)
    one.loss = loss
    whole = one.totals[BUDGET]
    one.change_total(BUDGET, replace(whole, rate=times * whole.rate, burst=times * whole.burst))
    for name in one.random.sample(one.names, heads):
        one.apply_totals(name)
        if apart_us:
            one.run(apart_us)
    told, want = one.now, one.totals[BUDGET].rate
    while one.now < told + 20 * SECOND:
        if used(one) <= want if times < 1 else used(one) >= 0.9 * want:
            break
        one.run(20_000)
    after = (one.now - told) / SECOND
    one.run(5 * SECOND)
    return after, len(budgets.check(one.records))


@click.command()
@click.option("--heads", multiple=True, type=int, default=(12, 60))
@click.option("--seeds", type=int, default=10)
def main(heads: tuple[int, ...], seeds: int) -> None:
    """Print a table."""
    bound = RULES.settling_us / SECOND
    click.echo(f"stated: {bound:.2f} s after the last was told; lease {RULES.lease_us / SECOND:g} s")
    click.echo("| heads | whole | lost | told | median, s | longest, s | rules broken |\n|" + " --- |" * 7)
    for count in heads:
        for times in (0.1, 0.5, 4.0):
            for loss, apart_us in ((0.0, 0), (0.0, 40_000), (0.1, 0), (0.4, 0)):
                found = [play(count, seed, times, loss, apart_us) for seed in range(seeds)]
                after, broken = [one for one, _ in found], sum(breaches for _, breaches in found)
                how = "at once" if not apart_us else "one by one"
                click.echo(f"| {count} | x{times:g} | {loss:g} | {how} "
                           f"| {median(after):.2f} | {max(after):.2f} | {broken} |")  # fmt: skip


if __name__ == "__main__":
    main()
