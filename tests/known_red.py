"""Tests that fail because of a real fault not fixed yet: KNOWN-RED.txt, one `test | cause | issue` per line."""

from dataclasses import dataclass
from functools import cache
from pathlib import Path

ROOT = Path(__file__).parent.parent
FILE = ROOT / "KNOWN-RED.txt"
MAX_ENTRIES = 3


@dataclass(frozen=True)
class KnownRed:
    """One line of KNOWN-RED.txt."""

    test: str
    cause: str
    issue: int


def parse(text):
    """Return the entries by test; raise ValueError for an invalid line, or for too many."""
    entries = {}
    for line in text.splitlines():
        test, cause, issue = (part.strip() for part in line.split("|"))
        if not cause or test in entries:
            raise ValueError(f"no cause, or listed twice: {line}")
        entries[test] = KnownRed(test, cause, int(issue))
    if len(entries) > MAX_ENTRIES:
        raise ValueError(f"{len(entries)} tests are known to be red, {MAX_ENTRIES} at most")
    return entries


@cache
def known_red():
    """Return the entries of KNOWN-RED.txt by test; empty if there is no such file."""
    return parse(FILE.read_text()) if FILE.exists() else {}
