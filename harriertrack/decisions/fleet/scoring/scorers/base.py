"""The interface of scorers: a name, a version, parameters, and a score for each node of a snapshot.

A score is the share of the load that a node should get relative to others: a node with twice the score gets
up to twice as much. Nodes without a score get an equal share, so a scorer need not score all of them.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from harriertrack.decisions.fleet.scoring.snapshot import Snapshot

MOST_SCORE = 1e9
LEAST_SCORE = 1e-9


class BadParameters(ValueError):
    """Raised for invalid parameters of a scorer; the message names the parameter."""


class Scorer(Protocol):
    """Scores nodes. Equal snapshots must always get equal scores."""

    def score(self, snapshot: Snapshot) -> Mapping[str, float]:
        """Return a score above 0 for each node of the snapshot on which the scorer has an opinion."""


@dataclass(frozen=True, slots=True)
class Parameter:
    """One parameter of a kind of scorer: its default, minimum and maximum."""

    name: str
    usual: float
    least: float
    most: float


@dataclass(frozen=True, slots=True)
class ScorerKind:
    """A kind of scorer, as provided by a plugin; `make` accepts all parameters by name."""

    name: str
    version: int
    parameters: tuple[Parameter, ...]
    make: Callable[..., Scorer]


@dataclass(frozen=True, slots=True)
class Namespace:
    """Heads can aggregate weights of the same namespace: one scorer, version and set of parameters."""

    scorer: str
    version: int
    parameters: tuple[tuple[str, float], ...] = ()

    @property
    def number(self) -> int:
        """Return the 32 bits that identify it between heads."""
        identity = "\0".join(
            [self.scorer, str(self.version), *(f"{name}={value!r}" for name, value in self.parameters)]
        )
        return int.from_bytes(hashlib.blake2b(identity.encode(), digest_size=4).digest(), "big")

    def __str__(self) -> str:
        parameters = "".join(f" {name}={value:g}" for name, value in self.parameters)
        return f"{self.scorer} {self.version}{parameters}"


def check_parameters(known: tuple[Parameter, ...], given: Mapping[str, float]) -> dict[str, float]:
    """Return all parameters of a scorer, with defaults where none is given. Raises BadParameters."""
    names = {parameter.name for parameter in known}
    for name in given:
        if name not in names:
            raise BadParameters(f"{name}: no such parameter; there are {', '.join(sorted(names)) or 'none'}")
    values = {}
    for parameter in known:
        value = given.get(parameter.name, parameter.usual)
        if (
            isinstance(value, bool)
            or not isinstance(value, int | float)
            or not parameter.least <= value <= parameter.most
        ):
            raise BadParameters(
                f"{parameter.name}: {value!r} is not a number from {parameter.least:g} to {parameter.most:g}"
            )
        values[parameter.name] = float(value)
    return values
