"""Reads and checks settings files."""

from __future__ import annotations

from pathlib import Path

from harriertrack.config.settings.basis import SettingsStruct, find_duplicates
from harriertrack.config.settings.checks import check_head
from harriertrack.config.settings.head import HeadSettings
from harriertrack.config.settings.node_stand_in import NodeStandInSettings
from harriertrack.config.settings.nodes import ListServiceSettings, NodeSettings
from harriertrack.config.sexp import Form, SettingsError, bind, form_keyword, read_text


def read_file(path: str) -> Form:
    """Parse a file that contains one form. Raises SettingsError."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}:1: can't be read: {error}") from error
    return read_text(text, path)


def load(path: str) -> HeadSettings | NodeStandInSettings:
    """Read and check a settings file. Raises SettingsError with file, line and field."""
    return parse(read_file(path), path)


def parse(form: Form, source: str) -> HeadSettings | NodeStandInSettings:
    """Check a form `(head ...)` or `(shelf ...)`. Raises SettingsError with file, line and field."""
    keyword = form_keyword(form, source)
    if keyword == "head":
        head = bind(form, HeadSettings, source)
        check_head(head, f"{source}:{form.line}")
        return head
    if keyword == "shelf":
        return bind(form, NodeStandInSettings, source)
    raise SettingsError(f"{source}:{form.line}: {keyword}: expected (head ...) or (shelf ...)")


def load_nodes(path: str) -> tuple[NodeSettings, ...]:
    """Read a node list file, `(node-list (node ...) ...)`. Raises SettingsError."""

    class NodeListFile(SettingsStruct, frozen=True, kw_only=True):
        """The form in the file."""

        nodes: tuple[NodeSettings, ...] = ()

    nodes = bind(read_file(path), NodeListFile, path).nodes
    if duplicates := find_duplicates(node.name for node in nodes):
        raise SettingsError(f"{path}:1: node-list: {', '.join(sorted(duplicates))} is named twice")
    return nodes


def load_list_service(path: str) -> ListServiceSettings:
    """Read the file of a list service stand-in, `(list-service (entrance ...) ...)`. Raises SettingsError."""
    form = read_file(path)
    if form_keyword(form, path) != "list-service":
        raise SettingsError(f"{path}:{form.line}: expected (list-service ...)")
    settings = bind(form, ListServiceSettings, path)
    if duplicates := find_duplicates(one.name for one in settings.entrances):
        raise SettingsError(f"{path}:{form.line}: entrance {duplicates[0]}: given twice")
    return settings
