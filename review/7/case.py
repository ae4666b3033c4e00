"""Heads that are held up once, just before they would answer what is open at their kill. See claim.txt."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from stand import (
    TROUBLE, Discovery, Head, NotRun, Record, Shelf, lane, play, read_message, request_bytes, response, settings,
    trace_id,
)

KILL_S = 3.7  # the longest deadline, counted as 3 s, and 0.7 s
HELD_UP_S = 0.145  # "a head that is held up for up to 0.15 s"
MOST_HELD_UP_S = 0.15
HEADS, REQUESTS = 10, 3
ASK_S = 3.1  # after SIGTERM: more than 0.7 s, and before the head closes what idles
WORK_S = 0.65  # of a large read, whose aim is 2 s
EXPIRES_MS = 6000


class Play:
    """One head, its clients, and its end."""

    def __init__(self, record: Record, number: int, discovery: Discovery, content: dict) -> None:
        self.record, self.number = record, number
        self.head = Head(record, discovery, content, name=f"n{number}")
        self.unanswered: list[str] = []
        self.kill_at = self.held_up_s = 0.0

    async def run(self) -> None:
        record, head = self.record, self.head
        connections = [await asyncio.open_connection(*head.address) for _ in range(REQUESTS)]
        for _, writer in connections:  # so that each connection has been used
            writer.write(request_bytes(trace_id(), "season-export", "GET", EXPIRES_MS, 0))
        for reader, _ in connections:
            await asyncio.wait_for(read_message(reader), 3)
        asked_at = time.monotonic()
        head.signal(signal.SIGTERM)
        await self.until(asked_at + ASK_S)
        clients = [asyncio.create_task(self.ask(reader, writer)) for reader, writer in connections]
        if TROUBLE:
            # From just before the head would answer to just before the kill.
            await self.until(asked_at + KILL_S - HELD_UP_S - 0.001 + 0.0007 * self.number)
            if not head.running:
                raise NotRun("the head ended before its time")
            head.signal(signal.SIGSTOP)
            stopped = time.monotonic()
            await self.until(stopped + HELD_UP_S)
            head.signal(signal.SIGCONT)
            self.held_up_s = time.monotonic() - stopped
        await self.until(asked_at + KILL_S)
        self.kill_at = time.monotonic() - asked_at
        if head.running:
            head.signal(signal.SIGKILL)
        record.say("end", name=head.name, killed_after_ms=round(1000 * self.kill_at, 1),
                   held_up_ms=round(1000 * self.held_up_s, 1))
        await asyncio.gather(*clients)

    async def until(self, when: float) -> None:
        while (left := when - time.monotonic()) > 0:
            await asyncio.sleep(left - 0.002 if left > 0.003 else 0)

    async def ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send a request over a connection that the head has kept open, and wait for its answer."""
        trace = trace_id()
        writer.write(request_bytes(trace, "season-export", "GET", EXPIRES_MS, 0))
        self.record.say("client sent", name=self.head.name, id=trace)
        try:
            message = await asyncio.wait_for(read_message(reader), EXPIRES_MS / 1000 + 1)
        except (asyncio.IncompleteReadError, OSError, TimeoutError) as error:
            self.unanswered.append(trace)
            self.record.say("client got nothing", name=self.head.name, id=trace, why=type(error).__name__)
        else:
            self.record.say("client got", name=self.head.name, id=trace, status=message.status)
        writer.close()


async def case(record: Record) -> str:
    async def serve(shelf: Shelf, message, writer) -> bool:
        await asyncio.sleep(WORK_S)
        writer.write(response(200, b"export"))
        return True

    discovery = await Discovery(record).start()
    await discovery.put(await Shelf("s-5be2a07c", 0, record, serve).start())
    content = settings([lane("season-export", "read_like", 2000, EXPIRES_MS)], [False])
    plays = [Play(record, number, discovery, content) for number in range(HEADS)]
    try:
        await asyncio.gather(*(one.head.start() for one in plays))
        await asyncio.gather(*(one.head.ready() for one in plays))
        await asyncio.sleep(1)
        await asyncio.gather(*(one.run() for one in plays))
        lost = []
        for one in plays:
            if one.held_up_s <= MOST_HELD_UP_S and one.kill_at >= KILL_S and one.unanswered:
                lost.append(f"{one.head.name}: {len(one.unanswered)} of {REQUESTS}, held up {one.held_up_s:.3f} s")
        return f"lost at {len(lost)} of {HEADS} heads: {'; '.join(lost)}" if lost else ""
    finally:
        for one in plays:
            if one.head.running:
                one.head.signal(signal.SIGCONT)
            await one.head.end()


sys.exit(play(Path(__file__).resolve().parent, case, 60))
