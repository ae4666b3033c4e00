"""The command `fleet closes`, the fleet's messages on closes, and invalid settings of closes."""

import msgspec
import pytest
from click.testing import CliRunner

from harriertrack.cli import closing
from harriertrack.config.settings import ClosingSettings
from harriertrack.config.sexp import SettingsError
from harriertrack.gateway.fleet.closing.messages import (
    CloseQuery,
    CalendarProgress,
    Ruling,
    decode_query,
    encode,
    decode_ruling,
)
from harriertrack.membership.fleet.status_document import ClosingStatus, Document, CalendarStatus

CALENDAR = CalendarStatus(
    "calendar/tokyo", 3, "open", "2026-12-02 15:30:00 Asia/Tokyo", 1_796_193_000_000_000, 17, 4
)
STATUS = ClosingStatus(True, False, (1_796_190_000_000_000, 1_796_190_000_020_000), False, 5, 6, [CALENDAR])


def run_closes(monkeypatch, status, *options):
    document = Document("f", "h1", "alive", "0", 1, 0, 0, {}, [], closing=status)
    monkeypatch.setattr(closing, "fetch_document", lambda _address: (b"", document))
    return CliRunner().invoke(closing.closes, ["--at", "127.0.0.1:1", *options])


def test_a_dry_run_shows_what_the_next_close_would_purge(monkeypatch):
    result = run_closes(monkeypatch, STATUS, "--dry-run")
    assert result.exit_code == 0
    for text in (
        "17 extents",
        "2026-12-02 15:30:00 Asia/Tokyo",
        "2026-12-02 06:30:00",
        "within 10.0 ms",
        "5 extents to trim",
    ):
        assert text in result.output
    assert "17 extents" not in run_closes(monkeypatch, STATUS).output


def test_a_blind_head_with_a_wrong_clock_is_reported(monkeypatch):
    result = run_closes(monkeypatch, ClosingStatus(False, True, None, True, 0, 0, []))
    assert (
        "BLIND" in result.output
        and "does not know the time" in result.output
        and "CLOCK IS WRONG" in result.output
    )


def test_json_output_and_the_error_for_a_head_without_closes(monkeypatch):
    assert msgspec.json.decode(run_closes(monkeypatch, STATUS, "--json").output, type=ClosingStatus) == STATUS
    assert run_closes(monkeypatch, None).exit_code == 2


def test_messages_round_trip_and_malformed_ones_decode_to_none():
    ask = CloseQuery(1, 2, 3, (4, 5), [CalendarProgress("c", 1, 2, 3)])
    assert decode_query(encode(ask)) == ask and decode_query(b"\x91\x01") is None is decode_ruling(b"")
    ruling = Ruling(1, 2, None, 3, [], [])
    assert decode_ruling(encode(ruling)) == ruling


@pytest.mark.parametrize(
    ("fleet_settings", "reason"),
    [
        ('(closing (volumes "v*"))', "needs changes"),
        ('(budgets (witness "10.0.0.9" 8500)) (changes) (closing (volumes "v*"))', "no class takes move"),
    ],
)
def test_invalid_settings_are_rejected(fleet_settings, reason):
    from tests.test_fleet_days import head

    with pytest.raises(SettingsError, match=reason):
        head(f'(fleet "a" (listen "127.0.0.1" 7946) {fleet_settings})')
    assert ClosingSettings(volumes=("v",)).notice_us == 60_000_000
