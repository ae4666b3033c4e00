"""The core as fronts and links call it, and what it does when the module has spoken."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from harriertrack.decisions import interface as api
from harriertrack.decisions.life import AttemptStep, PartState, PartStep, step_attempt
from harriertrack.decisions.requests.acting import Acting
from harriertrack.decisions.requests.arriving import Arriving
from harriertrack.decisions.requests.attempts import Attempts
from harriertrack.decisions.requests.board import Board
from harriertrack.decisions.requests.closing import Closing
from harriertrack.decisions.requests.ending import Ending
from harriertrack.decisions.requests.facts import Beside, VolumeFacts
from harriertrack.decisions.requests.keeping import Keeping
from harriertrack.decisions.requests.model import Attempt, ClientRequest, Part, Volume
from harriertrack.decisions.requests.offering import Offering
from harriertrack.decisions.requests.placing import Placing
from harriertrack.decisions.requests.port import Closings, Holder, Module, NodeBook, Places, Port
from harriertrack.decisions.requests.rules import Placed, RequestRules
from harriertrack.decisions.splitting import Kind, Outcome


class Core:
    """One head."""

    def __init__(
        self,
        rules: RequestRules,
        module: Module,
        volumes: Iterable[VolumeFacts],
        port: Port,
        nodes: NodeBook,
        places: Places,
        restored: Iterable[api.NodeEntry] = (),
    ) -> None:
        self.nodes, self.places = nodes, places
        self.volumes = {volume.name: Volume(volume) for volume in volumes}
        self._module, self._port = module, port
        board = self._board = Board(rules, port, places)
        self.counts = board.counts
        self._arriving = Arriving(board)
        self._placing = Placing(board, self._arriving)
        self._keeping = Keeping(board, self._placing)
        self._ending = Ending(board, self._placing, self._keeping)
        self._offering = Offering(board, self._arriving, self._placing, self._keeping, self._ending)
        self._attempts = Attempts(board, nodes, self._keeping, self._ending, self._offering)
        self._acting = Acting(board, self._ending, self._offering, self._attempts)
        self._closing = Closing(board, self._placing, self._ending)
        for volume in self.volumes.values():  # what an earlier life wrote without a flush is not known
            name, fixed = volume.settings.name, volume.settings.shards
            volume.dirty = dict.fromkeys(fixed or {shard for _, shard in places.placed(name)}, 0)
        board.add(api.NodesChanged(api.ListKind.RESTORED, list(restored)))

    # -- what it is told

    @property
    def rules(self) -> RequestRules:
        """Return what it goes by."""
        return self._board.rules

    def retell(self, now: int, rules: RequestRules, settings: api.Settings) -> None:
        """Go by other deadlines and bounds for what is taken from now on, and let the module go by its own.

        Classes, and how requests are cut, stay.
        """
        self._board.retell(rules)
        self._keeping.patience.set_rules(now, rules.patience)
        self._board.add(api.SettingsChanged(settings))

    def nodes_changed(self, news: api.NodesChanged | None) -> None:
        """Take news of the node list; None is none.

        What a head hears first after it stood still may have come to this machine as early as it fell asleep.
        """
        if news is not None:
            stood_from = self._attempts.standstill.stood_from
            if stood_from is not None:
                news.announced_at = min(news.announced_at or stood_from, stood_from)
            self._board.add(news)

    def list_failed(self) -> None:
        """The source can't be reached; the list in hand stays."""
        self._board.add(api.NodesChanged(api.ListKind.FAILED))

    def begin_looks(self, now: int) -> None:
        """Let `look` be called each `standstill.LOOK_US` from now on."""
        self._attempts.standstill.begin(now)

    def look(self, now: int) -> None:
        """Look whether the process stood still: then nothing is sent before the list was asked for."""
        self._attempts.look(now)

    def must_ask(self, now: int) -> bool:
        """Look; return whether the list has to be asked for before anything is sent."""
        return self._attempts.must_ask(now)

    def list_heard(self, began: int, answered: bool) -> None:
        """A call for the list that began then was answered, or failed at its source."""
        self._attempts.standstill.heard(began, answered)
        self._board.soon()

    # -- requests

    def deadline_of(self, now: int, kind: Kind, length: int) -> int:
        """Return when a client that asks now gives up."""
        return now + self._board.deadlines[self._board.class_of(kind, length)]

    def full(self) -> bool:
        """Return whether as many parts are open as the settings allow."""
        return len(self._board.parts) >= self._board.rules.held

    def take(self, now: int, request: ClientRequest) -> None:
        """Take a request: from now on it is owed one final answer."""
        board = self._board
        board.counts.taken += 1
        class_name = self._class_of(request)
        if not request.deadline:
            came = min(request.came or now, now)
            request.deadline = came + max(board.deadlines[class_name], request.patience_us)
        self._begin(now, request, class_name)

    def _begin(self, now: int, request: ClientRequest, class_name: str) -> None:
        """Cut a request and let its parts go on, unless a close stands in its way."""
        if self._closing.turns_away(now, request):
            return
        self._board.cut(request, class_name)
        request.open = len(request.parts)
        if not request.parts:
            self._ending.finish(request, Outcome.SERVED)
        for part in list(request.parts):
            if part.state is PartState.WAITING:  # else the one before ended the request
                self._offering.admit(now, part)

    def _class_of(self, request: ClientRequest) -> str:
        kind = request.kind
        own = Kind.OWN_READ if kind is Kind.READ else Kind.MOVE if request.moving else Kind.CATCH_UP
        return self._board.class_of(own if request.background else kind, request.length)

    def take_placed(self, now: int, request: ClientRequest, placed: Placed) -> None:
        """Take a request that is one part and says itself where it lies; its deadline is set.

        Raises ValueError for one that would wait on hints: waiting goes by extents, which it has not.
        """
        if request.patience_us or not request.deadline:
            raise ValueError("a request that is placed by its client has a deadline and no patience")
        self.counts.taken += 1
        part = self._board.part(request, placed.class_name, -1, 0, request.length, placed.shard)
        part.placed = placed
        request.pieces.append(part)
        request.open = 1
        self._arriving.tell(now, part)

    def client_gone(self, request: ClientRequest) -> None:
        """The client left: no answer is owed any more."""
        if request.outcome is None:
            request.outcome = Outcome.FAILED
            self.counts.left += 1
            self._ending.drop_parts(request)

    def answer_outside(self, request: ClientRequest) -> None:
        """Give an answer that was decided around the core at the end of the next flush, as all are."""
        self._board.answers.append(request)
        self._board.soon()

    # -- what is open

    @property
    def open_requests(self) -> int:
        """How many requests were taken and have no final answer yet."""
        counts = self.counts
        return counts.taken - counts.served - counts.refused - counts.failed - counts.left

    @property
    def open_parts(self) -> int:
        """How many parts are open, or have attempts out."""
        return len(self._board.parts)

    @property
    def waiting(self) -> int:
        """How many parts wait on a hint."""
        return len(self._keeping.patience)

    @property
    def offers(self) -> int:
        """How often a part that waited was offered to the module."""
        return self._keeping.patience.offered

    def kept_parts(self) -> Iterator[Part]:
        """Yield the open parts that wait, or have waited, on a hint."""
        return (part for part in self._board.parts.values() if part.kept and not part.state.over)

    # -- the head's end

    def fail_open(self) -> None:
        """The head ends now: fail whatever is open, which is true of anything that may yet run."""
        for part in list(self._board.parts.values()):
            if not part.state.over:
                self._board.add(api.ClientLeft(part.number))
                self._ending.given_up(part, PartStep.FAIL)

    def close(self, why: str) -> None:
        """Let nothing wait on a hint any more: what does is refused."""
        self._board.closing = why
        self._closing.stop(why)
        for part in [part for part in self._board.parts.values() if part.state is PartState.KEPT]:
            if part.state is PartState.KEPT:  # else a sibling's refusal has dropped it
                part.request.why = why
                self._ending.time_up(part)

    # -- extents

    def shard_of(self, volume: Volume, extent: int) -> int | None:
        """Return the shard that holds an extent; None if it was never written."""
        return self._board.shard_of(volume, extent)

    def hold_extent(self, volume: str, extent: int, holder: Holder) -> None:
        """Let later requests for an extent wait; `holder.held` follows once no earlier one is open.

        It ends with `free_extent`, or with the end of a `moving` write to the extent. Raises ValueError if it
        is held already, or was never placed.
        """
        self._placing.hold(volume, extent, holder)

    def free_extent(self, volume: str, extent: int) -> None:
        """Let those that wait for an extent go on; not while a `moving` write to it is under way."""
        self._placing.free(volume, extent)

    # -- closes

    @property
    def closings(self) -> Closings | None:
        """Return what guards ranges that are purged at closes; None: the head's fleet has no calendars."""
        return self._board.closings

    @closings.setter
    def closings(self, closings: Closings) -> None:
        self._board.closings = closings

    def close_off(self, now: int, covers: Callable[[str, int, int], bool]) -> tuple[int, int]:
        """Give up what is open of the (volume, offset, length) that a close covers; put placements on disk.

        What may have run is failed, all else is refused. Returns how many parts were refused and failed.
        """
        return self._closing.close_off(now, covers)

    def keep_purged(self, places: Iterable[tuple[str, int]]) -> None:
        """Let requests for these (volume, extent) wait until `free_trimmed`; nothing of them is open."""
        self._placing.keep_purged(places)

    def free_trimmed(self, volume: str, extent: int) -> None:
        """Let those that wait for a purged extent go on."""
        self._placing.free(volume, extent, purged=True)

    # -- attempts

    def may_begin(self, now: int, attempt: Attempt) -> bool:
        """Return whether an attempt that waited for its connection may still be sent.

        If not it is MOOT: nothing was sent, which says nothing of its node.
        """
        return self._attempts.may_begin(now, attempt)

    def sent(self, attempt: Attempt, at: int = 0) -> None:
        """The attempt's bytes were handed to its link; `at` tells when, where it was dialled first."""
        attempt.state = step_attempt(attempt.state, AttemptStep.SEND)
        attempt.left_at = at

    def ended(self, now: int, attempt: Attempt, result: api.Result, data: bytes = b"",
              report: Beside | None = None) -> None:  # fmt: skip
        """Take an attempt's outcome from its link; one that was called off has told the module already."""
        self._attempts.ended(now, attempt, result, data, report)

    # -- the module

    def flush(self, now: int) -> None:
        """Hand the module what has happened, do what it says, and give the answers that are due."""
        board, placing, acting, patience = self._board, self._placing, self._acting, self._keeping.patience
        self.look(now)
        while True:
            acting.expire(now)
            if board.events:
                events, board.events = board.events, []
                for action in self._module.handle(now, events):
                    acting.act(now, action)
            placing.record()
            placing.release(now)
            for part in patience.take_due(now):
                if part.state is PartState.KEPT:  # else one before it in this list ended their request
                    self._offering.again(now, part)
            for request in self._closing.again(now):
                self._begin(now, request, self._class_of(request))
            self._attempts.release(now)
            if not board.events:
                break
        board.asked_soon = False
        for part in board.retiring:
            if not part.out:
                board.parts.pop(part.number, None)
        board.retiring.clear()
        answers, board.answers = board.answers, []
        for request in answers:
            if not self._closing.withholds(now, request):
                self._port.answer(request)
        placing.tell_holders()
        times = [board.due[0][0]] if board.due else []
        others = (patience.next_due_at(now), self._closing.next_at(), self._attempts.standstill.until())
        times += [when for when in others if when is not None]
        if times:
            self._port.wake_at(min(times))
