"""Bad versions for rollout rehearsals: the same program with an injected defect.

Selected by `--rehearse`: `refuse:CLASS:PART` (this share of a class's attempts fail before they are sent),
`crash:SECONDS` (the process ends this long after its start) or `mute` (it never reports that it serves).
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
    """The injected defect of a version; without arguments, none."""

    class_name: str = ""
    part: float = 0.0
    crash_us: int = 0
    mute: bool = False


def rehearsal_of(text: str) -> Rehearsal:
    """Parse the value of `--rehearse`. Raises ValueError."""
    match = FORM.match(text)
    if match is None:
        raise ValueError(f"{text}: expected refuse:CLASS:PART, crash:SECONDS or mute")
    if match[1]:
        return Rehearsal(class_name=match[2], part=float(match[3]))
    if match[4]:
        return Rehearsal(crash_us=int(float(match[5]) * 1e6))
    return Rehearsal(mute=True)


class WorseLinks(Links):
    """Links that fail a share of one class's attempts before they are sent."""

    def __init__(self, parts: HeadParts, rehearsal: Rehearsal) -> None:
        super().__init__(parts)
        self._hub, self._rehearsal = parts.hub, rehearsal

    def send(self, attempt: Attempt) -> None:
        """Start an attempt, or fail it at random."""
        defect = self._rehearsal
        if attempt.part.class_name != defect.class_name or self._hub.random.random() >= defect.part:
            super().send(attempt)
            return
        now = self._hub.now()
        self._hub.at(now, lambda: self.core.attempt_ended(now, attempt, api.Result.ERROR))
