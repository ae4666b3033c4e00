"""Notes by topic: what a member says for other parts of the program beside the note on itself.

They ride on the same datagrams in the same room; of each topic the newest of a life holds. Pure.
"""

from __future__ import annotations

from collections.abc import Iterable

from harriertrack.membership.fleet.dissemination import DisseminationQueue
from harriertrack.membership.fleet.messages import MAX_NOTE, Draft, Record, TopicNote, encode_item
from harriertrack.membership.fleet.view import View


class TopicNotes:
    """One member's own and those that it passes on."""

    def __init__(self, view: View, rate: float) -> None:
        """Begin; of all notes by topic no more than `rate` bytes a second leave, a second's at once."""
        self._view, self._rate, self._spare, self._at = view, rate, float(rate), 0
        self._news = DisseminationQueue()
        self._said: dict[str, bytes] = {}
        self._version = 0

    def set_note(self, me: Record, topic: str, about: bytes) -> None:
        """Say something on a topic to all, in place of what was said on it before.

        Raises ValueError for more than a note holds.
        """
        if len(about) > MAX_NOTE:
            raise ValueError(f"a note of {len(about)} bytes")
        if self._said.get(topic) == about:
            return
        self._said[topic] = about
        self._version += 1
        self._take(TopicNote(me.name, me.started, me.instance, self._version, about, topic))

    def say_again(self, me: Record) -> None:
        """Say all of it anew, as another life."""
        said, self._said = self._said, {}
        for topic, about in said.items():
            self.set_note(me, topic, about)

    def hear(self, me: str, notes: Iterable[TopicNote]) -> None:
        """Take what came, and pass on what is news."""
        for note in notes:
            if note.name != me:
                self._take(note)

    def _take(self, note: TopicNote) -> None:
        if self._view.apply_topic_note(note):
            self._news.add(note.key, encode_item(note))

    def refill(self, now: int) -> None:
        """It is `now`: more bytes may leave."""
        self._spare = min(self._rate, self._spare + self._rate * max(0, now - self._at) / 1e6)
        self._at = now

    def fill(self, draft: Draft, most_sends: int) -> None:
        """Let news ride on a datagram, as far as it has room and the bytes last."""
        waits = False

        def add(note: bytes) -> bool:
            # What has no bytes left waits, and what was sent more often does not overtake it: else a long
            # note would never leave where short ones take each byte as it comes.
            nonlocal waits
            waits = waits or len(note) > self._spare
            if waits or not draft.add_topic(note):
                return False
            self._spare -= len(note)
            return True

        self._news.fill(add, most_sends)

    def __len__(self) -> int:
        return len(self._news)

    def clear(self) -> None:
        """Pass nothing on any more."""
        self._news.clear()

    def forget(self, name: str, topics: Iterable[str]) -> None:
        """Pass on nothing more of a member that is forgotten."""
        for topic in topics:
            self._news.drop(f"{name}\0{topic}")
