"""The base class of all settings sections, and the types of their values."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Annotated, TypeVar

import msgspec

T = TypeVar("T")
RELOADABLE = msgspec.Meta(extra={"in_service": True})
# A setting that can change while a head runs (`config/settings/reload.py`). All others need a restart:
# addresses and files, properties of stored data (sizes, extents), what other processes rely on while they do
# not know of a change (fixed parts of budgets, leases, the windows in which racks drop repeats), and what
# belongs to one process.
Reloadable = Annotated[T, RELOADABLE]

PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0, le=1e15)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9._:-]+$")]
BlockSize = Annotated[int, msgspec.Meta(ge=512, multiple_of=512)]


class SettingsStruct(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A section of the settings; unknown fields are errors."""


def find_duplicates(names: Iterable[str]) -> list[str]:
    """Return the names that occur more than once, in the order of their first occurrence."""
    return [name for name, count in Counter(names).items() if count > 1]
