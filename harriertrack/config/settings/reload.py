"""Which settings can change while a head runs, and how two sets of settings differ.

A setting's path is its written form, such as `plan gold: limit` or `rules: warm`. Named sections are
identified by their names; they can't be added, removed or reordered while a head runs.
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

OVERRIDES_KEYWORD = "settings"  # of a form that overrides a head's settings at its start


@dataclass(frozen=True, slots=True)
class SettingDeclaration:
    """One setting of a head, and whether it can change while the head runs."""

    path: str
    reloadable: bool


@dataclass(frozen=True, slots=True)
class SettingDifference:
    """A setting that differs; `reloadable`: a running head can apply the new value."""

    path: str
    reloadable: bool
    before: object
    after: object


def _path(*parts: str) -> str:
    return ": ".join(part for part in parts if part)


def find_struct_type(annotation: Any) -> type[msgspec.Struct] | None:
    """Return the type of the section that a field holds, alone, as an option or in a tuple; None if none."""
    if isinstance(annotation, type) and issubclass(annotation, msgspec.Struct):
        return annotation
    return next((found for one in get_args(annotation) if (found := find_struct_type(one)) is not None), None)


def iter_declarations(
    struct_type: type[msgspec.Struct] = HeadSettings, path: str = ""
) -> Iterator[SettingDeclaration]:
    """Yield all settings of a section, including those of nested sections."""
    names = setting_names(struct_type)
    for field in msgspec.structs.fields(struct_type):
        field_path = _path(path, names[field.name])
        if (section := find_struct_type(field.type)) is not None:
            yield from iter_declarations(section, field_path)
        else:
            yield SettingDeclaration(field_path, RELOADABLE in get_args(field.type))


def iter_differences(before: Any, after: Any, path: str = "") -> Iterator[SettingDifference]:
    """Yield the settings that differ between two values of the same section."""
    names = setting_names(type(before))
    for field in msgspec.structs.fields(before):
        old, new = getattr(before, field.name), getattr(after, field.name)
        name = names[field.name]
        if old == new:
            continue
        if isinstance(old, msgspec.Struct) and isinstance(new, msgspec.Struct):
            yield from iter_differences(old, new, _path(path, name))
        elif (
            find_struct_type(field.type) is not None
            and isinstance(old, tuple)
            and _section_names(old) == _section_names(new) != ()
        ):
            for old_section, new_section in zip(old, new, strict=True):
                yield from iter_differences(
                    old_section, new_section, _path(path, f"{name} {_section_name(old_section)}")
                )
        else:
            yield SettingDifference(_path(path, name), RELOADABLE in get_args(field.type), old, new)


def _section_name(section: Any) -> str:
    name = getattr(section, "name", "")
    return str(getattr(name, "value", name))


def _section_names(sections: tuple[Any, ...]) -> tuple[str, ...]:
    return tuple(_section_name(one) for one in sections if _section_name(one))


def check_reload(before: HeadSettings, after: HeadSettings, where: str) -> list[SettingDifference]:
    """Return the differences. Raises SettingsError unless all of them can be applied to a running head."""
    found = list(iter_differences(before, after))
    if fixed := [one.path for one in found if not one.reloadable]:
        raise SettingsError(f"{where}: {fixed[0]}: can't change while the head runs"
                            + (f"; nor can {', '.join(fixed[1:])}" if fixed[1:] else ""))  # fmt: skip
    return found


def apply_overrides(started: HeadSettings, text: str, source: str) -> HeadSettings:
    """Return a head's settings at its start, overridden by a form `(settings ...)`.

    The form has the syntax of `(head ...)` and gives only the settings that differ. Settings that can't
    change while the head runs may be given only with the values that they have already. Raises SettingsError
    with line and field.
    """
    form = read_text(text, source)
    if (keyword := form_keyword(form, source)) != OVERRIDES_KEYWORD:
        raise SettingsError(f"{source}:{form.line}: {keyword}: expected ({OVERRIDES_KEYWORD} ...)")
    head = bind(form, HeadSettings, source, started)
    where = f"{source}:{form.line}"
    check_reload(started, head, where)
    check_head(head, where)
    return head
