"""A broken rule, as all checkers report it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Breach:
    """One broken rule."""

    rule: int
    t: int
    who: str
    why: str

    def __str__(self) -> str:
        return f"rule {self.rule} at {self.t} us: {self.who}: {self.why}"
