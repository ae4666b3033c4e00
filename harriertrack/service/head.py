"""The platform's head: the core that all fronts share, between the platform's clients and storage nodes."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from harriertrack.decisions import Scheduler, interface as api, standstill
from harriertrack.decisions.discovery_watch import DiscoveryWatch
from harriertrack.decisions.graceful_shutdown import GracefulShutdown, Phase
from harriertrack.decisions.requests import Attempt, ClientRequest, Core
from harriertrack.membership.nodes import NodeList
from harriertrack.runtime.alarm import Alarm
from harriertrack.runtime.heartbeat import Heartbeat
from harriertrack.runtime.hub import DeadlineExceeded, Event, Hub, Scope
from harriertrack.runtime.streams import Listener, Network
from harriertrack.service.calls import Call
from harriertrack.service.configuration import Configuration
from harriertrack.service.discovery import Discovery
from harriertrack.service.front import Front
from harriertrack.service.log import Log
from harriertrack.service.storage_nodes import StorageNodes

REPORT_US = 5_000_000  # how often a line of counts is logged
CHECK_PERIOD_US = 20_000  # how often a head that leaves looks whether it can end


class NoPlaces:
    """Clients say where their data lies: the head places and remembers nothing."""

    def shard_of(self, volume: str, extent: int) -> int | None:
        """Return nothing."""

    def placements_of(self, volume: str) -> Iterator[tuple[int, int]]:
        """Yield nothing."""
        return iter(())

    def place(self, placements: Iterable[tuple[str, int, int]]) -> None:
        """Take nothing: a request that comes placed places nothing."""
        raise RuntimeError("the platform's requests place no extents")

    def leftovers(self, volume: str) -> list[tuple[int, int]]:
        """Return nothing."""
        return []

    def remove_leftover(self, volume: str, extent: int, shard: int) -> None:
        """Forget nothing."""


class PlatformHead:
    """One head on a hub; `run` is its task."""

    def __init__(self, hub: Hub, network: Network, configuration: Configuration, log: Log,
                 module: Callable[..., Scheduler] = Scheduler) -> None:  # fmt: skip
        self.hub, self.configuration = hub, configuration
        self._network, self._log = network, log
        self._alarm = Alarm(hub, self._flush, at_round_end=True)
        self._heartbeat = Heartbeat(hub, standstill.CHECK_PERIOD_US, self._look)
        self._asked_to_leave = Event(hub)
        self.ready = Event(hub)
        self.leaving = GracefulShutdown(configuration.bounds.longest_us)
        self.nodes = NodeList()
        self.module = module(configuration.told, configuration.seed)
        # A start comes as Unix time. The difference is fixed once: a step of the wall clock must not make
        # known nodes look newly started.
        self._wall_ahead_us = hub.clock.wall() - hub.now()
        self.core: Core

    def run(self) -> None:
        """Serve until `stop` is called and all is answered; raises OSError if it can't listen."""
        hub, configuration = self.hub, self.configuration
        hub.enter_group(self)
        try:
            with hub.scope(configuration.name) as scope:
                watching = self._set_up(scope)
                scope.spawn("report", self._report)
                if watching.pushed:
                    self._await_first_update(watching.startup_hold_us)
                listener = self._network.listen(configuration.listen)
                try:
                    self._serve(scope, listener)
                finally:
                    listener.close()
                scope.cancel()
        finally:
            self._alarm.cancel()
            self._heartbeat.cancel()

    def _set_up(self, scope: Scope) -> DiscoveryWatch:
        hub, configuration = self.hub, self.configuration
        known = [member.localised(self._wall_ahead_us) for member in configuration.known]
        self.nodes.replace(known, restored=True)
        entries = [member.entry for member in self.nodes.members()]
        self.core = Core(configuration.rules(), self.module, (), self, self.nodes, NoPlaces(), entries)
        self.storage_nodes = StorageNodes(
            hub, self._network, scope, self.core, configuration.bounds, configuration.name, self._log
        )
        told = configuration.told
        watching = DiscoveryWatch(
            configuration.bounds.ask_within_us,
            configuration.version,
            not told.list_on_request,
            told.drain_grace_us,
            hub.now(),
            configuration.seed,
        )
        self.discovery = Discovery(
            hub,
            self._network,
            scope,
            self.core,
            self.nodes,
            self.storage_nodes,
            watching,
            configuration.discovery,
            self._wall_ahead_us,
            configuration.name,
            self._log,
        )
        self.front = Front(hub, scope, self.core, configuration, self.leaving, self._log)
        self.core.begin_standstill_checks(hub.now())
        self._heartbeat.start()
        return watching

    def _serve(self, scope: Scope, listener: Listener) -> None:
        """Take clients until it is asked to leave and has left."""
        hub, configuration, bounds = self.hub, self.configuration, self.configuration.bounds
        scope.spawn("front", self.front.serve, listener)
        scope.spawn("callers", self.front.watch)
        scope.spawn("storage_nodes", self.storage_nodes.watch)
        self.ready.set()
        self._log("ready", name=configuration.name, nodes=len(self.nodes), cores=configuration.cores,
                   callers=bounds.callers, ways=bounds.ways, longest_us=bounds.longest_us)  # fmt: skip
        self._asked_to_leave.wait()
        while not self._part(listener):
            hub.sleep(CHECK_PERIOD_US)
        self.report()

    def _part(self, listener: Listener) -> bool:
        """Do what is due while it leaves; return whether it has left."""
        front, leaving = self.front, self.leaving
        phase = leaving.advance(self.hub.now(), len(front.connections))
        if leaving.is_draining:
            front.take_waiting(listener)
            listener.close()
            front.part()
            phase = leaving.advance(self.hub.now(), len(front.connections))
        if phase is Phase.CLOSING:
            self.core.fail_open()
            front.refuse_half_read()
        return phase is Phase.ENDED

    def _await_first_update(self, startup_hold_us: int) -> None:
        """Follow a pushed list, and take no client before it is here: it counts from the first moment on.

        The list that the last life had does not tell what has come to the agent since.
        """
        self.discovery.subscribe(True)
        try:
            self.discovery.first_update.wait(self.hub.now() + startup_hold_us)
        except DeadlineExceeded:
            self._log("list not heard", why="discovery is silent: the last life's list is used")

    def _report(self) -> None:
        """Log what became of requests, attempts and connections so far, for ever (a task)."""
        while True:
            self.hub.sleep(REPORT_US)
            self.report()

    def report(self) -> None:
        """Log one line of counts."""
        core, front, storage_nodes = self.core.counts, self.front, self.storage_nodes
        # With a prefix: an end that is new must not bear the name of another count.
        ends = {f"ended_{result.name.lower()}": count for result, count in storage_nodes.counts.ends.items()}
        self._log(
            "counts",
            taken=core.accepted,
            served=core.served,
            refused=core.refused,
            failed=core.failed,
            left=core.clients_left,
            open=self.core.open_requests,
            sent=core.sent,
            moot=core.moot,
            **ends,
            callers=len(front.connections),
            came=front.counts.taken,
            turned_away=front.counts.turned_away,
            bad=front.counts.bad,
            overdue=front.counts.overdue,
            unanswered=front.counts.unanswered,
            ways=len(storage_nodes.pool),
            dialled=storage_nodes.counts.dialled,
            spoilt=storage_nodes.counts.spoilt,
            surplus=storage_nodes.counts.surplus,
            idle_us=self.hub.idle_us,
            longest_round_us=self.hub.longest_round_us,
        )

    def stop(self) -> None:
        """Leave: take what still comes for a while, answer all, and end."""
        if self.leaving.begin(self.hub.now()):
            self._log("leaving", open=self.core.open_requests)
            self.report()
            self._asked_to_leave.set()
            self.discovery.first_update.set()  # nobody waits for a head that leaves to be ready

    def reconfigure(self, fresh: Configuration) -> None:
        """Follow a new configuration as far as a running head can: where discovery is."""
        before = self.configuration
        if (fresh.told, fresh.listen, fresh.name) != (before.told, before.listen, before.name):
            self._log("configuration", why="a running head follows discovery alone")
        self.discovery.move(fresh.discovery)

    # -- what the core asks for

    def send(self, attempt: Attempt) -> None:
        """Start an attempt, unless its client has gone since its connection was last polled."""
        call, now = attempt.part.request.requester, self.hub.now()
        assert isinstance(call, Call)
        if call.client_left(now):
            self.hub.at_end_of_round(lambda: self._client_left(now, call, attempt))
        else:
            self.storage_nodes.send(attempt)

    def _client_left(self, now: int, call: Call, attempt: Attempt) -> None:
        call.session.leave()
        self.core.attempt_ended(now, attempt, api.Result.MOOT)

    def call_off(self, attempt: Attempt) -> None:
        """Give an attempt up."""
        self.storage_nodes.call_off(attempt)

    def answer(self, request: ClientRequest) -> None:
        """Hand a final answer to whoever asked."""
        request.requester.answer(request)

    def subscribe(self, on: bool) -> None:
        """Follow the node list, or stop."""
        self.discovery.subscribe(on)

    def ask_list(self) -> None:
        """Ask for the node list now."""
        self.discovery.ask_now()

    def wake_at(self, when: int) -> None:
        """Flush the core at a time."""
        self._alarm.wake_at(when)

    def soon(self) -> None:
        """Flush the core at the end of this round."""
        self._alarm.soon()

    def note(self, text: str) -> None:
        """Log a line of the module."""
        self._log("module", text=text)

    def _look(self) -> None:
        self.core.check_standstill(self.hub.now())

    def _flush(self) -> None:
        self.core.flush(self.hub.now())
