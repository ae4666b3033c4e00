"""The exchange of weights between heads: what a head publishes, when, and whose pages it uses.

Only weights that differ from an equal share by more than chance are published, in pages: a checksum of a
node's name selects its page, so that a change of one node updates only one page. Each page is a separate
gossip note, of which the newest of an incarnation wins, with a digest of all pages: pages with the same
digest form a consistent set. A page is published when it changed, the largest change first, and again from
time to time so that it does not go stale; within a limit of bytes a second, and less often the more heads
publish: a page that follows before all heads have received the last one is wasted. At any time `reporters`
heads publish, chosen by checksum, and others in the next turn: beyond that the traffic does not grow with the
fleet. Pure; the encoding is in membership/fleet/weight_pages.py.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.scoring.aggregation import Opinion
from harriertrack.decisions.fleet.scoring.rules import ScoringRules

PAGE_COUNT = 2
WEIGHT_STEP = 1 / 16  # resolution of published weights, in powers of two
MIN_STEPS = 3  # weights closer to an equal share are not published: such differences may be chance
MAX_ENTRIES = 32  # of a page; beyond that those closest to an equal share are left out
MAX_EVIDENCE = 255
UNTHROTTLED_PUBLISHERS = 8  # up to this number of publishers none has to wait longer than `say_us`
PAGE_BYTES = 20  # size of a page without entries
ENTRY_BYTES = 6


def _checksum(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=4).digest(), "big")


def page_number(node: int) -> int:
    """Return the page of a node, by its number."""
    return node % PAGE_COUNT


def node_number(node: str) -> int:
    """Return the 32 bits that represent a node's name."""
    return _checksum(node)


def select_publishers(names: Iterable[str], turn: int, limit: int) -> frozenset[str]:
    """Return the heads that publish in a turn: all, or `limit` of them chosen by checksum."""
    everyone = list(names)
    if len(everyone) <= limit:
        return frozenset(everyone)
    return frozenset(sorted(everyone, key=lambda name: (_checksum(f"{turn}\0{name}"), name))[:limit])


@dataclass(frozen=True, slots=True)
class Entry:
    """A node's weight in steps, and the evidence for it."""

    node: int
    steps: int
    evidence: int


@dataclass(frozen=True, slots=True)
class Page:
    """One page of published weights."""

    namespace: int
    number: int
    digest: int  # of all pages of this head at that moment
    entries: tuple[Entry, ...] = ()
    serial: int = 0  # makes a republished page a new note

    @property
    def bytes(self) -> int:
        """Return its approximate size."""
        return PAGE_BYTES + ENTRY_BYTES * len(self.entries)


def build_entries(opinions: Mapping[str, Opinion]) -> list[list[Entry]]:
    """Return the entries to publish, by page: those off an equal share, the strongest up to the limit."""
    pages: list[list[Entry]] = [[] for _ in range(PAGE_COUNT)]
    for name, opinion in opinions.items():
        if abs(steps := round(opinion.log / WEIGHT_STEP)) >= MIN_STEPS:
            node = node_number(name)
            pages[page_number(node)].append(
                Entry(node, steps, min(MAX_EVIDENCE, math.ceil(opinion.evidence)))
            )
    for index, page in enumerate(pages):
        strongest = sorted(page, key=lambda entry: (-abs(entry.steps), entry.node))[:MAX_ENTRIES]
        pages[index] = sorted(strongest, key=lambda entry: entry.node)
    return pages


def _digest(pages: Iterable[Iterable[Entry]]) -> int:
    return _checksum(repr([[(entry.node, entry.steps) for entry in page] for page in pages]))


@dataclass(slots=True)
class Publisher:
    """What one head publishes for one namespace."""

    namespace: int
    rules: ScoringRules
    published: list[tuple[Entry, ...]] = field(default_factory=lambda: [()] * PAGE_COUNT)
    published_at: list[int] = field(default_factory=lambda: [-1] * PAGE_COUNT)
    allowance: float = 0.0  # bytes that may be published
    checked_at: int = -1
    serial: int = 0

    def next_page(self, now: int, opinions: Mapping[str, Opinion], publishers: int = 1) -> Page | None:
        """Return the page to publish now, if any, while `publishers` heads publish."""
        rules = self.rules
        if self.checked_at >= 0 and now - self.checked_at < rules.say_us * max(
            1.0, publishers / UNTHROTTLED_PUBLISHERS
        ):
            return None
        largest = PAGE_BYTES + ENTRY_BYTES * MAX_ENTRIES
        earned = rules.say_bytes * (now - self.checked_at) / 1e6 if self.checked_at >= 0 else float(largest)
        self.allowance, self.checked_at = min(float(largest), self.allowance + earned), now
        pages = build_entries(opinions)
        # Large changes and pages published long ago go first, so that no page waits forever.
        candidates = [
            ((1 + self._change(number, page)) * (now - self.published_at[number]), number)
            for number, page in enumerate(pages)
            if self._needs_publishing(now, number, page)
        ]
        if not candidates:
            return None
        _, number = max(candidates)
        page = Page(self.namespace, number, _digest(pages), tuple(pages[number]), self.serial + 1)
        if page.bytes > self.allowance:
            return None
        self.allowance -= page.bytes
        self.serial += 1
        self.published[number], self.published_at[number] = page.entries, now
        return page

    def _needs_publishing(self, now: int, number: int, page: list[Entry]) -> bool:
        if self._change(number, page):
            return True
        return bool(page) and now - self.published_at[number] >= self.rules.again_us

    def _change(self, number: int, page: list[Entry]) -> int:
        """Return by how many steps a page differs from the one published last."""
        before = {entry.node: entry.steps for entry in self.published[number]}
        after = {entry.node: entry.steps for entry in page}
        return sum(abs(after.get(node, 0) - before.get(node, 0)) for node in {*before, *after})


class PeerPages:
    """The pages received from other heads in one namespace."""

    def __init__(self) -> None:
        # By head and page number: when it was received, and the page.
        self._received: dict[str, dict[int, tuple[int, Page]]] = {}

    def receive(self, now: int, head: str, page: Page) -> None:
        """Store a page."""
        self._received.setdefault(head, {})[page.number] = now, page

    def forget(self, head: str) -> None:
        """Forget the pages of a head."""
        self._received.pop(head, None)

    def prune(self, names: frozenset[str], since: int) -> None:
        """Forget all other heads, and pages received before a time: they no longer have a vote."""
        kept = {
            name: {number: entry for number, entry in pages.items() if entry[0] >= since}
            for name, pages in self._received.items()
            if name in names
        }
        self._received = {name: pages for name, pages in kept.items() if pages}

    def opinions(self, now: int, names: frozenset[str]) -> dict[int, list[Opinion]]:
        """Return the opinions of these heads, by node number."""
        found: dict[int, list[Opinion]] = {}
        for name, pages in self._received.items():
            if name not in names:
                continue
            for received_at, page in pages.values():
                for entry in page.entries:
                    opinion = Opinion(
                        entry.steps * WEIGHT_STEP, float(entry.evidence), max(0, now - received_at)
                    )
                    found.setdefault(entry.node, []).append(opinion)
        return found

    def is_consistent(self, head: str) -> bool:
        """Whether the pages received from a head are all of one moment."""
        return len({page.digest for _, page in self._received.get(head, {}).values()}) == 1

    def heads(self) -> frozenset[str]:
        """Return the heads with pages."""
        return frozenset(self._received)
