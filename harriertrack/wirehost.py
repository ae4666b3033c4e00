"""Adapter for the bench's text protocol on standard input and output, with many instances of the module.

It only translates; all decisions are made by the module (harriertrack/decisions/scheduler.py).
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Iterator
from typing import TextIO

from harriertrack.decisions import interface as api
from harriertrack.decisions.scheduler import Scheduler
from harriertrack.decisions.settings_parser import parse_settings

STATES = {"IN": api.NodeState.UP, "LAME": api.NodeState.DRAINING, "OUT": api.NodeState.GONE}
FORMS = {
    "update": api.ListKind.CHANGES,
    "replace": api.ListKind.FULL,
    "restored": api.ListKind.RESTORED,
    "unavailable": api.ListKind.FAILED,
}
RESULTS = {
    "pass": api.Result.OK,
    "fault": api.Result.ERROR,
    "no_room": api.Result.FULL,
    "too_slow": api.Result.TIMEOUT,
    "no_route": api.Result.CONNECT_FAILED,
    "cut": api.Result.RESET,
    "undone": api.Result.CANCELLED,
    "stale_send": api.Result.MOOT,
}
REPEAT_FLAG = 2


class WireError(Exception):
    """A line or a setting that cannot be parsed; the message says what and where."""


def read_integer(text: str) -> int:
    """Read an integer; "-" stands for 0."""
    return 0 if text == "-" else int(text)


def read_number(text: str) -> float:
    """Read a number; "-" stands for 0."""
    return 0.0 if text == "-" else float(text)


def read_load(text: str) -> tuple[float, ...]:
    """Read a load report; "-" stands for none."""
    return () if text == "-" else tuple(read_number(value) for value in text.split(","))


class WireHost:
    """Runs all module instances of the process and translates one batch after another."""

    def __init__(self) -> None:
        self.instances: dict[int, Scheduler] = {}
        self.pools: dict[int, list[api.NodeEntry]] = {}
        self.pending: dict[int, list[api.Event]] = {}
        self.current = -1
        self.line_number = 0

    def serve(self, lines: Iterable[str], out: TextIO) -> None:
        """Process batches until the input ends."""
        rows = iter(lines)
        for line in rows:
            self.line_number += 1
            if line.isspace():
                continue
            try:
                now = self.read_clock(line)
                self.read_batch(rows)
            except KeyError as error:
                raise WireError(f"unknown or missing {error}") from error
            except (ValueError, TypeError, AttributeError) as error:
                raise WireError(error) from error
            out.write("".join(self.answer(now)))
            out.flush()

    def read_clock(self, line: str) -> int:
        """Return the time from the line that begins a batch."""
        word, _, clock = line.strip().partition(" ")
        if word != "begin_batch":
            raise WireError(f"expected begin_batch and a clock, not {line.strip()[:80]!r}")
        return int(clock)

    def read_batch(self, rows: Iterator[str]) -> None:
        """Collect the events of one batch by instance."""
        self.pending = {}
        for line in rows:
            self.line_number += 1
            word, _, rest = line.rstrip("\n").partition(" ")
            if word == "req":
                request, hosts, left, kind, volume, options, extent, shard, plan, units = rest.split(" ")
                self.add(
                    api.RequestArrived(
                        int(request), kind, plan, volume, "" if extent == "-" else extent,
                        -1 if shard == "-" else int(shard), 1.0 if units == "-" else float(units), int(left),
                        read_integer(hosts), bool(read_integer(options) & REPEAT_FLAG),
                    )
                )  # fmt: skip
            elif word == "report_back":
                request, attempt, node, result, elapsed, finished, used, elsewhere, load = rest.split(" ")
                self.add(
                    api.AttemptEnded(
                        int(request), int(attempt), node, RESULTS[result], read_integer(elapsed),
                        finished == "1", read_integer(used), read_number(elsewhere), read_load(load),
                    )
                )  # fmt: skip
            elif word == "wake":
                self.add(api.TimerFired(rest))
            elif word == "select":
                self.current = int(rest)
            elif word == "timed_out_client":
                self.add(api.ClientLeft(int(rest)))
            elif word == "pong":
                node, result, elapsed, load = rest.split(" ")
                self.add(api.ProbeEnded(node, RESULTS[result], read_integer(elapsed), read_load(load)))
            elif word == "started":
                request, _node, attempt, _elapsed = rest.split(" ")
                self.add(api.ResponseStarted(int(request), int(attempt)))
            elif word == "pool":
                index, count = rest.split(" ")
                self.pools[int(index)] = [self.read_row(rows) for _ in range(int(count))]
            elif word == "directory_update":
                form, _serial, index = rest.split(" ")
                list_kind = FORMS[form]
                entries = [] if list_kind is api.ListKind.FAILED else self.pools[int(index)]
                self.add(api.NodesChanged(list_kind, entries))
            elif word == "init":
                seed, conf = rest.split(" ", 1)
                self.instances[self.current] = Scheduler(parse_settings(json.loads(conf)), int(seed))
                self.pending[self.current] = []
            elif word == "stop":
                self.instances.pop(self.current, None)
                self.pending.pop(self.current, None)
            elif word == "eob":
                return
            elif word != "mail":
                raise WireError(f"unknown message {word[:80]!r}")
        raise WireError("the input ended inside a batch")

    def add(self, event: api.Event) -> None:
        """Add an event for the selected instance, which must be running."""
        if self.current not in self.instances:
            raise WireError(f"an event for instance {self.current}, which is not running")
        self.pending.setdefault(self.current, []).append(event)

    def read_row(self, rows: Iterator[str]) -> api.NodeEntry:
        """Read one entry of a node list."""
        self.line_number += 1
        word, node, zone, kind, shard, state, size, started = next(rows, "").split()
        if word != "row":
            raise WireError(f"expected row, not {word[:80]!r}")
        return api.NodeEntry(
            node, read_integer(shard), STATES[state], zone, read_integer(started), kind, read_number(size)
        )

    def answer(self, now: int) -> Iterator[str]:
        """Pass the events to their instances and yield the lines of their actions."""
        for index, events in self.pending.items():
            actions = self.instances[index].handle(now, events)
            if actions:
                yield f"for {index}\n"
            for action in actions:
                match action:
                    case api.Send():
                        yield f"assign {action.request} {action.node} {action.timeout_us}\n"
                    case api.SetTimer():
                        yield f"remind {action.token} {action.at_us}\n"
                    case api.Refuse():
                        yield f"bounce {action.request} {action.retry_after_us}\n"
                    case api.Fail():
                        yield f"respond_error {action.request}\n"
                    case api.Cancel():
                        yield f"retract {action.request} {action.attempt}\n"
                    case api.Probe():
                        yield f"ask_load {action.node}\n"
                    case api.Subscribe():
                        yield f"track {int(action.on)}\n"
                    case api.Log():
                        yield f"record {action.text}\n"
        yield "ok\n"


def main() -> None:
    """Serve standard input; exit with status 2 and a one-line message if it cannot be parsed."""
    host = WireHost()
    lines = open(0, encoding="utf-8", newline="\n", closefd=False)
    out = open(1, "w", encoding="utf-8", newline="\n", closefd=False)
    try:
        host.serve(lines, out)
    except WireError as error:
        sys.stderr.write(f"harriertrack: input line {host.line_number}: {error}\n")
        sys.exit(2)


if __name__ == "__main__":
    main()
