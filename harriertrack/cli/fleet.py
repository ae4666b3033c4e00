"""`harriertrack fleet`: what heads hold of their fleet, and rehearsals of what can happen to one."""

from __future__ import annotations

import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path

import click
import msgspec

from harriertrack.cli import rollout, scoring, storm
from harriertrack.cli.asking import (
    ASK_US,
    document_of,
    json_option,
    needed_settings,
    place_of,
    place_option,
    settings_option,
    table,
)
from harriertrack.cli.changes import COMMANDS as CHANGES
from harriertrack.cli.closing import closes
from harriertrack.cli.common import fail, settings_of
from harriertrack.cli.days import tell
from harriertrack.config.settings import HeadSettings
from harriertrack.config.sexp import SettingsError
from harriertrack.gateway.fleet.seats import DECIDES
from harriertrack.gateway.fleet.zones import set_wish
from harriertrack.gateway.witness import FAILURES, WitnessClient
from harriertrack.lab.fleet import scenario
from harriertrack.lab.fleet.processes import FleetProcessError, play_processes
from harriertrack.lab.fleet.rig import simulate
from harriertrack.membership.fleet.telling import (
    BudgetsTold,
    Told,
)
from harriertrack.rules import checker, recording as rec
from harriertrack.rules.everything import judge
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import SocketNetwork

SHOWN = (
    "name", "state", "for", "incarnation", "region", "zone", "cell", "address", "agrees", "open", "taken/s",
)  # fmt: skip

HAS = ("budget", "unit", "whole/s", "burst", "fixed/s", "share/s", "wanted/s", "to use now")
LENT = ("budget", "holder", "granted/s", "may have/s", "wanted/s", "ends in", "there")



@click.group()
def fleet() -> None:
    """Fleets of heads: what one holds of the others, and days for many processes."""


for one_command in (*CHANGES, closes):
    fleet.add_command(one_command)


def _line(one: Told) -> tuple[str, ...]:
    about = one.about
    return (
        one.name, one.state, f"{one.since_s:.1f}s", str(one.incarnation), one.region or "-", one.zone or "-",
        one.cell or "-", f"{one.host}:{one.port}", "yes" if one.agrees else "no",
        str(about.open) if about else "-", str(about.taken) if about else "-",
    )  # fmt: skip


@fleet.command()
@settings_option
@place_option
@json_option
def members(path: str | None, place: str | None, as_json: bool) -> None:
    """Tell whom a head holds to be there, and whom not."""
    body, document = document_of(place_of(path, place))
    if as_json:
        click.echo(body.decode())
        return
    click.echo(table([SHOWN, *map(_line, document.members)]))
    agreeing = sum(one.agrees for one in document.members if one.state in ("alive", "suspect"))
    click.echo(
        f"{document.name} of {document.fleet} is {document.standing}, doubts itself {document.doubts}; "
        f"{document.there} there, digest {document.digest}, as {agreeing} said when last heard"
    )


@fleet.command()
@settings_option
@place_option
@json_option
@click.option("--every", type=click.FloatRange(0.1), default=1.0, show_default=True, help="Seconds.")
@click.option("--times", type=click.IntRange(1), help="End after so many looks.")
def watch(path: str | None, place: str | None, as_json: bool, every: float, times: int | None) -> None:
    """Look again and again, and tell what changed."""
    address = place_of(path, place)
    known: dict[str, tuple[str, int, str]] = {}
    looks = 0
    while True:
        body, document = document_of(address)
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
@place_option
@json_option
def explain(member: str, path: str | None, place: str | None, as_json: bool) -> None:
    """Tell why a head holds of MEMBER what it holds, and by whose word."""
    _, document = document_of(place_of(path, place))
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


def _budget_lines(told: BudgetsTold, wanted: Callable[[str], bool]) -> Iterator[str]:
    """Tell what a head has of budgets, and what it lent as who keeps a ledger."""
    for seat in told.seats:
        asks = f"asks {seat.keeper}, epoch {seat.epoch}" if seat.keeper else "knows nobody who keeps it"
        lease = f"lease {seat.lease_s:.2f} s" if seat.lease_s else "no lease"
        what = "decides" if seat.ledger == DECIDES else f"ledger {seat.ledger}"
        yield f"{what}: {seat.seat}, {asks}, {lease}, {seat.lapses} lapsed"
    lines: list[tuple[str, ...]] = [HAS]
    lines += [
        (one.budget, one.unit, *map(_per_second, (one.whole, one.burst, one.fixed, one.share, one.wanted,
                                                  one.level)))
        for one in told.portions if wanted(one.budget)
    ]  # fmt: skip
    yield table(lines) if len(lines) > 1 else "no such budget is in use here"
    for ledger in (one for one in told.ledgers if one.ledger != DECIDES):
        state = f"opens in {ledger.opens_s:.2f} s" if ledger.opens_s else "open"
        yield (
            f"keeps ledger {ledger.ledger}, epoch {ledger.epoch}: {state}, valid for {ledger.valid_s:.2f} s, "
            f"{ledger.holders} holders, {ledger.moves} changes so far"
        )
        rows: list[tuple[str, ...]] = [LENT]
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
            yield table(rows)
    if told.more:
        yield f"and {told.more} more"


@fleet.command()
@settings_option
@place_option
@json_option
@click.option("--volume", help="Of this volume alone.")
def budgets(path: str | None, place: str | None, as_json: bool, volume: str | None) -> None:
    """Tell what a head has of what its fleet divides, and, if it keeps a ledger, who has what until when."""
    body, document = document_of(place_of(path, place))
    if document.budgets is None:
        fail(f"{document.name} divides nothing: (budgets ...) is not set")
    if as_json:
        click.echo(msgspec.json.encode(document.budgets).decode())
        return
    name = f"limits/{volume}"
    for line in _budget_lines(document.budgets, lambda budget: volume is None or budget == name):
        click.echo(line)


ZONE_WORDS = ("zone", "stage", "share", "used here", "seen here", "all heads", "wish", "why")


@fleet.command()
@settings_option
@place_option
@json_option
@click.option("--explain", is_flag=True, help="Why, too.")
def zones(path: str | None, place: str | None, as_json: bool, explain: bool) -> None:
    """Tell which zones the fleet uses, as a head knows it, and what is seen of them."""
    _, document = document_of(place_of(path, place))
    if document.zones is None:
        fail(f"{document.name} leaves no zones with others: (zones ...) is not set")
    if as_json:
        click.echo(msgspec.json.encode(document.zones).decode())
        return
    told, cells = document.zones, len(ZONE_WORDS) if explain else len(ZONE_WORDS) - 1
    rows: list[tuple[str, ...]] = [ZONE_WORDS[:cells]]
    for one in told.zones:
        whole = f"{one.all_bad} silent of {(one.all_bad or 0) + (one.all_good or 0)}, {one.heads} heads"
        row = (
            one.zone, one.stage, f"{one.share:.2f}", "yes" if one.used else "no",
            f"{one.bad} silent of {one.good + one.bad}", whole if one.heads is not None else "-",
            one.wish or "-", one.why or "-",
        )  # fmt: skip
        rows.append(row[:cells])
    click.echo(table(rows))
    heard = "never heard a word" if told.heard_s is None else f"heard the word {told.heard_s:.1f} s ago"
    click.echo(f"{document.name} {'decides' if told.decides else 'does not decide'}, {heard}")


fleet.add_command(scoring.scorers)
fleet.add_command(rollout.rollout)
fleet.add_command(storm.storm)


@fleet.command()
@settings_option
@place_option
@json_option
def scores(path: str | None, place: str | None, as_json: bool) -> None:
    """Tell what scorers say of nodes at a head, what all heads say together, and who lost a vote and why."""
    _, document = document_of(place_of(path, place))
    if document.scores is None:
        fail(f"{document.name} scores no nodes: (scoring ...) is not set")
    if as_json:
        click.echo(msgspec.json.encode(document.scores).decode())
        return
    for line in scoring.scorer_lines(document.scores):
        click.echo(line)
    click.echo(table(scoring.node_rows(document.scores)))


def _wish(path: str, zone: str, wish: str) -> None:
    settings = settings_of(path, HeadSettings)
    if settings.fleet is None or settings.fleet.zones is None or settings.fleet.budgets is None:
        fail(f"{path}:1: fleet: zones: not set; there is nobody to ask")
    hub, where = Hub(), settings.fleet.budgets.witness
    witness = WitnessClient(hub, SocketNetwork(hub), where, ASK_US, "operator")
    try:
        hub.run(set_wish, witness, zone, wish)
    except FAILURES as error:
        fail(f"witness {where[0]}:{where[1]}: {error or 'no answer in time'}")
    click.echo(f"{zone}: {f'wished {wish}' if wish else 'no wish any more'}; who decides looks each 2 s")


@fleet.command()
@click.argument("zone")
@needed_settings
@click.option("--dry-run", is_flag=True, help="Only tell what the fleet sees of the other zones.")
def leave(zone: str, path: str, dry_run: bool) -> None:
    """Wish the fleet out of ZONE, until `fleet return`."""
    if dry_run:
        _, document = document_of(place_of(path, None))
        known = document.zones.zones if document.zones is not None else []
        others = [one for one in known if one.zone != zone]
        for one in others:
            click.echo(f"{one.zone}: {one.stage}, {one.good} nodes answer {document.name}, {one.bad} do not")
        if not any(one.stage == "in" for one in others):
            fail(f"{zone}: no other zone is in use; the fleet would have none left")
        return
    _wish(path, zone, "out")


@fleet.command("return")
@click.argument("zone")
@needed_settings
def return_(zone: str, path: str) -> None:
    """Take the wish on ZONE back: it is tried by a few, and used again by ever more."""
    _wish(path, zone, "")


@fleet.command()
@click.argument("zone")
@needed_settings
def hold(zone: str, path: str) -> None:
    """Keep the fleet in ZONE, whatever is seen of it, until `fleet return`."""
    _wish(path, zone, "in")


@fleet.command("days")
def days() -> None:
    """Name the days for fleets that come with the program."""
    for name in scenario.names():
        click.echo(f"{name:18} {scenario.load(name).about}")


@fleet.command()
@click.argument("name")
@click.option("--processes", type=click.IntRange(2, 400), help="Heads; otherwise what the day says.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--virtual", is_flag=True, help="In simulated time, where the verdict repeats exactly.")
@click.option("--without", is_flag=True, help="Heads without `(fleet ...)`, to compare.")
@click.option("--json", "path", type=click.Path(dir_okay=False), help="Write the recording, JSON lines.")
@click.option("--keep", type=click.Path(file_okay=False), help="A folder for settings and logs, kept.")
def day(name: str, processes: int | None, seed: int, virtual: bool, without: bool, path: str | None,
        keep: str | None) -> None:  # fmt: skip
    """Play the fleet's day NAME (or a file's) and judge it. Exit code 1 unless all rules are kept."""
    try:
        plan = scenario.load(name)
    except SettingsError as error:
        fail(str(error))
    if virtual and keep:
        fail("--keep goes with processes; simulated heads write nothing")
    heads = processes or plan.processes
    if without:
        plan = scenario.without_views(plan)
    recorder = rec.Recorder(path)
    try:
        with ExitStack() as stack:
            if virtual:
                simulate(plan, heads, seed, recorder, not without)
            else:
                folder = keep or stack.enter_context(tempfile.TemporaryDirectory(prefix="harriertrack-"))
                Path(folder).mkdir(parents=True, exist_ok=True)
                play_processes(plan, heads, seed, recorder, Path(folder), not without)
    except (FleetProcessError, SettingsError, OSError) as error:
        fail(str(error))
    finally:
        recorder.close()
    records = recorder.records
    for one in records:
        if isinstance(one, rec.Agreed):
            end = f"after {one.after_us / 1e6:.2f} s" if one.reached else "NOT REACHED"
            click.echo(f"{len(one.members)} agree {end} (within {one.within_us / 1e6:g} s)")
    click.echo("; ".join(f"{count} {what}" for what, count in checker.summary(records).items()))
    judged = judge(records, plan.detect_us)
    for what, breaches in judged.items():
        tell(breaches, f"{what}: ")
    broken = any(judged.values())
    click.echo("rules broken" if broken else "all rules held")
    sys.exit(1 if broken else 0)
