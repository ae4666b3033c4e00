"""Moves extents between cells as `decisions/moving.py` decides: holds, reads and writes them via the core."""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.config.settings import HeadSettings
from harriertrack.decisions.cell_scheduler import HeadCellMap
from harriertrack.decisions.moving import Move, MoveState, misplaced_extents
from harriertrack.decisions.requests import ClientRequest, Core
from harriertrack.decisions.splitting import Kind, Outcome
from harriertrack.gateway import background
from harriertrack.runtime.hub import Hub, Scope

WAIT_US = 50_000  # between checks whether this head may act on a volume of two regions


class Mover:
    """All moves of a head: one task for each volume that has extents outside its cell."""

    def __init__(self, hub: Hub, scope: Scope, core: Core, settings: HeadSettings,
                 note: Callable[..., None], may_act: Callable[[str], bool]) -> None:  # fmt: skip
        self._hub, self._scope, self._core, self._note, self._may_act = hub, scope, core, note, may_act
        self._extent_bytes = settings.extent_bytes
        writes = (one.deadline_us for one in settings.classes if Kind.WRITE in one.kinds)
        self._settle_us = max(writes, default=0)
        self._sizes = {volume.name: volume.size_bytes for volume in settings.volumes}
        self._version = -1
        self.moves: dict[str, Move] = {}

    def apply_settings(self, settings: HeadSettings) -> None:
        """Apply new deadlines of writes; later moves settle for the longest that was ever in use."""
        writes = (one.deadline_us for one in settings.classes if Kind.WRITE in one.kinds)
        self._settle_us = max(self._settle_us, *writes)

    def follow(self, cells: HeadCellMap) -> None:
        """Start the moves that a map requires; moves of the previous map end after their current extent."""
        self._version = cells.version
        for name, volume in self._core.volumes.items():
            home = cells.volumes.get(name, "")
            if volume.settings.shards:
                fixed = enumerate(volume.settings.shards)
                if misplaced_extents(home, fixed, cells.shards):
                    self._note("can't move", volume=name, why="its extents were allocated beforehand")
                continue
            left = misplaced_extents(home, self._core.placements.placements_of(name), cells.shards)
            before = self.moves.get(name)
            # The extent in progress ends up where its write was sent, perhaps outside the new cell.
            if before is not None and before.extent_in_progress >= 0:
                left = sorted({*left, before.extent_in_progress})
            move = self.moves[name] = Move(name, left, self._settle_us, self._hub.now(), previous=before)
            if left:
                self._note("move begins", volume=name, cell=home, extents=len(left))
            self._scope.spawn(f"move {name}", self._run, move, cells)

    def _run(self, move: Move, cells: HeadCellMap) -> None:
        while not move.successor_may_start(self._hub.now()):
            self._hub.sleep(10_000)
        while (when := move.wake_at()) is not None and self._version == cells.version:
            self._hub.sleep_until(when)
            while not self._may_act(move.volume):
                self._hub.sleep(WAIT_US)
            if move.state is MoveState.SETTLING:
                placed = self._core.placements.placements_of(move.volume)
                move.finish_check(misplaced_extents(cells.volumes[move.volume], placed, cells.shards))
                continue
            extent = move.next_extent(self._hub.now())
            if extent is None:
                continue
            shard = self._core.placements.shard_of(move.volume, extent)
            if shard is None or cells.shards.get(shard) == cells.volumes[move.volume]:
                move.finish_extent(self._hub.now(), Outcome.SERVED)  # moved by the previous move
            else:
                move.finish_extent(self._hub.now(), self._move(move.volume, extent))
        if move.state is MoveState.STOPPED or move.moved:
            self._note(f"move {move.state}", volume=move.volume, extents=move.moved, why=move.stop_reason)
        if move.state is MoveState.DONE:
            self._trim_leftovers(move, cells)

    def _trim_leftovers(self, move: Move, cells: HeadCellMap) -> None:
        """Trim the extents left at old shards, by this move or by an earlier one that a kill interrupted."""
        placements, volume = self._core.placements, move.volume
        trims = move.leftover_trims(placements.leftovers(volume), dict(placements.placements_of(volume)))
        count = len(trims.remaining)
        while self._version == cells.version and (left := trims.next_trim()) is not None:
            extent, shard = left
            start = extent * self._extent_bytes
            length = min(self._extent_bytes, self._sizes[volume] - start)
            done = self._do(volume, Kind.TRIM, start, length, at_shard=shard)
            assert done.outcome is not None
            if done.outcome is Outcome.SERVED:
                placements.remove_leftover(volume, extent, shard)
            self._hub.sleep_until(trims.finish_trim(self._hub.now(), done.outcome))
        if count:
            trimmed = count - trims.given_up - len(trims.remaining)
            self._note("left behind trimmed", volume=volume, extents=trimmed, given_up=trims.given_up)

    def _move(self, volume: str, extent: int) -> Outcome:
        """Move one extent; return the outcome."""
        waiter = background.Waiter(self._hub)
        self._core.hold_extent(volume, extent, waiter)
        waiter.wait()
        start = extent * self._extent_bytes
        length = min(self._extent_bytes, self._sizes[volume] - start)
        read = self._do(volume, Kind.READ, start, length)
        if read.outcome is not Outcome.SERVED:
            self._core.release_extent(volume, extent)
            return Outcome.REFUSED  # nothing was changed anywhere
        done = self._do(volume, Kind.WRITE, start, length, read.bytes_read())  # its end releases the extent
        assert done.outcome is not None
        return done.outcome

    def _do(self, volume: str, kind: Kind, start: int, length: int, data: bytes = b"",
            at_shard: int = -1) -> ClientRequest:  # fmt: skip
        return background.run_request(
            self._hub, self._core, volume, kind, start, length, data, True, at_shard
        )
