"""Plays one run for another process: (variant, day, seed) as JSON on stdin, its scores as JSON on stdout."""

from __future__ import annotations

import sys

import msgspec

from harriertrack.lab.day import DaySettings
from harriertrack.lab.experiments import Job, VariantSettings, run_job


def main() -> None:
    """Read the job from standard input, play it and write its scores to standard output."""
    request = msgspec.json.decode(sys.stdin.buffer.read(), type=tuple[VariantSettings, DaySettings, int])
    variant, day, seed = request
    sys.stdout.buffer.write(run_job(Job(variant, day, seed)))


if __name__ == "__main__":
    main()
