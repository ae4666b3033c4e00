"""Commands are imported when they are asked for, and told of without."""

import subprocess
import sys

import click
import pytest

from harriertrack.cli.fleet import fleet
from harriertrack.cli.main import main
from harriertrack.cli.standin import standin

GROUPS = [main, fleet, standin]


@pytest.mark.parametrize("group", GROUPS, ids=lambda group: group.name)
def test_what_is_told_of_a_command_is_what_it_says_itself(group):
    context = click.Context(group)
    assert group.lazy_commands, "or nothing is looked at"
    for name, (_, line) in group.lazy_commands.items():
        assert group.get_command(context, name).get_short_help_str(200) == line, name
    told = group.get_help(context)
    assert all(f"\n  {name} " in told for name in group.list_commands(context))


def loaded(*arguments):
    """Return the package's modules that a command loads."""
    code = (f"import sys; sys.argv[1:] = {list(arguments)!r}\nfrom harriertrack.cli.main import main\n"
            "main(standalone_mode=False)\n"
            "print(*(name for name in sys.modules if name.startswith('harriertrack.')))")  # fmt: skip
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=True
    )
    return set(done.stdout.splitlines()[-1].split())


@pytest.mark.parametrize(("command", "not_needed"), [
    (["--help"], ("lab", "gateway", "standin", "service", "planning", "config")),
    (["head", "--help"], ("lab", "standin", "planning", "rules", "gateway.fleet", "gateway.nvme", "protocol.nvme")),
    (["shelf", "--help"], ("lab", "gateway", "planning")),
    (["standin", "witness", "--help"], ("lab", "gateway", "planning")),
    (["standin", "list", "--help"], ("lab", "planning")),
    (["launch", "--help"], ("lab", "standin", "planning", "gateway.head")),
    (["fleet", "members", "--help"], ("lab", "standin", "planning", "gateway.head")),
], ids=lambda words: words[0] if isinstance(words, list) else "")  # fmt: skip
def test_a_command_loads_what_it_needs(command, not_needed):
    modules = loaded(*command)
    found = [
        name for name in modules for part in not_needed if (name + ".").startswith(f"harriertrack.{part}.")
    ]
    assert found == [] and "harriertrack.cli.lazy_group" in modules
