"""Which settings can change while a head runs, and overrides of a head's settings at its start."""

import re
from pathlib import Path

import pytest
from click.testing import CliRunner

from harriertrack.cli.changes import propose_command
from harriertrack.config.settings import HeadSettings, LimitSettings, parse
from harriertrack.config.settings.reload import (
    check_reload,
    iter_declarations,
    iter_differences,
    apply_overrides,
)
from harriertrack.config.sexp import SettingsError, bind, read_text
from harriertrack.config.formatting import format_settings

HEAD = """
(head
  (listen "127.0.0.1" 10809)
  (state-dir "unused")
  (heads 4)
  (node-list (consul (address "127.0.0.1" 8500)))
  (rules (budget-window 10s))
  (limits (held 500) (held-bytes 64MiB) (in-flight 16) (in-flight-bytes 4MiB))
  (fleet "a" (listen "127.0.0.1" 7946)
    (budgets (witness "127.0.0.1" 8500)
      (budget "limits")
      (budget "links" (fixed 0.5) (whole 80))))
  (class "read" (kinds read flush) (aim 300ms) (deadline 1500ms) (effect safe))
  (class "write" (kinds write trim write-zeroes) (aim 500ms) (deadline 2500ms) (effect keyed) (window 2500ms))
  (plan "gold" (limit 1000) (limit-burst 40000))
  (plan "tin" (limit 100) (limit-burst 20000))
  (volume "v" (size 64MiB) (plan "gold")))
"""


@pytest.fixture
def head():
    return parse(read_text(HEAD, "head.sexp"), "head.sexp")


def test_a_name_that_two_fields_would_share_keeps_its_unit(head):
    limits = head.limits
    assert (limits.held, limits.held_bytes, limits.in_flight, limits.in_flight_bytes) == (
        500,
        64 << 20,
        16,
        4 << 20,
    )
    assert bind(read_text(format_settings("limits", limits), "x"), LimitSettings, "x") == limits


def test_paths_of_settings_are_unique():
    paths = [one.path for one in iter_declarations()]
    assert len(paths) == len(set(paths)) > 100


def test_overrides_change_only_the_settings_that_they_name(head):
    text = """(settings
      (plan "tin" (limit 50))
      (rules (warm 2s))
      (fleet (budgets (budget "links" (whole 160)))))"""
    overridden = apply_overrides(head, text, "settings 3")
    assert {one.path: (one.before, one.after) for one in iter_differences(head, overridden)} == {
        "plan tin: limit": (100.0, 50.0), "rules: warm": (0, 2_000_000),
        "fleet: budgets: budget links: whole": (80.0, 160.0),
    }  # fmt: skip
    assert apply_overrides(head, "(settings)", "x") == head
    assert apply_overrides(head, '(settings (state-dir "unused"))', "x") == head  # the same value


@pytest.mark.parametrize("text, message", [
    ("(head)", "x:1: head: expected (settings ...)"),
    ("(settings\n (plan \"gold\"\n  (limit -1)))", "x:3: plans[0].limit: Expected `float` >= 0.0"),
    ("(settings\n (plan \"tin\"\n  (limit -1)))", "x:3: plans[1].limit: Expected `float` >= 0.0"),
    ("(settings\n (plan \"tin\" (limt 1)))", "x:2: plan: unknown setting limt"),
    ("(settings (plan \"bronze\" (limit 1)))", "x:1: plan: can't change while the head runs"),
    ("(settings (state-dir \"else\") (rules (warm 1s)) (zone \"b\"))",
     "x:1: state-dir: can't change while the head runs; nor can zone"),
    ("(settings (fleet (budgets (budget \"links\" (fixed 0.6)))))",
     "x:1: fleet: budgets: budget links: fixed: can't change while the head runs"),
    ("(settings (nvme (listen \"127.0.0.1\" 4420) (nqn \"nqn.2026-01.org.example:one\")))", "x:1: nvme: can't change"),
    ("(settings (class \"read\" (aim 2s)))", "x:1: class read: aim: later than the deadline"),
    ("(settings (plan \"tin\" (limit-burst 1)))", "x:1: plan tin: limit-burst: below most-units"),
    ("(settings (plan \"tin\"", "x:1: brackets do not match"),
])  # fmt: skip
def test_invalid_overrides_are_rejected_completely_with_their_field(head, text, message):
    with pytest.raises(SettingsError, match=re.escape(message)):
        apply_overrides(head, text, "x")


def test_classes_cannot_be_reordered(head):
    reordered = HeadSettings(
        **{**{name: getattr(head, name) for name in head.__struct_fields__}, "classes": head.classes[::-1]}
    )
    with pytest.raises(SettingsError, match="x: class: can't change"):
        check_reload(head, reordered, "x")


@pytest.mark.parametrize("text, message", [
    ('(settings (plan "tin" (limit 50) (weigth 2)))', "new.sexp:1: plan: unknown setting weigth"),
    ('(settings (rules (warm 1s)) (tick 5ms))', "new.sexp:1: tick: can't change while the head runs"),
])  # fmt: skip
def test_settings_that_heads_would_reject_are_not_proposed(tmp_path, monkeypatch, text, message):
    monkeypatch.chdir(tmp_path)
    (tmp_path / "head.sexp").write_text(HEAD)
    (tmp_path / "new.sexp").write_text(text)
    result = CliRunner().invoke(
        propose_command, ["settings", "new.sexp", "--settings", "head.sexp", "--why", "x"]
    )
    assert result.exit_code == 2 and message in result.output


def test_the_operators_page_lists_which_settings_can_change_while_a_head_runs():
    page = (Path(__file__).parents[2] / "docs/operators/settings.md").read_text()
    rows = [[cell.strip() for cell in line.strip("|").split("|")] for line in page.splitlines()
            if line.startswith("| `") or line.startswith("| the head itself")]  # fmt: skip
    documented = {}
    for row in rows:
        section = "" if row[0] == "the head itself" else row[0].strip("`")
        if len(row) == 3 and re.fullmatch(r"[a-z: -]*", section):
            for reloadable, names in ((True, row[1]), (False, row[2])):
                documented.update(
                    {
                        f"{section}: {name}" if section else name: reloadable
                        for name in filter(None, names.split(", "))
                    }
                )
    assert documented == {one.path: one.reloadable for one in iter_declarations()}
