"""`harriertrack fleet zones`, `leave`, `return`, `hold`: the zones in use, and operators' requests."""

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


def _zones_status(document: Document) -> ZonesStatus:
    if document.zones is None:
        fail(f"{document.name} takes part in no zone decisions: (zones ...) is not set")
    return document.zones


@click.command("zones")
@settings_option
@address_option
@json_option
@click.option("--explain", is_flag=True, help="Show the reasons too.")
def zones_command(settings_path: str | None, head_address: str | None, as_json: bool, explain: bool) -> None:
    """Show which zones the fleet uses, as a head knows it, and what is observed of them."""
    _, document = fetch_document(resolve_head_address(settings_path, head_address))
    status = _zones_status(document)
    if as_json:
        click.echo(msgspec.json.encode(status).decode())
        return
    columns = len(ZONE_COLUMNS) if explain else len(ZONE_COLUMNS) - 1
    rows: list[tuple[str, ...]] = [ZONE_COLUMNS[:columns]]
    for zone in status.zones:
        all_heads = (
            f"{zone.all_bad} silent of {(zone.all_bad or 0) + (zone.all_good or 0)}, {zone.heads} heads"
        )
        row = (
            zone.zone, zone.stage, f"{zone.share:.2f}", "yes" if zone.used else "no",
            f"{zone.bad} silent of {zone.good + zone.bad}", all_heads if zone.heads is not None else "-",
            zone.wish or "-", zone.why or "-",
        )  # fmt: skip
        rows.append(row[:columns])
    click.echo(format_table(rows))
    last_decision = (
        "never heard a word" if status.heard_s is None else f"heard the word {status.heard_s:.1f} s ago"
    )
    click.echo(f"{document.name} {'decides' if status.decides else 'does not decide'}, {last_decision}")


def _write_request(settings_path: str, zone: str, request: str) -> None:
    """Store the operator's request for a zone at the witness: "in", "out", or "" for none."""
    settings = load_settings(settings_path, HeadSettings)
    if settings.fleet is None or settings.fleet.zones is None or settings.fleet.budgets is None:
        fail(f"{settings_path}:1: fleet: zones: not set; this fleet leaves no zones")
    hub, address = Hub(), settings.fleet.budgets.witness
    witness = WitnessClient(hub, SocketNetwork(hub), address, REQUEST_TIMEOUT_US, "operator")
    try:
        hub.run(write_operator_hold, witness, zone, request)
    except FAILURES as error:
        fail(f"witness {address[0]}:{address[1]}: {error or 'no answer in time'}")
    click.echo(
        f"{zone}: {f'wished {request}' if request else 'no wish any more'}; who decides looks each 2 s"
    )


def leave_cost_lines(zone: str, others: list[str], cost: ZoneLeaveCost) -> list[str]:
    """Return lines of text on the effects of leaving a zone."""
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
@click.option("--dry-run", is_flag=True, help="Only show the cost, and what the other zones can serve.")
def leave(zone: str, settings_path: str, dry_run: bool) -> None:
    """Request that the fleet leave ZONE, until `fleet return`."""
    if not dry_run:
        _write_request(settings_path, zone, "out")
        return
    _, document = fetch_document(resolve_head_address(settings_path, None))
    status = _zones_status(document)
    if not status.decides and ADDRESS_PATTERN.match(status.decider):
        # Only the decider has the observations of all heads.
        _, document = fetch_document(resolve_head_address(None, status.decider))
        status = _zones_status(document)
    leaving = next((entry for entry in status.zones if entry.zone == zone), None)
    if leaving is None:
        fail(f"{zone}: no such zone; there are {', '.join(entry.zone for entry in status.zones) or 'none'}")
    others = [entry.zone for entry in status.zones if entry.zone != zone and entry.stage == "in"]
    if not others:
        fail(f"{zone}: no other zone is in use; the fleet would have none left")
    if leaving.leaving is None:
        fail(
            f"{document.name} is not the decider and knows of none: the observations of all heads are unknown"
        )
    for line in leave_cost_lines(zone, others, leaving.leaving):
        click.echo(line)


@click.command("return")
@click.argument("zone")
@required_settings_option
def return_(zone: str, settings_path: str) -> None:
    """Withdraw the request for ZONE: a few heads try the zone, then more and more use it."""
    _write_request(settings_path, zone, "")


@click.command()
@click.argument("zone")
@required_settings_option
def hold(zone: str, settings_path: str) -> None:
    """Keep the fleet in ZONE, whatever heads observe of it, until `fleet return`."""
    _write_request(settings_path, zone, "in")


COMMANDS = (zones_command, leave, return_, hold)
