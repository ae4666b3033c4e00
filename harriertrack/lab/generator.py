"""Open-loop load over real sockets: requests leave at their drawn times whatever the answers do.

Latency counts from the time a request was meant to leave, so that a server which stalls can't hide the
requests that it kept from being sent (Tene, "How NOT to measure latency"). A generator that falls behind its
own plan says so, and its run is void (`decisions/pacing.py`).
"""

from __future__ import annotations

import gc
import random
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterator
from contextlib import suppress
from itertools import chain
from typing import Annotated

import msgspec
from hdrh.histogram import HdrHistogram

from harriertrack.config.settings import (
    Name,
    NonNegativeFloat,
    NonNegativeInt,
    Port,
    PositiveInt,
    SettingsStruct,
    Share,
    read_file,
)
from harriertrack.config.sexp import Form, SettingsError, bind
from harriertrack.decisions.pacing import Pacing, PacingRule, RunValidity
from harriertrack.gateway.client import NbdClient, NbdClientError
from harriertrack.gateway.front import REFUSED
from harriertrack.lab import traces
from harriertrack.lab.arrivals import (
    PhaseSettings,
    RateIntegral,
    SurgeSettings,
    Zipf,
    arrivals,
    draw_surges,
    length_us,
)
from harriertrack.lab.load import COMMANDS
from harriertrack.lab.scores import LOWEST_US, QUANTILES, encode_histogram, histogram
from harriertrack.protocol.nbd.client import Reply
from harriertrack.protocol.nbd.extension import HINTS_CONTEXT
from harriertrack.protocol.nbd.wire import BASE_ALLOCATION, Errno, ProtocolViolation
from harriertrack.runtime.hub import DeadlineExceeded, Hub, Scope
from harriertrack.runtime.streams import Network

KINDS = ("read", "write", "trim", "flush")
OPEN_US = 5_000_000
AGAIN_US = 100_000
SECOND_US = 1_000_000
COUNT_US, COUNT_MOST = 10_000, 100  # how often answers are counted, and how many at once


class LoadVolume(SettingsStruct, frozen=True, kw_only=True):
    """A volume that is asked, where, and its part of the rate; all parts are scaled to one."""

    name: Name
    address: tuple[str, Port]
    share: NonNegativeFloat = 1.0
    connections: PositiveInt = 1


class MixSettings(SettingsStruct, frozen=True, kw_only=True):
    """Which kinds of requests, as parts that are scaled to one."""

    read: NonNegativeFloat = 0.7
    write: NonNegativeFloat = 0.3
    trim: NonNegativeFloat = 0.0
    flush: NonNegativeFloat = 0.0


class TraceSettings(SettingsStruct, frozen=True, kw_only=True):
    """A trace that is played instead of drawn requests, on the first volume."""

    file: str
    speed: Annotated[float, msgspec.Meta(gt=0, le=1e6)] = 1.0
    action: str = "Q"  # of blkparse text: which events count


class LoadSettings(SettingsStruct, frozen=True, kw_only=True):
    """A load."""

    name: Name
    about: str = ""
    seed: NonNegativeInt = 1
    volumes: tuple[LoadVolume, ...]
    phases: tuple[PhaseSettings, ...] = ()
    surge: SurgeSettings | None = None
    dispersion: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1.0
    popularity: Annotated[float, msgspec.Meta(ge=0, le=10)] = 0.9  # Zipf's exponent over a volume's blocks
    block_bytes: Annotated[int, msgspec.Meta(ge=512, multiple_of=512, le=32 << 20)] = 4096
    mix: MixSettings = MixSettings()
    trace: TraceSettings | None = None
    plain: bool = False  # its connections hear no hints: what a head refuses waits there
    give_up_us: PositiveInt = 30_000_000  # how long after the last request answers are waited for
    late_us: PositiveInt = 20_000
    late_share: Share = 0.01


class LoadStep(msgspec.Struct, kw_only=True):
    """One second: what was meant to leave in it, and the latency of what was answered in it."""

    t_us: int
    planned: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    latency_us: list[float] = []  # at QUANTILES
    most_us: int = 0


class LoadResult(msgspec.Struct, kw_only=True, tag="load", tag_field="form"):
    """A run's one file."""

    name: str
    seed: int
    fit: str  # good or void
    why: str
    planned: int
    sent: int
    served: int
    refused: int
    failed: int
    unanswered: int
    late: int
    worst_late_us: int
    latency: dict[str, str]  # packed histograms of served requests, by kind, from the intended start
    steps: list[LoadStep]
    notes: dict[str, int]  # what was odd about a trace


def load_settings(path: str) -> LoadSettings:
    """Read and check a load. Raises SettingsError with file, line and field."""
    return parse_load(read_file(path), path)


def parse_load(form: Form, source: str) -> LoadSettings:
    """Check a form of a load. Raises SettingsError."""
    load = bind(form, LoadSettings, source)
    where = f"{source}:{form.line}"
    if not load.volumes:
        raise SettingsError(f"{where}: volume: at least one is needed")
    if bool(load.phases) == bool(load.trace):
        raise SettingsError(f"{where}: phase: give either phases or a trace")
    if load.phases and not sum(volume.share for volume in load.volumes):
        raise SettingsError(f"{where}: volume: all shares are zero")
    mix = load.mix
    if not mix.read + mix.write + mix.trim + mix.flush:
        raise SettingsError(f"{where}: mix: all parts are zero")
    if load.trace is not None:
        try:
            traces.detect_form(load.trace.file)
        except traces.TraceError as error:
            raise SettingsError(f"{where}: trace: {error}") from error
    return load


def _begun(plan: Iterator[traces.TraceRequest]) -> Iterator[traces.TraceRequest]:
    return chain([first], plan) if (first := next(plan, None)) is not None else plan


class _Line:
    """One connection, opened again whenever it breaks."""

    def __init__(self, hub: Hub, network: Network, volume: LoadVolume, number: int, plain: bool) -> None:
        self._contexts = (BASE_ALLOCATION,) if plain else (BASE_ALLOCATION, HINTS_CONTEXT)
        self._hub, self._network, self._volume = hub, network, volume
        self._name = f"load {volume.name} {number}"
        self.client: NbdClient | None = None
        self.size = 0

    def keep(self, scope: Scope) -> None:
        """Keep it open (the connection's task)."""
        while True:
            if self.client is None:
                with suppress(OSError, DeadlineExceeded, NbdClientError, ProtocolViolation):
                    self.open(scope)
            self._hub.sleep(AGAIN_US)

    def open(self, scope: Scope) -> None:
        """Open it. Raises what the client raises."""
        client = NbdClient(self._hub, self._network, self._name, self._contexts)
        deadline = self._hub.now() + OPEN_US
        client.open(self._volume.address, deadline)
        client.go(scope, self._volume.name, deadline)
        client.on_lost = self._lost
        self.client, self.size = client, client.size

    def _lost(self) -> None:
        self.client = None


class Generator:
    """One run."""

    def __init__(self, hub: Hub, network: Network, load: LoadSettings,
                 told: Callable[[LoadStep, Pacing], None] = lambda _step, _pacing: None) -> None:  # fmt: skip
        self.hub, self.load = hub, load
        self.pacing = Pacing(PacingRule(late_us=load.late_us, late_share=load.late_share))
        self._network, self._told = network, told
        self._notes = traces.TraceNotes()
        self._latency: dict[str, HdrHistogram] = defaultdict(histogram)
        self._steps: dict[int, LoadStep] = {}
        self._of_step: dict[int, HdrHistogram] = {}
        self._totals: Counter[str] = Counter()
        # Answers not counted yet, with their latencies: counting a burst of thousands at once would hold up
        # the reading of the rest of it.
        self._served: deque[tuple[str, LoadStep, int]] = deque()
        self._open = 0
        self._start = 0

    def run(self) -> LoadResult:
        """Play the load to its end (a task). Raises OSError, NbdClientError if a volume can't be opened."""
        hub, load = self.hub, self.load
        with hub.scope("load") as scope:
            lines: list[list[_Line]] = []
            for volume in load.volumes:
                mine = [
                    _Line(hub, self._network, volume, number, load.plain)
                    for number in range(volume.connections)
                ]
                for line in mine:
                    line.open(scope)
                    scope.spawn("keep", line.keep, scope)
                lines.append(mine)
            # The first draw of each takes its time: it is made before the clock starts.
            plans = [_begun(plan) for plan in self._plans([mine[0].size for mine in lines])]
            gc.collect()
            gc.freeze()  # what stands now is not looked through again and again while times are taken
            self._start = hub.now()
            tasks = [
                scope.spawn(f"plan {volume.name}", self._play, plan, mine)
                for volume, plan, mine in zip(load.volumes, plans, lines, strict=False)
            ]
            scope.spawn("progress", self._tell)
            scope.spawn("count", self._counting)
            while not all(task.done for task in tasks):
                hub.sleep(20_000)
            until = hub.now() + load.give_up_us
            while self._open and hub.now() < until:
                hub.sleep(20_000)
            unanswered = self._open
            scope.cancel()
        gc.unfreeze()
        return self._result(unanswered)

    def _plans(self, sizes: list[int]) -> list[Iterator[traces.TraceRequest]]:
        load = self.load
        if load.trace is not None:
            asked = traces.read(load.trace.file, self._notes, load.trace.action)
            most = max(load.block_bytes, 1 << 20)
            return [traces.fit_to_volume(asked, sizes[0], most, load.trace.speed, self._notes)]
        surges = draw_surges(load.surge, length_us(load.phases), len(load.volumes), load.seed)
        whole = sum(volume.share for volume in load.volumes)
        return [
            self._drawn(number, RateIntegral(load.phases, one.share / whole, surges, number), sizes[number])
            for number, one in enumerate(load.volumes)
        ]

    def _drawn(self, number: int, integral: RateIntegral, size: int) -> Iterator[traces.TraceRequest]:
        load, mix = self.load, self.load.mix
        seed = [load.seed, 2, number]
        rng = random.Random(f"{load.seed} kinds {number}")
        blocks = Zipf(max(1, size // load.block_bytes), load.popularity, [load.seed, 3, number])
        parts = [mix.read, mix.write, mix.trim, mix.flush]
        for t in arrivals(integral, load.dispersion, seed):
            kind = rng.choices(KINDS, parts)[0]
            if kind == "flush":
                yield traces.TraceRequest(t, kind, 0, 0)
            else:
                yield traces.TraceRequest(
                    t, kind, blocks.next() * load.block_bytes, min(load.block_bytes, size)
                )

    def _play(self, plan: Iterator[traces.TraceRequest], lines: list[_Line]) -> None:
        body = random.Random(self.load.seed).randbytes(max(self.load.block_bytes, 1 << 20))
        for number, one in enumerate(plan):
            intended = self._start + one.t_us
            if intended > self.hub.now():
                self.hub.sleep_until(intended)
            self._send(one, lines[number % len(lines)], intended, body)

    def _send(self, one: traces.TraceRequest, line: _Line, intended: int, body: bytes) -> None:
        hub = self.hub
        planned = self._step(intended)
        planned.planned += 1
        client = line.client
        if client is None:
            self.pacing.record_unsent()
            return
        self.pacing.record_sent(intended, hub.now())
        self._open += 1

        def then(reply: Reply | None) -> None:
            self._open -= 1
            step = self._step(hub.now() if reply is None else client.read_at)
            if reply is None or (reply.error and reply.error not in (REFUSED, Errno.ESHUTDOWN)):
                step.failed += 1
                self._totals["failed"] += 1
            elif reply.error:
                step.refused += 1
                self._totals["refused"] += 1
            else:
                took = max(LOWEST_US, client.read_at - intended)
                self._served.append((one.kind, step, took))

        data = body[: one.length] if one.kind == "write" else b""
        client.start(COMMANDS[one.kind], one.offset, 0 if data else one.length, data, then)

    def _step(self, now: int) -> LoadStep:
        at = max(0, now - self._start) // SECOND_US * SECOND_US
        if at not in self._steps:
            self._steps[at] = LoadStep(t_us=at)
        return self._steps[at]

    def _tell(self) -> None:
        while True:
            self.hub.sleep(SECOND_US)
            self._told(self._step(self.hub.now() - SECOND_US), self.pacing)

    def _counting(self) -> None:
        # A little at a time: histograms cost some microseconds a value, and requests are due meanwhile.
        while True:
            self.hub.sleep(COUNT_US)
            self._count(COUNT_MOST)

    def _count(self, most: int) -> None:
        for _ in range(min(most, len(self._served))):
            kind, step, took = self._served.popleft()
            step.served += 1
            step.most_us = max(step.most_us, took)
            self._totals["served"] += 1
            self._latency[kind].record_value(took)
            self._of_step.setdefault(step.t_us, histogram()).record_value(took)

    def _result(self, unanswered: int) -> LoadResult:
        self._count(len(self._served))
        steps = [self._steps[at] for at in sorted(self._steps)]
        for step in steps:
            if (filled := self._of_step.get(step.t_us)) is not None:
                step.latency_us = [float(filled.get_value_at_percentile(one)) for one in QUANTILES]
        pacing, totals = self.pacing, self._totals
        return LoadResult(
            name=self.load.name, seed=self.load.seed, fit=pacing.validity.value, why=pacing.void_reason(),
            planned=pacing.planned, sent=pacing.sent, served=totals["served"], refused=totals["refused"],
            failed=totals["failed"], unanswered=unanswered, late=pacing.late, worst_late_us=pacing.worst_us,
            latency={kind: encode_histogram(filled) for kind, filled in sorted(self._latency.items())},
            steps=steps, notes=dict(self._notes.counts),
        )  # fmt: skip


def is_void(result: LoadResult) -> bool:
    """Whether no figure of a run may be quoted."""
    return result.fit == RunValidity.VOID.value
