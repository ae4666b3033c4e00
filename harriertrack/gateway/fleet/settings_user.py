"""Applies the `settings` of the record of changes to a head: a version applies completely or is rejected.

A version's body is a form `(settings ...)` that is laid over the settings at the head's start, so that one
body fits all heads of a fleet: it holds no addresses, names and zones, which differ between heads.
"""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.config.settings import HeadSettings
from harriertrack.config.settings.reload import SettingDifference, apply_overrides, check_reload
from harriertrack.config.sexp import SettingsError
from harriertrack.decisions.fleet.changes.record import Kind, Version

THING = Kind.SETTINGS.value  # the only thing of this kind


class SettingsUser:
    """Applies settings to one head."""

    def __init__(self, started: HeadSettings, reconfigure: Callable[[HeadSettings], None],
                 note: Callable[..., None]) -> None:  # fmt: skip
        """`started`: the settings at the head's start; `reconfigure` applies other settings at once."""
        self._started = self._current = started
        self._reconfigure, self._note = reconfigure, note

    def apply(self, thing: str, version: Version | None) -> str:
        """Apply a version (None: the settings at the start); return "", or why it is rejected."""
        if thing != THING:
            return f"{thing}: a head has no settings but {THING}"
        try:
            fresh, found = self._read(version)
        except SettingsError as error:
            return str(error)
        if found:
            self._reconfigure(fresh)
            self._current = fresh
        differences = "; ".join(f"{one.path} {one.before} -> {one.after}" for one in found) or "nothing"
        self._note("settings changed", version=version.number if version is not None else 0, what=differences)
        return ""

    def _read(self, version: Version | None) -> tuple[HeadSettings, list[SettingDifference]]:
        fresh, where = self._started, "what the head was started with"
        if version is not None:
            where = f"{THING} {version.number}"
            fresh = apply_overrides(self._started, version.body, where)
        return fresh, check_reload(self._current, fresh, where)
