"""Notes that members publish about themselves, for other parts of the program."""

from __future__ import annotations

from harriertrack.membership.fleet.messages import MAX_NOTE, Note, encode_item
from harriertrack.membership.fleet.swim.actions import NoteReceived
from harriertrack.membership.fleet.swim.member import Member


class Notes:
    """The member's own note and those of other members."""

    def __init__(self, member: Member) -> None:
        self._member = member
        self._last: bytes | None = None
        self._version = 0

    def publish(self, payload: bytes) -> None:
        """Publish a note unless it equals the last one. Raises ValueError for more than 256 bytes."""
        if len(payload) > MAX_NOTE:
            raise ValueError(f"note of {len(payload)} bytes is larger than {MAX_NOTE}")
        if payload == self._last:
            return
        self._last = payload
        self._version += 1
        me = self._member.me
        self._apply(Note(me.name, me.started, me.instance, self._version, payload))

    def republish(self) -> None:
        """Publish the last note again, under this member's current process instance."""
        if self._last is not None:
            payload, self._last = self._last, None
            self.publish(payload)

    def receive(self, note: Note) -> None:
        """Handle another member's note from a datagram."""
        if note.name != self._member.me.name and self._apply(note):
            self._member.actions.append(NoteReceived(note))

    def _apply(self, note: Note) -> bool:
        is_new = self._member.view.apply_note(note)
        if is_new:
            self._member.notes.add(note.name, encode_item(note))
        return is_new
