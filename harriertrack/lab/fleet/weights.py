"""Heads that lie of their weights, scorers that are broken, and what a day records of both.

A liar says of each node the contrary of what it thinks, as strongly as can be and with all evidence; what it
passes on of others it leaves as it is. Scorers that are broken come as a plugin, as a stranger's would.
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

MOST_STEPS = round(MAX_LOG_WEIGHT / WEIGHT_STEP)
SECOND_US = 1_000_000
BROKEN = ("broken-raises", "broken-nan", "broken-state")
WORST = "worst-first"


def invert_weights(about: bytes) -> bytes:
    """Return a page that says the contrary."""
    page = weight_pages.decode(about)
    entries = tuple(
        replace(one, steps=-MOST_STEPS if one.steps > 0 else MOST_STEPS, evidence=MAX_EVIDENCE)
        for one in page.entries
    )
    return weight_pages.encode(replace(page, entries=entries))


def falsify_datagram(data: bytes) -> bytes:
    """Return a datagram as a liar sends it."""
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
    """A port whose datagrams are a liar's."""

    def __init__(self, port: DatagramPort) -> None:
        self._port, self.address, self.dropped = port, port.address, 0

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram; if that can't be done at once it is lost."""
        self._port.send(falsify_datagram(data), address)

    def close(self) -> None:
        """Take and send no more."""
        self._port.close()


class LyingDatagrams:
    """A network over which this process lies of its weights."""

    def __init__(self, network: DatagramNetwork) -> None:
        self._network = network

    def bind(self, address: Address, take: DatagramHandler, name: str = "") -> DatagramPort:
        """Bind an address; `take` is called with each datagram and its source. Raises OSError."""
        return LyingPort(self._network.bind(address, take, name))


class _Raises:
    def score(self, picture: Snapshot) -> Mapping[str, float]:
        raise RuntimeError("rehearsed")


class _GivesNan:
    def score(self, picture: Snapshot) -> Mapping[str, float]:
        return {one.node: math.nan for one in picture.nodes}


class _WorstFirst:
    """It does nothing that a scorer must not, and throws all at the slowest nodes."""

    def score(self, picture: Snapshot) -> Mapping[str, float]:
        return {one.node: (one.latency_us / 1e3) ** 4 for one in picture.nodes if one.latency_us > 0}


class _KeepsState:
    def __init__(self) -> None:
        self._calls = 0

    def score(self, picture: Snapshot) -> Mapping[str, float]:
        self._calls += 1
        return {one.node: float(self._calls) for one in picture.nodes}


@scorers
def harriertrack_scorers() -> list[ScorerKind]:
    """Offer the broken ones, and a bad one."""
    makes: tuple[Callable[[], Scorer], ...] = (_Raises, _GivesNan, _KeepsState, _WorstFirst)
    return [ScorerKind(name, 1, (), make) for name, make in zip((*BROKEN, WORST), makes, strict=True)]


PLUGIN = sys.modules[__name__]  # as an entry point names it


class Tally:
    """Counts what leaves heads in notes by topic, second by second."""

    def __init__(self, recorder: rec.Recorder) -> None:
        self._recorder = recorder
        self._sums: dict[str, tuple[int, int]] = {}  # since when, and how many bytes

    def passed(self, now: int, head: str, data: bytes) -> None:
        """A datagram leaves a head."""
        if data[:1] == MARK:
            return
        try:
            topics = decode(data).topics
        except MalformedDatagram:
            return
        since, total = self._sums.get(head, (now, 0))
        if now >= since + SECOND_US:
            self._recorder.add(rec.NotesSent(t=now, head=head, us=max(now - since, SECOND_US), bytes=total))
            since, total = now, 0
        self._sums[head] = since, total + sum(len(msgspec.msgpack.encode(note)) for note in topics)


def record_from_log(now: int, head: str, event: str, fields: dict[str, object]) -> rec.Record | None:
    """Return what a line of a head's log says of weights, if anything."""
    if event == "fleet weights":
        said = {"used": fields["weights"], "own": fields["own"], "joined": fields["joined"]}
        return msgspec.convert({"t": now, "head": head, **said}, rec.Weights)
    if event in ("scorer lost its vote", "scorer has its vote back"):
        has, scorer = event.endswith("back"), str(fields["scorer"])
        return rec.ScorerVote(t=now, head=head, scorer=scorer, has=has, why=str(fields.get("why", "")))
    return None
