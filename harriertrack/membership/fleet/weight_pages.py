"""Encoding of pages of weights: topic notes of the view, with a topic for each page of a scorer.

A fixed part (a version, the namespace, the page's number, the digest of all pages, a serial number) and six
bytes for each node: 32 bits of its name's checksum, its weight in sixteenths of a power of two, the evidence.
Bytes that a later version appends after the entries are ignored.
"""

from __future__ import annotations

import struct

from harriertrack.decisions.fleet.scoring.rules import MAX_LOG_WEIGHT
from harriertrack.decisions.fleet.scoring.weight_exchange import (
    MAX_ENTRIES,
    PAGE_COUNT,
    WEIGHT_STEP,
    Entry,
    Page,
    page_number,
)

VERSION = 1
TOPIC = "w/"  # prefix of topics of weights
_HEADER = struct.Struct("<BIBIIB")
_ENTRY = struct.Struct("<IbB")
_MAX_STEPS = round(MAX_LOG_WEIGHT / WEIGHT_STEP)


class MalformedPage(ValueError):
    """Bytes that are not a page of weights."""


def topic_of(page: Page) -> str:
    """Return the topic of a page's note, so that a newer note of the same page alone replaces it."""
    return f"{TOPIC}{page.namespace:08x}/{page.number}"


def encode(page: Page) -> bytes:
    """Encode a page, in at most 207 bytes."""
    header = _HEADER.pack(VERSION, page.namespace, page.number, page.digest, page.serial & 0xFFFF_FFFF,
                      len(page.entries))  # fmt: skip
    return header + b"".join(_ENTRY.pack(one.node, one.steps, one.evidence) for one in page.entries)


def decode(data: bytes) -> Page:
    """Decode a page. Raises MalformedPage for bytes that no head would write."""
    if len(data) < _HEADER.size:
        raise MalformedPage("too short")
    version, namespace, number, digest, serial, count = _HEADER.unpack_from(data)
    end = _HEADER.size + count * _ENTRY.size
    if version < VERSION or number >= PAGE_COUNT or count > MAX_ENTRIES or len(data) < end:
        raise MalformedPage(f"page {number} of version {version} with {count} entries in {len(data)} bytes")
    entries = tuple(Entry(*one) for one in _ENTRY.iter_unpack(data[_HEADER.size : end]))
    for before, one in zip((None, *entries), entries, strict=False):
        if page_number(one.node) != number or abs(one.steps) > _MAX_STEPS:
            raise MalformedPage(f"node {one.node:08x} with {one.steps} steps on page {number}")
        if before is not None and one.node <= before.node:
            raise MalformedPage(f"node {one.node:08x} after {before.node:08x}")
    return Page(namespace, number, digest, entries, serial)
