"""Which settings a running head can take anew: what is declared with each, and what differs between two.

A setting's path is how it is written, as in `plan gold: limit` or `rules: warm`. Parts that have names are
told apart by them; none of these can come, go or change places while a head runs.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, get_args

import msgspec

from harriertrack.config.settings.basis import RELOADABLE
from harriertrack.config.settings.checks import check_head
from harriertrack.config.settings.head import HeadSettings
from harriertrack.config.sexp import SettingsError, bind, form_keyword, read_text, setting_names

WORD = "settings"  # of a form that is laid over what a head was started with


@dataclass(frozen=True, slots=True)
class SettingDeclaration:
    """One setting of a head, and whether it can change in service."""

    path: str
    reloadable: bool


@dataclass(frozen=True, slots=True)
class SettingDifference:
    """A setting that differs; `in_service`: a running head can take the new one."""

    path: str
    reloadable: bool
    before: object
    after: object


def _path(*parts: str) -> str:
    return ": ".join(part for part in parts if part)


def find_struct_type(kind: Any) -> type[msgspec.Struct] | None:
    """Return the part of settings that a field holds, or holds several of."""
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return kind
    return next((part for one in get_args(kind) if (part := find_struct_type(one)) is not None), None)


def iter_declarations(
    kind: type[msgspec.Struct] = HeadSettings, path: str = ""
) -> Iterator[SettingDeclaration]:
    """Yield all settings of a part, and those of the parts in it."""
    words = setting_names(kind)
    for field in msgspec.structs.fields(kind):
        here = _path(path, words[field.name])
        if (part := find_struct_type(field.type)) is not None:
            yield from iter_declarations(part, here)
        else:
            yield SettingDeclaration(here, RELOADABLE in get_args(field.type))


def iter_differences(before: Any, after: Any, path: str = "") -> Iterator[SettingDifference]:
    """Yield what differs between two values of the same part."""
    words = setting_names(type(before))
    for field in msgspec.structs.fields(before):
        old, new = getattr(before, field.name), getattr(after, field.name)
        name = words[field.name]
        if old == new:
            continue
        if isinstance(old, msgspec.Struct) and isinstance(new, msgspec.Struct):
            yield from iter_differences(old, new, _path(path, name))
        elif (
            find_struct_type(field.type) is not None
            and isinstance(old, tuple)
            and _names(old) == _names(new) != ()
        ):
            for one, other in zip(old, new, strict=True):
                yield from iter_differences(one, other, _path(path, f"{name} {_called(one)}"))
        else:
            yield SettingDifference(_path(path, name), RELOADABLE in get_args(field.type), old, new)


def _called(part: Any) -> str:
    name = getattr(part, "name", "")
    return str(getattr(name, "value", name))


def _names(parts: tuple[Any, ...]) -> tuple[str, ...]:
    return tuple(_called(one) for one in parts if _called(one))


def check_reload(before: HeadSettings, after: HeadSettings, where: str) -> list[SettingDifference]:
    """Return what differs. Raises SettingsError unless all of it can change while the head runs."""
    found = list(iter_differences(before, after))
    if stuck := [one.path for one in found if not one.reloadable]:
        raise SettingsError(f"{where}: {stuck[0]}: can't change while the head runs"
                            + (f"; nor can {', '.join(stuck[1:])}" if stuck[1:] else ""))  # fmt: skip
    return found


def apply_overrides(started: HeadSettings, text: str, source: str) -> HeadSettings:
    """Return a head's settings with what `(settings ...)` gives in place of what it was started with.

    The form is written as a head's is, and gives only what is to differ. What is a head's own can be in it
    only if it says the same. Raises SettingsError with line and field.
    """
    form = read_text(text, source)
    if (word := form_keyword(form, source)) != WORD:
        raise SettingsError(f"{source}:{form.line}: {word}: expected ({WORD} ...)")
    head = bind(form, HeadSettings, source, started)
    where = f"{source}:{form.line}"
    check_reload(started, head, where)
    check_head(head, where)
    return head
