"""Each setting that a head is given is read by a decision, or listed as without effect on the operators' page."""

import ast
import re
from dataclasses import fields
from enum import Enum
from pathlib import Path

import pytest

from harriertrack.decisions import interface as api

ROOT = Path(__file__).parent.parent
DECISIONS = [
    ROOT / "harriertrack" / "decisions" / "scheduler.py",
    ROOT / "harriertrack" / "decisions" / "drain_grace.py",
    ROOT / "harriertrack" / "service" / "configuration.py",  # passes deadlines and windows on to the core
    *(ROOT / "harriertrack" / "decisions" / "requests").glob("*.py"),
]
# Under which names objects of a type are read; None: under any, as the names of their fields are their own.
VARIABLES = {api.Settings: {"settings", "parsed"}, api.NodeEntry: {"entry", "new", "old", "ran_on"}}
PAGE = ROOT / "docs" / "platform.md"
ROW = re.compile(r"^\| `(\w+\.\w+)` \|", re.MULTILINE)


def attributes_read():
    """Return (owner, attribute) of all attributes that the decisions read, each by its last name."""
    trees = [ast.parse(path.read_text()) for path in DECISIONS]
    nodes = [node for tree in trees for node in ast.walk(tree)]
    for node in nodes:
        if isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Load):
            owner = node.value
            yield getattr(owner, "attr", getattr(owner, "id", "")), node.attr


def names_read(owner):
    """Return the names of the attributes that the decisions read of objects of a type."""
    variables = VARIABLES.get(owner)
    return {attribute for name, attribute in attributes_read() if variables is None or name in variables}


def without_effect():
    """Return the settings that the page lists as without effect."""
    return set(ROW.findall(PAGE.read_text().partition("## Settings without effect")[2].partition("\n## ")[0]))


@pytest.mark.parametrize("owner", [api.RequestClass, api.Plan, api.Settings, api.NodeEntry])
def test_each_setting_is_read_by_a_decision_or_listed_as_without_effect(owner):
    """Guards against a setting that is parsed, and that no decision heeds without anyone knowing."""
    read, listed = names_read(owner), without_effect()
    for field in fields(owner):
        name = f"{owner.__name__}.{field.name}"
        assert (field.name in read) != (name in listed), f"{name} is heeded and listed, or neither"


@pytest.mark.parametrize("values", [api.Effect, api.DedupScope, api.NodeState, api.ListKind, api.Result])
def test_each_value_of_a_setting_is_distinguished_by_a_decision(values: type[Enum]):
    """Guards against a value like the group `zone`, which was parsed and treated like another one."""
    default = {api.Effect.UNSAFE, api.DedupScope.CELL, api.ListKind.CHANGES}  # what is left beside the others
    read = names_read(values)
    for value in values:
        assert value.name in read or value in default, value


def test_the_page_lists_settings_that_exist():
    known = {
        f"{owner.__name__}.{field.name}"
        for owner in (api.RequestClass, api.Plan, api.Settings, api.NodeEntry)
        for field in fields(owner)
    }
    assert without_effect() and without_effect() <= known
