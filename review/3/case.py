"""Answers that come whole, without a length: they end with the connection, as HTTP/1.1 allows."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from stand import (
    TROUBLE, Discovery, Head, Record, Shelf, ask, lane, play, request_bytes, response, settings, tell, trace_id,
)

REQUESTS, SHARE = 60, 1 / 3  # the share of the answers that have no length
GIVE_UP_MS = 3000


async def case(record: Record) -> str:
    random_ = random.Random(7)
    whole: list[bytes] = []  # bodies of the answers without a length, each sent whole and ended with FIN
    served = 0

    async def behave(shelf: Shelf, message, writer) -> bool:
        nonlocal served
        served += 1
        body = f"{message.fields['x-trace-id']} answer {served} of {shelf.name}".encode()
        await asyncio.sleep(random_.uniform(0.005, 0.02))
        if TROUBLE and random_.random() < SHARE:
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body)
            await writer.drain()
            whole.append(body)
            record.say("shelf answered without a length", shelf=shelf.name, id=message.fields["x-trace-id"])
            return False  # closes: FIN behind the last byte
        writer.write(response(200, body))
        return True

    discovery = await Discovery(record).start()
    shelves = [await Shelf(f"s-{number}", number, record, behave).start() for number in range(3)]
    await discovery.put(*shelves)
    lanes = [lane("new-booking", "non_idempotent", 400, GIVE_UP_MS), lane("trip-read", "read_like", 400, 2500)]  # regina-main
    head = Head(record, discovery, settings(lanes, [True, False], discovery="pushed", safety={"drainGraceUs": 1000000}))
    try:
        await (await head.start()).ready()
        await asyncio.sleep(0.5)
        answers = []
        for number in range(REQUESTS):
            trace, booking = trace_id(), number % 2 == 0
            data = request_bytes(trace, "new-booking" if booking else "trip-read", "PUT" if booking else "GET",
                                 GIVE_UP_MS if booking else 2500,
                                 number % 3, body=b"seat" if booking else b"")
            answers.append(asyncio.create_task(ask(record, head, trace, data, GIVE_UP_MS / 1000 + 1)))
            await asyncio.sleep(0.05)
        got = await asyncio.gather(*answers)
        if not head.running:
            return "the head ended"
        forwarded = sum(body in {answer.body for answer in got if answer.status == 200} for body in whole)
        statuses = {status: sum(answer.status == status for answer in got) for status in {one.status for one in got}}
        record.say("counted", whole_without_length=len(whole), forwarded=forwarded, statuses=statuses)
        tell(f"{len(whole)} answers without a length came whole, {forwarded} were forwarded; statuses {statuses}")
        if statuses.get(0):
            return "a request got no answer"
        if 2 * forwarded < len(whole):
            return f"{forwarded} of {len(whole)} answers without a length that came whole were forwarded"
        return ""
    finally:
        await head.end()


sys.exit(play(Path(__file__).resolve().parent, case, 60))
