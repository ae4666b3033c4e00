"""Messages on closes: queries to the deciding head and its rulings to all; msgpack, at most 1000 bytes."""

from __future__ import annotations

from typing import TypeVar

import msgspec

T = TypeVar("T")

TOPIC = "closing"
ANSWERS_BYTES = 750  # for the answers in a ruling; its other fields take up to 250
MAX_PROGRESS_ITEMS = 4  # of calendars, and as many of sweeps, in one query; others are in the next


class CalendarProgress(msgspec.Struct, frozen=True, array_like=True):
    """A head's progress in a calendar: its last close, and the extents left to trim."""

    calendar: str
    number: int
    extents: int  # that the close made unreadable here
    left: int


class SweepSlices(msgspec.Struct, frozen=True, array_like=True):
    """The slices of a sweep that a head has completed."""

    calendar: str
    number: int
    volume: str
    done: int


class CloseQuery(msgspec.Struct, frozen=True, array_like=True):
    """A head's query for the time, with its clock reading and its progress."""

    at: int
    wall_ahead: int
    epoch: (
        int  # of the term in which `apart`, the offset of the deciding head's clock, was measured; 0: never
    )
    apart: tuple[int, int]
    done: list[CalendarProgress]
    sweeps: list[SweepSlices] = []


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """For one head: the timestamp of its query, and when it was received."""

    head: str
    at: int
    heard: int


class Ruling(msgspec.Struct, frozen=True, array_like=True):
    """A ruling of the deciding head: at `said` (UTC) all closes were those of the digest.

    `truth`: how far true time is ahead of its clock; None without readings of most heads. `now`: its clock.
    """

    said: int
    digest: int
    truth: tuple[int, int] | None
    now: int
    answers: list[Answer]
    wrong: list[str]  # heads whose clocks can't be right


def encode(message: CloseQuery | Ruling) -> bytes:
    """Return a message's bytes."""
    return msgspec.msgpack.encode(message)


def decode_query(body: bytes) -> CloseQuery | None:
    """Decode a query; None if malformed."""
    return _decode(body, CloseQuery)


def decode_ruling(body: bytes) -> Ruling | None:
    """Decode a ruling; None if malformed."""
    return _decode(body, Ruling)


def _decode(body: bytes, kind: type[T]) -> T | None:
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
