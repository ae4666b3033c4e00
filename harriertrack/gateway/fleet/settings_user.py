"""A head's user of `settings` in the record of changes: takes a version whole, or says why not.

A version's body is a form `(settings ...)` that is laid over what this head was started with, so that one
body fits all heads of a fleet: addresses, names and zones are each head's own and not in it.
"""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.config.settings import HeadSettings
from harriertrack.config.settings.changing import Difference, check_change, laid_over
from harriertrack.config.sexp import SettingsError
from harriertrack.decisions.fleet.changes.record import Kind, Version

THING = Kind.SETTINGS.value  # there is one


class SettingsUser:
    """One head's."""

    def __init__(self, started: HeadSettings, retell: Callable[[HeadSettings], None],
                 note: Callable[..., None]) -> None:  # fmt: skip
        """`started`: what the head was started with; `retell` lets it go by other settings at once."""
        self._started = self._runs = started
        self._retell, self._note = retell, note

    def take(self, thing: str, version: Version | None) -> str:
        """Let the head go by a version (None: what it was started with); return "", or why it does not."""
        if thing != THING:
            return f"{thing}: a head has no settings but {THING}"
        try:
            fresh, found = self._read(version)
        except SettingsError as error:
            return str(error)
        if found:
            self._retell(fresh)
            self._runs = fresh
        told = "; ".join(f"{one.path} {one.before} -> {one.after}" for one in found) or "nothing"
        self._note("settings changed", version=version.number if version is not None else 0, what=told)
        return ""

    def _read(self, version: Version | None) -> tuple[HeadSettings, list[Difference]]:
        fresh, where = self._started, "what the head was started with"
        if version is not None:
            where = f"{THING} {version.number}"
            fresh = laid_over(self._started, version.body, where)
        return fresh, check_change(self._runs, fresh, where)
