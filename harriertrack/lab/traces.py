"""Block traces of other programs, read line by line, so that files may be of any length.

- fio iolog, versions 2 and 3 (fio documentation, "Trace file format"): version 2 has `wait` lines instead of
  timestamps, version 3 begins each line with one in milliseconds.
- blkparse's default text output (blkparse(1)): queued requests (action Q), or issued ones (D) if selected.
- MSR Cambridge CSV (SNIA IOTTA trace 388): Windows file times, offsets and sizes in bytes.

Parts of a trace may be invalid: times that run backwards, requests outside the volume or without a length.
Nothing is corrected silently: each such line is counted, by what was done about it.
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
    """A trace that can't be read; the text names file and line."""


class TraceForm(Enum):
    """The supported trace formats."""

    FIO2 = "fio-2"
    FIO3 = "fio-3"
    BLKPARSE = "blkparse"
    MSR = "msr"


@dataclass(frozen=True, slots=True)
class TraceRequest:
    """One request of a trace: microseconds from the trace's start, kind, offset and length in bytes."""

    t_us: int
    kind: str
    offset: int
    length: int


@dataclass(slots=True)
class TraceNotes:
    """Counts of a trace's anomalies, by what was done about them: lines skipped or changed."""

    counts: Counter[str] = field(default_factory=Counter)

    def note(self, anomaly: str) -> None:
        """Count one anomaly."""
        self.counts[anomaly] += 1


SECTOR = 512
_FIO_KINDS = {"read": "read", "write": "write", "trim": "trim", "sync": "flush", "datasync": "flush"}
_BLK = re.compile(
    r"\s*\d+,\d+\s+\d+\s+\d+\s+(?P<time>\d+\.\d+)\s+\d+\s+(?P<action>[A-Z]+)\s+(?P<rwbs>[A-Z]+)"
    r"(?:\s+(?P<sector>\d+)\s+\+\s+(?P<count>\d+))?"
)
MIN_WAIT_US = 100  # fio ignores shorter waits in an iolog of version 2
_MSR_TICKS_PER_US = 10  # Windows file times are in units of 100 ns


def detect_form(path: str) -> TraceForm:
    """Detect a trace's format from its first lines. Raises TraceError."""
    try:
        with open(path, encoding="utf-8", errors="replace") as file:
            head = [line for line in islice(file, 20) if line.strip()]
    except OSError as error:
        raise TraceError(f"{path}: {error.strerror}") from error
    if not head:
        raise TraceError(f"{path}:1: empty")
    if match := re.match(r"fio version (\d+) iolog", head[0]):
        if match[1] not in "23":
            raise TraceError(f"{path}:1: fio iolog version {match[1]} is not known; 2 and 3 are")
        return TraceForm.FIO2 if match[1] == "2" else TraceForm.FIO3
    if any(_BLK.match(line) for line in head):
        return TraceForm.BLKPARSE
    if head[0].count(",") == 6 and (head[0].split(",")[0].isdigit() or head[0].startswith("Timestamp")):
        return TraceForm.MSR
    raise TraceError(f"{path}:1: neither an fio iolog, blkparse text, nor an MSR Cambridge CSV")


def read(path: str, notes: TraceNotes, action: str = "Q") -> Iterator[TraceRequest]:
    """Yield a trace's requests unchanged, with times relative to its first. Raises TraceError."""
    parse = {
        TraceForm.FIO2: _parse_fio,
        TraceForm.FIO3: _parse_fio,
        TraceForm.BLKPARSE: lambda lines, notes: _parse_blkparse(lines, notes, action),
        TraceForm.MSR: _parse_msr,
    }[detect_form(path)]
    with open(path, encoding="utf-8", errors="replace") as file:
        number = 0

        def numbered_lines() -> Iterator[str]:
            nonlocal number
            for number, line in enumerate(file, start=1):  # noqa: B007 (used in the error below)
                yield line

        try:
            yield from parse(numbered_lines(), notes)
        except (ValueError, IndexError) as error:
            raise TraceError(f"{path}:{number}: {error}") from error


def _parse_fio(lines: Iterable[str], notes: TraceNotes) -> Iterator[TraceRequest]:
    has_timestamps = "version 3" in next(iter(lines))
    now_us, first_us = 0, -1
    for line in lines:
        fields = line.split()
        if not fields:
            continue
        if has_timestamps:
            stamp_us = int(fields[0]) * 1000
            first_us = stamp_us if first_us < 0 else first_us
            now_us = stamp_us - first_us
            fields = fields[1:]
        if len(fields) < 2:
            raise ValueError("an iolog line needs a file and an action")
        action = fields[1]
        if action in ("add", "open", "close"):
            continue
        if action == "wait":
            wait_us = int(fields[2])
            now_us += wait_us if wait_us >= MIN_WAIT_US else 0
        elif action in _FIO_KINDS:
            extent = [int(field) for field in fields[2:4]] if action in ("read", "write", "trim") else [0, 0]
            if len(extent) < 2:
                raise ValueError(f"{action} needs an offset and a length")
            yield TraceRequest(now_us, _FIO_KINDS[action], *extent)
        else:
            raise ValueError(f"unknown action {action}")


def _parse_blkparse(lines: Iterable[str], notes: TraceNotes, action: str) -> Iterator[TraceRequest]:
    first_us = -1
    for line in lines:
        match = _BLK.match(line)
        if match is None:
            if line.strip():
                notes.note("lines that are no events")
            continue
        if match["action"] != action:
            continue
        seconds, _, fraction = match["time"].partition(".")
        stamp_us = int(seconds) * 1_000_000 + int(fraction.ljust(9, "0")[:9]) // 1000
        first_us = stamp_us if first_us < 0 else first_us
        rwbs, count = match["rwbs"], int(match["count"] or 0)
        kind = "trim" if "D" in rwbs else "write" if "W" in rwbs else "read" if "R" in rwbs else "flush"
        if kind != "flush" and not count and "F" in rwbs:
            kind = "flush"
        yield TraceRequest(stamp_us - first_us, kind, int(match["sector"] or 0) * SECTOR, count * SECTOR)


def _parse_msr(lines: Iterable[str], notes: TraceNotes) -> Iterator[TraceRequest]:
    first_us = -1
    for line in lines:
        fields = line.strip().split(",")
        if fields[0] == "Timestamp" or not line.strip():
            continue
        if len(fields) != 7:
            raise ValueError(f"expected 7 fields, not {len(fields)}")
        stamp_us = int(fields[0]) // _MSR_TICKS_PER_US
        first_us = stamp_us if first_us < 0 else first_us
        kind = fields[3].strip().lower()
        if kind not in ("read", "write"):
            raise ValueError(f"unknown type {fields[3]}")
        yield TraceRequest(stamp_us - first_us, kind, int(fields[4]), int(fields[5]))


def fit_to_volume(
    requests: Iterable[TraceRequest], size: int, max_bytes: int, speed: float, notes: TraceNotes
) -> Iterator[TraceRequest]:
    """Adapt a trace to a volume: whole sectors within `size`, at most `max_bytes` each, times over `speed`.

    Times that run backwards become the previous time; requests beyond the end are wrapped; longer requests
    are split into several at the same time; requests without a length, except flushes, are skipped. Each of
    these is counted. Raises ValueError for sizes below a sector or a speed that is not above zero.
    """
    if size < SECTOR or max_bytes < SECTOR or not speed > 0:
        raise ValueError(
            "a trace needs a volume and a maximum length of at least a sector, and a speed above zero"
        )
    size, max_bytes = size // SECTOR * SECTOR, max_bytes // SECTOR * SECTOR
    latest_us = 0
    for request in requests:
        if request.t_us < latest_us:
            notes.note("times that ran backwards, moved to the one before")
        latest_us = max(latest_us, request.t_us)
        at_us = int(latest_us / speed)
        if request.kind == "flush":
            yield TraceRequest(at_us, "flush", 0, 0)
            continue
        if request.length <= 0 or request.offset < 0:
            notes.note("requests without length or with an offset below zero, skipped")
            continue
        start = request.offset // SECTOR * SECTOR
        remaining = -(-(request.offset + request.length) // SECTOR) * SECTOR - start
        if start + remaining > size:
            notes.note("requests beyond the volume's end, wrapped")
            start %= size
        if remaining > max_bytes:
            notes.note("requests longer than allowed, cut")
        while remaining:
            if start >= size:
                start = 0
            length = min(remaining, max_bytes, size - start)
            yield TraceRequest(at_us, request.kind, start, length)
            start, remaining = start + length, remaining - length


def write(path: str, requests: Iterable[TraceRequest], form: TraceForm) -> int:
    """Write requests as a trace of a format and return their number; times are rounded to its resolution."""
    writers: dict[TraceForm, Callable[[TraceRequest], str]] = {
        TraceForm.FIO3: lambda request: f"{request.t_us // 1000} disk {_fio_action(request)}\n",
        TraceForm.BLKPARSE: _blk_line,
        TraceForm.MSR: _msr_line,
    }
    count, waited_us = 0, 0
    with Path(path).open("w", encoding="utf-8") as file:
        if form in (TraceForm.FIO2, TraceForm.FIO3):
            version = 2 if form is TraceForm.FIO2 else 3
            prefix = "" if version == 2 else "0 "
            file.write(f"fio version {version} iolog\n{prefix}disk add\n{prefix}disk open\n")
        for request in requests:
            if form is TraceForm.FIO2:
                if request.t_us - waited_us >= MIN_WAIT_US:
                    file.write(f"disk wait {request.t_us - waited_us} 0\n")
                    waited_us = request.t_us
                file.write(f"disk {_fio_action(request)}\n")
            else:
                file.write(writers[form](request))
            count += 1
    return count


def _fio_action(request: TraceRequest) -> str:
    return "sync" if request.kind == "flush" else f"{request.kind} {request.offset} {request.length}"


def _msr_line(request: TraceRequest) -> str:
    stamp = (request.t_us + 1) * _MSR_TICKS_PER_US
    return f"{stamp},host,0,{request.kind.capitalize()},{request.offset},{request.length},0\n"


def _blk_line(request: TraceRequest) -> str:
    rwbs = {"read": "R", "write": "W", "trim": "D", "flush": "FN"}[request.kind]
    sectors = "" if request.kind == "flush" else f" {request.offset // SECTOR} + {request.length // SECTOR}"
    seconds = f"{request.t_us // 1_000_000}.{request.t_us % 1_000_000:06d}000"
    return f"  8,0    0        1     {seconds}   100  Q  {rwbs}{sectors} [load]\n"
