"""Settings: errors give file, line and field, and nothing starts with invalid settings."""

import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings as hypothesis_settings, strategies as st

from harriertrack.config.settings import load, load_nodes, module_settings
from harriertrack.config.sexp import SettingsError, read_text
from harriertrack.decisions import interface as api
from harriertrack.lab import day

VALID_HEAD = """; a head
(head
  (listen "127.0.0.1" 10809)
  (state-dir "state")
  (extent 256KiB) (most-units 64)
  (node-list (file "nodes.sexp"))
  (limits (connections 10))
  (class "read" (kinds read flush) (aim 300ms) (deadline 1.5s) (worth 3) (effect safe))
  (class "write" (kinds write trim write-zeroes) (aim 500ms) (deadline 2.5s)
    (effect keyed) (window 2.5s))
  (plan "basic" (rate 10) (reserve 2) (limit 40) (limit-burst 80))
  (volume "demo" (size 64MiB) (plan "basic"))
  (volume "big" (size 1GiB) (plan "basic") (shards 0 1 2) (hosts 1)))
"""


def load_text(tmp_path, text):
    path = tmp_path / "head.sexp"
    path.write_text(text)
    return load(str(path))


def test_valid_settings(tmp_path):
    head = load_text(tmp_path, VALID_HEAD)
    assert head.listen == ("127.0.0.1", 10809) and head.extent_bytes == 256 << 10
    assert head.volumes[1].shards == (0, 1, 2) and head.limits.connections == 10
    module = module_settings(head)
    assert module.classes[1].effect is api.Effect.KEYED and module.classes[1].window_us == 2_500_000
    assert module.plans[0].limit == 40 and module.list_on_request


@pytest.mark.parametrize(
    ("before", "after", "line", "field"),
    [
        ("300ms", "300", 8, "aim"),
        ("300ms", "0.3us", 8, "aim"),
        ("300ms", "300KiB", 8, "aim"),
        ("256KiB", "256kb", 5, "extent"),
        ("256KiB", "1000B", 5, "extent"),
        ("(worth 3)", "(worth -3)", 8, "worth"),
        ("(worth 3)", "(worth 3 4)", 8, "worth"),
        ("(worth 3)", "(wort 3)", 8, "wort"),
        ("(worth 3)", "(worth 3) (worth 4)", 8, "worth"),
        ("effect safe", "effect sound", 8, "effect"),
        ("(connections 10)", "(connections 0)", 7, "connections"),
        ("10809", "108090", 3, "listen"),
        ('"demo" (size 64MiB)', '"de mo" (size 64MiB)', 12, "name"),
        ("(shards 0 1 2)", "(shards 0 one 2)", 13, "shards"),
        ("(state-dir", "(state-file", 4, "state-file"),
        ('(volume "demo"', "(volume", 12, "name"),
        ("; a head", '"', 14, "string"),
        ("(hosts 1)))", "(hosts 1))", 14, "brackets"),
        ("; a head", "head", 1, "one form"),
        ("(head", "(herd", 2, "herd"),
        ("(limits (connections 10))", "(limits)", 0, ""),
        # Relations between fields.
        ('"big"', '"demo"', 2, "volume demo"),
        ('(size 64MiB) (plan "basic")', '(size 64MiB) (plan "gold")', 2, "plan gold"),
        ("(aim 500ms)", "(aim 5s)", 2, "write: aim"),
        ("(window 2.5s)", "", 2, "write: window"),
        ("trim write-zeroes", "trim", 2, "write-zeroes"),
        ("(most-units 64)", "(most-units 63)", 2, "most-units"),
        ("(limit-burst 80)", "(limit-burst 8)", 2, "limit-burst"),
        ("(hosts 1)", "(hosts 2)", 2, "hosts"),
        ("64MiB", "64001B", 2, "size"),
        ('(file "nodes.sexp")', "", 2, "node-list"),
    ],
)
def test_errors_give_line_and_field(tmp_path, before, after, line, field):
    assert before in VALID_HEAD
    text = VALID_HEAD.replace(before, after, 1)
    if not line:
        load_text(tmp_path, text)
        return
    with pytest.raises(SettingsError) as error:
        load_text(tmp_path, text)
    message = str(error.value)
    assert f"head.sexp:{line}:" in message and field in message, message


REGIONS = VALID_HEAD.replace('(plan "basic")) (', '(').replace(
    "(kinds read flush)", "(kinds read flush own-read catch-up)").replace(
    '(volume "demo" (size 64MiB) (plan "basic"))',
    '(region (name "a") (other "b") (peer "127.0.0.1" 2) (witness "127.0.0.1" 3))\n'
    '  (volume "demo" (size 64MiB) (plan "basic") (regions (home "b") (mode home)))')  # fmt: skip


@pytest.mark.parametrize(
    ("before", "after", "field"),
    [
        ('(home "b")', '(home "c")', "regions: home c"),
        ("(mode home)", "(mode some)", "mode"),
        (" catch-up)", ")", "catch-up"),
        (" own-read", "", "own-read"),
        (
            '(region (name "a") (other "b") (peer "127.0.0.1" 2) (witness "127.0.0.1" 3))',
            "",
            "region is not set",
        ),
        ('(witness "127.0.0.1" 3)', "", "witness"),
    ],
)
def test_errors_in_regions_name_their_field(tmp_path, before, after, field):
    assert load_text(tmp_path, REGIONS).volumes[0].regions.mode.value == "home"
    assert before in REGIONS
    with pytest.raises(SettingsError, match=field):
        load_text(tmp_path, REGIONS.replace(before, after, 1))


def test_invalid_settings_exit_with_code_2_and_start_nothing(tmp_path):
    path = tmp_path / "head.sexp"
    path.write_text(VALID_HEAD.replace("300ms", "300"))
    for command in ("head", "check"):
        process = subprocess.run([sys.executable, "-m", "harriertrack", command, str(path)],
                              capture_output=True, text=True, timeout=60, check=False)  # fmt: skip
        assert (
            process.returncode == 2
            and "head.sexp:8: class: aim:" in process.stderr
            and "Traceback" not in process.stderr
        )
    assert not (tmp_path / "state").exists()


def test_node_list_file(tmp_path):
    path = tmp_path / "nodes.sexp"
    path.write_text(
        '(node-list (node "a" (address "127.0.0.1" 1) (shard 0))'
        ' (node "b" (address "::1" 2) (shard 1) (state draining)))'
    )
    first, second = load_nodes(str(path))
    assert first.address == ("127.0.0.1", 1) and second.state is api.NodeState.DRAINING
    path.write_text(path.read_text().replace('"b"', '"a"'))
    with pytest.raises(SettingsError, match="named twice"):
        load_nodes(str(path))
    with pytest.raises(SettingsError, match="can't be read"):
        load_nodes(str(tmp_path / "none"))


@given(st.text(alphabet="()\"; abc12\n\\'", max_size=60))
@hypothesis_settings(max_examples=200, deadline=None)
def test_any_text_is_parsed_or_rejected(text):
    try:
        read_text(text, "x")
    except SettingsError as error:
        assert str(error).startswith("x:")


def test_every_day_is_valid_and_has_its_own_name():
    names = day.names()
    assert len(names) >= 19 and "saturday" in names
    for name in names:
        loaded = day.load(name)
        assert loaded.name == name and loaded.about


def test_invalid_and_unknown_days_are_rejected():
    with pytest.raises(SettingsError, match="trouble hang: begins after"):
        day.parse(read_text('(day "d" (length 1s) (trouble hang (from 2s)))', "d"), "d")
    with pytest.raises(SettingsError, match="no such day"):
        day.load("nothing")


def test_sources_do_not_refer_to_the_given_files():
    assert not [path for path in Path("harriertrack").rglob("*.py") if "../given" in path.read_text()]
