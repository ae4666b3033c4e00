"""The fleet's feature level: what a later program introduced is used once all voters understand it.

A program reports the highest level that it understands. The record's level limits what any head may write:
messages, notes, the record itself and data on disk. It is raised when the last stage of a program is in force
and all voters have reported that they understand the higher level, and it never falls. So whatever was
written at a level can be read by any head that may start: a program that understands less than the level is
not rolled out. Pure.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from harriertrack.decisions.fleet.changes.record import Kind, Record, kind_of


def next_level(record: Record, understood: Mapping[str, int], voters: Collection[str]) -> int:
    """Return the level that may apply from now on; the record's own if it may not be raised.

    `understood`: the level that each head reported, `voters`: all heads that are present or may return. An
    unreachable head votes too: it may resume with the program that it had.
    """
    going = any(record.in_progress(thing) is not None for thing in record.things()
                if kind_of(thing) is Kind.PROGRAM)  # fmt: skip
    if going or not voters or any(name not in understood for name in voters):
        return record.level
    return max(record.level, min(understood[name] for name in voters))


def level_conflict(record: Record, level: int | None) -> str:
    """Return why a program that understands `level` can't be rolled out; "" if it can, or states no level."""
    if level is None or level >= record.level:
        return ""
    return f"it understands level {level}, and what is written is of level {record.level}"
