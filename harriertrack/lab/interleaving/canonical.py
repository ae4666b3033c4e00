"""Any plain state as nested tuples: two states with one canonical form behave alike."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Hashable
from enum import Enum
from typing import Any

PLAIN = (int, float, str, bytes, bool, type(None), Enum)


def _fields(thing: Any) -> list[tuple[str, Any]]:
    names = [name for kind in type(thing).__mro__ for name in getattr(kind, "__slots__", ())]
    names += list(getattr(thing, "__dict__", ()))
    return [(name, getattr(thing, name)) for name in names if hasattr(thing, name)]


def freeze(thing: Any) -> Hashable:
    """Return a state's canonical form.

    Dictionaries keep their order, since code that goes through one may depend on it; sets have none. Raises
    TypeError for what is no plain state: a function, a socket.
    """
    if isinstance(thing, PLAIN):
        return thing
    if isinstance(thing, list | tuple | deque):
        return tuple(freeze(one) for one in thing)
    if isinstance(thing, dict):
        return tuple((freeze(key), freeze(value)) for key, value in thing.items())
    if isinstance(thing, set | frozenset):
        return tuple(sorted((freeze(one) for one in thing), key=repr))
    if isinstance(thing, random.Random):
        return hash(thing.getstate())
    if callable(thing):
        raise TypeError(f"{thing!r} is no plain state")
    return type(thing).__name__, tuple((name, freeze(value)) for name, value in _fields(thing))
