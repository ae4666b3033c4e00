"""S-expressions with line numbers, and their conversion to checked msgspec Structs.

A setting is written `(name value)`; a section with settings of its own is `(name "its-name" (setting value)
...)`. Durations have a unit (`250us`, `300ms`, `1.5s`), sizes too (`512B`, `4KiB`, `64MiB`); booleans are
`yes` or `no`. Every error names file, line and field.
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
    """Invalid settings; the text gives file, line, field and the reason."""


class Form(list):
    """A list of an S-expression, with the line that it starts on."""

    line = 0


class _Parser(sexpdata.Parser):
    def parse_sexp(self, i: int) -> tuple[int, Form]:
        end, items = super().parse_sexp(i)
        form = Form(items)
        form.line = self.string.count("\n", 0, max(0, i - 1)) + 1
        return end, form


def read_text(text: str, source: str) -> Form:
    """Parse a text that contains exactly one form. Raises SettingsError if it does not."""
    line = text.count("\n") + 1
    try:
        parser = _Parser(text, nil="", true="", false="")
        forms = parser.parse()
    except (sexpdata.ExpectClosingBracket, sexpdata.ExpectNothing, sexpdata.ExpectSExp) as error:
        raise SettingsError(f"{source}:{line}: brackets do not match ({error})") from error
    except (AttributeError, IndexError) as error:  # sexpdata raises these for an unterminated string
        raise SettingsError(f"{source}:{line}: a string is not closed") from error
    if len(forms) != 1 or not isinstance(forms[0], Form):
        raise SettingsError(f"{source}:1: expected one form, (head ...) or the like, and found {len(forms)}")
    return forms[0]


def form_keyword(form: Form, source: str) -> str:
    """Return the symbol that a form begins with. Raises SettingsError if it begins with anything else."""
    if not form or not isinstance(form[0], sexpdata.Symbol):
        raise SettingsError(f"{source}:{form.line}: a form must begin with a word")
    return str(form[0])


def _scalar(value: Any, field: str) -> Any:
    """Convert one atom to a plain value; the suffix of the field's name says which unit is required."""
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


def bind(form: Form, struct_type: type[T], source: str, base: T | None = None) -> T:
    """Convert a form to a validated value of a msgspec Struct type. Raises SettingsError.

    `base`: supplies the fields that the form does not give; named sections are matched by their names.
    """
    lines: dict[str, int] = {}
    plain: Any = _plain(form, struct_type, source, "$", lines)
    if base is not None:
        form_lines, lines = lines, {}
        plain = _merge(msgspec.to_builtins(base), plain, ("$", "$"), form_lines, lines)
    try:
        return msgspec.convert(plain, struct_type)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `")
        path = path.rstrip("`")
        ancestor = path  # the closest path whose line is known
        while ancestor and ancestor not in lines:
            ancestor = ancestor[: max(ancestor.rfind("."), ancestor.rfind("["))] if len(ancestor) > 1 else ""
        field = path.removeprefix("$").lstrip(".").replace("_", "-") or form_keyword(form, source)
        raise SettingsError(f"{source}:{lines.get(ancestor, form.line)}: {field}: {message}") from error


def _merge(base: Any, plain: Any, paths: tuple[str, str], form_lines: dict[str, int],
           lines: dict[str, int]) -> Any:  # fmt: skip
    """Return the plain values of `base` with those of a form in their place.

    `paths`: in the merged value and in the form. `lines` receives the form's lines by merged path.
    """
    merged_path, form_path = paths
    if form_path in form_lines:
        lines[merged_path] = form_lines[form_path]
    if isinstance(base, dict) and isinstance(plain, dict):
        fields = dict(base)
        for name, value in plain.items():
            inner = f"{merged_path}.{name}", f"{form_path}.{name}"
            fields[name] = _merge(base.get(name), value, inner, form_lines, lines)
        return fields
    if isinstance(base, list | tuple) and isinstance(plain, list) and _all_named(plain) and _all_named(base):
        items = list(base)
        indexes = {item["name"]: index for index, item in enumerate(items)}
        for form_index, item in enumerate(plain):
            index = indexes.setdefault(item["name"], len(items))
            if index == len(items):
                items.append(None)
            inner = f"{merged_path}[{index}]", f"{form_path}[{form_index}]"
            items[index] = _merge(items[index], item, inner, form_lines, lines)
        return items
    return plain


def _all_named(items: Any) -> bool:
    return all(isinstance(item, dict) and "name" in item for item in items)


def _plain(form: Form, struct_type: Any, source: str, path: str, lines: dict[str, int]) -> dict[str, Any]:
    keyword = form_keyword(form, source)
    lines[path] = form.line
    names = setting_names(struct_type)
    fields = {names[field.name]: field for field in msgspec.structs.fields(struct_type)}
    result: dict[str, Any] = {}
    for item in form[1:]:
        if not isinstance(item, Form):
            if "name" not in fields or "name" in result:
                raise SettingsError(f"{source}:{form.line}: {keyword}: {item} does not belong here")
            result["name"] = str(item)
            continue
        name = form_keyword(item, source)
        field = fields.get(name)
        if field is None:
            known = ", ".join(sorted(fields))
            raise SettingsError(f"{source}:{item.line}: {keyword}: unknown setting {name}; known are {known}")
        field_type = msgspec.inspect.type_info(field.type)
        inner = field_type.item_type if isinstance(field_type, msgspec.inspect.VarTupleType) else field_type
        if isinstance(inner, msgspec.inspect.UnionType):
            inner = next(one for one in inner.types if not isinstance(one, msgspec.inspect.NoneType))
        field_path = f"{path}.{field.name}"
        repeated = _is_repeated(field.type)
        if field.name in result and not repeated:
            raise SettingsError(f"{source}:{item.line}: {keyword}: {name} is given twice")
        if repeated:
            field_path = f"{field_path}[{len(result.get(field.name, ()))}]"
        lines[field_path] = item.line
        try:
            if isinstance(inner, _STRUCT):
                section = _plain(item, inner.cls, source, field_path, lines)
                if repeated:
                    result.setdefault(field.name, []).append(section)
                else:
                    result[field.name] = section
            elif isinstance(field_type, msgspec.inspect.VarTupleType | msgspec.inspect.TupleType):
                result[field.name] = [_scalar(value, field.name) for value in item[1:]]
            elif len(item) != 2:
                raise ValueError(f"expected one value, not {len(item) - 1}")
            else:
                result[field.name] = _scalar(item[1], field.name)
        except ValueError as error:
            raise SettingsError(f"{source}:{item.line}: {keyword}: {name}: {error}") from error
    return result


def _is_repeated(field_type: Any) -> bool:
    info = msgspec.inspect.type_info(field_type)
    return isinstance(info, msgspec.inspect.VarTupleType) and isinstance(info.item_type, _STRUCT)


def setting_names(struct_type: Any) -> dict[str, str]:
    """Return the written name of each field: without its unit, with dashes, singular where it repeats.

    Where several fields would get the same name, the one without a unit gets it, else the last; the others
    keep their units, such as `held-bytes` and `held`.
    """
    short_names = {}
    for field in msgspec.structs.fields(struct_type):
        name = field.name
        if _is_repeated(field.type):
            name = {"classes": "class"}.get(name, name.removesuffix("s"))
        short_names[field.name] = name.removesuffix("_us").removesuffix("_bytes")
    owners = {short: name for name, short in short_names.items()}
    owners.update({name: name for name in short_names if short_names[name] == name})
    names = {}
    for name, short in short_names.items():
        names[name] = (short if owners[short] == name else name).replace("_", "-")
    return names
