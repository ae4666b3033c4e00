"""What parsers hold of messages that are not whole, against what they count."""

import gc
import tracemalloc
from contextlib import contextmanager

import pytest

from harriertrack.protocol.platform.exchange import Exchange, InvalidAnswer
from harriertrack.protocol.platform.request_parser import (
    BadRequest,
    ClassSchema,
    RequestParser,
    RequestSchema,
)

SCHEMA = RequestSchema({"note": ClassSchema(True, True)}, frozenset(("gold",)), 4.0, 4, 2)
PARSER_BYTES = 4_000  # of a parser that has received nothing
UNCOUNTED = 1.25  # the most that may be held, as a multiple of what is counted
LINE = b"PUT /note?object=7f3a9c21e0b4d655 HTTP/1.1\r\n"
HALF_REQUESTS = {
    "fields of two letters": [LINE + b"a:b\r\n" * 3_000],
    "fields of two letters in pieces": [LINE, *[b"a:b\r\n"] * 3_000],
    "distinct fields": [LINE + b"".join(b"x-%x:%x\r\n" % (number, number) for number in range(99))],
    "one field without end": [LINE + b"x-" + b"y" * 15_000],
    "a line byte by byte": [bytes([byte]) for byte in b"PUT /" + b"z" * 12_000],
    "a body byte by byte": [LINE + b"Content-Length: 65536\r\n\r\n", *[b"x"] * 20_000],
    "a body at once": [LINE + b"Content-Length: 65536\r\n\r\n" + b"x" * 65_535],
}


STATUS = b"HTTP/1.1 200 OK\r\n"
CHUNKED = STATUS + b"Transfer-Encoding: chunked\r\n\r\n"
HALF_ANSWERS = {
    "fields of two letters": [STATUS + b"a:b\r\n" * 3_000],
    "distinct fields": [STATUS + b"".join(b"x-%x:%x\r\n" % (number, number) for number in range(99))],
    "chunks of a byte": [CHUNKED, b"1\r\nx\r\n" * 20_000],
    "chunks of a byte, one by one": [CHUNKED, *[b"1\r\nx\r\n"] * 20_000],
    "a body byte by byte": [STATUS + b"Content-Length: 65536\r\n\r\n", *[b"x"] * 20_000],
    "long and short chunks in turn": [CHUNKED, *[b"1000\r\n" + b"x" * 4_096 + b"\r\n1\r\nx\r\n"] * 200],
    "interim answers": [b"HTTP/1.1 103 Early\r\nx-a: b\r\n\r\n" * 8 + STATUS],
}


@contextmanager
def traced_memory():
    """Give a function that returns the bytes allocated since."""
    gc.collect()
    tracemalloc.start()
    try:
        yield lambda: tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("pieces", HALF_REQUESTS.values(), ids=HALF_REQUESTS)
def test_half_a_request_takes_no_more_than_is_counted_or_is_refused(pieces):
    """Guards against fields and chunks that take many times the bytes that are counted."""
    RequestParser(SCHEMA)  # what is made only once
    with traced_memory() as held_bytes:
        parser = RequestParser(SCHEMA)
        try:
            for piece in pieces:
                parser.receive(piece)
        except BadRequest as error:
            assert error.status == 431
            parser.close()
            assert parser.held_bytes == 0
            return
        assert held_bytes() < UNCOUNTED * parser.held_bytes + PARSER_BYTES


def exchange():
    return Exchange(b"GET", b"/", [], 0, 1 << 20)


@pytest.mark.parametrize("pieces", HALF_ANSWERS.values(), ids=HALF_ANSWERS)
def test_half_an_answer_takes_no_more_than_is_counted_or_is_invalid(pieces):
    exchange()  # what is made only once
    with traced_memory() as held_bytes:
        received = exchange()
        try:
            for piece in pieces:
                assert received.receive(piece) is None
        except InvalidAnswer:
            received.close()
            assert received.held_bytes == 0
            return
        assert held_bytes() < UNCOUNTED * received.held_bytes + PARSER_BYTES
