"""Plays one run that another process asks for: (variant, day, seed) as JSON in, scores as JSON out."""

from __future__ import annotations

import sys

import msgspec

from harriertrack.lab.day import DaySettings
from harriertrack.lab.experiments import Job, VariantSettings, run_job


def main() -> None:
    """Read the question from standard input and write the answer to standard output."""
    asked = msgspec.json.decode(sys.stdin.buffer.read(), type=tuple[VariantSettings, DaySettings, int])
    variant, day, seed = asked
    sys.stdout.buffer.write(run_job(Job(variant, day, seed)))


if __name__ == "__main__":
    main()
