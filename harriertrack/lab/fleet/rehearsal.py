"""Bad versions for rehearsals: the same program, made worse in one class, or made to end by itself.

Asked for by `--rehearse`: `refuse:CLASS:PART` (attempts of a class fail before they leave), `crash:SECONDS`
(the process ends so long after its start) or `mute` (it never says that it serves).
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from harriertrack.decisions import interface as api
from harriertrack.decisions.requests import Attempt
from harriertrack.gateway.links import Links
from harriertrack.gateway.parts import HeadParts

FORM = re.compile(r"(refuse):([A-Za-z0-9._-]+):(0\.\d+|1)\Z|(crash):(\d+(?:\.\d+)?)\Z|(mute)\Z")


@dataclass(frozen=True, slots=True)
class Rehearsal:
    """What a version does wrong."""

    class_name: str = ""
    part: float = 0.0
    crash_us: int = 0
    mute: bool = False


def rehearsal_of(text: str) -> Rehearsal:
    """Read what is asked for. Raises ValueError."""
    match = FORM.match(text)
    if match is None:
        raise ValueError(f"{text}: expected refuse:CLASS:PART, crash:SECONDS or mute")
    if match[1]:
        return Rehearsal(class_name=match[2], part=float(match[3]))
    if match[4]:
        return Rehearsal(crash_us=int(float(match[5]) * 1e6))
    return Rehearsal(mute=True)


class WorseLinks(Links):
    """Links over which a part of one class's attempts fails before it leaves."""

    def __init__(self, parts: HeadParts, rehearsal: Rehearsal) -> None:
        super().__init__(parts)
        self._hub, self._rehearsal = parts.hub, rehearsal

    def send(self, attempt: Attempt) -> None:
        """Start an attempt, or let it fail."""
        bad = self._rehearsal
        if attempt.part.class_name != bad.class_name or self._hub.random.random() >= bad.part:
            super().send(attempt)
            return
        now = self._hub.now()
        self._hub.at(now, lambda: self.core.attempt_ended(now, attempt, api.Result.ERROR))
