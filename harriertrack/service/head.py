"""The platform's head: connects the shared core to the platform's clients and storage nodes."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from harriertrack.decisions import Scheduler, interface as api, standstill
from harriertrack.decisions.discovery_watch import DiscoveryWatch
from harriertrack.decisions.forwarded_requests import ForwardedRequests
from harriertrack.decisions.graceful_shutdown import GracefulShutdown, Phase
from harriertrack.decisions.payload_memory import PayloadMemory
from harriertrack.decisions.requests import Attempt, ClientRequest, Core
from harriertrack.membership.nodes import NodeList
from harriertrack.runtime.alarm import Alarm
from harriertrack.runtime.heartbeat import Heartbeat
from harriertrack.runtime.hub import DeadlineExceeded, Event, Hub, Scope
from harriertrack.runtime.process_memory import resident_bytes
from harriertrack.runtime.streams import Listener, Network
from harriertrack.service.configuration import Configuration
from harriertrack.service.discovery import Discovery
from harriertrack.service.front import Front
from harriertrack.service.log import Log
from harriertrack.service.node_list_log import NodeListLog
from harriertrack.service.pending import PendingRequest
from harriertrack.service.storage_nodes import StorageNodes

REPORT_US = 5_000_000  # how often a line of counts is logged


class NoPlacements:
    """An empty placement map: clients name the shard of their data, so the head stores no placements."""

    def shard_of(self, volume: str, extent: int) -> int | None:
        """Return None: no placement is known."""

    def placements_of(self, volume: str) -> Iterator[tuple[int, int]]:
        """Return an empty iterator."""
        return iter(())

    def place(self, placements: Iterable[tuple[str, int, int]]) -> None:
        """Raise RuntimeError: requests that carry their placement place no extents."""
        raise RuntimeError("the platform's requests place no extents")

    def leftovers(self, volume: str) -> list[tuple[int, int]]:
        """Return an empty list."""
        return []

    def remove_leftover(self, volume: str, extent: int, shard: int) -> None:
        """Do nothing: there is no placement to forget."""


class PlatformHead:
    """One head on a hub; `run` is its task."""

    def __init__(self, hub: Hub, network: Network, configuration: Configuration, log: Log,
                 module: Callable[..., Scheduler] = Scheduler) -> None:  # fmt: skip
        self.hub, self.configuration = hub, configuration
        self._network, self._log = network, log
        self._nodes_log = NodeListLog(hub, log)
        self._alarm = Alarm(hub, self._flush, at_round_end=True)
        self._heartbeat = Heartbeat(hub, standstill.CHECK_PERIOD_US, self._check_standstill)
        self._stop_requested = Event(hub)
        self.ready = Event(hub)
        self.shutdown = GracefulShutdown(configuration.bounds.longest_deadline_us)
        self.nodes = NodeList()
        self.memory = PayloadMemory(configuration.bounds.memory)
        self.forwarded = ForwardedRequests(
            configuration.bounds.forwarded_ids, configuration.bounds.longest_deadline_us
        )
        self.module = module(configuration.settings, configuration.seed)
        # Start times of nodes are Unix times. The offset is fixed once: a step of the wall clock must not
        # make known nodes look newly started.
        self._wall_ahead_us = hub.clock.wall() - hub.now()
        self.core: Core

    def run(self) -> None:
        """Serve until `stop` is called and all requests are answered; raises OSError if it can't listen."""
        hub, configuration = self.hub, self.configuration
        hub.enter_group(self)
        try:
            with hub.scope(configuration.name) as scope:
                watch = self._set_up(scope)
                scope.spawn("report", self._report)
                if watch.pushed:
                    self._await_first_update(watch.startup_hold_us)
                listener = self._network.listen(configuration.listen)
                if configuration.ordered_classes:
                    listener.record_arrivals()
                try:
                    self._serve(scope, listener)
                finally:
                    listener.close()
                    self.front.close_all()
                scope.cancel()
        finally:
            self._alarm.cancel()
            self._heartbeat.cancel()

    def _set_up(self, scope: Scope) -> DiscoveryWatch:
        hub, configuration = self.hub, self.configuration
        known = [member.with_local_start(self._wall_ahead_us) for member in configuration.known]
        self.nodes.replace(known, restored=True)
        entries = [member.entry for member in self.nodes.members()]
        self.core = Core(
            configuration.request_rules(), self.module, (), self, self.nodes, NoPlacements(), entries
        )
        self.storage_nodes = StorageNodes(
            hub,
            self._network,
            scope,
            self.core,
            configuration.bounds,
            self.memory,
            self.forwarded,
            configuration.name,
            self._log,
        )
        settings = configuration.settings
        watch = DiscoveryWatch(
            configuration.bounds.ask_within_us,
            configuration.version,
            not settings.list_on_request,
            settings.drain_grace_us,
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
            watch,
            configuration.discovery,
            configuration.bounds.memory.node_list,
            self._wall_ahead_us,
            configuration.name,
            self._log,
        )
        self.front = Front(
            hub, self.core, configuration, self.shutdown, self.memory, self.forwarded, self._log
        )
        self.core.begin_standstill_checks(hub.now())
        self._heartbeat.start()
        return watch

    def _serve(self, scope: Scope, listener: Listener) -> None:
        """Accept clients until `stop` is called and the shutdown is complete."""
        hub, configuration, bounds = self.hub, self.configuration, self.configuration.bounds
        scope.spawn("front", self.front.serve, listener)
        scope.spawn("clients", self.front.turns.run)
        if configuration.ordered_classes:
            scope.spawn("ordered requests", self.front.admit_in_order, listener)
        scope.spawn("callers", self.front.close_expired)
        scope.spawn("storage_nodes", self.storage_nodes.close_expired)
        self.ready.set()
        self._log("ready", name=configuration.name, nodes=len(self.nodes), cores=configuration.cores,
                  callers=bounds.connections.clients, ways=bounds.connections.nodes,
                  longest_us=bounds.longest_deadline_us)  # fmt: skip
        self._stop_requested.wait()
        while not self._advance_shutdown(listener):
            hub.sleep_until(self.shutdown.next_check_at(hub.now()))
        self.report()

    def _advance_shutdown(self, listener: Listener) -> bool:
        """Do what the current phase of the shutdown requires; return whether it is complete."""
        front, shutdown = self.front, self.shutdown
        phase = shutdown.advance(self.hub.now(), len(front.connections))
        if shutdown.is_draining:
            front.accept_pending(listener)
            listener.close()
            front.close_idle()
            phase = shutdown.advance(self.hub.now(), len(front.connections))
        if phase is Phase.CLOSING:
            self.core.fail_open()
            front.refuse_partial()
        return phase is Phase.ENDED

    def _await_first_update(self, startup_hold_us: int) -> None:
        """Follow a pushed list, and accept no client before its first update: it applies from the start.

        The saved list of the previous incarnation lacks what the agent has received since.
        """
        self.discovery.subscribe(True)
        try:
            self.discovery.first_update.wait(self.hub.now() + startup_hold_us)
        except DeadlineExceeded:
            self._log("list not heard", why="discovery does not answer: using the saved list")

    def _report(self) -> None:
        """Log the counts of requests, attempts and connections periodically (a task)."""
        while True:
            self.hub.sleep(REPORT_US)
            self.report()

    def report(self) -> None:
        """Log one line of counts."""
        core, front, storage_nodes = self.core.counts, self.front, self.storage_nodes
        # The prefix keeps a result that is added later from colliding with another count.
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
            came=front.counts.accepted,
            turned_away=front.counts.evicted,
            bad=front.counts.bad_requests,
            overdue=front.counts.overdue,
            unanswered=front.counts.unanswered,
            ways=len(storage_nodes.pool),
            dialled=storage_nodes.counts.dialled,
            spoilt=storage_nodes.counts.invalid_answers,
            surplus=storage_nodes.counts.surplus,
            request_bytes=self.memory.requests.held_bytes,
            answer_bytes=self.memory.answers.held_bytes,
            requests_given_up=self.memory.requests.given_up,
            answers_given_up=self.memory.answers.given_up,
            ids=len(self.forwarded),
            resident_kib=resident_bytes() >> 10,
            idle_us=self.hub.idle_us,
            longest_round_us=self.hub.longest_round_us,
        )

    def stop(self) -> None:
        """Shut down: accept requests for a while longer, answer all of them, and end."""
        if self.shutdown.begin(self.hub.found_since):
            self._log("leaving", open=self.core.open_requests)
            self.report()
            self._stop_requested.set()
            self.discovery.first_update.set()  # a head that shuts down does not wait for the list

    def reconfigure(self, new: Configuration) -> None:
        """Apply a new configuration as far as a running head can: the address of discovery."""
        before = self.configuration
        if (new.settings, new.listen, new.name) != (before.settings, before.listen, before.name):
            self._log("configuration", why="a running head applies only the address of discovery")
        self.discovery.change_address(new.discovery)

    # -- the interface that the core calls

    def send(self, attempt: Attempt) -> None:
        """Start an attempt, unless its client has disconnected since its connection was last polled."""
        pending, now = attempt.part.request.requester, self.hub.now()
        assert isinstance(pending, PendingRequest)
        if pending.client_has_left(now):
            self.hub.at_end_of_round(lambda: self._client_left(now, pending, attempt))
        else:
            self._nodes_log.log_send(attempt)
            self.storage_nodes.send(attempt)

    def _client_left(self, now: int, pending: PendingRequest, attempt: Attempt) -> None:
        pending.session.abandon()
        self.core.attempt_ended(now, attempt, api.Result.MOOT)

    def call_off(self, attempt: Attempt) -> None:
        """Cancel an attempt."""
        self.storage_nodes.call_off(attempt)

    def answer(self, request: ClientRequest) -> None:
        """Hand a final answer to the requester."""
        request.requester.answer(request)

    def subscribe(self, on: bool) -> None:
        """Start or stop following the node list."""
        self.discovery.subscribe(on)

    def ask_list(self) -> None:
        """Request the node list now."""
        self.discovery.refresh()

    def wake_at(self, when: int) -> None:
        """Flush the core at the time `when`."""
        self._alarm.wake_at(when)

    def soon(self) -> None:
        """Flush the core at the end of this round."""
        self._alarm.soon()

    def note(self, text: str) -> None:
        """Log a message of the module."""
        self._log("module", text=text)

    def _check_standstill(self) -> None:
        self.core.check_standstill(self.hub.now())

    def _flush(self) -> None:
        self.core.flush(self.hub.now())
