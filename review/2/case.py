"""Some answers of the shelfs are spoilt: they never end. The platform kills a head that goes over its memory."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from stand import (
    TROUBLE, Answer, Discovery, Head, Record, Shelf, ask, lane, play, request_bytes, response, settings, tell, trace_id,
)

SECONDS, RATE = 60, 100  # a head gets up to 200 requests a second
SPOILT = 0.1  # of the answers, from any shelf alike
CHUNK, PAUSE_S = 65536, 0.05  # a spoilt answer goes on at 1.3 MB a second
SHELVES, VOLUMES = 8, 60
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}  # the most that a scored day gives
LANES = [  # of lisboa-scores
    lane("score-read", "read_like", 300, 1500, "all", 5000, 3.0),
    lane("event-write", "idempotency_key", 500, 2500, "cell", 2500, 2.0),
    lane("season-export", "read_like", 2000, 6000, "all", 5000, 1.0),
]


async def case(record: Record) -> str:
    random_ = random.Random(3)
    open_spoilt, most_open, spoilt = 0, 0, 0

    async def behave(shelf: Shelf, message, writer) -> bool:
        nonlocal open_spoilt, most_open, spoilt
        await asyncio.sleep(0.02)
        if not TROUBLE or random_.random() >= SPOILT:
            writer.write(response(200, b"goal, 63rd minute" * 10))
            return True
        spoilt, open_spoilt = spoilt + 1, open_spoilt + 1
        most_open = max(most_open, open_spoilt)
        record.say("shelf begins an answer that never ends", shelf=shelf.name, id=message.fields["x-trace-id"])
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while not writer.is_closing():
                writer.write(b"%x\r\n%s\r\n" % (CHUNK, b"n" * CHUNK))
                await writer.drain()
                await asyncio.sleep(PAUSE_S)
        finally:
            open_spoilt -= 1
        return False

    discovery = await Discovery(record).start()
    shelves = [await Shelf(f"s-{number}", number, record, behave).start() for number in range(SHELVES)]
    await discovery.put(*shelves)
    content = settings(LANES, [False, True, False], familyInfo={"slotsTotal": SHELVES})
    head = Head(record, discovery, content, limits=LIMITS)
    tasks: list[asyncio.Task[Answer]] = []
    killed_at, most = 0.0, 0.0

    async def platform() -> None:
        """Measure the head's memory, and kill it over the limit, as the deployment's page says."""
        nonlocal killed_at, most
        for number in range(10**6):
            memory = head.memory_mb()
            most = max(most, memory)
            if number % 10 == 0:
                record.say("memory", mb=round(memory, 1), limit=LIMITS["memory_mb"], spoilt=spoilt, open=open_spoilt)
            if memory > LIMITS["memory_mb"]:
                killed_at = record.now_ms()
                record.say("OVER THE LIMIT: the platform kills the head", mb=round(memory, 1), spoilt=spoilt,
                           open_now=open_spoilt, most_open=most_open)
                head.signal(signal.SIGKILL)
                return
            await asyncio.sleep(0.1)

    def one() -> asyncio.Task[Answer]:
        number = len(tasks)
        (kind,) = random_.choices(LANES, [55, 30, 15])
        trace, writes, expires_ms = trace_id(), kind["name"] == "event-write", kind["giveUpUs"] // 1000
        data = request_bytes(trace, kind["name"], "PUT" if writes else "GET", expires_ms, number % SHELVES,
                             key=f"goal-{number}" if writes else "", volume=f"{number % VOLUMES:016x}")
        return asyncio.create_task(ask(record, head, trace, data, expires_ms / 1000 + 0.6))

    try:
        await (await head.start()).ready()
        await asyncio.sleep(0.5)
        watcher = asyncio.create_task(platform())
        until = asyncio.get_running_loop().time() + SECONDS
        while asyncio.get_running_loop().time() < until and not killed_at and head.running:
            tasks.append(one())
            await asyncio.sleep(random_.expovariate(RATE))
        answers = await asyncio.gather(*tasks)
        counts = Counter(answer.status for answer in answers)
        record.say("counted", statuses=dict(counts), spoilt=spoilt, most_open=most_open, most_mb=round(most, 1))
        tell(f"most memory {most:.0f} MB of {LIMITS['memory_mb']}; {spoilt} spoilt answers, {most_open} at most at a "
              f"time; statuses {dict(counts)}")
        watcher.cancel()
        if killed_at:
            return f"the head went over its memory after {killed_at / 1000:.0f} s; {counts[0]} requests got no answer"
        if not head.running:
            return "the head ended"
        return ""
    finally:
        await head.end()


sys.exit(play(Path(__file__).resolve().parent, case, 90))
