"""S-expressions with line numbers, bound to checked types.

A setting is written `(name value)`; a part with settings of its own is `(name "its-name" (setting value)
...)`. Durations carry a unit (`250us`, `300ms`, `1.5s`), sizes too (`512B`, `4KiB`, `64MiB`); truth is `yes`
or `no`. Every error names file, line and field.
"""

from __future__ import annotations

import re
from typing import Any, TypeVar

import msgspec
import sexpdata

_DURATIONS = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000}
_SIZES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "TiB": 1 << 40}
_QUANTITY = re.compile(r"(-?\d+(?:\.\d+)?)([A-Za-z]+)\Z")
_STRUCT = msgspec.inspect.StructType
T = TypeVar("T")


class SettingsError(Exception):
    """Settings that cannot be; the text says file, line, field and why."""


class Form(list):
    """A list of an S-expression that knows its line."""

    line = 0


class _Parser(sexpdata.Parser):
    def parse_sexp(self, i: int) -> tuple[int, Form]:
        end, items = super().parse_sexp(i)
        form = Form(items)
        form.line = self.string.count("\n", 0, max(0, i - 1)) + 1
        return end, form


def read_text(text: str, source: str) -> Form:
    """Read a text that holds exactly one form. Raises SettingsError if it does not."""
    line = text.count("\n") + 1
    try:
        parser = _Parser(text, nil="", true="", false="")
        forms = parser.parse()
    except (sexpdata.ExpectClosingBracket, sexpdata.ExpectNothing, sexpdata.ExpectSExp) as error:
        raise SettingsError(f"{source}:{line}: brackets do not match ({error})") from error
    except (AttributeError, IndexError) as error:  # what the parser raises for a string without its end
        raise SettingsError(f"{source}:{line}: a string is not closed") from error
    if len(forms) != 1 or not isinstance(forms[0], Form):
        raise SettingsError(f"{source}:1: expected one form, (head ...) or the like, and found {len(forms)}")
    return forms[0]


def form_keyword(form: Form, source: str) -> str:
    """Return the word that a form begins with. Raises SettingsError if it begins with none."""
    if not form or not isinstance(form[0], sexpdata.Symbol):
        raise SettingsError(f"{source}:{form.line}: a form must begin with a word")
    return str(form[0])


def _scalar(value: Any, field: str) -> Any:
    """Turn one atom into a plain value; `field` tells by its ending which unit it must carry."""
    if isinstance(value, Form):
        raise ValueError("expected a value, not a list")
    if field.endswith(("_us", "_bytes")):
        units = _DURATIONS if field.endswith("_us") else _SIZES
        match = _QUANTITY.match(str(value)) if isinstance(value, sexpdata.Symbol) else None
        if match is None or match[2] not in units:
            if value == 0 and not isinstance(value, sexpdata.Symbol):
                return 0
            raise ValueError(f"expected a number with a unit of {', '.join(units)}, not {value}")
        amount = float(match[1]) * units[match[2]]
        if amount != int(amount):
            raise ValueError(f"{value} is no whole number of {next(iter(units))}")
        return int(amount)
    if isinstance(value, sexpdata.Symbol):
        return {"yes": True, "no": False}.get(str(value), str(value))
    return value


def bind(form: Form, kind: type[T], source: str, over: T | None = None) -> T:
    """Make a checked value of a msgspec Struct type from a form. Raises SettingsError.

    `over`: a value whose fields hold where the form does not give them; parts with names are found by these.
    """
    lines: dict[str, int] = {}
    plain: Any = _plain(form, kind, source, "$", lines)
    if over is not None:
        given, lines = lines, {}
        plain = _laid_over(msgspec.to_builtins(over), plain, ("$", "$"), given, lines)
    try:
        return msgspec.convert(plain, kind)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `")
        path = path.rstrip("`")
        near = path
        while near and near not in lines:
            near = near[: max(near.rfind("."), near.rfind("["))] if len(near) > 1 else ""
        field = path.removeprefix("$").lstrip(".").replace("_", "-") or form_keyword(form, source)
        raise SettingsError(f"{source}:{lines.get(near, form.line)}: {field}: {message}") from error


def _laid_over(base: Any, plain: Any, paths: tuple[str, str], given: dict[str, int],
               lines: dict[str, int]) -> Any:  # fmt: skip
    """Return plain values with those of a form in their place; note their lines by the path in the whole."""
    whole_path, path = paths
    if path in given:
        lines[whole_path] = given[path]
    if isinstance(base, dict) and isinstance(plain, dict):
        laid = dict(base)
        for name, value in plain.items():
            inner = f"{whole_path}.{name}", f"{path}.{name}"
            laid[name] = _laid_over(base.get(name), value, inner, given, lines)
        return laid
    if isinstance(base, list | tuple) and isinstance(plain, list) and _named(plain) and _named(base):
        whole = list(base)
        at = {one["name"]: number for number, one in enumerate(whole)}
        for number, one in enumerate(plain):
            place = at.setdefault(one["name"], len(whole))
            if place == len(whole):
                whole.append(None)
            inner = f"{whole_path}[{place}]", f"{path}[{number}]"
            whole[place] = _laid_over(whole[place], one, inner, given, lines)
        return whole
    return plain


def _named(items: Any) -> bool:
    return all(isinstance(one, dict) and "name" in one for one in items)


def _plain(form: Form, kind: Any, source: str, path: str, lines: dict[str, int]) -> dict[str, Any]:
    word = form_keyword(form, source)
    lines[path] = form.line
    words = setting_names(kind)
    fields = {words[field.name]: field for field in msgspec.structs.fields(kind)}
    result: dict[str, Any] = {}
    for item in form[1:]:
        if not isinstance(item, Form):
            if "name" not in fields or "name" in result:
                raise SettingsError(f"{source}:{form.line}: {word}: {item} does not belong here")
            result["name"] = str(item)
            continue
        name = form_keyword(item, source)
        field = fields.get(name)
        if field is None:
            known = ", ".join(sorted(fields))
            raise SettingsError(f"{source}:{item.line}: {word}: unknown setting {name}; known are {known}")
        shape = msgspec.inspect.type_info(field.type)
        inner = shape.item_type if isinstance(shape, msgspec.inspect.VarTupleType) else shape
        if isinstance(inner, msgspec.inspect.UnionType):
            inner = next(one for one in inner.types if not isinstance(one, msgspec.inspect.NoneType))
        where = f"{path}.{field.name}"
        repeated = _is_repeated(field.type)
        if field.name in result and not repeated:
            raise SettingsError(f"{source}:{item.line}: {word}: {name} is given twice")
        if repeated:
            where = f"{where}[{len(result.get(field.name, ()))}]"
        lines[where] = item.line
        try:
            if isinstance(inner, _STRUCT):
                part = _plain(item, inner.cls, source, where, lines)
                if repeated:
                    result.setdefault(field.name, []).append(part)
                else:
                    result[field.name] = part
            elif isinstance(shape, msgspec.inspect.VarTupleType | msgspec.inspect.TupleType):
                result[field.name] = [_scalar(value, field.name) for value in item[1:]]
            elif len(item) != 2:
                raise ValueError(f"expected one value, not {len(item) - 1}")
            else:
                result[field.name] = _scalar(item[1], field.name)
        except ValueError as error:
            raise SettingsError(f"{source}:{item.line}: {word}: {name}: {error}") from error
    return result


def _is_repeated(kind: Any) -> bool:
    shape = msgspec.inspect.type_info(kind)
    return isinstance(shape, msgspec.inspect.VarTupleType) and isinstance(shape.item_type, _STRUCT)


def setting_names(kind: Any) -> dict[str, str]:
    """Return how each field of a part is written: without its unit, with dashes, singular where repeated.

    Of several that would be written the same one is: that without a unit, else the last; the others keep
    theirs, as `held-bytes` beside `held`.
    """
    bare = {}
    for field in msgspec.structs.fields(kind):
        name = field.name
        if _is_repeated(field.type):
            name = {"classes": "class"}.get(name, name.removesuffix("s"))
        bare[field.name] = name.removesuffix("_us").removesuffix("_bytes")
    owners = {name: whole for whole, name in bare.items()}
    owners.update({name: name for name in bare if bare[name] == name})
    words = {}
    for whole, name in bare.items():
        words[whole] = (name if owners[name] == whole else whole).replace("_", "-")
    return words
