"""`harriertrack fleet closes`: a head's past and next closes, their purges, and its clock bounds."""

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
DRY_RUN_COLUMNS = ("would purge here",)


def _format_utc(us: int) -> str:
    return f"{datetime.fromtimestamp(us / 1e6, UTC):%Y-%m-%d %H:%M:%S}" if us else "-"


def _format_time_bounds(status: ClosingStatus) -> str:
    if status.between_us is None:
        return "does not know the time: most of the fleet was not heard, or its clock has jumped"
    low, high = status.between_us
    return f"it is {_format_utc((low + high) // 2)} UTC, within {(high - low) / 2e3:.1f} ms"


@click.command("closes")
@settings_option
@address_option
@json_option
@click.option(
    "--dry-run", is_flag=True, help="Show what each calendar's next close would purge on this head."
)
def closes(settings_path: str | None, head_address: str | None, as_json: bool, dry_run: bool) -> None:
    """Show the calendars' closes as a head has them."""
    _, document = fetch_document(resolve_head_address(settings_path, head_address))
    status = document.closing
    if status is None:
        fail(f"{document.name} has no calendars: (closing ...) is not set")
    if as_json:
        click.echo(msgspec.json.encode(status).decode())
        return
    rows: list[tuple[str, ...]] = [CALENDAR_COLUMNS + (DRY_RUN_COLUMNS if dry_run else ())]
    for calendar in status.fences:
        row = (
            calendar.calendar, str(calendar.done or "-"), calendar.stance, calendar.next or "-",
            _format_utc(calendar.next_us),
        )  # fmt: skip
        rows.append(row + ((f"{calendar.would} extents",) if dry_run else ()))
    click.echo(format_table(rows))
    click.echo(
        f"{document.name}: {_format_time_bounds(status)}; "
        f"{'decides' if status.decides else 'does not decide'}; "
        f"{status.left} extents to trim; {status.refused} requests refused"
        + ("; BLIND: it refuses whatever calendars may touch" if status.blind else "")
        + ("; ITS WALL CLOCK IS WRONG" if status.clock_wrong else "")
    )
