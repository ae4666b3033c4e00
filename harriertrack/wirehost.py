"""Adapter: the bench's text wire on standard input and output, many instances of the module.

It translates and nothing more; every decision is the module's (harriertrack/decisions/scheduler.py).
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
    """A line or a setting that cannot be read; the text says what and where."""


def whole(text: str) -> int:
    """Read a whole number that may be absent."""
    return 0 if text == "-" else int(text)


def number(text: str) -> float:
    """Read a number that may be absent."""
    return 0.0 if text == "-" else float(text)


def load_of(text: str) -> tuple[float, ...]:
    """Read a load report that may be absent."""
    return () if text == "-" else tuple(number(value) for value in text.split(","))


class WireHost:
    """All instances of one process, and the translation of one batch after another."""

    def __init__(self) -> None:
        self.instances: dict[int, Scheduler] = {}
        self.pools: dict[int, list[api.NodeEntry]] = {}
        self.pending: dict[int, list[api.Event]] = {}
        self.current = -1
        self.line_number = 0

    def serve(self, lines: Iterable[str], out: TextIO) -> None:
        """Answer batches until the input ends."""
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
        """Read the line that begins a batch."""
        word, _, clock = line.strip().partition(" ")
        if word != "begin_batch":
            raise WireError(f"expected begin_batch and a clock, not {line.strip()[:80]!r}")
        return int(clock)

    def read_batch(self, rows: Iterator[str]) -> None:
        """Collect the events of one batch for each instance."""
        self.pending = {}
        for line in rows:
            self.line_number += 1
            word, _, rest = line.rstrip("\n").partition(" ")
            if word == "req":
                txn, hosts, left, kind, owner, options, extent, shard, plan, units = rest.split(" ")
                self.add(
                    api.RequestArrived(
                        int(txn), kind, plan, owner, "" if extent == "-" else extent,
                        -1 if shard == "-" else int(shard), 1.0 if units == "-" else float(units), int(left),
                        whole(hosts), bool(whole(options) & REPEAT_FLAG),
                    )
                )  # fmt: skip
            elif word == "report_back":
                txn, trial, shelf, result, rtt, finished, used, delta, load = rest.split(" ")
                self.add(
                    api.AttemptEnded(
                        int(txn), int(trial), shelf, RESULTS[result], whole(rtt), finished == "1",
                        whole(used), number(delta), load_of(load),
                    )
                )  # fmt: skip
            elif word == "wake":
                self.add(api.TimerFired(rest))
            elif word == "select":
                self.current = int(rest)
            elif word == "timed_out_client":
                self.add(api.ClientLeft(int(rest)))
            elif word == "pong":
                shelf, result, rtt, load = rest.split(" ")
                self.add(api.ProbeEnded(shelf, RESULTS[result], whole(rtt), load_of(load)))
            elif word == "started":
                txn, _shelf, trial, _rtt = rest.split(" ")
                self.add(api.ResponseStarted(int(txn), int(trial)))
            elif word == "pool":
                bank, count = rest.split(" ")
                self.pools[int(bank)] = [self.read_row(rows) for _ in range(int(count))]
            elif word == "directory_update":
                form, _serial, bank = rest.split(" ")
                news = FORMS[form]
                entries = [] if news is api.ListKind.FAILED else self.pools[int(bank)]
                self.add(api.NodesChanged(news, entries))
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
        """Hand an event to the selected instance, which must be running."""
        if self.current not in self.instances:
            raise WireError(f"an event for instance {self.current}, which is not running")
        self.pending.setdefault(self.current, []).append(event)

    def read_row(self, rows: Iterator[str]) -> api.NodeEntry:
        """Read one entry of a node list."""
        self.line_number += 1
        word, shelf, zone, kind, bay, state, nominal, started = next(rows, "").split()
        if word != "row":
            raise WireError(f"expected row, not {word[:80]!r}")
        return api.NodeEntry(shelf, whole(bay), STATES[state], zone, whole(started), kind, number(nominal))

    def answer(self, now: int) -> Iterator[str]:
        """Let each instance with an event act, and write its actions."""
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
    """Serve standard input; end with one plain message if it cannot be read."""
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
