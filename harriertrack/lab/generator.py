"""Open-loop load over real sockets: requests are sent at their planned times, whether or not answers arrive.

Latency is measured from the time at which a request was due, so that a stalled server can't hide the requests
whose sending it delayed (coordinated omission; Tene, "How NOT to measure latency"). A generator that falls
behind its own plan reports that, and its run is void (`decisions/pacing.py`).
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
OPEN_TIMEOUT_US = 5_000_000
REOPEN_INTERVAL_US = 100_000
SECOND_US = 1_000_000
# How often answers are added to histograms, and how many at once.
COUNT_INTERVAL_US, COUNT_BATCH = 10_000, 100


class LoadVolume(SettingsStruct, frozen=True, kw_only=True):
    """A volume to load, the address that serves it, and its share of the rate (scaled to a sum of 1)."""

    name: Name
    address: tuple[str, Port]
    share: NonNegativeFloat = 1.0
    connections: PositiveInt = 1


class MixSettings(SettingsStruct, frozen=True, kw_only=True):
    """The mix of request kinds; the parts are scaled to a sum of 1."""

    read: NonNegativeFloat = 0.7
    write: NonNegativeFloat = 0.3
    trim: NonNegativeFloat = 0.0
    flush: NonNegativeFloat = 0.0


class TraceSettings(SettingsStruct, frozen=True, kw_only=True):
    """A trace to replay on the first volume instead of randomly drawn requests."""

    file: str
    speed: Annotated[float, msgspec.Meta(gt=0, le=1e6)] = 1.0
    action: str = "Q"  # which events of a blkparse text are requests


class LoadSettings(SettingsStruct, frozen=True, kw_only=True):
    """A load: its volumes, and either phases of drawn requests or a trace."""

    name: Name
    about: str = ""
    seed: NonNegativeInt = 1
    volumes: tuple[LoadVolume, ...]
    phases: tuple[PhaseSettings, ...] = ()
    surge: SurgeSettings | None = None
    dispersion: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1.0
    popularity: Annotated[float, msgspec.Meta(ge=0, le=10)] = 0.9  # Zipf exponent over a volume's blocks
    block_bytes: Annotated[int, msgspec.Meta(ge=512, multiple_of=512, le=32 << 20)] = 4096
    mix: MixSettings = MixSettings()
    trace: TraceSettings | None = None
    plain: bool = False  # connections negotiate no retry hints: the head queues requests instead of refusing
    give_up_us: PositiveInt = 30_000_000  # how long to wait for answers after the last request
    late_us: PositiveInt = 20_000
    late_share: Share = 0.01


class LoadStep(msgspec.Struct, kw_only=True):
    """One second: how many requests were due in it, and outcomes and latencies of those answered in it."""

    t_us: int
    planned: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    latency_us: list[float] = []  # at QUANTILES
    most_us: int = 0


class LoadResult(msgspec.Struct, kw_only=True, tag="load", tag_field="form"):
    """The results of a run, written as one file."""

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
    latency: dict[str, str]  # encoded histograms of served requests, by kind, from the time each was due
    steps: list[LoadStep]
    notes: dict[str, int]  # anomalies of a trace, by kind


def load_settings(path: str) -> LoadSettings:
    """Read and validate a load. Raises SettingsError that names file, line and field."""
    return parse_load(read_file(path), path)


def parse_load(form: Form, source: str) -> LoadSettings:
    """Validate a load that was read as a form. Raises SettingsError."""
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


def _draw_first(plan: Iterator[traces.TraceRequest]) -> Iterator[traces.TraceRequest]:
    """Draw the first request of a plan ahead of time; return the plan with that request in front."""
    return chain([first], plan) if (first := next(plan, None)) is not None else plan


class _Connection:
    """One connection, reopened whenever it is lost."""

    def __init__(self, hub: Hub, network: Network, volume: LoadVolume, number: int, plain: bool) -> None:
        self._contexts = (BASE_ALLOCATION,) if plain else (BASE_ALLOCATION, HINTS_CONTEXT)
        self._hub, self._network, self._volume = hub, network, volume
        self._name = f"load {volume.name} {number}"
        self.client: NbdClient | None = None
        self.size = 0

    def maintain(self, scope: Scope) -> None:
        """Reopen the connection whenever it is lost (runs as a task)."""
        while True:
            if self.client is None:
                with suppress(OSError, DeadlineExceeded, NbdClientError, ProtocolViolation):
                    self.open(scope)
            self._hub.sleep(REOPEN_INTERVAL_US)

    def open(self, scope: Scope) -> None:
        """Open the connection. Raises what the client raises."""
        client = NbdClient(self._hub, self._network, self._name, self._contexts)
        deadline = self._hub.now() + OPEN_TIMEOUT_US
        client.open(self._volume.address, deadline)
        client.go(scope, self._volume.name, deadline)
        client.on_lost = self._handle_lost
        self.client, self.size = client, client.size

    def _handle_lost(self) -> None:
        self.client = None


class Generator:
    """One run of a load. `on_progress` is called each second with that second's counts."""

    def __init__(self, hub: Hub, network: Network, load: LoadSettings,
                 on_progress: Callable[[LoadStep, Pacing], None] = lambda _step, _pacing: None,
                 ) -> None:  # fmt: skip
        self.hub, self.load = hub, load
        self.pacing = Pacing(PacingRule(late_us=load.late_us, late_share=load.late_share))
        self._network, self._on_progress = network, on_progress
        self._notes = traces.TraceNotes()
        self._latency: dict[str, HdrHistogram] = defaultdict(histogram)
        self._steps: dict[int, LoadStep] = {}
        self._step_latency: dict[int, HdrHistogram] = {}
        self._totals: Counter[str] = Counter()
        # Answers not yet counted, with their latencies: counting a burst of thousands at once would delay
        # the reading of its remaining answers.
        self._served: deque[tuple[str, LoadStep, int]] = deque()
        self._in_flight = 0
        self._start_us = 0

    def run(self) -> LoadResult:
        """Run the load to its end (as a task). Raises OSError, NbdClientError if a volume can't be opened."""
        hub, load = self.hub, self.load
        with hub.scope("load") as scope:
            connections: list[list[_Connection]] = []
            for volume in load.volumes:
                of_volume = [
                    _Connection(hub, self._network, volume, number, load.plain)
                    for number in range(volume.connections)
                ]
                for connection in of_volume:
                    connection.open(scope)
                    scope.spawn("keep", connection.maintain, scope)
                connections.append(of_volume)
            # The first draw of each plan is slow, so it is made before the clock starts.
            plans = [
                _draw_first(plan)
                for plan in self._plan_requests([of_volume[0].size for of_volume in connections])
            ]
            gc.collect()
            gc.freeze()  # existing objects are not scanned by each collection while latencies are measured
            self._start_us = hub.now()
            tasks = [
                scope.spawn(f"plan {volume.name}", self._send_plan, plan, of_volume)
                for volume, plan, of_volume in zip(load.volumes, plans, connections, strict=False)
            ]
            scope.spawn("progress", self._report_progress)
            scope.spawn("count", self._count_periodically)
            while not all(task.done for task in tasks):
                hub.sleep(20_000)
            give_up_at_us = hub.now() + load.give_up_us
            while self._in_flight and hub.now() < give_up_at_us:
                hub.sleep(20_000)
            unanswered = self._in_flight
            scope.cancel()
        gc.unfreeze()
        return self._result(unanswered)

    def _plan_requests(self, sizes: list[int]) -> list[Iterator[traces.TraceRequest]]:
        load = self.load
        if load.trace is not None:
            requests = traces.read(load.trace.file, self._notes, load.trace.action)
            max_bytes = max(load.block_bytes, 1 << 20)
            return [traces.fit_to_volume(requests, sizes[0], max_bytes, load.trace.speed, self._notes)]
        surges = draw_surges(load.surge, length_us(load.phases), len(load.volumes), load.seed)
        total = sum(volume.share for volume in load.volumes)
        return [
            self._draw_requests(
                number, RateIntegral(load.phases, volume.share / total, surges, number), sizes[number]
            )
            for number, volume in enumerate(load.volumes)
        ]

    def _draw_requests(self, number: int, integral: RateIntegral, size: int) -> Iterator[traces.TraceRequest]:
        load, mix = self.load, self.load.mix
        seed = [load.seed, 2, number]
        rng = random.Random(f"{load.seed} kinds {number}")
        blocks = Zipf(max(1, size // load.block_bytes), load.popularity, [load.seed, 3, number])
        parts = [mix.read, mix.write, mix.trim, mix.flush]
        for at_us in arrivals(integral, load.dispersion, seed):
            kind = rng.choices(KINDS, parts)[0]
            if kind == "flush":
                yield traces.TraceRequest(at_us, kind, 0, 0)
            else:
                yield traces.TraceRequest(
                    at_us, kind, blocks.next() * load.block_bytes, min(load.block_bytes, size)
                )

    def _send_plan(self, plan: Iterator[traces.TraceRequest], connections: list[_Connection]) -> None:
        body = random.Random(self.load.seed).randbytes(max(self.load.block_bytes, 1 << 20))
        for number, request in enumerate(plan):
            due_us = self._start_us + request.t_us
            if due_us > self.hub.now():
                self.hub.sleep_until(due_us)
            self._send(request, connections[number % len(connections)], due_us, body)

    def _send(self, request: traces.TraceRequest, connection: _Connection, due_us: int, body: bytes) -> None:
        hub = self.hub
        planned = self._step_at(due_us)
        planned.planned += 1
        client = connection.client
        if client is None:
            self.pacing.record_unsent()
            return
        self.pacing.record_sent(due_us, hub.now())
        self._in_flight += 1

        def handle_reply(reply: Reply | None) -> None:
            self._in_flight -= 1
            step = self._step_at(hub.now() if reply is None else client.read_at)
            if reply is None or (reply.error and reply.error not in (REFUSED, Errno.ESHUTDOWN)):
                step.failed += 1
                self._totals["failed"] += 1
            elif reply.error:
                step.refused += 1
                self._totals["refused"] += 1
            else:
                latency_us = max(LOWEST_US, client.read_at - due_us)
                self._served.append((request.kind, step, latency_us))

        data = body[: request.length] if request.kind == "write" else b""
        client.start(
            COMMANDS[request.kind], request.offset, 0 if data else request.length, data, handle_reply
        )

    def _step_at(self, now: int) -> LoadStep:
        begin_us = max(0, now - self._start_us) // SECOND_US * SECOND_US
        if begin_us not in self._steps:
            self._steps[begin_us] = LoadStep(t_us=begin_us)
        return self._steps[begin_us]

    def _report_progress(self) -> None:
        while True:
            self.hub.sleep(SECOND_US)
            self._on_progress(self._step_at(self.hub.now() - SECOND_US), self.pacing)

    def _count_periodically(self) -> None:
        # In small batches: a histogram takes some microseconds for each value, and requests become due
        # meanwhile.
        while True:
            self.hub.sleep(COUNT_INTERVAL_US)
            self._count(COUNT_BATCH)

    def _count(self, limit: int) -> None:
        for _ in range(min(limit, len(self._served))):
            kind, step, latency_us = self._served.popleft()
            step.served += 1
            step.most_us = max(step.most_us, latency_us)
            self._totals["served"] += 1
            self._latency[kind].record_value(latency_us)
            self._step_latency.setdefault(step.t_us, histogram()).record_value(latency_us)

    def _result(self, unanswered: int) -> LoadResult:
        self._count(len(self._served))
        steps = [self._steps[begin_us] for begin_us in sorted(self._steps)]
        for step in steps:
            if (latencies := self._step_latency.get(step.t_us)) is not None:
                step.latency_us = [float(latencies.get_value_at_percentile(percent)) for percent in QUANTILES]
        pacing, totals = self.pacing, self._totals
        return LoadResult(
            name=self.load.name, seed=self.load.seed, fit=pacing.validity.value, why=pacing.void_reason(),
            planned=pacing.planned, sent=pacing.sent, served=totals["served"], refused=totals["refused"],
            failed=totals["failed"], unanswered=unanswered, late=pacing.late, worst_late_us=pacing.worst_us,
            latency={kind: encode_histogram(latencies) for kind, latencies in sorted(self._latency.items())},
            steps=steps, notes=dict(self._notes.counts),
        )  # fmt: skip


def is_void(result: LoadResult) -> bool:
    """Return whether a run is void: none of its figures may be quoted."""
    return result.fit == RunValidity.VOID.value
