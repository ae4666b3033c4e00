"""Checked settings written as S-expressions: what `sexp.bind` reads back as the same value."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

from harriertrack.config.sexp import setting_names


def format_settings(word: str, value: msgspec.Struct, indent: int = 0) -> str:
    """Return a form of that word; fields at their defaults are left out."""
    pad = "  " * indent
    parts = [f"{pad}({word}"]
    words = setting_names(type(value))
    for field in msgspec.structs.fields(value):
        held = getattr(value, field.name)
        if field.default is not msgspec.NODEFAULT and held == field.default:
            continue
        name = words[field.name]
        if field.name == "name":
            parts[0] += f" {_atom(held, '')}"
        elif isinstance(held, msgspec.Struct):
            parts.append(format_settings(name, held, indent + 1))
        elif isinstance(held, tuple) and held and isinstance(held[0], msgspec.Struct):
            parts.extend(format_settings(name, one, indent + 1) for one in held)
        elif isinstance(held, tuple):
            parts.append(f"{pad}  ({name} {' '.join(_atom(one, field.name) for one in held)})")
        elif held is not None:
            parts.append(f"{pad}  ({name} {_atom(held, field.name)})")
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
