"""`harriertrack fleet`: what heads hold of their fleet, and rehearsals of what can happen to one."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from typing import ClassVar

import click
import msgspec

from harriertrack.cli.changes import COMMANDS as CHANGES
from harriertrack.cli.common import fail
from harriertrack.cli.head_status import (
    address_option,
    fetch_document,
    format_table,
    json_option,
    resolve_head_address,
    settings_option,
)
from harriertrack.cli.lazy_group import CommandSpecs, LazyGroup
from harriertrack.gateway.fleet.locks import DECISION_LOCK
from harriertrack.membership.fleet.status_document import (
    BudgetsStatus,
    MemberStatus,
)

MEMBER_COLUMNS = (
    "name", "state", "for", "incarnation", "region", "zone", "cell", "address", "agrees", "open", "taken/s",
)  # fmt: skip

BUDGET_COLUMNS = ("budget", "unit", "whole/s", "burst", "fixed/s", "share/s", "wanted/s", "to use now")
LEDGER_COLUMNS = ("budget", "holder", "granted/s", "may have/s", "wanted/s", "ends in", "there")


class _Commands(LazyGroup):
    lazy_commands: ClassVar[CommandSpecs] = {
        "closes": ("closing:closes", "Tell the calendars' closes as a head goes by them."),
        "day": ("fleet_days:day", "Play the fleet's day NAME (or a file's) and judge it."),
        "days": ("fleet_days:days", "Name the days for fleets that come with the program."),
        "rollout": (
            "rollout:rollout",
            "Tell what versions under way wait for, as the head that decides sees it; "
            "others say who that is.",
        ),
        "hold": ("zones:hold", "Keep the fleet in ZONE, whatever is seen of it, until `fleet return`."),
        "leave": ("zones:leave", "Wish the fleet out of ZONE, until `fleet return`."),
        "return": (
            "zones:return_",
            "Take the wish on ZONE back: it is tried by a few, and used again by ever more.",
        ),
        "scorers": ("scoring:scorers", "Name the scorers that are installed here, with their parameters."),
        "storm": ("storm:storm", "Draw a random day from each seed, play and judge it."),
        "zones": (
            "zones:zones_command",
            "Tell which zones the fleet uses, as a head knows it, and what is seen of them.",
        ),
    }


@click.group(cls=_Commands)
def fleet() -> None:
    """Fleets of heads: what one holds of the others, and days for many processes."""


for one_command in CHANGES:
    fleet.add_command(one_command)


def _line(one: MemberStatus) -> tuple[str, ...]:
    about = one.about
    return (
        one.name, one.state, f"{one.since_s:.1f}s", str(one.incarnation), one.region or "-", one.zone or "-",
        one.cell or "-", f"{one.host}:{one.port}", "yes" if one.agrees else "no",
        str(about.open) if about else "-", str(about.taken) if about else "-",
    )  # fmt: skip


@fleet.command()
@settings_option
@address_option
@json_option
def members(path: str | None, place: str | None, as_json: bool) -> None:
    """Tell whom a head holds to be there, and whom not."""
    body, document = fetch_document(resolve_head_address(path, place))
    if as_json:
        click.echo(body.decode())
        return
    click.echo(format_table([MEMBER_COLUMNS, *map(_line, document.members)]))
    agreeing = sum(one.agrees for one in document.members if one.state in ("alive", "suspect"))
    click.echo(
        f"{document.name} of {document.fleet} is {document.standing}, doubts itself {document.doubts}; "
        f"{document.there} there, digest {document.digest}, as {agreeing} said when last heard"
    )


@fleet.command()
@settings_option
@address_option
@json_option
@click.option("--every", type=click.FloatRange(0.1), default=1.0, show_default=True, help="Seconds.")
@click.option("--times", type=click.IntRange(1), help="End after so many looks.")
def watch(path: str | None, place: str | None, as_json: bool, every: float, times: int | None) -> None:
    """Look again and again, and tell what changed."""
    address = resolve_head_address(path, place)
    known: dict[str, tuple[str, int, str]] = {}
    looks = 0
    while True:
        body, document = fetch_document(address)
        if as_json:
            click.echo(body.decode())
        else:
            held = {one.name: (one.state, one.incarnation, one.instance) for one in document.members}
            for name in sorted(held.keys() | known.keys()):
                if held.get(name) != known.get(name):
                    was, now = known.get(name, ("unknown", 0, "")), held.get(name, ("forgotten", 0, ""))
                    again = " (another process)" if was[2] and now[2] and was[2] != now[2] else ""
                    click.echo(f"{name}: {was[0]} -> {now[0]}, incarnation {now[1]}{again}; "
                               f"{document.there} there, digest {document.digest}")  # fmt: skip
            known = held
        looks += 1
        if looks == times:
            return
        time.sleep(every)


@fleet.command()
@click.argument("member")
@settings_option
@address_option
@json_option
def explain(member: str, path: str | None, place: str | None, as_json: bool) -> None:
    """Tell why a head holds of MEMBER what it holds, and by whose word."""
    _, document = fetch_document(resolve_head_address(path, place))
    found = next((one for one in document.members if one.name == member), None)
    if found is None:
        fail(f"{member}: {document.name} knows no such member")
    if as_json:
        click.echo(msgspec.json.encode(found).decode())
        return
    heard = "never heard itself" if found.heard_s is None else f"heard itself {found.heard_s:.1f} s ago"
    click.echo(f"{member}: {found.state} for {found.since_s:.1f} s, incarnation {found.incarnation}, {heard}")
    if found.suspected_by:
        click.echo(f"suspected by {', '.join(found.suspected_by)}; held dead in {found.dead_in_s:.1f} s "
                   "unless it objects, sooner if others agree")  # fmt: skip
    for word in found.history:
        by = f" by the word of {word.by}" if word.by else " by its own word"
        click.echo(f"  {word.ago_s:9.1f} s ago  {word.state}, incarnation {word.incarnation},{by}")


def _per_second(amount: float) -> str:
    return f"{amount:.4g}"


def _budget_lines(told: BudgetsStatus, wanted: Callable[[str], bool]) -> Iterator[str]:
    """Tell what a head has of budgets, and what it lent as who keeps a ledger."""
    for seat in told.seats:
        asks = f"asks {seat.keeper}, epoch {seat.epoch}" if seat.keeper else "knows nobody who keeps it"
        lease = f"lease {seat.lease_s:.2f} s" if seat.lease_s else "no lease"
        what = "decides" if seat.ledger == DECISION_LOCK else f"ledger {seat.ledger}"
        yield f"{what}: {seat.seat}, {asks}, {lease}, {seat.lapses} lapsed"
    lines: list[tuple[str, ...]] = [BUDGET_COLUMNS]
    lines += [
        (one.budget, one.unit, *map(_per_second, (one.whole, one.burst, one.fixed, one.share, one.wanted,
                                                  one.level)))
        for one in told.portions if wanted(one.budget)
    ]  # fmt: skip
    yield format_table(lines) if len(lines) > 1 else "no such budget is in use here"
    for ledger in (one for one in told.ledgers if one.ledger != DECISION_LOCK):
        state = f"opens in {ledger.opens_s:.2f} s" if ledger.opens_s else "open"
        yield (
            f"keeps ledger {ledger.ledger}, epoch {ledger.epoch}: {state}, valid for {ledger.valid_s:.2f} s, "
            f"{ledger.holders} holders, {ledger.moves} changes so far"
        )
        rows: list[tuple[str, ...]] = [LEDGER_COLUMNS]
        slips = [slip for slip in ledger.slips if wanted(slip.budget)]
        for budget in dict.fromkeys(slip.budget for slip in slips):
            mine = [slip for slip in slips if slip.budget == budget]
            rows += [
                (budget, slip.holder, _per_second(slip.granted), _per_second(slip.counted),
                 _per_second(slip.wanted), f"{slip.ends_s:.2f}s", "yes" if slip.there else "no")
                for slip in mine
            ]  # fmt: skip
            total, gone = sum(slip.counted for slip in mine), sum(s.counted for s in mine if not s.there)
            movable = ledger.movable.get(budget, 0.0)
            rows.append((f"{budget} in all", f"of {_per_second(movable)}", "", _per_second(total), "",
                         "", f"{_per_second(gone)} lent to who is gone"))  # fmt: skip
        if len(rows) > 1:
            yield format_table(rows)
    if told.more:
        yield f"and {told.more} more"


@fleet.command()
@settings_option
@address_option
@json_option
@click.option("--volume", help="Of this volume alone.")
def budgets(path: str | None, place: str | None, as_json: bool, volume: str | None) -> None:
    """Tell what a head has of what its fleet divides, and, if it keeps a ledger, who has what until when."""
    body, document = fetch_document(resolve_head_address(path, place))
    if document.budgets is None:
        fail(f"{document.name} divides nothing: (budgets ...) is not set")
    if as_json:
        click.echo(msgspec.json.encode(document.budgets).decode())
        return
    name = f"limits/{volume}"
    for line in _budget_lines(document.budgets, lambda budget: volume is None or budget == name):
        click.echo(line)


@fleet.command()
@settings_option
@address_option
@json_option
def scores(path: str | None, place: str | None, as_json: bool) -> None:
    """Tell what scorers say of nodes at a head, what all heads say together, and who lost a vote and why."""
    _, document = fetch_document(resolve_head_address(path, place))
    from harriertrack.cli import scoring  # the other commands do not load it

    if document.scores is None:
        fail(f"{document.name} scores no nodes: (scoring ...) is not set")
    if as_json:
        click.echo(msgspec.json.encode(document.scores).decode())
        return
    for line in scoring.scorer_lines(document.scores):
        click.echo(line)
    click.echo(format_table(scoring.node_rows(document.scores)))
