"""What members say of themselves, for other parts of the program."""

from __future__ import annotations

from harriertrack.membership.fleet.messages import MAX_NOTE, Note, encode_item
from harriertrack.membership.fleet.swim.actions import NoteReceived
from harriertrack.membership.fleet.swim.member import Member


class Notes:
    """A member's own note, and others'."""

    def __init__(self, member: Member) -> None:
        self._member = member
        self._last: bytes | None = None
        self._version = 0

    def say(self, about: bytes) -> None:
        """Say something of oneself, unless it was said last. Raises ValueError for more than 256 bytes."""
        if len(about) > MAX_NOTE:
            raise ValueError(f"a note of {len(about)} bytes")
        if about == self._last:
            return
        self._last = about
        self._version += 1
        me = self._member.me
        self._take(Note(me.name, me.started, me.instance, self._version, about))

    def say_again(self) -> None:
        """Say what was said last, as the life that this member is in now."""
        if self._last is not None:
            about, self._last = self._last, None
            self.say(about)

    def hear(self, note: Note) -> None:
        """Take a member's note that came from outside."""
        if note.name != self._member.me.name and self._take(note):
            self._member.actions.append(NoteReceived(note))

    def _take(self, note: Note) -> bool:
        news = self._member.view.apply_note(note)
        if news:
            self._member.notes.add(note.name, encode_item(note))
        return news
