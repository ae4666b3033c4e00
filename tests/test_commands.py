"""Commands are imported on first use; their help lines are shown without importing them."""

import subprocess
import sys

import click
import pytest

from harriertrack.cli.fleet import fleet
from harriertrack.cli.main import main
from harriertrack.cli.standin import standin

GROUPS = [main, fleet, standin]


@pytest.mark.parametrize("group", GROUPS, ids=lambda group: group.name)
def test_help_line_of_a_lazy_command_equals_the_commands_own(group):
    context = click.Context(group)
    assert group.lazy_commands, "the group has no lazy commands, so nothing would be checked"
    for name, (_, help_line) in group.lazy_commands.items():
        assert group.get_command(context, name).get_short_help_str(200) == help_line, name
    help_text = group.get_help(context)
    assert all(f"\n  {name} " in help_text for name in group.list_commands(context))


def modules_loaded_by(*arguments):
    """Return the package's modules that a command loads."""
    code = (f"import sys; sys.argv[1:] = {list(arguments)!r}\nfrom harriertrack.cli.main import main\n"
            "main(standalone_mode=False)\n"
            "print(*(name for name in sys.modules if name.startswith('harriertrack.')))")  # fmt: skip
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=True
    )
    return set(done.stdout.splitlines()[-1].split())


@pytest.mark.parametrize(("command", "unneeded"), [
    (["--help"], ("lab", "gateway", "standin", "service", "planning", "config")),
    (["head", "--help"], ("lab", "standin", "planning", "rules", "gateway.fleet", "gateway.nvme", "protocol.nvme")),
    (["shelf", "--help"], ("lab", "gateway", "planning")),
    (["standin", "witness", "--help"], ("lab", "gateway", "planning")),
    (["standin", "list", "--help"], ("lab", "planning")),
    (["launch", "--help"], ("lab", "standin", "planning", "gateway.head")),
    (["fleet", "members", "--help"], ("lab", "standin", "planning", "gateway.head")),
], ids=lambda value: value[0] if isinstance(value, list) else "")  # fmt: skip
def test_a_command_does_not_load_unneeded_packages(command, unneeded):
    modules = modules_loaded_by(*command)
    found = [
        name
        for name in modules
        for package in unneeded
        if (name + ".").startswith(f"harriertrack.{package}.")
    ]
    assert found == [] and "harriertrack.cli.lazy_group" in modules
