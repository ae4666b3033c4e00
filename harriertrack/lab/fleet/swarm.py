"""Members of a fleet alone, without heads, on a simulated network: for the protocol's own figures.

Far cheaper than heads on the virtual clock: hours of hundreds of members take minutes.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from harriertrack.membership.fleet.messages import Address, Record, State
from harriertrack.membership.fleet.swim import LogEvent, MemberChanged, Rules, Send, Swim
from harriertrack.membership.fleet.view import Change

DELAY_US = (200, 800)  # of a datagram, drawn evenly
WALL_MS = 1_700_000_000_000


@dataclass(frozen=True, slots=True)
class ViewChangeSeen:
    """One member's view changed."""

    t: int
    member: str
    change: Change


class Swarm:
    """Some members and what lies between them; `loss` and `cut` may be changed at any time."""

    def __init__(self, rules: Rules, seed: int = 0, seeds: int = 2) -> None:
        self.rules, self.now, self.random = rules, 1_000_000, random.Random(seed)
        self.members: dict[str, Swim] = {}
        self.seen: list[ViewChangeSeen] = []
        self.said: list[tuple[int, str, LogEvent]] = []
        self.loss = 0.0  # share of datagrams that are lost
        self.late_us: Callable[[str, str], int] = lambda _source, _target: 0
        self.cut: Callable[[str, str], bool] = lambda _source, _target: False
        self.keep_changes = True
        self._stopped: set[str] = set()  # processes that stand still: what comes waits
        self._waiting: dict[str, list[tuple[bytes, Address]]] = {}
        self._at: dict[Address, str] = {}  # which process holds an address
        self._seeds, self._lives = seeds, 0
        self._queue: list[tuple[int, int, str, int, bytes, Address]] = []
        self._planned: dict[str, int] = {}
        self._serial = 0

    def address(self, name: str) -> Address:
        """Return the address that a name's processes use."""
        return "10.0.0.1", 1 + int(name.strip("abcdefghijklmnopqrstuvwxyz-") or 0)

    def start(self, name: str, address: Address | None = None, started: int | None = None,
              process: str = "") -> Swim:  # fmt: skip
        """Start a process under a name; one that ran under it at this address is gone."""
        self._lives += 1
        address = address or self.address(name)
        record = Record(
            name, WALL_MS + self.now // 1000 if started is None else started, self.random.getrandbits(63), 0,
            State.ALIVE, *address, region="a", zone=f"z{self._lives % 3}",
        )  # fmt: skip
        first = [self.address(f"m{number}") for number in range(self._seeds)]
        swim = Swim(self.rules, record, first, self.random.getrandbits(32))
        process = process or name
        self.members[process] = swim
        self._at[address] = process
        self._waiting.pop(process, None)
        self._stopped.discard(process)
        swim.start(self.now)
        self._follow(process)
        return swim

    def kill(self, process: str) -> None:
        """End a process at once."""
        swim = self.members.pop(process)
        if self._at.get(swim.me.address) == process:
            del self._at[swim.me.address]
        self._planned.pop(process, None)

    def stop(self, process: str) -> None:
        """Let a process stand still; its socket still takes what comes, up to some."""
        self._stopped.add(process)

    def resume(self, process: str) -> None:
        """Let it go on: it finds what came, and its timers late."""
        self._stopped.discard(process)
        for data, source in self._waiting.pop(process, []):
            self.members[process].receive(self.now, data, source)
            self._follow(process)
        self._plan(process)

    def leave(self, process: str) -> None:
        """Ask a process to say goodbye."""
        self.members[process].leave(self.now)
        self._follow(process)

    def _follow(self, process: str) -> None:
        swim = self.members[process]
        for action in swim.take_actions():
            if isinstance(action, Send):
                self._carry(process, action)
            elif isinstance(action, MemberChanged) and self.keep_changes:
                self.seen.append(ViewChangeSeen(self.now, process, action.change))
            elif isinstance(action, LogEvent):
                self.said.append((self.now, process, action))
        self._plan(process)

    def _plan(self, process: str) -> None:
        at = max(self.members[process].wake_at(), self.now)
        if self._planned.get(process) != at:
            self._planned[process] = at
            self._push(at, process, 0, b"", ("", 0))

    def _push(self, at: int, process: str, kind: int, data: bytes, source: Address) -> None:
        self._serial += 1
        heapq.heappush(self._queue, (at, self._serial, process, kind, data, source))

    def _carry(self, process: str, send: Send) -> None:
        target = self._at.get(send.address)
        if target is None or self.cut(process, target) or self.random.random() < self.loss:
            return
        at = self.now + self.random.randrange(*DELAY_US) + self.late_us(process, target)
        self._push(at, target, 1, send.data, self.members[process].me.address)

    def run(self, us: int, until: Callable[[], bool] | None = None) -> bool:
        """Let time pass, or less if `until` comes true; return whether it did."""
        end = self.now + us
        while self._queue and self._queue[0][0] <= end:
            at, _, process, kind, data, source = heapq.heappop(self._queue)
            swim = self.members.get(process)
            if swim is None or (kind == 0 and self._planned.get(process) != at):
                continue
            self.now = at
            if process in self._stopped:
                if kind == 1 and len(waiting := self._waiting.setdefault(process, [])) < 200:
                    waiting.append((data, source))
                continue
            if kind == 0:
                self._planned.pop(process)
                swim.wake(at)
            else:
                swim.receive(at, data, source)
            self._follow(process)
            if until is not None and until():
                return True
        self.now = end
        return until is not None and until()

    def is_agreed(self, names: Iterable[str] | None = None) -> bool:
        """Whether all these processes hold exactly each other to be there."""
        processes = list(self.members if names is None else names)
        there = {self.members[one].me.name for one in processes}
        digests = {self.members[one].view.digest for one in processes}
        return len(digests) == 1 and set(self.members[processes[0]].view.present) == there

    def run_until_agreed(self, us: int, names: Iterable[str] | None = None) -> int:
        """Run until all these agree; return after how long, -1 if not within a time."""
        began, wanted = self.now, None if names is None else list(names)
        while self.now < began + us:
            if self.is_agreed(wanted):
                return self.now - began
            self.run(50_000)
        return self.now - began if self.is_agreed(wanted) else -1
