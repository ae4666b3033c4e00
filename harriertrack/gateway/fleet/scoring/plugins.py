"""Discovery of scorers: the program's own, and those of installed packages, by pluggy.

A package offers scorers through an entry point of the group `harriertrack.scorers` that names a module with

    @harriertrack.gateway.fleet.scoring.plugins.scorers
    def harriertrack_scorers():
        return [ScorerKind("name", 1, (Parameter("power", 1.0, 0.1, 4.0),), MyScorer)]

A package that can't be loaded, or an offer that is not a valid scorer, is logged and skipped.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable
from importlib.metadata import entry_points

import pluggy

from harriertrack.decisions.fleet.scoring.scorers import cost, fill, latency
from harriertrack.decisions.fleet.scoring.scorers.base import ScorerKind

PROJECT = "harriertrack"
GROUP = "harriertrack.scorers"
NAME = re.compile(r"[a-z][a-z0-9-]{0,31}\Z")
BUILT_IN = (latency.KIND, fill.KIND, cost.KIND)

scorers = pluggy.HookimplMarker(PROJECT)
_offered = pluggy.HookspecMarker(PROJECT)

Kinds = dict[tuple[str, int], ScorerKind]


class _Hooks:
    @_offered
    def harriertrack_scorers(self) -> Iterable[ScorerKind]:  # type: ignore[empty-body]
        """Return the kinds of scorers that a package offers."""


def discover_kinds(note: Callable[..., None], further: Iterable[object] = ()) -> Kinds:
    """Return all kinds of scorers by name and version; `further`: modules in addition to installed ones."""
    manager = pluggy.PluginManager(PROJECT)
    manager.add_hookspecs(_Hooks)
    for module in further:
        manager.register(module)
    for entry in entry_points(group=GROUP):
        try:
            manager.load_setuptools_entrypoints(GROUP, name=entry.name)
        except Exception as error:  # a plugin's import may raise anything
            note("scorers not loaded", package=entry.name, why=f"{type(error).__name__}: {error}")
    kinds = {(kind.name, kind.version): kind for kind in BUILT_IN}
    for package, plugin in sorted(manager.list_name_plugin(), key=lambda one: one[0]):
        offers = getattr(plugin, "harriertrack_scorers", None)
        if offers is None:
            continue
        try:
            for kind in offers():
                why = _offer_error(kind, kinds)
                if why:
                    note("scorer not taken", package=package, why=why)
                else:
                    kinds[kind.name, kind.version] = kind
        except Exception as error:
            note("scorers not loaded", package=package, why=f"{type(error).__name__}: {error}")
    return kinds


def _offer_error(kind: object, kinds: Kinds) -> str:
    """Return why an offer is invalid; "" if it is valid."""
    if not isinstance(kind, ScorerKind):
        return f"{type(kind).__name__} is no ScorerKind"
    if not NAME.match(kind.name) or not isinstance(kind.version, int) or kind.version < 1:
        return f"{kind.name!r} version {kind.version!r}: needs a name of small letters and a number from 1"
    if (kind.name, kind.version) in kinds:
        return f"{kind.name} version {kind.version} is there already"
    return ""
