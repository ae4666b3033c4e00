"""`harriertrack fleet changes`, and the operators' commands on changes: propose, pause, resume, abort."""

from __future__ import annotations

import getpass
import time
from collections.abc import Callable
from pathlib import Path

import click
import msgspec

from harriertrack.cli.common import fail, load_settings
from harriertrack.cli.head_status import (
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
from harriertrack.config.settings.reload import apply_overrides
from harriertrack.config.sexp import SettingsError
from harriertrack.decisions.fleet.changes.operations import (
    ChangeConflict,
    ChangeRefused,
    propose,
    set_state_as_operator,
)
from harriertrack.decisions.fleet.changes.record import Kind, Record
from harriertrack.decisions.fleet.changes.version_state import IllegalTransition, VersionState
from harriertrack.gateway.fleet.changes import stored_record
from harriertrack.gateway.witness import FAILURES, WitnessClient
from harriertrack.membership.fleet.change_record import DamagedRecord
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import SocketNetwork

CHANGE_COLUMNS = ("thing", "in force", "runs here", "under way", "stands", "stage", "heads", "why")
why_option = click.option(
    "--why", required=True, help="The reason, one sentence; it is stored in the record."
)
by_option = click.option(
    "--by", default=getpass.getuser, help="The operator's name; default: the user's login name."
)


def _update_record(settings_path: str, change: Callable[[Record], Record]) -> Record:
    """Apply a change to the record at the witness and return the new record; exit if it fails."""
    settings = load_settings(settings_path, HeadSettings)
    if settings.fleet is None or settings.fleet.budgets is None or settings.fleet.changes is None:
        fail(f"{settings_path}:1: fleet: changes: not set; the fleet has no record of changes")
    hub, address = Hub(), settings.fleet.budgets.witness
    witness = WitnessClient(hub, SocketNetwork(hub), address, REQUEST_TIMEOUT_US, "operator")
    try:
        return hub.run(stored_record.write, witness, change).record
    except ChangeConflict as conflict:
        difference = "".join(f"\n  {line}" for line in conflict.difference)
        fail(f"{conflict}; your version differs from it by:{difference}")
    except (ChangeRefused, IllegalTransition, DamagedRecord) as error:
        fail(str(error))
    except FAILURES as error:
        fail(f"witness {address[0]}:{address[1]}: {error or 'no answer in time'}")


def _now_ms() -> int:
    return time.time_ns() // 1_000_000


@click.command("propose")
@click.argument("thing")
@click.argument("file", type=click.Path(dir_okay=False))
@required_settings_option
@why_option
@by_option
@click.option(
    "--base", type=click.IntRange(0), help="The version that FILE was made from; default: the one in force."
)
@click.option(
    "--plan", type=click.Path(dir_okay=False), help="A file with the rollout plan; default: the usual plan."
)
@click.option("--although", default="", help="The reason to propose content again that was stopped before.")
def propose_command(thing: str, file: str, settings_path: str, why: str, by: str, base: int | None,
                    plan: str | None, although: str) -> None:  # fmt: skip
    """Propose FILE as the next version of THING: settings, program, calendar/NAME or scorer/NAME."""
    texts = []
    for name in (file, plan):
        try:
            texts.append(Path(name).read_text(encoding="utf-8") if name is not None else "")
        except (OSError, UnicodeDecodeError) as error:
            fail(f"{name}:1: can't be read: {error}")

    if thing == Kind.SETTINGS.value:
        try:
            apply_overrides(load_settings(settings_path, HeadSettings), texts[0], file)
        except SettingsError as error:
            # This head would reject it, and so would others that were started with its settings.
            fail(str(error))

    def add_proposal(record: Record) -> Record:
        in_force = record.in_force(thing)
        made_from = base if base is not None else in_force.number if in_force is not None else 0
        return propose(record, thing, made_from, texts[0], by, _now_ms(), why, texts[1], although)

    record = _update_record(settings_path, add_proposal)
    proposed = record.in_progress(thing)
    assert proposed is not None
    click.echo(
        f"{thing}: version {proposed.number} is proposed; `harriertrack fleet changes` tells how it goes"
    )


def _state_command(name: str, state: VersionState, help_text: str) -> click.Command:
    @click.command(name, help=help_text)
    @click.argument("thing")
    @required_settings_option
    @why_option
    @by_option
    def command(thing: str, settings_path: str, why: str, by: str) -> None:
        record = _update_record(
            settings_path, lambda record: set_state_as_operator(record, thing, state, by, _now_ms(), why)
        )
        version = record.in_progress(thing) or record.versions_of(thing)[-1]
        click.echo(f"{thing}: version {version.number} is {version.standing.value}")

    return command


pause = _state_command("pause", VersionState.PAUSED, "Start no further stage of THING's version in progress.")
resume = _state_command(
    "resume", VersionState.ADVANCING, "Continue the rollout of THING from where it was paused."
)
abort = _state_command(
    "abort", VersionState.ABORTED, "Withdraw THING's version in progress, also from heads that run it."
)


@click.command("changes")
@settings_option
@address_option
@json_option
@click.option("--thing", help="Show this thing only, with the reason for its state.")
def changes(settings_path: str | None, head_address: str | None, as_json: bool, thing: str | None) -> None:
    """Show the versions that the fleet should run, as a head knows them, and those in progress."""
    _, document = fetch_document(resolve_head_address(settings_path, head_address))
    status = document.record
    if status is None:
        fail(f"{document.name} follows no record of changes: (changes ...) is not set")
    if as_json:
        click.echo(msgspec.json.encode(status).decode())
        return
    if thing is not None and thing not in {entry.thing for entry in status.things}:
        fail(f"{thing}: no version of it was ever proposed")
    rows: list[tuple[str, ...]] = [CHANGE_COLUMNS]
    for entry in status.things:
        if thing is None or entry.thing == thing:
            in_progress = str(entry.under_way) if entry.under_way else "-"
            heads = str(len(entry.heads)) if entry.heads != ["*"] else "all"
            rows.append((entry.thing, str(entry.in_force or "-"), str(entry.runs or "-"), in_progress,
                         entry.standing, str(entry.stage), heads, entry.why))  # fmt: skip
    click.echo(format_table(rows))
    for entry in status.things:
        if entry.turned_down and (thing is None or entry.thing == thing):
            reason = entry.turned_down_why
            click.echo(f"{entry.thing}: {document.name} turned version {entry.turned_down} down: {reason}")
        if entry.reason and entry.thing == thing:
            click.echo(f"{entry.thing}: {entry.standing} because: {entry.reason}")
    click.echo(
        f"{document.name} goes by revision {status.revision}, epoch {status.epoch}, level {status.level}"
        + (f"; others tell of {status.heard}" if status.heard > status.revision else "")
        + ("; the witness holds an older one" if status.lost else "")
    )


COMMANDS = (propose_command, pause, resume, abort, changes)
