"""Selection of the scorers that a head runs: those of its settings, overridden by the fleet's record.

The record's `scorer/NAME` is a form as in settings: `(scorer "NAME" (kind "least-latency") (version 1)
(parameter "power" (value 2)))`; a blank body removes the scorer.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from harriertrack.config.settings import ScorerSettings
from harriertrack.config.sexp import SettingsError, bind, read_text
from harriertrack.decisions.fleet.changes.record import Version
from harriertrack.decisions.fleet.scoring.scorers.base import (
    BadParameters,
    Namespace,
    Scorer,
    check_parameters,
)
from harriertrack.gateway.fleet.scoring.plugins import Kinds

MAX_SCORERS = 2  # at a time, as each publishes pages of its own


class InvalidScorer(ValueError):
    """A scorer that this head can't run; the text says why."""


@dataclass(frozen=True, slots=True)
class SelectedScorer:
    """A scorer selected for a head."""

    namespace: Namespace
    make: Callable[[], Scorer]
    thing: str = ""  # the thing in the record that selects it; "": selected by the settings


def select_scorer(kinds: Kinds, settings: ScorerSettings, thing: str = "") -> SelectedScorer:
    """Return the scorer that settings name, after making one as a check. Raises InvalidScorer."""
    name = settings.kind or settings.name
    kind = kinds.get((name, settings.version))
    if kind is None:
        installed = ", ".join(f"{one} {version}" for one, version in sorted(kinds))
        raise InvalidScorer(
            f"no scorer {name} of version {settings.version} is installed; there are {installed}"
        )
    try:
        values = check_parameters(kind.parameters, {one.name: one.value for one in settings.parameters})
    except BadParameters as error:
        raise InvalidScorer(f"{name}: {error}") from error

    def make() -> Scorer:
        return kind.make(**values)

    try:
        make()
    except Exception as error:  # a plugin's code may raise anything
        raise InvalidScorer(f"{name}: can't be made: {type(error).__name__}: {error}") from error
    return SelectedScorer(Namespace(name, settings.version, tuple(sorted(values.items()))), make, thing)


def parse_settings(body: str, thing: str) -> ScorerSettings | None:
    """Return the scorer settings in a version's body; None: no scorer. Raises InvalidScorer."""
    if not body.strip():
        return None
    try:
        return bind(read_text(body, thing), ScorerSettings, thing)
    except SettingsError as error:
        raise InvalidScorer(str(error)) from error


class ScorerSelection:
    """The scorers that one head runs."""

    def __init__(self, kinds: Kinds, settings: Iterable[ScorerSettings]) -> None:
        """Start with the scorers of the settings. Raises InvalidScorer."""
        self._kinds = kinds
        self._own = {one.name: select_scorer(kinds, one) for one in settings}
        self._overrides: dict[str, SelectedScorer | None] = {}

    def apply(self, thing: str, version: Version | None) -> None:
        """Apply a version of the record; None: use the settings. Raises InvalidScorer with no change made."""
        name = thing.partition("/")[2]
        overrides = dict(self._overrides)
        if version is None:
            overrides.pop(name, None)
        else:
            settings = parse_settings(version.body, f"{thing} {version.number}")
            overrides[name] = select_scorer(self._kinds, settings, thing) if settings is not None else None
        if len(self._merge(overrides)) > MAX_SCORERS:
            raise InvalidScorer(f"more than {MAX_SCORERS} scorers at a time")
        self._overrides = overrides

    def _merge(self, overrides: dict[str, SelectedScorer | None]) -> dict[str, SelectedScorer]:
        return {name: one for name, one in {**self._own, **overrides}.items() if one is not None}

    def selected(self) -> dict[str, SelectedScorer]:
        """Return the selected scorers by name."""
        return self._merge(self._overrides)
