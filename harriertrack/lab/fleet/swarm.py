"""Members of the membership protocol alone, without heads, on a simulated network, to measure the protocol.

This is far cheaper than heads on the virtual clock: hours of hundreds of members take minutes.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from harriertrack.membership.fleet.messages import Address, Record, State
from harriertrack.membership.fleet.swim import LogEvent, MemberChanged, Rules, Send, Swim
from harriertrack.membership.fleet.view import Change

DELAY_US = (200, 800)  # of a datagram, drawn uniformly
WALL_MS = 1_700_000_000_000


@dataclass(frozen=True, slots=True)
class ViewChangeSeen:
    """A change of one member's view."""

    t: int
    member: str
    change: Change


class Swarm:
    """Members and the network between them; `loss`, `late_us` and `cut` may be changed at any time."""

    def __init__(self, rules: Rules, seed: int = 0, seeds: int = 2) -> None:
        self.rules, self.now, self.random = rules, 1_000_000, random.Random(seed)
        self.members: dict[str, Swim] = {}
        self.seen: list[ViewChangeSeen] = []
        self.said: list[tuple[int, str, LogEvent]] = []
        self.loss = 0.0  # share of datagrams that are lost
        self.late_us: Callable[[str, str], int] = lambda _source, _target: 0
        self.cut: Callable[[str, str], bool] = lambda _source, _target: False
        self.keep_changes = True
        self._stopped: set[str] = set()  # suspended processes; their datagrams wait
        self._waiting: dict[str, list[tuple[bytes, Address]]] = {}
        self._process_at: dict[Address, str] = {}
        self._seeds, self._starts = seeds, 0
        self._events: list[tuple[int, int, str, int, bytes, Address]] = []
        self._wake_times: dict[str, int] = {}
        self._serial = 0

    def address(self, name: str) -> Address:
        """Return the address that a name's processes use."""
        return "10.0.0.1", 1 + int(name.strip("abcdefghijklmnopqrstuvwxyz-") or 0)

    def start(self, name: str, address: Address | None = None, started: int | None = None,
              process: str = "") -> Swim:  # fmt: skip
        """Start a process under a name; it replaces one that used the same address."""
        self._starts += 1
        address = address or self.address(name)
        record = Record(
            name, WALL_MS + self.now // 1000 if started is None else started, self.random.getrandbits(63), 0,
            State.ALIVE, *address, region="a", zone=f"z{self._starts % 3}",
        )  # fmt: skip
        seeds = [self.address(f"m{number}") for number in range(self._seeds)]
        swim = Swim(self.rules, record, seeds, self.random.getrandbits(32))
        process = process or name
        self.members[process] = swim
        self._process_at[address] = process
        self._waiting.pop(process, None)
        self._stopped.discard(process)
        swim.start(self.now)
        self._run_actions(process)
        return swim

    def kill(self, process: str) -> None:
        """End a process without notice."""
        swim = self.members.pop(process)
        if self._process_at.get(swim.me.address) == process:
            del self._process_at[swim.me.address]
        self._wake_times.pop(process, None)

    def stop(self, process: str) -> None:
        """Suspend a process; its socket still buffers up to 200 datagrams."""
        self._stopped.add(process)

    def resume(self, process: str) -> None:
        """Resume a suspended process: it receives the buffered datagrams, and its timers run late."""
        self._stopped.discard(process)
        for data, source in self._waiting.pop(process, []):
            self.members[process].receive(self.now, data, source)
            self._run_actions(process)
        self._schedule_wake(process)

    def leave(self, process: str) -> None:
        """Make a process announce that it leaves."""
        self.members[process].leave(self.now)
        self._run_actions(process)

    def _run_actions(self, process: str) -> None:
        swim = self.members[process]
        for action in swim.take_actions():
            if isinstance(action, Send):
                self._transmit(process, action)
            elif isinstance(action, MemberChanged) and self.keep_changes:
                self.seen.append(ViewChangeSeen(self.now, process, action.change))
            elif isinstance(action, LogEvent):
                self.said.append((self.now, process, action))
        self._schedule_wake(process)

    def _schedule_wake(self, process: str) -> None:
        at_us = max(self.members[process].wake_at(), self.now)
        if self._wake_times.get(process) != at_us:
            self._wake_times[process] = at_us
            self._push(at_us, process, 0, b"", ("", 0))

    def _push(self, at_us: int, process: str, kind: int, data: bytes, source: Address) -> None:
        """Schedule an event: a wake-up (kind 0) or the arrival of a datagram (kind 1)."""
        self._serial += 1
        heapq.heappush(self._events, (at_us, self._serial, process, kind, data, source))

    def _transmit(self, process: str, send: Send) -> None:
        target = self._process_at.get(send.address)
        if target is None or self.cut(process, target) or self.random.random() < self.loss:
            return
        at_us = self.now + self.random.randrange(*DELAY_US) + self.late_us(process, target)
        self._push(at_us, target, 1, send.data, self.members[process].me.address)

    def run(self, us: int, until: Callable[[], bool] | None = None) -> bool:
        """Simulate `us`, or less if `until` becomes true; return whether it did."""
        end = self.now + us
        while self._events and self._events[0][0] <= end:
            at_us, _, process, kind, data, source = heapq.heappop(self._events)
            swim = self.members.get(process)
            if swim is None or (kind == 0 and self._wake_times.get(process) != at_us):
                continue
            self.now = at_us
            if process in self._stopped:
                if kind == 1 and len(waiting := self._waiting.setdefault(process, [])) < 200:
                    waiting.append((data, source))
                continue
            if kind == 0:
                self._wake_times.pop(process)
                swim.wake(at_us)
            else:
                swim.receive(at_us, data, source)
            self._run_actions(process)
            if until is not None and until():
                return True
        self.now = end
        return until is not None and until()

    def is_agreed(self, names: Iterable[str] | None = None) -> bool:
        """Whether each of these processes has exactly these processes as present members in its view."""
        processes = list(self.members if names is None else names)
        expected = {self.members[process].me.name for process in processes}
        digests = {self.members[process].view.digest for process in processes}
        return len(digests) == 1 and set(self.members[processes[0]].view.present) == expected

    def run_until_agreed(self, us: int, names: Iterable[str] | None = None) -> int:
        """Run until these processes agree, at most `us`; return how long it took, or -1."""
        began, processes = self.now, None if names is None else list(names)
        while self.now < began + us:
            if self.is_agreed(processes):
                return self.now - began
            self.run(50_000)
        return self.now - began if self.is_agreed(processes) else -1
