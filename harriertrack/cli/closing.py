"""`harriertrack fleet closes`: when what is purged, how far a head is, and how sure it is of the time."""

from __future__ import annotations

from datetime import UTC, datetime

import click
import msgspec

from harriertrack.cli.common import fail
from harriertrack.cli.head_status import (
    address_option,
    fetch_document,
    format_table,
    json_option,
    resolve_head_address,
    settings_option,
)
from harriertrack.membership.fleet.status_document import ClosingStatus

CALENDAR_COLUMNS = ("calendar", "closes done", "now", "next", "next (UTC)")
WOULD = ("would purge here",)


def _utc(us: int) -> str:
    return f"{datetime.fromtimestamp(us / 1e6, UTC):%Y-%m-%d %H:%M:%S}" if us else "-"


def _time(told: ClosingStatus) -> str:
    if told.between_us is None:
        return "does not know the time: most of the fleet was not heard, or its clock has jumped"
    low, high = told.between_us
    return f"it is {_utc((low + high) // 2)} UTC, within {(high - low) / 2e3:.1f} ms"


@click.command("closes")
@settings_option
@address_option
@json_option
@click.option("--dry-run", is_flag=True, help="Tell what the next close of each calendar would purge here.")
def closes(path: str | None, place: str | None, as_json: bool, dry_run: bool) -> None:
    """Tell the calendars' closes as a head goes by them."""
    _, document = fetch_document(resolve_head_address(path, place))
    told = document.closing
    if told is None:
        fail(f"{document.name} knows no calendars: (closing ...) is not set")
    if as_json:
        click.echo(msgspec.json.encode(told).decode())
        return
    rows: list[tuple[str, ...]] = [CALENDAR_COLUMNS + (WOULD if dry_run else ())]
    for one in told.fences:
        row = (one.calendar, str(one.done or "-"), one.stance, one.next or "-", _utc(one.next_us))
        rows.append(row + ((f"{one.would} extents",) if dry_run else ()))
    click.echo(format_table(rows))
    click.echo(
        f"{document.name}: {_time(told)}; {'decides' if told.decides else 'does not decide'}; "
        f"{told.left} extents to trim; {told.refused} requests refused"
        + ("; BLIND: it refuses whatever calendars may touch" if told.blind else "")
        + ("; ITS WALL CLOCK IS WRONG" if told.clock_wrong else "")
    )
