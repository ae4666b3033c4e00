"""Figures that settings and decisions call by the same names."""

from __future__ import annotations

from dataclasses import fields
from typing import TypeVar

import msgspec

T = TypeVar("T")


def parameters_from(kind: type[T], settings: msgspec.Struct) -> T:
    """Return a dataclass of figures with those that settings name; the others keep their defaults."""
    named = (one.name for one in fields(kind))  # type: ignore[arg-type]
    return kind(**{name: getattr(settings, name) for name in named if hasattr(settings, name)})
