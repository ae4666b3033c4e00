"""Volumes of two regions: the layer between a head's fronts and its core.

The holder of a volume's lease does clients' requests through its core, and copies each write to the other
region's head, which does it through its own core. Requests that reach the other head are relayed to the
holder. `decisions/regions.py` and `decisions/ranges.py` make the decisions; `membership/leases.py` determines
who may act.

Requests that touch the same bytes run one after another, and a write locks its bytes until both regions agree
on them. So both apply writes in one order, and no client reads data that a failed region could revert.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING

import xxhash

from harriertrack.config.settings import HeadSettings
from harriertrack.decisions.catchup import CatchUp, CatchUpStatus
from harriertrack.decisions.copies import CloseOverlap, Copies, CopyAction, WriteAction, close_overlap
from harriertrack.decisions.regions import Bounds, Expiry, Generations, RegionView, Route
from harriertrack.decisions.requests import MODIFYING_KINDS, ClientRequest, Core, Origin
from harriertrack.decisions.splitting import Kind, Outcome, merge_runs, split_at_extents
from harriertrack.decisions.volume_locks import (
    AcquiredAction,
    HolderDuty,
    LockAction,
    acquired_action,
    holder_duty,
    lock_action,
)
from harriertrack.gateway import background
from harriertrack.gateway.links import COMMANDS, Links
from harriertrack.gateway.peer import Peer, PeerLink
from harriertrack.gateway.regional_volume import RegionalVolume, Work
from harriertrack.gateway.witness import FAILURES, WitnessClient
from harriertrack.membership.leases import Fence, HeldLocks, Lock, Session, VolumeRecord
from harriertrack.protocol.nbd.client import Reply
from harriertrack.protocol.nbd.extension import RELAY_CONTEXT, context_of
from harriertrack.protocol.nbd.wire import Command, CommandFlags, Errno
from harriertrack.runtime.hub import DeadlineExceeded, Event, Hub, Scope, Waiters, answer_of
from harriertrack.runtime.streams import Network
from harriertrack.storage.missed import WHOLE, MissedLog

if TYPE_CHECKING:
    from harriertrack.decisions.fleet.budget_shares import BudgetShares

RETRY_US = 20_000  # between attempts to copy a write, or to relay a request
CATCH_UP_US = 200_000  # between checks for extents that this region misses
WISH_TURNS = 4  # operators' requested regions are read at every fourth check of the witness
HAND_OVER_US = 1_000_000  # the longest that a hand-over waits for requests in progress
CLOSED = "refused: not done; a close has come"
NOT_HOLDER = "refused: not done; this head does not hold the volume"
STALE = "refused: not done; too old"
STATUS_BYTES = 1 << 30  # bytes of a volume covered by one BLOCK_STATUS
ACTIVITY_DECAY = 0.9  # factor on a volume's recent requests at each witness check; they order region changes
CHECK_NOW = 1  # the length of a TICK that reports a released volume: check the witness now


class Regional:
    """All volumes of two regions of one head."""

    def __init__(
        self,
        hub: Hub,
        network: Network,
        scope: Scope,
        settings: HeadSettings,
        core: Core,
        links: Links,
        log: MissedLog,
        note: Callable[..., None],
        name: str,
        portions: BudgetShares | None = None,
    ) -> None:
        assert settings.region is not None
        self._budget_shares = portions  # limits how many volumes change regions at a time; None: no limit
        self.reserves = {plan.name: plan.reserve for plan in settings.plans}
        self._hub, self._scope, self._core, self._links, self._log = hub, scope, core, links, log
        self._note, self._tick = note, settings.tick_us
        self.region = region = settings.region
        self.extent_bytes = settings.extent_bytes
        self.session = Session(region.ttl_us, region.clock_error)
        self.holding = HeldLocks(self.session)
        self.fence = Fence()
        self.expiry = Expiry(region.fresh_us)
        self._witness = WitnessClient(hub, network, region.witness, region.ttl_us // 6, name)
        self._peer = Peer(hub, network, scope, region, links.head_id, name)
        self.volumes: dict[str, RegionalVolume] = {}
        for volume in settings.volumes:
            if (spread := volume.regions) is not None:
                bounds = Bounds(
                    spread.mode, spread.copy_us, region.fresh_us, spread.behind_us, spread.behind_writes,
                    spread.takeover_us, spread.settle_us,
                )  # fmt: skip
                view = RegionView(region.name, region.other, spread.home, bounds)
                extents = -(-volume.size_bytes // settings.extent_bytes)
                catch_up = CatchUp(volume.name, extents, log)
                copies = Copies(view, catch_up)
                self.volumes[volume.name] = RegionalVolume(volume, spread, view, catch_up, copies)
        self._number = 0
        self._open: dict[ClientRequest, None] = {}  # requests without an answer
        self.generations: Generations | None = None  # set if the head's fleet has calendars
        self._in_core: dict[ClientRequest, Work] = {}  # by the client's request
        self._check_requested = Waiters(hub)
        first = next(iter(self.volumes))
        self._heartbeat = PeerLink(
            hub, network, scope, region, first, context_of(links.head_id, 0, RELAY_CONTEXT), name
        )
        scope.spawn("witness", self._follow_witness)
        scope.spawn("heartbeat", self._send_heartbeats)
        for one in self.volumes.values():
            scope.spawn(f"catch up {one.name}", self._catch_up, one)

    # -- requests

    def submit(self, request: ClientRequest) -> None:
        """Accept a request on a volume of two regions, from a client or from the other head."""
        now = self._hub.now()
        volume = self.volumes[request.volume.settings.name]
        deadline = self._core.deadline_of(request.arrived_at or now, request.kind, request.length)
        request.deadline = min(deadline, request.deadline or deadline)
        volume.recent_requests += 1
        if request.origin is Origin.RELAY:
            # Its client has waited since before the relay: nothing may be done for it after its deadline.
            request.deadline -= self.expiry.age(request.tick, now)
        self._open[request] = None
        if request.origin is not Origin.CLIENT and not self.expiry.fresh(request.tick, now):
            self._refuse(request, STALE)
            return
        if request.reader is not None and not self.same_generation(volume.name, request.generation):
            self._refuse(request, CLOSED)
            return
        if request.origin is Origin.COPY:
            self._accept_copy(volume, request)
            return
        epoch = self._epoch(volume, now)
        route = volume.view.route(epoch, now)
        if route is Route.HERE:
            self._begin(Work(self, volume, request, epoch))
        elif route is Route.OTHER and request.origin is Origin.CLIENT:
            self._relay(volume, request)
        else:  # a relayed request is not relayed again
            self._refuse(request, NOT_HOLDER)

    @property
    def open(self) -> int:
        """Return how many requests have no answer yet."""
        return len(self._open)

    def fail_open(self) -> None:
        """Fail all open requests because the head stops now; any of them may still run."""
        for request in list(self._open):
            self._answer(request, Outcome.FAILED)

    def acts_on(self, volume: str) -> bool:
        """Whether this head has an epoch under which it works on a volume, as holder or with the copy."""
        return volume not in self.volumes or self._links.epochs.has_lease(volume)

    def route(self, volume: str, now: int) -> Route:
        """Return where a client's request on a volume would go."""
        one = self.volumes[volume]
        return one.view.route(self._epoch(one, now), now)

    def _epoch(self, volume: RegionalVolume, now: int) -> int:
        """Return the epoch for new requests; 0 if the volume is not held here or is being handed over."""
        return 0 if volume.handing_over else self.holding.epoch(volume.name, now)

    def client_left(self, request: ClientRequest) -> None:
        """Drop a request whose client left; where it may have changed the volume, make both regions agree."""
        if request.outcome is None:
            request.outcome = Outcome.FAILED
            self._open.pop(request, None)
            self.volumes[request.volume.settings.name].relayed.pop(request, None)
            work = self._in_core.pop(request, None)
            if work is not None and work.inner is not None:
                self._core.client_left(work.inner)
                may_have_effect = any(part.may_have_effect for part in work.inner.parts)
                if may_have_effect and request.kind in MODIFYING_KINDS and not work.copy:
                    self._after_unknown(work)
                else:
                    self._release(work)

    def _answer(self, request: ClientRequest, outcome: Outcome, why: str = "") -> None:
        if request.outcome is None:
            request.outcome, request.reason = outcome, why
            self._open.pop(request, None)
            self.volumes[request.volume.settings.name].relayed.pop(request, None)
            self._core.queue_answer(request)

    def _refuse(self, request: ClientRequest, why: str) -> None:
        self._answer(request, Outcome.REFUSED, why)

    def _begin(self, work: Work) -> None:
        request = work.request
        self._number += 1
        work.number = self._number
        work.timer = self._hub.at(request.deadline - self._tick, lambda: self._expire(work))
        exclusive = request.kind in MODIFYING_KINDS
        work.range_lock = work.volume.locks.acquire(
            request.offset, request.offset + request.length, exclusive, lambda: self._start(work)
        )

    def _may_act(self, work: Work) -> bool:
        """Whether the lease (for a copy, the holder's epoch) is still valid."""
        name = work.volume.name
        if work.copy:
            return self.fence.admits(name, work.epoch) and work.volume.copy_session is work.request.requester
        return self.holding.epoch(name, self._hub.now()) == work.epoch

    def _start(self, work: Work) -> None:
        """Do a request in this region, once it has its range lock."""
        request, volume = work.request, work.volume
        if request.outcome is None:
            self._in_core[request] = work
        if request.outcome is not None or not self._may_act(work):
            self._refuse(request, NOT_HOLDER)
            self._release(work)
            return
        if request.kind in MODIFYING_KINDS and not work.copy:
            volume.works[work.number] = work
            self._log.begin_write(volume.name, work.extents)
        if request.reader is not None:  # not a client's read, which does not affect the other region's copy
            volume.catch_up.note_read(work.extents, request.reader)
        self._links.epochs.record_lease(volume.name, work.epoch)
        self._do(work, request.kind, request.data)

    def _do(self, work: Work, kind: Kind, data: bytes, background: bool = False) -> None:
        request = work.request
        deadline = 0 if background or work.copy else request.deadline
        work.inner = ClientRequest(
            request.volume, kind, request.offset, request.length, data, request.flags, work,
            deadline=deadline, background=background,
        )  # fmt: skip
        self._core.accept(self._hub.now(), work.inner)

    def core_answered(self, work: Work, inner: ClientRequest) -> None:
        """Continue with a request after this region's core answered it."""
        request, outcome, alive = work.request, inner.outcome, self._may_act(work)
        self._in_core.pop(request, None)
        assert outcome is not None
        if inner.kind is Kind.READ and request.kind in MODIFYING_KINDS:
            self._read_back(work, inner)
        elif work.copy or request.kind not in (*MODIFYING_KINDS, Kind.FLUSH):
            request.pieces, request.hint_us = inner.pieces, inner.hint_us
            if outcome is Outcome.SERVED and not alive:
                outcome = Outcome.FAILED if work.copy else Outcome.REFUSED
            self._answer(request, outcome)
            self._release(work)
        elif outcome is Outcome.REFUSED:
            request.hint_us = inner.hint_us
            self._answer(request, outcome)
            self._release(work)
        elif outcome is Outcome.FAILED:
            self._answer(request, outcome)
            self._after_unknown(work)
        elif not alive:
            self._answer(request, Outcome.FAILED)
            self._release(work)
        elif work.close_overlap is not CloseOverlap.NONE:
            # It ran before the close: how much of it is left is unknown.
            self._answer(request, Outcome.FAILED)
            self._after_unknown(work)
        elif request.kind in MODIFYING_KINDS and not inner.parts:
            # There was nothing to trim or zero: the other region has no data there either.
            self._answer(request, outcome)
            self._release(work)
        else:
            self._held(work)

    def _after_unknown(self, work: Work) -> None:
        """Read back a range after a write that may or may not have run here, so that both regions agree."""
        if (
            work.request.kind is Kind.FLUSH
            or not self._may_act(work)
            or work.close_overlap is CloseOverlap.FULL
        ):
            self._release(work)
        else:
            self._do(work, Kind.READ, b"", background=True)

    def _read_back(self, work: Work, inner: ClientRequest) -> None:
        if inner.outcome is not Outcome.SERVED:
            self._hub.at(self._hub.now() + CATCH_UP_US, lambda: self._after_unknown(work))
            return
        work.data = inner.bytes_read()
        self._held(work)

    def _held(self, work: Work) -> None:
        """Answer a write that is done here: now or after the copy, by the mode and the witness's record."""
        copies, extents = work.volume.copies, work.extents
        if work.request.kind is Kind.FLUSH:
            extents = range(0)
        action = copies.add_write(self._hub.now(), work.number, extents)
        if action is not WriteAction.COPY_FIRST:
            self._answer(work.request, Outcome.SERVED)
        if action is WriteAction.ACKNOWLEDGE:
            self._release(work)
        else:
            work.volume.works[work.number] = work
            self._copy(work)

    def _expire(self, work: Work) -> None:
        """Answer a request at its deadline; operations in progress continue without a client."""
        started = work.inner is not None and work.request.kind in MODIFYING_KINDS
        self._answer(work.request, Outcome.FAILED if started else Outcome.REFUSED)

    def _release(self, work: Work) -> None:
        if work.timer is not None:
            work.timer.cancel()
        volume = work.volume
        if work.number:
            volume.works.pop(work.number, None)
        if work.range_lock is not None:
            volume.locks.release(work.range_lock)
        self._log.settle(volume.name, volume.copies.busy())

    # -- copies, at the holder

    def _copy(self, work: Work) -> None:
        """Do a copy's next action: send or resend it, or finish it."""
        volume, request, now = work.volume, work.request, self._hub.now()
        match volume.copies.next_action(now, work.number, self._may_act(work), self._unsettled_us(volume)):
            case CopyAction.ENDED | CopyAction.WAIT:
                return
            case CopyAction.LEASE_LOST:
                self._copy_ends(work, Outcome.FAILED)
                return
            case CopyAction.NOTED_MISSED:
                self._copy_ends(work, Outcome.SERVED)
                return
            case CopyAction.DROP_REGION:
                self._scope.spawn(f"drop copy of {volume.name}", self._drop, volume, work.epoch)
                return
        kind, data = (request.kind, request.data) if work.data is None else (Kind.WRITE, work.data)
        link = self._peer.copy(volume.name, work.epoch, self._generation(volume.name))

        def then(reply: Reply | None) -> None:
            if work.number not in volume.copies:
                return
            if reply is not None and not reply.error:
                self._copy_ends(work, Outcome.SERVED)
                return
            if reply is None:
                link.drop()  # requests in transit must not arrive after later ones
            self._hub.at(self._hub.now() + RETRY_US, lambda: self._copy(work))

        flags, until = request.flags & 0b01, volume.copies.due_at(work.number)
        offset, length = (0, 0) if kind is Kind.FLUSH else (request.offset, request.length)
        link.call(COMMANDS[kind], offset, length, data, flags, self._peer.newest_tick, until, then)

    def _copy_ends(self, work: Work, outcome: Outcome) -> None:
        work.volume.copies.finish(work.number)
        self._answer(work.request, outcome)
        self._release(work)

    def _copies_late(self, volume: RegionalVolume) -> None:
        """Mode HOME: handle copies that are behind for longer than configured."""
        work = volume.works[next(iter(volume.copies))]
        match volume.copies.handle_late(self._hub.now(), work.number):
            case CopyAction.NOTED_MISSED:
                self._copy_ends(work, Outcome.SERVED)
            case CopyAction.DROP_REGION:
                self._scope.spawn(f"drop copy of {volume.name}", self._drop, volume, work.epoch)

    def _drop(self, volume: RegionalVolume, epoch: int) -> None:
        """Record at the witness that the other region is out of sync.

        Until then no write is acknowledged.
        """
        self._note("copy lost", volume=volume.name, region=volume.view.other)
        alone = frozenset((volume.view.here,))
        while self.holding.epoch(volume.name, self._hub.now()) == epoch:
            # On disk before the record at the witness, so that a kill between the two loses nothing.
            volume.copies.note_all_missed()
            if self._record(volume, alone):
                break
            self._hub.sleep(RETRY_US * 5)
        alive = self.holding.epoch(volume.name, self._hub.now()) == epoch and volume.view.in_sync == alone
        for number in volume.copies.region_dropped(alive):
            self._copy_ends(volume.works[number], Outcome.SERVED if alive else Outcome.FAILED)
        self._note("copy dropped" if alive else "lease lost while the copy was dropped", volume=volume.name)

    def _record(self, volume: RegionalVolume, in_sync: frozenset[str]) -> bool:
        """Write the witness's record while holding the lock; return whether it was written."""
        standing = VolumeRecord(volume.regions.home, tuple(sorted(in_sync)))
        try:
            index = self._witness.acquire_lock(volume.name, self.session.id, standing, volume.index)
            if not index:
                # Changed meanwhile, perhaps by an earlier call whose answer was lost: read the lock again
                # before the next attempt.
                lock = self._witness.lock(volume.name)
                if lock is None or lock.session != self.session.id:
                    self.holding.remove(volume.name)
                else:
                    volume.index = lock.index
                return False
        except FAILURES:
            return False
        volume.index = index
        volume.view.set_in_sync(in_sync, self._hub.now())
        return True

    # -- copies, at the other head

    def copy_opened(self, volume: str, epoch: int, generation: int, session: object) -> bool:
        """Accept the holder's new connection for copies and ignore older ones; return whether it is valid."""
        if volume not in self.volumes or not self.fence.admits(volume, epoch):
            return False
        if self.generations is not None and not self.generations.admits(volume, generation):
            return False
        self.volumes[volume].copy_session = session
        return True

    def _accept_copy(self, volume: RegionalVolume, request: ClientRequest) -> None:
        work = Work(self, volume, request, request.epoch, copy=True)
        if not self._may_act(work):
            self._refuse(request, NOT_HOLDER)
            return
        end = request.offset + request.length
        work.range_lock = volume.locks.acquire(request.offset, end, True, lambda: self._start(work))

    # -- requests relayed to the holder

    def _relay(self, volume: RegionalVolume, request: ClientRequest) -> None:
        until = request.deadline - self._tick
        changes, tick = request.kind in MODIFYING_KINDS, self._peer.newest_tick

        def then(reply: Reply | None) -> None:
            now = self._hub.now()
            if reply is None:
                self._answer(request, Outcome.FAILED if changes else Outcome.REFUSED)
            elif not reply.error:
                request.pieces = [reply.data] if reply.data else []
                self._answer(request, Outcome.SERVED)
            elif reply.error != Errno.ENOMEM:
                self._answer(request, Outcome.FAILED)
            elif now + 2 * RETRY_US < until and reply.message in (NOT_HOLDER, STALE):
                self._hub.at(now + RETRY_US, send)
            else:
                self._answer(request, Outcome.REFUSED, reply.message)

        def send() -> None:
            now = self._hub.now()
            if request.outcome is not None:
                return
            if epoch := self._epoch(volume, now):
                volume.relayed.pop(request, None)
                self._begin(Work(self, volume, request, epoch))
                return
            offset, length = (0, 0) if request.kind is Kind.FLUSH else (request.offset, request.length)
            link, flags = self._peer.relay(volume.name), request.flags & 0b01
            link.call(COMMANDS[request.kind], offset, length, request.data, flags, tick, until, then)

        volume.relayed[request] = None
        send()

    # -- closes

    def _generation(self, volume: str) -> int:
        """Return the generation of a volume's bytes in this region."""
        return 0 if self.generations is None else self.generations.generation(volume)

    def _unsettled_us(self, volume: RegionalVolume) -> int:
        """Return for how long the two heads may be on different sides of a close."""
        return 0 if self.generations is None else self.generations.unsettled_us(volume.name)

    def same_generation(self, volume: str, theirs: int) -> bool:
        """Whether the other head, which is catching up, has applied the same closes."""
        return theirs == self._generation(volume)

    def closed(self, covers: Callable[[str, int, int], bool]) -> None:
        """Drop work from before a close, now on disk, of the ranges that `covers` (volume, offset, length).

        Called after the core dropped its own requests, once new ones belong to the next generation.
        """
        size = self.extent_bytes
        for volume in self.volumes.values():
            name = volume.name

            def is_purged(extent: int, name: str = name) -> bool:
                return covers(name, extent * size, size)

            if not covers(name, 0, volume.settings.size_bytes):
                continue
            volume.copy_session = None  # of the previous generation; the holder connects again
            volume.catch_up.note_purged(is_purged)
            for request in list(volume.relayed):
                if request.kind is Kind.READ and covers(name, request.offset, request.length):
                    self._refuse(request, CLOSED)
            if epoch := self.holding.epoch(name, self._hub.now()):  # in time for the next write
                self._peer.copy(name, epoch, self._generation(name)).open()
            for work in list(volume.works.values()):
                if (overlap := close_overlap(work.extents, is_purged)) is not CloseOverlap.NONE:
                    self._crossed(work, overlap)

    def _crossed(self, work: Work, overlap: CloseOverlap) -> None:
        """Handle a write in progress of which a close purged all or a part."""
        volume, copies = work.volume, work.volume.copies
        work.close_overlap = overlap if work.close_overlap is not CloseOverlap.FULL else work.close_overlap
        if work.number not in copies:
            return  # still in the core, whose answer will handle it
        copies.finish(work.number)
        del volume.works[work.number]
        self._number += 1  # replies to copies under the previous number are ignored
        work.number = self._number
        volume.works[work.number] = work
        self._answer(work.request, Outcome.FAILED)
        self._after_unknown(work)

    # -- messages of the other head

    def tick(self, check: bool) -> float:
        """Answer a heartbeat with the current tick; `check` reports that a volume was released."""
        if check:
            self._check_requested.notify()
        return float(self.expiry.tick(self._hub.now()))

    def _send_heartbeats(self) -> None:
        while True:
            self._send_tick(0)
            self._hub.sleep(self.region.tick_us)

    def _send_tick(self, length: int) -> None:
        sent_at = self._hub.now()

        def then(reply: Reply | None) -> None:
            if reply is None:
                self._heartbeat.drop()
            elif not reply.error and reply.report is not None and reply.report.load:
                self._peer.newest_tick = int(reply.report.load[0])
                for volume in self.volumes.values():
                    volume.view.note_contact(sent_at)

        until = sent_at + self.region.fresh_us
        self._heartbeat.call(Command.TICK, 0, length, b"", 0, self._peer.newest_tick, until, then)

    def missing(self, volume: str, offset: int, length: int, generation: int) -> list[tuple[int, int]] | None:
        """Return which extents the other head misses, as (length, flag); None if it is across a close.

        From now on it receives new writes again.
        """
        one = self.volumes[volume]
        if not self.same_generation(volume, generation):
            return None
        if self.holding.epoch(volume, self._hub.now()):
            one.catch_up.start_joining()
        pieces = split_at_extents(offset, length, self.extent_bytes)
        return list(merge_runs((piece, int(one.catch_up.status_of(extent))) for extent, _, piece in pieces))

    def caught(self, volume: str, offset: int, length: int, generation: int, reader: object) -> None:
        """Record that the other head stored an extent as it last read it over the same connection, `reader`.

        Length 0 reports that it misses nothing.
        """
        catch_up = self.volumes[volume].catch_up
        if not self.same_generation(volume, generation):
            return
        if length:
            catch_up.confirm_copied(offset // self.extent_bytes, reader)
        else:
            catch_up.confirm_all_copied()

    # -- the witness

    def _follow_witness(self) -> None:
        round_number = 0
        while True:
            try:
                self._keep_session()
                for volume in self._by_rank():
                    volume.recent_requests *= ACTIVITY_DECAY
                    if round_number % WISH_TURNS == 0:
                        volume.wish = self._witness.wish(volume.name)
                    self._check_lock(volume)
            except FAILURES as error:
                self._note("witness failed", why=str(error) or type(error).__name__)
            now = self._hub.now()
            if self.session.id and not self.session.valid(now):
                self._lose_session()
            round_number += 1
            with suppress(DeadlineExceeded):
                self._check_requested.wait(now + self.region.ttl_us // 6)
                round_number = 0  # a volume was handed over: read the requested regions

    def _by_rank(self) -> list[RegionalVolume]:
        """Return the volumes in the order in which they may change regions: by reservation, then activity."""
        volumes = list(self.volumes.values())
        if self._budget_shares is not None:
            volumes.sort(key=lambda one: (-self.reserves.get(one.settings.plan, 0.0), -one.recent_requests))
        return volumes

    def _may_change_region(self, volume: RegionalVolume) -> bool:
        """Whether the fleet's limit allows a volume to change regions now."""
        if self._budget_shares is None:
            return True
        return not self._budget_shares.takeover_wait(self._hub.now())

    def _lose_session(self) -> None:
        self._note("lease over", region=self.region.name)
        self.session.invalidate()

    def _keep_session(self) -> None:
        sent_at = self._hub.now()
        if self.session.valid(sent_at):
            if self._witness.renew_session(self.session.id):
                self.session.record_grant(self.session.id, sent_at)
                return
            self._lose_session()
        elif self.session.id:
            self._lose_session()
        sent_at = self._hub.now()
        self.session.record_grant(self._witness.create_session(self.region.ttl_us), sent_at)

    def _check_lock(self, volume: RegionalVolume) -> None:
        """Read a volume's key, and acquire, maintain, or hand over the volume accordingly."""
        lock, now = self._witness.lock(volume.name), self._hub.now()
        view, mine = volume.view, self.session.id
        if lock is not None:
            volume.index = lock.index
            if lock.session != mine:
                self.holding.remove(volume.name)
                # Trims after a close must not wait until a copy brings the epoch.
                if self.generations is not None:
                    self._links.epochs.record_lease(volume.name, lock.epoch)
        acts = bool(self.holding.epoch(volume.name, now))
        match lock_action(view, lock, mine, acts, volume.wish, now), lock:
            case LockAction.CREATE, _:
                self._acquire(volume, VolumeRecord(view.home, tuple(sorted((view.here, view.other)))), 0)
            case LockAction.ACQUIRE, Lock():
                if view.home == view.here or self._may_change_region(volume):
                    self._acquire(volume, lock.record, lock.index)
            case LockAction.ACTIVATE, Lock():
                self._activate(volume, lock)
            case LockAction.MAINTAIN, _:
                self._maintain(volume, now)

    def _acquire(self, volume: RegionalVolume, standing: VolumeRecord, index: int) -> None:
        if not self._witness.acquire_lock(volume.name, self.session.id, standing, index):
            return
        lock = self._witness.lock(volume.name)
        if lock is not None and lock.session == self.session.id:
            volume.index = lock.index
            self._activate(volume, lock)

    def _activate(self, volume: RegionalVolume, lock: Lock) -> None:
        view, in_sync = volume.view, frozenset(lock.record.in_sync)
        opened = self._log.open_extents(volume.name)
        match acquired_action(view, in_sync, bool(opened)):
            case AcquiredAction.RELEASE:
                self._witness.release_lock(volume.name, self.session.id, lock.record, lock.index)
                return
            case AcquiredAction.RECORD_ALONE:
                self._log.miss(volume.name, opened)
                in_sync = frozenset((view.here,))
                if not self._record(volume, in_sync):
                    return
        view.behind.clear()
        view.set_in_sync(in_sync, self._hub.now())
        volume.handing_over = False
        volume.catch_up.reset()
        self.fence.admits(volume.name, lock.epoch)
        self._links.epochs.record_lease(volume.name, lock.epoch)
        self.holding.add(volume.name, lock.epoch)
        self._note("volume held", volume=volume.name, epoch=lock.epoch, in_sync=sorted(in_sync))

    def _maintain(self, volume: RegionalVolume, now: int) -> None:
        """Do the holder's duties: limits of the copy, the other region's return, handing over."""
        match holder_duty(volume.view, volume.catch_up.complete, len(volume.copies), volume.wish, now):
            case HolderDuty.DROP_OTHER:
                self._copies_late(volume)
            case HolderDuty.ADD_OTHER:
                self._join(volume)
            case HolderDuty.HAND_OVER:
                if self._may_change_region(volume):
                    self._hand_over(volume)

    def _join(self, volume: RegionalVolume) -> None:
        """Record the other region as in sync: it misses nothing, so writes wait for its copy again."""
        view = volume.view
        both = frozenset((view.here, view.other))
        view.set_in_sync(both, self._hub.now())
        if self._record(volume, both):
            self._log.forget_open(volume.name)
            self._note("in sync", volume=volume.name)
        else:
            # It may or may not be recorded: only a record to the contrary lets writes continue alone.
            volume.copies.dropping = True
            self._drop(volume, self.holding.epoch(volume.name, self._hub.now()))

    def _hand_over(self, volume: RegionalVolume) -> None:
        """Hand the volume over to the other region: finish open requests, then release the lock."""
        volume.handing_over = True
        until = self._hub.now() + HAND_OVER_US
        while len(volume.locks) and self._hub.now() < until:
            self._hub.sleep(RETRY_US // 4)
        view = volume.view
        if not len(volume.locks) and view.other in view.in_sync and not volume.copies.dropping:
            self._log.forget_open(volume.name)
            standing = VolumeRecord(volume.regions.home, tuple(sorted(view.in_sync)))
            self.holding.remove(volume.name)
            if self._witness.release_lock(volume.name, self.session.id, standing, volume.index):
                self._note("volume handed over", volume=volume.name, region=view.other)
                self._send_tick(CHECK_NOW)
        volume.handing_over = False

    # -- catching up, at the other head

    def _catch_up(self, volume: RegionalVolume) -> None:
        """Copy what this region misses from the holder, extent by extent (a task of each volume)."""
        while True:
            self._hub.sleep(CATCH_UP_US)
            now, view = self._hub.now(), volume.view
            if self.holding.epoch(volume.name, now) or view.here in view.in_sync or not view.reachable(now):
                continue
            status = self._request_missed(volume)
            if status is None:
                continue
            missed, doubtful = status
            # Extents that this region wrote alone, or was writing when it stopped, may also differ from the
            # holder's.
            own = self._log.missed(volume.name)
            if WHOLE in own:
                doubtful.update(range(-(-volume.settings.size_bytes // self.extent_bytes)))
            missed |= (own | self._log.open_extents(volume.name)) - {WHOLE}
            compared = (self._pull(volume, extent, True) for extent in sorted(doubtful - missed))
            if all(self._pull(volume, extent, False) for extent in sorted(missed)) and all(compared):
                if self._request_peer(volume, Command.CAUGHT_UP, 0, 0) is not None:
                    self._log.forget_open(volume.name)
                    self._log.mark_copied(volume.name, own)

    def _request_peer(self, volume: RegionalVolume, command: Command, offset: int, length: int,
                  flags: int = 0) -> Reply | None:  # fmt: skip
        """Send a request to the holder and wait for its reply; None if it fails or there is no reply."""
        link = self._peer.relay(volume.name, self._generation(volume.name))
        tick = self._peer.newest_tick
        until = self._hub.now() + 4 * self.region.fresh_us

        def send(then: Callable[[Reply | None], None]) -> None:
            link.call(command, offset, length, b"", flags, tick, until, then)

        reply = answer_of(self._hub, send)
        return None if reply is None or reply.error else reply

    def _request_missed(self, volume: RegionalVolume) -> tuple[set[int], set[int]] | None:
        """Request from the holder which extents this region misses, and which it may miss.

        None if the holder did not answer for the whole volume.
        """
        missed: set[int] = set()
        doubtful: set[int] = set()
        for start in range(0, volume.settings.size_bytes, STATUS_BYTES):
            length = min(STATUS_BYTES, volume.settings.size_bytes - start)
            reply = self._request_peer(volume, Command.BLOCK_STATUS, start, length)
            if reply is None:
                return None
            at = start
            for piece, flag in reply.extents:
                extents = range(at // self.extent_bytes, -(-(at + piece) // self.extent_bytes))
                if flag:
                    (missed if flag == CatchUpStatus.MISSED else doubtful).update(extents)
                at += piece
        return missed, doubtful

    def _pull(self, volume: RegionalVolume, extent: int, compare: bool) -> bool:
        """Read one extent at the holder and write it here; with `compare`, only if the checksums differ.

        The holder's new writes to it wait meanwhile. Return whether this region has the extent now.
        """
        start = extent * self.extent_bytes
        length = min(self.extent_bytes, volume.settings.size_bytes - start)
        granted = Event(self._hub)
        ticket = volume.locks.acquire(start, start + length, True, granted.set)
        try:
            granted.wait()
            generation = self._generation(volume.name)
            if not (compare and self._equal(volume, start, length)):
                reply = self._request_peer(volume, Command.READ, start, length, CommandFlags.DF)
                if reply is None or generation != self._generation(volume.name):
                    return False
                self._links.epochs.record_lease(volume.name, self.fence.highest(volume.name))
                if (
                    self._run_here(volume, Kind.WRITE, start, length, reply.data).outcome
                    is not Outcome.SERVED
                ):
                    return False
            return self._request_peer(volume, Command.CAUGHT_UP, start, length) is not None
        finally:
            volume.locks.release(ticket)

    def _equal(self, volume: RegionalVolume, start: int, length: int) -> bool:
        """Whether both regions hold the same bytes, by checksum."""
        theirs = self._request_peer(volume, Command.DIGEST, start, length)
        if theirs is None or theirs.report is None or len(theirs.report.load) != 2:
            return False
        ours = self._run_here(volume, Kind.READ, start, length)
        high, low = map(int, theirs.report.load)
        return ours.outcome is Outcome.SERVED and digest_of(ours) == high << 32 | low

    def _run_here(
        self, volume: RegionalVolume, kind: Kind, start: int, length: int, data: bytes = b""
    ) -> ClientRequest:
        """Run a background request in this region and wait for its end."""
        return background.run_request(self._hub, self._core, volume.name, kind, start, length, data)


def digest_of(request: ClientRequest) -> int:
    """Return the checksum of a served read's data."""
    return xxhash.xxh3_64_intdigest(request.bytes_read())
