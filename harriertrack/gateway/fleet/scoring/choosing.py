"""Which scorers a head runs: those of its settings, in whose place the fleet's record puts others.

The record's `scorer/NAME` is a form as in settings: `(scorer "NAME" (kind "least-latency") (version 1)
(parameter "power" (value 2)))`; a body of nothing but blanks takes a scorer out.
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

MOST_SCORERS = 2  # at a time: each has pages of its own


class BadScorer(ValueError):
    """A scorer that this head can't run; the text says why."""


@dataclass(frozen=True, slots=True)
class Chosen:
    """One scorer that a head is to run."""

    namespace: Namespace
    make: Callable[[], Scorer]
    thing: str = ""  # by whose version in the record; "": its settings


def chosen(kinds: Kinds, settings: ScorerSettings, thing: str = "") -> Chosen:
    """Return what settings name, made once to see that it can be. Raises BadScorer."""
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
    except Exception as error:  # a stranger's code
        raise BadScorer(f"{name}: can't be made: {type(error).__name__}: {error}") from error
    return Chosen(Namespace(name, settings.version, tuple(sorted(values.items()))), make, thing)


def read(body: str, thing: str) -> ScorerSettings | None:
    """Return what a version in the record names; None: no scorer. Raises BadScorer."""
    if not body.strip():
        return None
    try:
        return bind(read_text(body, thing), ScorerSettings, thing)
    except SettingsError as error:
        raise BadScorer(str(error)) from error


class Choice:
    """What one head runs."""

    def __init__(self, kinds: Kinds, settings: Iterable[ScorerSettings]) -> None:
        """Begin with what its settings name. Raises BadScorer."""
        self._kinds = kinds
        self._own = {one.name: chosen(kinds, one) for one in settings}
        self._put: dict[str, Chosen | None] = {}

    def take(self, thing: str, version: Version | None) -> None:
        """Run a version of the record's, or (None) of the settings. Raises BadScorer, unchanged."""
        name = thing.partition("/")[2]
        put = dict(self._put)
        if version is None:
            put.pop(name, None)
        else:
            settings = read(version.body, f"{thing} {version.number}")
            put[name] = chosen(self._kinds, settings, thing) if settings is not None else None
        if len(self._run(put)) > MOST_SCORERS:
            raise BadScorer(f"more than {MOST_SCORERS} scorers at a time")
        self._put = put

    def _run(self, put: dict[str, Chosen | None]) -> dict[str, Chosen]:
        return {name: one for name, one in {**self._own, **put}.items() if one is not None}

    def run(self) -> dict[str, Chosen]:
        """Return what is run, by name."""
        return self._run(self._put)
