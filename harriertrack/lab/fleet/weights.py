"""Heads that publish false weights, broken scorers, and the records of both on a day.

A lying head publishes the inverse of its weight for each node, at maximum strength and with maximum evidence;
weights of other heads that it forwards stay unchanged. Broken scorers come as a third-party plugin would.
"""

from __future__ import annotations

import math
import sys
from collections.abc import Callable, Mapping
from dataclasses import replace

import msgspec

from harriertrack.decisions.fleet.scoring.rules import MAX_LOG_WEIGHT
from harriertrack.decisions.fleet.scoring.scorers.base import Scorer, ScorerKind
from harriertrack.decisions.fleet.scoring.snapshot import Snapshot
from harriertrack.decisions.fleet.scoring.weight_exchange import MAX_EVIDENCE, WEIGHT_STEP
from harriertrack.gateway.fleet.scoring.plugins import scorers
from harriertrack.lab.fleet.later import TOPICS
from harriertrack.membership.fleet import weight_pages
from harriertrack.membership.fleet.messages import MalformedDatagram, decode
from harriertrack.membership.fleet.topic_datagrams import MARK
from harriertrack.rules import recording as rec
from harriertrack.runtime.datagrams import Address, DatagramHandler, DatagramNetwork, DatagramPort

MAX_STEPS = round(MAX_LOG_WEIGHT / WEIGHT_STEP)
SECOND_US = 1_000_000
BROKEN = ("broken-raises", "broken-nan", "broken-state")
WORST = "worst-first"


def invert_weights(encoded: bytes) -> bytes:
    """Return a page of weights with each inverted, at maximum strength and evidence."""
    page = weight_pages.decode(encoded)
    entries = tuple(
        replace(entry, steps=-MAX_STEPS if entry.steps > 0 else MAX_STEPS, evidence=MAX_EVIDENCE)
        for entry in page.entries
    )
    return weight_pages.encode(replace(page, entries=entries))


def falsify_datagram(data: bytes) -> bytes:
    """Return a datagram with the sender's own weights inverted."""
    if data[:1] == MARK:
        return data
    fields = msgspec.msgpack.decode(data)
    if len(fields) <= TOPICS:
        return data
    sender = fields[4]
    for note in fields[TOPICS]:
        if note[0] == sender and note[5].startswith(weight_pages.TOPIC):
            note[4] = invert_weights(note[4])
    return msgspec.msgpack.encode(fields)


class LyingPort:
    """A port that inverts the head's weights in the datagrams it sends."""

    def __init__(self, port: DatagramPort) -> None:
        self._port, self.address, self.dropped = port, port.address, 0

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram; it is lost if the socket can't send at once."""
        self._port.send(falsify_datagram(data), address)

    def close(self) -> None:
        """Stop receiving and sending."""
        self._port.close()


class LyingDatagrams:
    """A network over which this process publishes false weights."""

    def __init__(self, network: DatagramNetwork) -> None:
        self._network = network

    def bind(self, address: Address, take: DatagramHandler, name: str = "") -> DatagramPort:
        """Bind an address; `take` is called with each datagram and its source address. Raises OSError."""
        return LyingPort(self._network.bind(address, take, name))


class _Raises:
    def score(self, snapshot: Snapshot) -> Mapping[str, float]:
        raise RuntimeError("rehearsed")


class _GivesNan:
    def score(self, snapshot: Snapshot) -> Mapping[str, float]:
        return {node.node: math.nan for node in snapshot.nodes}


class _WorstFirst:
    """Obeys all rules of a scorer, but prefers the slowest nodes."""

    def score(self, snapshot: Snapshot) -> Mapping[str, float]:
        return {node.node: (node.latency_us / 1e3) ** 4 for node in snapshot.nodes if node.latency_us > 0}


class _KeepsState:
    def __init__(self) -> None:
        self._calls = 0

    def score(self, snapshot: Snapshot) -> Mapping[str, float]:
        self._calls += 1
        return {node.node: float(self._calls) for node in snapshot.nodes}


@scorers
def harriertrack_scorers() -> list[ScorerKind]:
    """Offer the broken scorers, and one that is valid but bad."""
    factories: tuple[Callable[[], Scorer], ...] = (_Raises, _GivesNan, _KeepsState, _WorstFirst)
    return [
        ScorerKind(name, 1, (), factory) for name, factory in zip((*BROKEN, WORST), factories, strict=True)
    ]


PLUGIN = sys.modules[__name__]  # the plugin's module, as an entry point names it


class Tally:
    """Counts the bytes of topic notes that heads send, second by second."""

    def __init__(self, recorder: rec.Recorder) -> None:
        self._recorder = recorder
        self._sums: dict[str, tuple[int, int]] = {}  # by head: start of the interval, bytes

    def passed(self, now: int, head: str, data: bytes) -> None:
        """Count the topic notes of a datagram that leaves a head."""
        if data[:1] == MARK:
            return
        try:
            topics = decode(data).topics
        except MalformedDatagram:
            return
        began, total = self._sums.get(head, (now, 0))
        if now >= began + SECOND_US:
            self._recorder.add(rec.NotesSent(t=now, head=head, us=max(now - began, SECOND_US), bytes=total))
            began, total = now, 0
        self._sums[head] = began, total + sum(len(msgspec.msgpack.encode(note)) for note in topics)


def record_from_log(now: int, head: str, event: str, fields: dict[str, object]) -> rec.Record | None:
    """Return the record of a head's log line about weights or scorers; None for other lines."""
    if event == "fleet weights":
        weights = {"used": fields["weights"], "own": fields["own"], "joined": fields["joined"]}
        return msgspec.convert({"t": now, "head": head, **weights}, rec.Weights)
    if event in ("scorer lost its vote", "scorer has its vote back"):
        has_vote, scorer = event.endswith("back"), str(fields["scorer"])
        return rec.ScorerVote(t=now, head=head, scorer=scorer, has=has_vote, why=str(fields.get("why", "")))
    return None
