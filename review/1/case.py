"""A write that is safe to repeat inside one zone, whose shelf is replaced by one of another zone and then resets."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from stand import (
    TROUBLE, Discovery, Head, NotRun, Record, Shelf, ask, lane, play, request_bytes, reset, response, settings, trace_id,
)

WRITES = 3
WINDOW_MS, GIVE_UP_MS, AIM_MS = 5000, 5000, 750  # new-record of brno-main


async def case(record: Record) -> str:
    applied: list[tuple[str, str]] = []  # (key, zone) of each time that a write took effect
    begun, replaced = asyncio.Semaphore(0), asyncio.Event()

    def run(shelf: Shelf, key: str) -> None:
        """Run a write: the shelfs of a zone drop what any of them has run (within the window: all of this is)."""
        if (key, shelf.zone) in applied:
            record.say("repeat dropped", shelf=shelf.name, zone=shelf.zone, key=key)
            return
        applied.append((key, shelf.zone))
        record.say("APPLIED", shelf=shelf.name, zone=shelf.zone, key=key)

    async def old(shelf: Shelf, message, writer) -> bool:
        run(shelf, message.fields["idempotency-key"])
        begun.release()
        await replaced.wait()
        if TROUBLE:
            record.say("shelf resets", shelf=shelf.name, id=message.fields["x-trace-id"])
            reset(writer)
            return False
        writer.write(response(200, b"stored"))
        record.say("shelf answered", shelf=shelf.name, id=message.fields["x-trace-id"], status=200)
        return True

    async def new(shelf: Shelf, message, writer) -> bool:
        run(shelf, message.fields["idempotency-key"])
        writer.write(response(200, b"stored"))
        record.say("shelf answered", shelf=shelf.name, id=message.fields["x-trace-id"], status=200)
        return True

    discovery = await Discovery(record).start()
    first = await Shelf("s-5be2a07c", 0, record, old, zone="hall-a").start()
    second = await Shelf("s-9d10c3f2", 0, record, new, zone="hall-b").start()
    await discovery.put(first)
    content = settings(
        [lane("new-record", "idempotency_key", AIM_MS, GIVE_UP_MS, "zone", WINDOW_MS, 3.0)], [True],
        localities=["hall-a", "hall-b", "hall-c"], locality="hall-a",
        permissions={"sendCap": 4},
        safety={"drainGraceUs": 500000, "fallUs": 1500000, "overloadFactor": 2.5, "startCapacity": 0.17,
                "warmAfterUs": 15000000, "budgetFree": 3, "repeatRatio": 0.15, "ratioSpanUs": 5000000},
    )
    head = Head(record, discovery, content)
    try:
        await (await head.start()).ready()
        await asyncio.sleep(1)  # the watch is open
        clients = []
        for number in range(WRITES):
            trace = trace_id()
            data = request_bytes(trace, "new-record", "PUT", GIVE_UP_MS, 0, key=f"shift-{number}", body=b"tips" * 50)
            clients.append(asyncio.create_task(ask(record, head, trace, data, GIVE_UP_MS / 1000 + 1)))
        for _ in range(WRITES):
            await asyncio.wait_for(begun.acquire(), 2)
        first.state = "terminating"  # it finishes what it has; the new shelf of the same cell takes over
        version = await discovery.put(first, second)
        for _ in range(100):
            if version in discovery.told:
                break
            await asyncio.sleep(0.01)
        else:
            raise NotRun("the head does not watch the list")
        await asyncio.sleep(0.1)
        replaced.set()
        answers = await asyncio.gather(*clients)
        await asyncio.sleep(0.5)
        if not head.running:
            return "the head ended"
        if any(answer.status == 0 for answer in answers):
            return "a request got no answer"
        twice = sorted(key for key, _ in applied if sum(one == key for one, _ in applied) > 1)
        record.say("effects", applied=applied, statuses=[answer.status for answer in answers])
        return f"applied in two zones: {sorted(set(twice))}" if twice else ""
    finally:
        await head.end()


sys.exit(play(Path(__file__).resolve().parent, case, 60))
