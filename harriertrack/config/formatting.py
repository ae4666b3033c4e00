"""Formats settings as S-expressions that `sexp.bind` reads back as the same value."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

from harriertrack.config.sexp import setting_names


def format_settings(keyword: str, settings: msgspec.Struct, indent: int = 0) -> str:
    """Return a form that begins with `keyword`; fields that have their default values are omitted."""
    pad = "  " * indent
    parts = [f"{pad}({keyword}"]
    names = setting_names(type(settings))
    for field in msgspec.structs.fields(settings):
        value = getattr(settings, field.name)
        if field.default is not msgspec.NODEFAULT and value == field.default:
            continue
        name = names[field.name]
        if field.name == "name":
            parts[0] += f" {_atom(value, '')}"
        elif isinstance(value, msgspec.Struct):
            parts.append(format_settings(name, value, indent + 1))
        elif isinstance(value, tuple) and value and isinstance(value[0], msgspec.Struct):
            parts.extend(format_settings(name, item, indent + 1) for item in value)
        elif isinstance(value, tuple):
            parts.append(f"{pad}  ({name} {' '.join(_atom(item, field.name) for item in value)})")
        elif value is not None:
            parts.append(f"{pad}  ({name} {_atom(value, field.name)})")
    return "\n".join(parts) + ")"


def _atom(value: Any, field: str) -> str:
    if isinstance(value, Enum):
        value = value.value
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if field.endswith("_us"):
        return f"{value}us"
    if field.endswith("_bytes"):
        return f"{value}B"
    return repr(value)
