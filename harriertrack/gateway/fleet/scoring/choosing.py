"""Choice of the scorers that a head runs: those of its settings, overridden by the fleet's record.

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

MOST_SCORERS = 2  # at a time, as each publishes pages of its own


class BadScorer(ValueError):
    """A scorer that this head can't run; the text says why."""


@dataclass(frozen=True, slots=True)
class Chosen:
    """A scorer chosen for a head."""

    namespace: Namespace
    make: Callable[[], Scorer]
    thing: str = ""  # the thing in the record that chose it; "": chosen by the settings


def chosen(kinds: Kinds, settings: ScorerSettings, thing: str = "") -> Chosen:
    """Return the scorer that settings name, after making one as a check. Raises BadScorer."""
    name = settings.kind or settings.name
    kind = kinds.get((name, settings.version))
    if kind is None:
        there = ", ".join(f"{one} {version}" for one, version in sorted(kinds))
        raise BadScorer(f"no scorer {name} of version {settings.version} is installed; there are {there}")
    try:
        values = check_parameters(kind.parameters, {one.name: one.value for one in settings.parameters})
    except BadParameters as error:
        raise BadScorer(f"{name}: {error}") from error

    def make() -> Scorer:
        return kind.make(**values)

    try:
        make()
    except Exception as error:  # a plugin's code may raise anything
        raise BadScorer(f"{name}: can't be made: {type(error).__name__}: {error}") from error
    return Chosen(Namespace(name, settings.version, tuple(sorted(values.items()))), make, thing)


def read(body: str, thing: str) -> ScorerSettings | None:
    """Return the scorer settings in a version's body; None: no scorer. Raises BadScorer."""
    if not body.strip():
        return None
    try:
        return bind(read_text(body, thing), ScorerSettings, thing)
    except SettingsError as error:
        raise BadScorer(str(error)) from error


class Choice:
    """The scorers that one head runs."""

    def __init__(self, kinds: Kinds, settings: Iterable[ScorerSettings]) -> None:
        """Start with the scorers of the settings. Raises BadScorer."""
        self._kinds = kinds
        self._own = {one.name: chosen(kinds, one) for one in settings}
        self._overrides: dict[str, Chosen | None] = {}

    def apply(self, thing: str, version: Version | None) -> None:
        """Apply a version of the record; None: use the settings. Raises BadScorer, with nothing changed."""
        name = thing.partition("/")[2]
        overrides = dict(self._overrides)
        if version is None:
            overrides.pop(name, None)
        else:
            settings = read(version.body, f"{thing} {version.number}")
            overrides[name] = chosen(self._kinds, settings, thing) if settings is not None else None
        if len(self._merge(overrides)) > MOST_SCORERS:
            raise BadScorer(f"more than {MOST_SCORERS} scorers at a time")
        self._overrides = overrides

    def _merge(self, overrides: dict[str, Chosen | None]) -> dict[str, Chosen]:
        return {name: one for name, one in {**self._own, **overrides}.items() if one is not None}

    def run(self) -> dict[str, Chosen]:
        """Return the chosen scorers by name."""
        return self._merge(self._overrides)
