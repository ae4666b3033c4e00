"""`harriertrack fleet changes` and what operators say of changes: propose, pause, resume, abort."""

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
from harriertrack.gateway.fleet.changes import keeping
from harriertrack.gateway.witness import FAILURES, WitnessClient
from harriertrack.membership.fleet.change_record import DamagedRecord
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import SocketNetwork

CHANGE_COLUMNS = ("thing", "in force", "runs here", "under way", "stands", "stage", "heads", "why")
why_option = click.option("--why", required=True, help="One sentence for who reads the record.")
by_option = click.option("--by", default=getpass.getuser, help="Who says so; otherwise the user's name.")


def _changed(path: str, make: Callable[[Record], Record]) -> Record:
    settings = load_settings(path, HeadSettings)
    if settings.fleet is None or settings.fleet.budgets is None or settings.fleet.changes is None:
        fail(f"{path}:1: fleet: changes: not set; there is no record to change")
    hub, where = Hub(), settings.fleet.budgets.witness
    witness = WitnessClient(hub, SocketNetwork(hub), where, REQUEST_TIMEOUT_US, "operator")
    try:
        return hub.run(keeping.write, witness, make).record
    except ChangeConflict as conflict:
        difference = "".join(f"\n  {line}" for line in conflict.difference)
        fail(f"{conflict}; what you would change of it:{difference}")
    except (ChangeRefused, IllegalTransition, DamagedRecord) as error:
        fail(str(error))
    except FAILURES as error:
        fail(f"witness {where[0]}:{where[1]}: {error or 'no answer in time'}")


def _now_ms() -> int:
    return time.time_ns() // 1_000_000


@click.command("propose")
@click.argument("thing")
@click.argument("file", type=click.Path(dir_okay=False))
@required_settings_option
@why_option
@by_option
@click.option("--base", type=click.IntRange(0), help="Made from this version; otherwise the one in force.")
@click.option("--plan", type=click.Path(dir_okay=False), help="How it is brought about, if not as usual.")
@click.option("--although", default="", help="Why content that was stopped before is tried again.")
def propose_command(thing: str, file: str, path: str, why: str, by: str, base: int | None, plan: str | None,
                    although: str) -> None:  # fmt: skip
    """Propose FILE as the next version of THING: settings, program, calendar/NAME or scorer/NAME."""
    texts = []
    for name in (file, plan):
        try:
            texts.append(Path(name).read_text(encoding="utf-8") if name is not None else "")
        except (OSError, UnicodeDecodeError) as error:
            fail(f"{name}:1: can't be read: {error}")

    if thing == Kind.SETTINGS.value:
        try:
            apply_overrides(load_settings(path, HeadSettings), texts[0], file)
        except SettingsError as error:
            fail(str(error))  # this head would turn it down, and so would others that were started like it

    def make(record: Record) -> Record:
        holds = record.in_force(thing)
        made_from = base if base is not None else holds.number if holds is not None else 0
        return propose(record, thing, made_from, texts[0], by, _now_ms(), why, texts[1], although)

    record = _changed(path, make)
    going = record.in_progress(thing)
    assert going is not None
    click.echo(f"{thing}: version {going.number} is proposed; `harriertrack fleet changes` tells how it goes")


def _wish(name: str, standing: VersionState, about: str) -> click.Command:
    @click.command(name, help=about)
    @click.argument("thing")
    @required_settings_option
    @why_option
    @by_option
    def command(thing: str, path: str, why: str, by: str) -> None:
        record = _changed(
            path, lambda record: set_state_as_operator(record, thing, standing, by, _now_ms(), why)
        )
        last = record.in_progress(thing) or record.versions_of(thing)[-1]
        click.echo(f"{thing}: version {last.number} is {last.standing.value}")

    return command


pause = _wish("pause", VersionState.PAUSED, "Begin no further stage of what is under way for THING.")
resume = _wish("resume", VersionState.ADVANCING, "Go on with THING where it was paused.")
abort = _wish("abort", VersionState.ABORTED, "Take back what is under way for THING, from its heads too.")


@click.command("changes")
@settings_option
@address_option
@json_option
@click.option("--thing", help="Of this thing alone, with its history.")
def changes(path: str | None, place: str | None, as_json: bool, thing: str | None) -> None:
    """Tell what the fleet is to run, as a head knows it, and what is under way."""
    _, document = fetch_document(resolve_head_address(path, place))
    told = document.record
    if told is None:
        fail(f"{document.name} follows no record of changes: (changes ...) is not set")
    if as_json:
        click.echo(msgspec.json.encode(told).decode())
        return
    if thing is not None and thing not in {one.thing for one in told.things}:
        fail(f"{thing}: nothing was ever proposed for it")
    rows: list[tuple[str, ...]] = [CHANGE_COLUMNS]
    for one in told.things:
        if thing is None or one.thing == thing:
            going = str(one.under_way) if one.under_way else "-"
            heads = str(len(one.heads)) if one.heads != ["*"] else "all"
            rows.append((one.thing, str(one.in_force or "-"), str(one.runs or "-"), going, one.standing,
                         str(one.stage), heads, one.why))  # fmt: skip
    click.echo(format_table(rows))
    for one in told.things:
        if one.turned_down and (thing is None or one.thing == thing):
            why = one.turned_down_why
            click.echo(f"{one.thing}: {document.name} turned version {one.turned_down} down: {why}")
        if one.reason and one.thing == thing:
            click.echo(f"{one.thing}: {one.standing} because: {one.reason}")
    click.echo(
        f"{document.name} goes by revision {told.revision}, epoch {told.epoch}, level {told.level}"
        + (f"; others tell of {told.heard}" if told.heard > told.revision else "")
        + ("; the witness holds an older one" if told.lost else "")
    )


COMMANDS = (propose_command, pause, resume, abort, changes)
