"""Writes of a class in order, one behind the other on two connections, while the head is held up. See claim.txt."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from stand import (
    TROUBLE, Answer, Discovery, Head, Record, Shelf, lane, play, read_message, request_bytes, response, settings,
    trace_id,
)

HELD_UP_S = 0.12  # "a head that is held up for up to 0.15 s"
APART_S = 0.08  # between the two writes
PAIRS = 10
GIVE_UP_MS, AIM_MS, WINDOW_MS, SETTLE_MS = 2500, 500, 2500, 300
WORK_S = 0.03


class Connection:
    """A client's connection, which carries one request at a time and is kept."""

    async def open(self, head: Head) -> Connection:
        self.reader, self.writer = await asyncio.open_connection(*head.address)
        return self

    async def send(self, record: Record, data: bytes, trace: str, body: bytes, how: str) -> float:
        """Write a request; return when its last byte was written to the connection."""
        self.writer.write(data)
        await self.writer.drain()
        assert not self.writer.transport.get_write_buffer_size()
        at = record.now_ms()
        record.say("client sent", id=trace, body=body.decode(), over=how, last_byte_ms=round(at, 1))
        return at

    async def answer(self, record: Record, trace: str) -> Answer:
        message = await asyncio.wait_for(read_message(self.reader), GIVE_UP_MS / 1000 + 1)
        record.say("client got", id=trace, status=message.status)
        return Answer(message.status, message.body, 0)


async def case(record: Record) -> str:
    begun: list[str] = []  # the bodies of the attempts, in the order in which the shelf began them
    stored: dict[str, bytes] = {}  # what the object holds

    async def behave(shelf: Shelf, message, writer) -> bool:
        begun.append(message.body.decode())
        await asyncio.sleep(WORK_S)
        stored[message.target] = message.body
        record.say("shelf ran", shelf=shelf.name, id=message.fields["x-trace-id"], body=message.body.decode())
        writer.write(response(200, b"stored"))
        return True

    discovery = await Discovery(record).start()
    shelf = await Shelf("s-5be2a07c", 0, record, behave).start()
    await discovery.put(shelf)
    event_write = lane("event-write", "idempotency_key", AIM_MS, GIVE_UP_MS, "cell", WINDOW_MS, 2.0)
    event_write["inOrder"] = True
    content = settings([event_write], [True], safety={
        "askWithinUs": 10000000, "drainGraceUs": 2000000, "fallUs": 2000000, "graceToAnswerUs": 8000,
        "overloadFactor": 2.0, "startCapacity": 0.21, "warmAfterUs": 16000000, "orderSettleUs": SETTLE_MS * 1000,
    })  # fmt: skip
    head = Head(record, discovery, content)
    wrong: list[str] = []
    try:
        await (await head.start()).ready()
        await asyncio.sleep(1)  # the watch is open
        kept = await Connection().open(head)
        for pair in range(PAIRS):
            game = f"{pair:016x}"

            def write(body: bytes, name: str, game: str = game) -> tuple[str, bytes]:
                trace = trace_id()
                return trace, request_bytes(trace, "event-write", "PUT", GIVE_UP_MS, 0, key=name, body=body, obj=game)

            trace, data = write(b"0 to 0", f"begin-{pair}")  # so that the kept connection has been used
            await kept.send(record, data, trace, b"0 to 0", "the kept connection")
            if (await kept.answer(record, trace)).status != 200:
                continue
            await asyncio.sleep(0.2)
            first_trace, first_data = write(b"1 to 0", f"first-{pair}")
            second_trace, second_data = write(b"2 to 0", f"second-{pair}")
            begun.clear()
            if TROUBLE:
                head.signal(signal.SIGSTOP)
                stopped = time.monotonic()
            fresh = await Connection().open(head)
            first_at = await fresh.send(record, first_data, first_trace, b"1 to 0", "a new connection")
            await asyncio.sleep(APART_S)
            second_at = await kept.send(record, second_data, second_trace, b"2 to 0", "the kept connection")
            if TROUBLE:
                await asyncio.sleep(max(0.0, stopped + HELD_UP_S - time.monotonic()))
                head.signal(signal.SIGCONT)
                held_up_ms = (time.monotonic() - stopped) * 1000
                record.say("held up", ms=round(held_up_ms))
            first, second = await asyncio.gather(
                fresh.answer(record, first_trace), kept.answer(record, second_trace)
            )
            fresh.writer.close()
            holds = next((body.decode() for target, body in stored.items() if game in target), "nothing")
            record.say("pair", number=pair, begun=begun, statuses=(first.status, second.status), holds=holds,
                       apart_ms=round(second_at - first_at))
            if TROUBLE and held_up_ms > 150:
                continue  # this machine was late: longer than the page says
            if second_at - first_at > 50 and begun == ["2 to 0", "1 to 0"]:
                wrong.append(f"pair {pair}: {round(second_at - first_at)} ms apart, the object holds {holds!r}")
            await asyncio.sleep(0.2)
        return f"sent out of order, {len(wrong)} of {PAIRS} pairs: {'; '.join(wrong[:3])}" if wrong else ""
    finally:
        head.signal(signal.SIGCONT)
        await head.end()


sys.exit(play(Path(__file__).resolve().parent, case, 60))
