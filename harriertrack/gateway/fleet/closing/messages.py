"""What heads say of closes: asks to who decides, and its word to all; msgpack, at most 1000 bytes each."""

from __future__ import annotations

from typing import TypeVar

import msgspec

T = TypeVar("T")

TOPIC = "closing"
MOST_BYTES = 1000
ECHO_BYTES = 100  # an answer with the longest name
MOST_TOLD = 4  # calendars of which an ask says how far they are done, and as many sweeps; others the next


class Done(msgspec.Struct, frozen=True, array_like=True):
    """How far a head is with a calendar: its last close, and what that left to trim."""

    calendar: str
    number: int
    extents: int  # that the close made unreadable here
    left: int


class Sweeping(msgspec.Struct, frozen=True, array_like=True):
    """Which slices of a sweep a head has done."""

    calendar: str
    number: int
    volume: str
    done: int


class Ask(msgspec.Struct, frozen=True, array_like=True):
    """A head asks what time it is, says what its clock says, and how far it is."""

    at: int
    wall_ahead: int
    epoch: int  # of the term in which the decider's clock was found to be `apart`; 0: never
    apart: tuple[int, int]
    done: list[Done]
    sweeps: list[Sweeping] = []


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """To one head: its ask's stamp, and when it was heard."""

    head: str
    at: int
    heard: int


class Ruling(msgspec.Struct, frozen=True, array_like=True):
    """The word of who decides: at `said` (UTC) all closes were those of the digest.

    `truth`: how far true time is ahead of its clock; none while most heads are not heard. `now`: its clock.
    """

    said: int
    digest: int
    truth: tuple[int, int] | None
    now: int
    answers: list[Answer]
    wrong: list[str]  # whose clocks can't be true


def encode(what: Ask | Ruling) -> bytes:
    """Return a message's bytes."""
    return msgspec.msgpack.encode(what)


def ask_from(body: bytes) -> Ask | None:
    """Read an ask; None for bytes that are none."""
    return _read(body, Ask)


def ruling_from(body: bytes) -> Ruling | None:
    """Read a word; None for bytes that are none."""
    return _read(body, Ruling)


def _read(body: bytes, kind: type[T]) -> T | None:
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
