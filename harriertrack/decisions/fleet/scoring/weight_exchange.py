"""What a head says of its weights, when, and to whom it listens.

Only what differs from an even share by more than chance is said, in pages: a node's place is a page by a
checksum of its name, so that a change of one node renews one page and no other. Each page is a note of its
own, of which the newest of a life wins, with the digest of all pages: who has pages of one digest has the
whole. A page is said when it changed, the largest change first, and again from time to time so that it does
not go stale; never more than so many bytes a second, and the more rarely the more heads speak: what is said
before the last was heard by all is lost labour. At any time so many heads speak as `reporters` says, drawn by
checksum, others after a turn: what passes between heads does not grow with the fleet beyond that. Pure; as
bytes it is in membership/fleet/weighing.py.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.scoring.aggregation import Opinion
from harriertrack.decisions.fleet.scoring.rules import ScoringRules

PAGE_COUNT = 2
WEIGHT_STEP = 1 / 16  # powers of two: how fine weights are told
LEAST_STEPS = 3  # what is nearer to an even share is not said: it is within what one head sees by chance
MAX_ENTRIES = 32  # of a page; those nearest to an even share are left out of a fuller one
MAX_EVIDENCE = 255
VOICES = 8  # heads that may each speak as often as they like
PAGE_BYTES = 20  # of a page without entries
ENTRY_BYTES = 6


def _sum(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=4).digest(), "big")


def page_number(node: int) -> int:
    """Return the page of a node, by its number."""
    return node % PAGE_COUNT


def node_number(node: str) -> int:
    """Return the 32 bits that stand for a node's name."""
    return _sum(node)


def select_publishers(names: Iterable[str], turn: int, most: int) -> frozenset[str]:
    """Return who speaks in a turn: all, or so many of them as a checksum draws."""
    everyone = list(names)
    if len(everyone) <= most:
        return frozenset(everyone)
    return frozenset(sorted(everyone, key=lambda name: (_sum(f"{turn}\0{name}"), name))[:most])


@dataclass(frozen=True, slots=True)
class Entry:
    """A node's weight in steps, and the evidence for it."""

    node: int
    steps: int
    evidence: int


@dataclass(frozen=True, slots=True)
class Page:
    """One page."""

    namespace: int
    number: int
    digest: int  # of all pages of this head at the moment
    entries: tuple[Entry, ...] = ()
    serial: int = 0  # so that a page that is said again is another note

    @property
    def bytes(self) -> int:
        """Return about how long it is."""
        return PAGE_BYTES + ENTRY_BYTES * len(self.entries)


def build_entries(opinions: Mapping[str, Opinion]) -> list[list[Entry]]:
    """Return what is to be said, by page: what is no even share, within a page's bound the strongest."""
    pages: list[list[Entry]] = [[] for _ in range(PAGE_COUNT)]
    for name, one in opinions.items():
        if abs(steps := round(one.log / WEIGHT_STEP)) >= LEAST_STEPS:
            node = node_number(name)
            pages[page_number(node)].append(Entry(node, steps, min(MAX_EVIDENCE, math.ceil(one.evidence))))
    for at, page in enumerate(pages):
        strongest = sorted(page, key=lambda entry: (-abs(entry.steps), entry.node))[:MAX_ENTRIES]
        pages[at] = sorted(strongest, key=lambda entry: entry.node)
    return pages


def _digest(pages: Iterable[Iterable[Entry]]) -> int:
    return _sum(repr([[(entry.node, entry.steps) for entry in page] for page in pages]))


@dataclass(slots=True)
class Publisher:
    """What one head says of one namespace."""

    namespace: int
    rules: ScoringRules
    said: list[tuple[Entry, ...]] = field(default_factory=lambda: [()] * PAGE_COUNT)
    said_at: list[int] = field(default_factory=lambda: [-1] * PAGE_COUNT)
    spare: float = 0.0  # bytes that may be said
    at: int = -1
    serial: int = 0

    def next_page(self, now: int, opinions: Mapping[str, Opinion], voices: int = 1) -> Page | None:
        """Return the page that is to be said now, if any is, where so many heads speak."""
        rules = self.rules
        if self.at >= 0 and now - self.at < rules.say_us * max(1.0, voices / VOICES):
            return None
        most = PAGE_BYTES + ENTRY_BYTES * MAX_ENTRIES
        gained = rules.say_bytes * (now - self.at) / 1e6 if self.at >= 0 else float(most)
        self.spare, self.at = min(float(most), self.spare + gained), now
        pages = build_entries(opinions)
        # What changed most and was said longest ago goes first: no page waits for ever.
        due = [
            ((1 + self._change(at, page)) * (now - self.said_at[at]), at)
            for at, page in enumerate(pages)
            if self._due(now, at, page)
        ]
        if not due:
            return None
        _, at = max(due)
        page = Page(self.namespace, at, _digest(pages), tuple(pages[at]), self.serial + 1)
        if page.bytes > self.spare:
            return None
        self.spare -= page.bytes
        self.serial += 1
        self.said[at], self.said_at[at] = page.entries, now
        return page

    def _due(self, now: int, at: int, page: list[Entry]) -> bool:
        if self._change(at, page):
            return True
        return bool(page) and now - self.said_at[at] >= self.rules.again_us

    def _change(self, at: int, page: list[Entry]) -> int:
        """Return by how many steps a page differs from what was said last."""
        before = {entry.node: entry.steps for entry in self.said[at]}
        after = {entry.node: entry.steps for entry in page}
        return sum(abs(after.get(node, 0) - before.get(node, 0)) for node in {*before, *after})


class PeerPages:
    """What a head heard of the others' weights in one namespace."""

    def __init__(self) -> None:
        self._heard: dict[str, dict[int, tuple[int, Page]]] = {}  # by head and page: when, and what

    def receive(self, now: int, head: str, page: Page) -> None:
        """Take a page."""
        self._heard.setdefault(head, {})[page.number] = now, page

    def forget(self, head: str) -> None:
        """Forget what a head said."""
        self._heard.pop(head, None)

    def prune(self, names: frozenset[str], since: int) -> None:
        """Forget all heads but these, and all that was heard before a time: it has no vote any more."""
        kept = {
            name: {number: heard for number, heard in pages.items() if heard[0] >= since}
            for name, pages in self._heard.items()
            if name in names
        }
        self._heard = {name: pages for name, pages in kept.items() if pages}

    def opinions(self, now: int, names: frozenset[str]) -> dict[int, list[Opinion]]:
        """Return what these heads think, by a node's number."""
        found: dict[int, list[Opinion]] = {}
        for name, pages in self._heard.items():
            if name not in names:
                continue
            for at, page in pages.values():
                for entry in page.entries:
                    opinion = Opinion(entry.steps * WEIGHT_STEP, float(entry.evidence), max(0, now - at))
                    found.setdefault(entry.node, []).append(opinion)
        return found

    def is_consistent(self, head: str) -> bool:
        """Whether all that was heard of a head's pages is of one moment."""
        return len({page.digest for _, page in self._heard.get(head, {}).values()}) == 1

    def heads(self) -> frozenset[str]:
        """Return who was heard."""
        return frozenset(self._heard)
