"""Topic notes: what a member publishes for other parts of the program beside its own note.

They are piggybacked on the same datagrams within the same byte limit; of each topic the newest note of a
process instance is valid. Pure.
"""

from __future__ import annotations

from collections.abc import Iterable

from harriertrack.membership.fleet.dissemination import DisseminationQueue
from harriertrack.membership.fleet.messages import MAX_NOTE, Draft, Record, TopicNote, encode_item
from harriertrack.membership.fleet.view import View


class TopicNotes:
    """A member's own topic notes, and the dissemination of those of others."""

    def __init__(self, view: View, rate: float) -> None:
        """Limit all topic notes to `rate` bytes a second, with a burst of one second's bytes."""
        self._view, self._rate, self._tokens, self._refilled_at = view, rate, float(rate), 0
        self._queue = DisseminationQueue()
        self._published: dict[str, bytes] = {}
        self._version = 0

    def set_note(self, me: Record, topic: str, payload: bytes) -> None:
        """Publish a note on a topic in place of the last one.

        Raises ValueError for more bytes than a note may have.
        """
        if len(payload) > MAX_NOTE:
            raise ValueError(f"note of {len(payload)} bytes is larger than {MAX_NOTE}")
        if self._published.get(topic) == payload:
            return
        self._published[topic] = payload
        self._version += 1
        self._apply(TopicNote(me.name, me.started, me.instance, self._version, payload, topic))

    def republish(self, me: Record) -> None:
        """Publish all notes again under another process instance."""
        published, self._published = self._published, {}
        for topic, payload in published.items():
            self.set_note(me, topic, payload)

    def receive(self, me: str, notes: Iterable[TopicNote]) -> None:
        """Apply notes from a datagram, and disseminate the new ones."""
        for note in notes:
            if note.name != me:
                self._apply(note)

    def _apply(self, note: TopicNote) -> None:
        if self._view.apply_topic_note(note):
            self._queue.add(note.key, encode_item(note))

    def refill(self, now: int) -> None:
        """Refill the byte limit for the time since the last call."""
        self._tokens = min(self._rate, self._tokens + self._rate * max(0, now - self._refilled_at) / 1e6)
        self._refilled_at = now

    def fill(self, draft: Draft, most_sends: int) -> None:
        """Add queued notes to a datagram, as far as they fit and the byte limit allows."""
        blocked = False

        def add(note: bytes) -> bool:
            # A note beyond the byte limit blocks those that were sent more often: otherwise a long note would
            # never be sent while short ones use up each byte.
            nonlocal blocked
            blocked = blocked or len(note) > self._tokens
            if blocked or not draft.add_topic(note):
                return False
            self._tokens -= len(note)
            return True

        self._queue.fill(add, most_sends)

    def __len__(self) -> int:
        return len(self._queue)

    def clear(self) -> None:
        """Drop all queued notes."""
        self._queue.clear()

    def forget(self, name: str, topics: Iterable[str]) -> None:
        """Drop the queued notes of a member that is removed from the view."""
        for topic in topics:
            self._queue.drop(f"{name}\0{topic}")
