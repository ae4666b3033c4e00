"""A head's sweeps: trims after closes of volumes that several heads serve."""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.config.settings import HeadSettings
from harriertrack.decisions.fleet.closing.fences import Fence, Fences
from harriertrack.decisions.fleet.closing.sweeps import SLICES, Sweep, SweepKey
from harriertrack.decisions.fleet.closing.trims import TrimQueue, TrimTarget
from harriertrack.runtime.hub import Hub


class Sweeps:
    """The sweeps in progress at one head."""

    def __init__(self, hub: Hub, fences: Fences, trims: TrimQueue, settings: HeadSettings, head: str,
                 settle_us: int, cancel_trims: Callable[[list[TrimTarget]], None]) -> None:  # fmt: skip
        self._hub, self._fences, self._trims = hub, fences, trims
        self._cancel_trims = cancel_trims
        self._size, self._head, self._settle_us = settings.extent_bytes, head, settle_us
        self._volumes = {one.name: one for one in settings.volumes if one.shards}
        self._sweeps: dict[SweepKey, Sweep] = {}

    def in_progress(self) -> list[Sweep]:
        """Return the sweeps in progress."""
        return list(self._sweeps.values())

    def update(self, fence: Fence) -> None:
        """Begin the sweeps that a calendar's closes need, and end those that the record has as complete."""
        for key in [key for key in self._sweeps if key.calendar == fence.calendar]:
            if fence.schedule.last_swept(key.volume) >= key.number:
                self._end(key)
        for volume in self._volumes:
            if self._fences.may_purge(volume) and (closes := fence.unswept_closes(volume)):
                self._begin(fence, SweepKey(fence.calendar, closes[-1].number, volume))

    def _begin(self, fence: Fence, key: SweepKey) -> None:
        if key in self._sweeps:
            return
        replaced = [one for one in self._sweeps if (one.calendar, one.volume) == (key.calendar, key.volume)]
        for older in replaced:
            self._end(older)
        size, volume, now = self._size, self._volumes[key.volume], self._hub.now()
        extents = range(-(-volume.size_bytes // size))
        sweep = Sweep.for_extents(
            key, (one for one in extents if fence.needs_sweep(key.volume, one * size, size))
        )
        self._sweeps[key] = sweep
        for turn, number in enumerate(sweep.slice_order(self._head)):
            targets = self._targets(key.volume, sweep.remaining[number])
            # Requests that any head sent before the close have run by then; nodes reject later ones.
            self._trims.add(now, targets, turn / SLICES, dict.fromkeys(targets, now + self._settle_us))

    def _targets(self, volume: str, extents: set[int]) -> list[TrimTarget]:
        shards = self._volumes[volume].shards
        return [TrimTarget(volume, extent, shards[extent % len(shards)]) for extent in sorted(extents)]

    def _end(self, key: SweepKey) -> None:
        sweep = self._sweeps.pop(key)
        targets = self._targets(
            key.volume, {extent for extents in sweep.remaining.values() for extent in extents}
        )
        self._trims.drop(targets)
        self._cancel_trims(targets)
