"""`harriertrack fleet zones`, `leave`, `return`, `hold`: zones that a fleet leaves, and operators' wishes."""

from __future__ import annotations

import click
import msgspec

from harriertrack.cli.common import fail, load_settings
from harriertrack.cli.head_status import (
    ADDRESS_PATTERN,
    REQUEST_TIMEOUT_US,
    address_option,
    fetch_document,
    format_table,
    json_option,
    required_settings_option,
    resolve_head_address,
    settings_option,
)
from harriertrack.config.settings import HeadSettings
from harriertrack.gateway.fleet.zones import write_operator_hold
from harriertrack.gateway.witness import FAILURES, WitnessClient
from harriertrack.membership.fleet.status_document import Document, ZoneLeaveCost, ZonesStatus
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import SocketNetwork

ZONE_COLUMNS = ("zone", "stage", "share", "used here", "seen here", "all heads", "wish", "why")


def _told(document: Document) -> ZonesStatus:
    if document.zones is None:
        fail(f"{document.name} leaves no zones with others: (zones ...) is not set")
    return document.zones


@click.command("zones")
@settings_option
@address_option
@json_option
@click.option("--explain", is_flag=True, help="Why, too.")
def zones_command(path: str | None, place: str | None, as_json: bool, explain: bool) -> None:
    """Tell which zones the fleet uses, as a head knows it, and what is seen of them."""
    _, document = fetch_document(resolve_head_address(path, place))
    told = _told(document)
    if as_json:
        click.echo(msgspec.json.encode(told).decode())
        return
    cells = len(ZONE_COLUMNS) if explain else len(ZONE_COLUMNS) - 1
    rows: list[tuple[str, ...]] = [ZONE_COLUMNS[:cells]]
    for one in told.zones:
        whole = f"{one.all_bad} silent of {(one.all_bad or 0) + (one.all_good or 0)}, {one.heads} heads"
        row = (
            one.zone, one.stage, f"{one.share:.2f}", "yes" if one.used else "no",
            f"{one.bad} silent of {one.good + one.bad}", whole if one.heads is not None else "-",
            one.wish or "-", one.why or "-",
        )  # fmt: skip
        rows.append(row[:cells])
    click.echo(format_table(rows))
    heard = "never heard a word" if told.heard_s is None else f"heard the word {told.heard_s:.1f} s ago"
    click.echo(f"{document.name} {'decides' if told.decides else 'does not decide'}, {heard}")


def _wish(path: str, zone: str, wish: str) -> None:
    settings = load_settings(path, HeadSettings)
    if settings.fleet is None or settings.fleet.zones is None or settings.fleet.budgets is None:
        fail(f"{path}:1: fleet: zones: not set; there is nobody to ask")
    hub, where = Hub(), settings.fleet.budgets.witness
    witness = WitnessClient(hub, SocketNetwork(hub), where, REQUEST_TIMEOUT_US, "operator")
    try:
        hub.run(write_operator_hold, witness, zone, wish)
    except FAILURES as error:
        fail(f"witness {where[0]}:{where[1]}: {error or 'no answer in time'}")
    click.echo(f"{zone}: {f'wished {wish}' if wish else 'no wish any more'}; who decides looks each 2 s")


def leave_cost_lines(zone: str, others: list[str], cost: ZoneLeaveCost) -> list[str]:
    """Return what leaving a zone would do, as text."""
    return [
        f"{zone} serves {cost.served:.0f} requests a second; {cost.stays:.0f} of them are for data that lie "
        "there, and are refused while it is left",
        f"{cost.moves:.0f} a second are new objects, {cost.reserved:.0f} of plans with a reservation; "
        f"{', '.join(others)} have room for about {cost.room:.0f}",
        f"they bear {cost.borne:.0f} ({cost.borne_reserved:.0f} reserved); {cost.refused:.0f} are refused on "
        "arrival, with a hint",
    ]


@click.command()
@click.argument("zone")
@required_settings_option
@click.option("--dry-run", is_flag=True, help="Only tell what it would cost, and what the others bear.")
def leave(zone: str, path: str, dry_run: bool) -> None:
    """Wish the fleet out of ZONE, until `fleet return`."""
    if not dry_run:
        _wish(path, zone, "out")
        return
    _, document = fetch_document(resolve_head_address(path, None))
    told = _told(document)
    if not told.decides and ADDRESS_PATTERN.match(told.decider):
        _, document = fetch_document(
            resolve_head_address(None, told.decider)
        )  # who decides knows what all heads see
        told = _told(document)
    mine = next((one for one in told.zones if one.zone == zone), None)
    if mine is None:
        fail(f"{zone}: no such zone; there are {', '.join(one.zone for one in told.zones) or 'none'}")
    others = [one.zone for one in told.zones if one.zone != zone and one.stage == "in"]
    if not others:
        fail(f"{zone}: no other zone is in use; the fleet would have none left")
    if mine.leaving is None:
        fail(f"{document.name} does not decide and knows nobody who does: what all heads see is not known")
    for line in leave_cost_lines(zone, others, mine.leaving):
        click.echo(line)


@click.command("return")
@click.argument("zone")
@required_settings_option
def return_(zone: str, path: str) -> None:
    """Take the wish on ZONE back: it is tried by a few, and used again by ever more."""
    _wish(path, zone, "")


@click.command()
@click.argument("zone")
@required_settings_option
def hold(zone: str, path: str) -> None:
    """Keep the fleet in ZONE, whatever is seen of it, until `fleet return`."""
    _wish(path, zone, "in")


COMMANDS = (zones_command, leave, return_, hold)
