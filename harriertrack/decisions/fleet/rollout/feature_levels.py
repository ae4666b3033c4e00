"""The fleet's feature level: what a later program brought is used once all who vote understand it.

A program says the highest level that it understands. The record's level is what anybody may write: messages,
notes, the record itself and what lies on disk. It is raised when the last stage of a program is in force and
all who vote are heard to understand it, and never falls, so what was written at a level is always read by
whoever may start: a program that understands less than the level is not brought about. Pure.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from harriertrack.decisions.fleet.changes.record import Kind, Record, kind_of


def next_level(record: Record, understood: Mapping[str, int], voters: Collection[str]) -> int:
    """Return the level that may hold from now on; the record's own if it may not be raised.

    `understood`: by each head that said so, `voters`: all that are there or may come back. One that is not
    heard has a vote too: it may wake up with the program that it had.
    """
    going = any(record.in_progress(thing) is not None for thing in record.things()
                if kind_of(thing) is Kind.PROGRAM)  # fmt: skip
    if going or not voters or any(name not in understood for name in voters):
        return record.level
    return max(record.level, min(understood[name] for name in voters))


def level_conflict(record: Record, level: int | None) -> str:
    """Return why a program that understands a level can't be brought about; "" if it can, or does not say."""
    if level is None or level >= record.level:
        return ""
    return f"it understands level {level}, and what is written is of level {record.level}"
