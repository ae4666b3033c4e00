"""`harriertrack fleet`: heads' views of their fleet, and the group of the fleet commands."""

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
        "closes": ("closing:closes", "Show the calendars' closes as a head has them."),
        "day": (
            "fleet_days:day",
            "Run the fleet day NAME (built in, or a file) and check it against the rules.",
        ),
        "days": ("fleet_days:days", "List the built-in fleet days."),
        "rollout": (
            "rollout:rollout",
            "Show what the rollouts in progress wait for, as the decider reports it; "
            "other heads name the decider.",
        ),
        "hold": ("zones:hold", "Keep the fleet in ZONE, whatever heads observe of it, until `fleet return`."),
        "leave": ("zones:leave", "Request that the fleet leave ZONE, until `fleet return`."),
        "return": (
            "zones:return_",
            "Withdraw the request for ZONE: a few heads try the zone, then more and more use it.",
        ),
        "scorers": ("scoring:scorers", "List the installed scorers with their parameters."),
        "storm": (
            "storm:storm",
            "Generate a random day from each seed, run it and check it against the rules.",
        ),
        "zones": (
            "zones:zones_command",
            "Show which zones the fleet uses, as a head knows it, and what is observed of them.",
        ),
    }


@click.group(cls=_Commands)
def fleet() -> None:
    """Fleets of heads: show a head's view of its fleet, and run days with many processes."""


for change_command in CHANGES:
    fleet.add_command(change_command)


def _member_row(member: MemberStatus) -> tuple[str, ...]:
    note = member.about
    return (
        member.name, member.state, f"{member.since_s:.1f}s", str(member.incarnation), member.region or "-",
        member.zone or "-", member.cell or "-", f"{member.host}:{member.port}",
        "yes" if member.agrees else "no", str(note.open) if note else "-", str(note.taken) if note else "-",
    )  # fmt: skip


@fleet.command()
@settings_option
@address_option
@json_option
def members(settings_path: str | None, head_address: str | None, as_json: bool) -> None:
    """Show the members of the fleet and their states, as a head has them."""
    body, document = fetch_document(resolve_head_address(settings_path, head_address))
    if as_json:
        click.echo(body.decode())
        return
    click.echo(format_table([MEMBER_COLUMNS, *map(_member_row, document.members)]))
    agreeing = sum(member.agrees for member in document.members if member.state in ("alive", "suspect"))
    click.echo(
        f"{document.name} of {document.fleet} is {document.standing}, doubts itself {document.doubts}; "
        f"{document.there} there, digest {document.digest}, as {agreeing} said when last heard"
    )


@fleet.command()
@settings_option
@address_option
@json_option
@click.option("--every", type=click.FloatRange(0.1), default=1.0, show_default=True, help="Seconds.")
@click.option("--times", type=click.IntRange(1), help="Stop after this many reads.")
def watch(
    settings_path: str | None, head_address: str | None, as_json: bool, every: float, times: int | None
) -> None:
    """Read a head's view repeatedly and print what changed."""
    address = resolve_head_address(settings_path, head_address)
    known: dict[str, tuple[str, int, str]] = {}
    reads = 0
    while True:
        body, document = fetch_document(address)
        if as_json:
            click.echo(body.decode())
        else:
            current = {
                member.name: (member.state, member.incarnation, member.instance)
                for member in document.members
            }
            for name in sorted(current.keys() | known.keys()):
                if current.get(name) != known.get(name):
                    old, new = known.get(name, ("unknown", 0, "")), current.get(name, ("forgotten", 0, ""))
                    restarted = " (another process)" if old[2] and new[2] and old[2] != new[2] else ""
                    click.echo(f"{name}: {old[0]} -> {new[0]}, incarnation {new[1]}{restarted}; "
                               f"{document.there} there, digest {document.digest}")  # fmt: skip
            known = current
        reads += 1
        if reads == times:
            return
        time.sleep(every)


@fleet.command()
@click.argument("member")
@settings_option
@address_option
@json_option
def explain(member: str, settings_path: str | None, head_address: str | None, as_json: bool) -> None:
    """Show why a head has MEMBER in its state, and which members reported it."""
    _, document = fetch_document(resolve_head_address(settings_path, head_address))
    status = next((row for row in document.members if row.name == member), None)
    if status is None:
        fail(f"{member}: not a member known to {document.name}")
    if as_json:
        click.echo(msgspec.json.encode(status).decode())
        return
    last_contact = (
        "never heard itself" if status.heard_s is None else f"heard itself {status.heard_s:.1f} s ago"
    )
    click.echo(
        f"{member}: {status.state} for {status.since_s:.1f} s, incarnation {status.incarnation}, "
        f"{last_contact}"
    )
    if status.suspected_by:
        click.echo(f"suspected by {', '.join(status.suspected_by)}; held dead in {status.dead_in_s:.1f} s "
                   "unless it objects, sooner if others agree")  # fmt: skip
    for change in status.history:
        by = f" by the word of {change.by}" if change.by else " by its own word"
        click.echo(f"  {change.ago_s:9.1f} s ago  {change.state}, incarnation {change.incarnation},{by}")


def _format_amount(amount: float) -> str:
    return f"{amount:.4g}"


def _budget_lines(status: BudgetsStatus, is_shown: Callable[[str], bool]) -> Iterator[str]:
    """Yield lines on a head's shares of budgets and, for each ledger that it holds, the leases granted."""
    for lock in status.seats:
        holder = f"asks {lock.keeper}, epoch {lock.epoch}" if lock.keeper else "knows nobody who keeps it"
        lease = f"lease {lock.lease_s:.2f} s" if lock.lease_s else "no lease"
        lock_name = "decides" if lock.ledger == DECISION_LOCK else f"ledger {lock.ledger}"
        yield f"{lock_name}: {lock.seat}, {holder}, {lease}, {lock.lapses} lapsed"
    lines: list[tuple[str, ...]] = [BUDGET_COLUMNS]
    lines += [
        (share.budget, share.unit, *map(_format_amount, (share.whole, share.burst, share.fixed, share.share,
                                                         share.wanted, share.level)))
        for share in status.portions if is_shown(share.budget)
    ]  # fmt: skip
    yield format_table(lines) if len(lines) > 1 else "no such budget is in use here"
    for ledger in (entry for entry in status.ledgers if entry.ledger != DECISION_LOCK):
        state = f"opens in {ledger.opens_s:.2f} s" if ledger.opens_s else "open"
        yield (
            f"keeps ledger {ledger.ledger}, epoch {ledger.epoch}: {state}, valid for {ledger.valid_s:.2f} s, "
            f"{ledger.holders} holders, {ledger.moves} changes so far"
        )
        rows: list[tuple[str, ...]] = [LEDGER_COLUMNS]
        leases = [entry for entry in ledger.slips if is_shown(entry.budget)]
        for budget in dict.fromkeys(entry.budget for entry in leases):
            of_budget = [entry for entry in leases if entry.budget == budget]
            rows += [
                (budget, entry.holder, _format_amount(entry.granted), _format_amount(entry.counted),
                 _format_amount(entry.wanted), f"{entry.ends_s:.2f}s", "yes" if entry.there else "no")
                for entry in of_budget
            ]  # fmt: skip
            total = sum(entry.counted for entry in of_budget)
            absent = sum(entry.counted for entry in of_budget if not entry.there)
            movable = ledger.movable.get(budget, 0.0)
            rows.append((f"{budget} in all", f"of {_format_amount(movable)}", "", _format_amount(total), "",
                         "", f"{_format_amount(absent)} lent to who is gone"))  # fmt: skip
        if len(rows) > 1:
            yield format_table(rows)
    if status.more:
        yield f"and {status.more} more"


@fleet.command()
@settings_option
@address_option
@json_option
@click.option("--volume", help="Show the limits of this volume only.")
def budgets(settings_path: str | None, head_address: str | None, as_json: bool, volume: str | None) -> None:
    """Show a head's shares of the fleet's budgets and, for a ledger that it holds, all leases on shares."""
    body, document = fetch_document(resolve_head_address(settings_path, head_address))
    if document.budgets is None:
        fail(f"{document.name} shares no budgets: (budgets ...) is not set")
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
def scores(settings_path: str | None, head_address: str | None, as_json: bool) -> None:
    """Show the nodes' scores at a head and of all heads combined, and why scorers lost their vote."""
    _, document = fetch_document(resolve_head_address(settings_path, head_address))
    from harriertrack.cli import scoring  # imported here: the other commands do not need it

    if document.scores is None:
        fail(f"{document.name} scores no nodes: (scoring ...) is not set")
    if as_json:
        click.echo(msgspec.json.encode(document.scores).decode())
        return
    for line in scoring.scorer_lines(document.scores):
        click.echo(line)
    click.echo(format_table(scoring.node_rows(document.scores)))
