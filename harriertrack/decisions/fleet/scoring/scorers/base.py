"""What a scorer is: a name, a version, parameters, and a number for each node of a picture.

A score says how much of the work a node should get beside others: one of twice the score gets up to twice as
much. Nodes of which a scorer has no opinion get an even share, so a scorer need not know all.
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
    """Parameters that a scorer does not take; the text names the parameter."""


class Scorer(Protocol):
    """What a head asks for scores. An equal picture must always get equal scores."""

    def score(self, picture: Snapshot) -> Mapping[str, float]:
        """Return a score above 0 for each node of the picture that there is an opinion on."""


@dataclass(frozen=True, slots=True)
class Parameter:
    """One parameter of a kind of scorer: its least and most, and what holds if it is not given."""

    name: str
    usual: float
    least: float
    most: float


@dataclass(frozen=True, slots=True)
class ScorerKind:
    """A kind of scorer, as a plugin offers it; `make` takes all parameters by name."""

    name: str
    version: int
    parameters: tuple[Parameter, ...]
    make: Callable[..., Scorer]


@dataclass(frozen=True, slots=True)
class Namespace:
    """Whose weights can be joined: of one scorer, one version and the same parameters."""

    scorer: str
    version: int
    parameters: tuple[tuple[str, float], ...] = ()

    @property
    def number(self) -> int:
        """Return the 32 bits by which heads name it to each other."""
        said = "\0".join(
            [self.scorer, str(self.version), *(f"{name}={value!r}" for name, value in self.parameters)]
        )
        return int.from_bytes(hashlib.blake2b(said.encode(), digest_size=4).digest(), "big")

    def __str__(self) -> str:
        told = "".join(f" {name}={value:g}" for name, value in self.parameters)
        return f"{self.scorer} {self.version}{told}"


def check_parameters(known: tuple[Parameter, ...], given: Mapping[str, float]) -> dict[str, float]:
    """Return all parameters of a scorer with what was given in place. Raises BadParameters."""
    names = {one.name for one in known}
    for name in given:
        if name not in names:
            raise BadParameters(f"{name}: no such parameter; there are {', '.join(sorted(names)) or 'none'}")
    values = {}
    for one in known:
        value = given.get(one.name, one.usual)
        if (
            isinstance(value, bool)
            or not isinstance(value, int | float)
            or not one.least <= value <= one.most
        ):
            raise BadParameters(f"{one.name}: {value!r} is no number from {one.least:g} to {one.most:g}")
        values[one.name] = float(value)
    return values
