"""Which settings a running head can take anew: what is declared with each, and what differs between two.

A setting's path is how it is written, as in `plan gold: limit` or `rules: warm`. Parts that have names are
told apart by them; none of these can come, go or change places while a head runs.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, get_args

import msgspec

from harriertrack.config.settings.basis import IN_SERVICE
from harriertrack.config.settings.checks import check_head
from harriertrack.config.settings.head import HeadSettings
from harriertrack.config.sexp import SettingsError, bind, head_word, read_text, spoken_names

WORD = "settings"  # of a form that is laid over what a head was started with


@dataclass(frozen=True, slots=True)
class Declared:
    """One setting of a head, and whether it can change in service."""

    path: str
    in_service: bool


@dataclass(frozen=True, slots=True)
class Difference:
    """A setting that differs; `in_service`: a running head can take the new one."""

    path: str
    in_service: bool
    before: object
    after: object


def _path(*parts: str) -> str:
    return ": ".join(part for part in parts if part)


def _struct(kind: Any) -> type[msgspec.Struct] | None:
    """Return the part of settings that a field holds, or holds several of."""
    for one in (kind, *get_args(kind)):
        if isinstance(one, type) and issubclass(one, msgspec.Struct):
            return one
    return None


def declared(kind: type[msgspec.Struct] = HeadSettings, path: str = "") -> Iterator[Declared]:
    """Yield all settings of a part, and those of the parts in it."""
    words = spoken_names(kind)
    for field in msgspec.structs.fields(kind):
        here = _path(path, words[field.name])
        if (part := _struct(field.type)) is not None:
            yield from declared(part, here)
        else:
            yield Declared(here, IN_SERVICE in get_args(field.type))


def differences(before: Any, after: Any, path: str = "") -> Iterator[Difference]:
    """Yield what differs between two values of the same part."""
    words = spoken_names(type(before))
    for field in msgspec.structs.fields(before):
        old, new = getattr(before, field.name), getattr(after, field.name)
        name = words[field.name]
        if old == new:
            continue
        if isinstance(old, msgspec.Struct) and isinstance(new, msgspec.Struct):
            yield from differences(old, new, _path(path, name))
        elif _struct(field.type) is not None and isinstance(old, tuple) and _names(old) == _names(new) != ():
            for one, other in zip(old, new, strict=True):
                yield from differences(one, other, _path(path, f"{name} {_called(one)}"))
        else:
            yield Difference(_path(path, name), IN_SERVICE in get_args(field.type), old, new)


def _called(part: Any) -> str:
    name = getattr(part, "name", "")
    return str(getattr(name, "value", name))


def _names(parts: tuple[Any, ...]) -> tuple[str, ...]:
    return tuple(_called(one) for one in parts if _called(one))


def check_change(before: HeadSettings, after: HeadSettings, where: str) -> list[Difference]:
    """Return what differs. Raises SettingsError unless all of it can change while the head runs."""
    found = list(differences(before, after))
    if stuck := [one.path for one in found if not one.in_service]:
        raise SettingsError(f"{where}: {stuck[0]}: can't change while the head runs"
                            + (f"; nor can {', '.join(stuck[1:])}" if stuck[1:] else ""))  # fmt: skip
    return found


def laid_over(started: HeadSettings, text: str, source: str) -> HeadSettings:
    """Return a head's settings with what `(settings ...)` gives in place of what it was started with.

    The form is written as a head's is, and gives only what is to differ. What is a head's own can be in it
    only if it says the same. Raises SettingsError with line and field.
    """
    form = read_text(text, source)
    if (word := head_word(form, source)) != WORD:
        raise SettingsError(f"{source}:{form.line}: {word}: expected ({WORD} ...)")
    head = bind(form, HeadSettings, source, started)
    where = f"{source}:{form.line}"
    check_change(started, head, where)
    check_head(head, where)
    return head
