"""Block traces of other programs, read as streams: one line at a time, whatever the file's length.

- fio iolog, versions 2 and 3 (fio documentation, "Trace file format"): version 2 gives no times but `wait`s,
  version 3 begins each line with milliseconds.
- blkparse's default text output (blkparse(1)): queued requests (action Q), or issued ones (D) on request.
- MSR Cambridge CSV (SNIA IOTTA trace 388): Windows file times, offsets and sizes in bytes.

A trace may be wrong in parts: time that runs backwards, requests that lie outside the volume or have no
length. Nothing is mended silently: each such line is counted by what was done about it.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from itertools import islice
from pathlib import Path


class TraceError(Exception):
    """A trace that can't be read; the text says file and line."""


class TraceForm(Enum):
    """The forms that are understood."""

    FIO2 = "fio-2"
    FIO3 = "fio-3"
    BLKPARSE = "blkparse"
    MSR = "msr"


@dataclass(frozen=True, slots=True)
class TraceRequest:
    """One request of a trace: microseconds from its start, kind, offset and length in bytes."""

    t_us: int
    kind: str
    offset: int
    length: int


@dataclass(slots=True)
class TraceNotes:
    """What was odd about a trace, by what was done: lines skipped, or changed."""

    counts: Counter[str] = field(default_factory=Counter)

    def note(self, what: str) -> None:
        """Count one."""
        self.counts[what] += 1


SECTOR = 512
_FIO_KINDS = {"read": "read", "write": "write", "trim": "trim", "sync": "flush", "datasync": "flush"}
_BLK = re.compile(
    r"\s*\d+,\d+\s+\d+\s+\d+\s+(?P<time>\d+\.\d+)\s+\d+\s+(?P<action>[A-Z]+)\s+(?P<rwbs>[A-Z]+)"
    r"(?:\s+(?P<sector>\d+)\s+\+\s+(?P<count>\d+))?"
)
WAIT_LEAST_US = 100  # fio drops shorter waits of an iolog of version 2
_MSR_TICKS = 10  # Windows file times count tenths of microseconds


def detect_form(path: str) -> TraceForm:
    """Tell a trace's form by its first lines. Raises TraceError."""
    try:
        with open(path, encoding="utf-8", errors="replace") as file:
            first = [line for line in islice(file, 20) if line.strip()]
    except OSError as error:
        raise TraceError(f"{path}: {error.strerror}") from error
    if not first:
        raise TraceError(f"{path}:1: empty")
    if found := re.match(r"fio version (\d+) iolog", first[0]):
        if found[1] not in "23":
            raise TraceError(f"{path}:1: fio iolog version {found[1]} is not known; 2 and 3 are")
        return TraceForm.FIO2 if found[1] == "2" else TraceForm.FIO3
    if any(_BLK.match(line) for line in first):
        return TraceForm.BLKPARSE
    if first[0].count(",") == 6 and (first[0].split(",")[0].isdigit() or first[0].startswith("Timestamp")):
        return TraceForm.MSR
    raise TraceError(f"{path}:1: neither an fio iolog, blkparse text, nor an MSR Cambridge CSV")


def read(path: str, notes: TraceNotes, action: str = "Q") -> Iterator[TraceRequest]:
    """Yield a trace's requests as they stand there, times from its first. Raises TraceError."""
    parse = {
        TraceForm.FIO2: _fio,
        TraceForm.FIO3: _fio,
        TraceForm.BLKPARSE: lambda lines, notes: _blkparse(lines, notes, action),
        TraceForm.MSR: _msr,
    }[detect_form(path)]
    with open(path, encoding="utf-8", errors="replace") as file:
        number = 0

        def counted() -> Iterator[str]:
            nonlocal number
            for number, line in enumerate(file, start=1):  # noqa: B007 (used in the error below)
                yield line

        try:
            yield from parse(counted(), notes)
        except (ValueError, IndexError) as error:
            raise TraceError(f"{path}:{number}: {error}") from error


def _fio(lines: Iterable[str], notes: TraceNotes) -> Iterator[TraceRequest]:
    timed = "version 3" in next(iter(lines))
    now, first = 0, -1
    for line in lines:
        words = line.split()
        if not words:
            continue
        if timed:
            stamp = int(words[0]) * 1000
            first = stamp if first < 0 else first
            now = stamp - first
            words = words[1:]
        if len(words) < 2:
            raise ValueError("an iolog line needs a file and an action")
        action = words[1]
        if action in ("add", "open", "close"):
            continue
        if action == "wait":
            pause = int(words[2])
            now += pause if pause >= WAIT_LEAST_US else 0
        elif action in _FIO_KINDS:
            place = [int(word) for word in words[2:4]] if action in ("read", "write", "trim") else [0, 0]
            if len(place) < 2:
                raise ValueError(f"{action} needs an offset and a length")
            yield TraceRequest(now, _FIO_KINDS[action], *place)
        else:
            raise ValueError(f"unknown action {action}")


def _blkparse(lines: Iterable[str], notes: TraceNotes, action: str) -> Iterator[TraceRequest]:
    first = -1
    for line in lines:
        found = _BLK.match(line)
        if found is None:
            if line.strip():
                notes.note("lines that are no events")
            continue
        if found["action"] != action:
            continue
        seconds, _, rest = found["time"].partition(".")
        stamp = int(seconds) * 1_000_000 + int(rest.ljust(9, "0")[:9]) // 1000
        first = stamp if first < 0 else first
        rwbs, count = found["rwbs"], int(found["count"] or 0)
        kind = "trim" if "D" in rwbs else "write" if "W" in rwbs else "read" if "R" in rwbs else "flush"
        if kind != "flush" and not count and "F" in rwbs:
            kind = "flush"
        yield TraceRequest(stamp - first, kind, int(found["sector"] or 0) * SECTOR, count * SECTOR)


def _msr(lines: Iterable[str], notes: TraceNotes) -> Iterator[TraceRequest]:
    first = -1
    for line in lines:
        words = line.strip().split(",")
        if words[0] == "Timestamp" or not line.strip():
            continue
        if len(words) != 7:
            raise ValueError(f"expected 7 fields, not {len(words)}")
        stamp = int(words[0]) // _MSR_TICKS
        first = stamp if first < 0 else first
        kind = words[3].strip().lower()
        if kind not in ("read", "write"):
            raise ValueError(f"unknown type {words[3]}")
        yield TraceRequest(stamp - first, kind, int(words[4]), int(words[5]))


def fit_to_volume(
    asked: Iterable[TraceRequest], size: int, most: int, speed: float, notes: TraceNotes
) -> Iterator[TraceRequest]:
    """Make a trace fit a volume: whole sectors, inside `size`, of at most `most` bytes, times over `speed`.

    Time that runs backwards stands still; what lies beyond the end is wrapped; longer requests are cut into
    several at the same moment; what has no length (but a flush) is skipped. All are counted. Raises
    ValueError for sizes that hold no sector or a speed that is not above zero.
    """
    if size < SECTOR or most < SECTOR or not speed > 0:
        raise ValueError("a trace needs a volume and pieces of at least a sector, and a speed above zero")
    size, most = size // SECTOR * SECTOR, most // SECTOR * SECTOR
    latest = 0
    for one in asked:
        if one.t_us < latest:
            notes.note("times that ran backwards, moved to the one before")
        latest = max(latest, one.t_us)
        t = int(latest / speed)
        if one.kind == "flush":
            yield TraceRequest(t, "flush", 0, 0)
            continue
        if one.length <= 0 or one.offset < 0:
            notes.note("requests without length or with an offset below zero, skipped")
            continue
        start = one.offset // SECTOR * SECTOR
        left = -(-(one.offset + one.length) // SECTOR) * SECTOR - start
        if start + left > size:
            notes.note("requests beyond the volume's end, wrapped")
            start %= size
        if left > most:
            notes.note("requests longer than allowed, cut")
        while left:
            if start >= size:
                start = 0
            piece = min(left, most, size - start)
            yield TraceRequest(t, one.kind, start, piece)
            start, left = start + piece, left - piece


def write(path: str, asked: Iterable[TraceRequest], form: TraceForm) -> int:
    """Write requests as a trace of a form; return how many. Times keep what the form can hold."""
    writers: dict[TraceForm, Callable[[TraceRequest], str]] = {
        TraceForm.FIO3: lambda one: f"{one.t_us // 1000} disk {_fio_action(one)}\n",
        TraceForm.BLKPARSE: _blk_line,
        TraceForm.MSR: _msr_line,
    }
    count, waited = 0, 0
    with Path(path).open("w", encoding="utf-8") as file:
        if form in (TraceForm.FIO2, TraceForm.FIO3):
            version = 2 if form is TraceForm.FIO2 else 3
            prefix = "" if version == 2 else "0 "
            file.write(f"fio version {version} iolog\n{prefix}disk add\n{prefix}disk open\n")
        for one in asked:
            if form is TraceForm.FIO2:
                if one.t_us - waited >= WAIT_LEAST_US:
                    file.write(f"disk wait {one.t_us - waited} 0\n")
                    waited = one.t_us
                file.write(f"disk {_fio_action(one)}\n")
            else:
                file.write(writers[form](one))
            count += 1
    return count


def _fio_action(one: TraceRequest) -> str:
    return "sync" if one.kind == "flush" else f"{one.kind} {one.offset} {one.length}"


def _msr_line(one: TraceRequest) -> str:
    stamp = (one.t_us + 1) * _MSR_TICKS
    return f"{stamp},host,0,{one.kind.capitalize()},{one.offset},{one.length},0\n"


def _blk_line(one: TraceRequest) -> str:
    letters = {"read": "R", "write": "W", "trim": "D", "flush": "FN"}[one.kind]
    place = "" if one.kind == "flush" else f" {one.offset // SECTOR} + {one.length // SECTOR}"
    seconds = f"{one.t_us // 1_000_000}.{one.t_us % 1_000_000:06d}000"
    return f"  8,0    0        1     {seconds}   100  Q  {letters}{place} [load]\n"
