"""Replication of the fleet's record of changes to one head: fetched, cached on disk and applied.

Members' notes announce revisions. The complete record comes from the witness or, while that is unreachable,
from another head's status document. `Follower` decides when to fetch and what to apply; the *user* of each
thing applies a version completely or rejects it completely.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec

from harriertrack.config.settings import ChangesSettings
from harriertrack.decisions.fleet.changes.follower import Follower
from harriertrack.decisions.fleet.changes.record import Kind, Record, Version, kind_of
from harriertrack.gateway.fleet.changes import stored_record
from harriertrack.gateway.fleet.decider import FleetDecider
from harriertrack.gateway.parts import HeadParts
from harriertrack.gateway.witness import FAILURES
from harriertrack.membership.fleet.change_record import DamagedRecord, decode, digest_of
from harriertrack.membership.fleet.messages import MAX_NOTE
from harriertrack.membership.fleet.status_document import (
    ActivityNote,
    ChangesStatus,
    ChangeStatus,
    MemberNote,
    parse_member_note,
)
from harriertrack.membership.fleet.swim import Swim
from harriertrack.runtime.hub import DeadlineExceeded
from harriertrack.storage.changes import ChangesCache

FEATURE_LEVEL = 1  # feature level of this program: of records, notes and durable state
POLL_US = 50_000
DOCUMENT_TIMEOUT_US = 2_000_000  # for another head's status document
MAX_DOCUMENT_BYTES = 4 << 20  # of a status document
TOPIC = "changes"  # the deciding head announces a new revision at once; notes repeat it


class User(Protocol):
    """Applies versions of a kind of thing in a head."""

    def apply(self, thing: str, version: Version | None) -> str:
        """Apply a version completely, between two events; None: the state at the head's start.

        Return "" if it is applied, otherwise the reason, with nothing changed.
        """
        ...


class _Revision(msgspec.Struct, array_like=True):
    revision: int


class _Document(msgspec.Struct):
    """The part of another head's status document that is read."""

    record: ChangesStatus | None = None


class Changes:
    """This head's copy of the record, and the users that apply it."""

    def __init__(self, parts: HeadParts, settings: ChangesSettings, swim: Swim, decider: FleetDecider,
                 publish_note: Callable[[], None], cache: ChangesCache | None = None) -> None:  # fmt: skip
        self._parts, self._hub, self._settings = parts, parts.hub, settings
        self._swim, self._decider, self._publish_note = swim, decider, publish_note
        self._follower = Follower(swim.me.name)
        self._cache = cache or ChangesCache(parts.settings.state_dir)
        self._users: dict[Kind, User] = {}
        self._data = b""
        self._polled_at = 0
        self.listeners: list[Callable[[], None]] = []
        decider.on_ruling[TOPIC] = lambda now, _term, body: self._handle_announcement(now, body)

    @property
    def record(self) -> Record:
        """Return the last valid record, also while no source is reachable."""
        return self._follower.record

    @property
    def cache(self) -> ChangesCache:
        """Return this head's cache on disk."""
        return self._cache

    def register_user(self, kind: Kind, user: User) -> None:
        """Register the user of a kind of thing; before `start`."""
        self._users[kind] = user

    def start(self) -> None:
        """Apply the cached record, and follow the record from now on."""
        try:
            data = self._cache.read()
            if data is not None:
                self._offer(decode(data), data, store=False)
        except (OSError, DamagedRecord) as error:
            self._parts.note("fleet changes: copy on disk is of no use", why=str(error))
        self._parts.scope.spawn("fleet changes", self._run)

    # -- announcements

    def handle_member_note(self, note: MemberNote) -> None:
        """Handle the revision in another member's note."""
        if note.record:
            self._follower.observe_revision(self._fetch_time(), note.record)

    def _handle_announcement(self, now: int, body: bytes) -> None:
        try:
            announced = msgspec.msgpack.decode(body, type=_Revision)
        except msgspec.MsgspecError:
            return  # malformed
        self._follower.observe_revision(self._fetch_time(), announced.revision)

    def _fetch_time(self) -> int:
        """Return when to fetch; randomised so that the heads do not all query the witness at once."""
        share = min(1.0, len(self._swim.view.present) / 100)
        return self._hub.now() + int(self._settings.spread_us * share * self._hub.random.random())

    def running_versions(self) -> Mapping[str, int]:
        """Return the versions that this head runs, by thing, without things that were never changed."""
        return self._follower.running_versions()

    # -- following

    def _run(self) -> None:
        """Fetch new revisions; poll the witness while this head decides (a task)."""
        while True:
            now = self._hub.now()
            if self._follower.start_fetch(now):
                self._fetch()
            elif (
                self._decider.deciding_term(now) is not None
                and now >= self._polled_at + self._settings.look_us
            ):
                self._poll_witness()
            self._hub.sleep(POLL_US)

    def _fetch(self) -> None:
        data, found = b"", None
        try:
            fetched = stored_record.read(self._decider.witness)
            data, found = fetched.data, fetched.record
        except FAILURES:
            data = self._fetch_from_member()
            try:
                found = decode(data) if data else None
            except DamagedRecord as error:
                self._parts.note("fleet changes: another head's record is damaged", why=str(error))
        except DamagedRecord as error:
            self._parts.note("fleet changes: the witness's record is damaged", why=str(error))
        now = self._hub.now()
        if self._follower.finish_fetch(now, found, digest_of(data) if data else 0):
            self._apply_record(data)

    def _poll_witness(self) -> None:
        """Check, as the deciding head, whether operators changed the record or the witness lost it."""
        self._polled_at = self._hub.now()
        damaged = False
        try:
            try:
                found = stored_record.read(self._decider.witness)
            except DamagedRecord:
                damaged = True
            else:
                self._offer(found.record, found.data)
            if (damaged or self._follower.witness_behind) and self.record.revision:
                restored = stored_record.restore(self._decider.witness, self.record)
                if restored is not None:
                    self._parts.note("fleet changes: record put back", revision=restored.record.revision)
                    self._offer(restored.record, restored.data)
        except FAILURES:
            return  # the current record stays in force
        self._decider.rule(TOPIC, msgspec.msgpack.encode(_Revision(self.record.revision)))

    def _fetch_from_member(self) -> bytes:
        """Return the record from a random head that announces a newer one; b"" for none."""
        rows = [self._swim.view.find(name) for name in self._swim.view.present]
        addresses = []
        for row in rows:
            note = parse_member_note(row.note.payload) if row is not None and row.note is not None else None
            if row is not None and note is not None and note.record > self.record.revision:
                addresses.append(row.record.address)
        if not addresses:
            return b""
        deadline = self._hub.now() + DOCUMENT_TIMEOUT_US
        try:
            stream = self._parts.network.connect(
                self._hub.random.choice(addresses), deadline, self._swim.me.name
            )
        except (OSError, DeadlineExceeded):
            return b""
        body = b""
        try:
            while (more := stream.read(deadline)) and len(body) < MAX_DOCUMENT_BYTES:
                body += more
            document = msgspec.json.decode(body, type=_Document)
        except (OSError, DeadlineExceeded, msgspec.MsgspecError):
            return b""
        finally:
            stream.close()
        return document.record.record if document.record is not None else b""

    def _offer(self, record: Record, data: bytes, store: bool = True) -> None:
        if self._follower.finish_fetch(self._hub.now(), record, digest_of(data) if data else 0):
            self._apply_record(data, store)

    def _apply_record(self, data: bytes, store: bool = True) -> None:
        """Handle a new record: cache it, apply it, and publish its revision."""
        self._data = data
        if store:
            try:
                self._cache.write(data)
            except OSError as error:
                self._parts.note("fleet changes: copy is not kept", why=str(error))
        record = self.record
        latest = {thing: record.versions_of(thing)[-1].number for thing in record.things()}
        self._parts.note("fleet changes", revision=record.revision, epoch=record.epoch,
                         digest=self._follower.digest, latest=latest)  # fmt: skip
        self._apply_pending()
        for listener in list(self.listeners):
            listener()
        self._publish_note()

    def _apply_pending(self) -> None:
        for thing, version in self._follower.pending_changes():
            number = version.number if version is not None else 0
            try:
                user = self._users.get(kind_of(thing))
            except ValueError:
                user = None  # a kind that only later programs have
            why = user.apply(thing, version) if user is not None else "this head has no use for it"
            if why:
                self._follower.mark_rejected(thing, number, why)
                self._parts.note("fleet change turned down", thing=thing, version=number, why=why)
            else:
                self._follower.mark_applied(thing, number)
                self._parts.note("fleet change taken", thing=thing, version=number)

    def mark_running(self, thing: str, number: int) -> None:
        """Mark a version as running, now or since the head's start."""
        self._follower.mark_applied(thing, number)
        self._publish_note()

    def rejections(self) -> Mapping[str, tuple[int, str]]:
        """Return what this head rejected, by thing: the version and the reason."""
        return {
            thing: (one.rejected, one.reason) for thing, one in self._follower.applied.items() if one.reason
        }  # fmt: skip

    # -- writing

    def write(self, make: Callable[[Record], Record]) -> Record:
        """Change the record (from a task), and return it.

        Raises what `make` raises, WriteConflict, DamagedRecord and `gateway.witness.FAILURES`.
        """
        found = stored_record.write(self._decider.witness, make)
        self._offer(found.record, found.data)
        self._decider.rule(TOPIC, msgspec.msgpack.encode(_Revision(found.record.revision)))
        return found.record

    # -- notes and status

    def member_note(self, activity: ActivityNote) -> bytes:
        """Return the note on this head with its running versions, as many as fit."""
        runs = dict(self._follower.running_versions())
        while True:
            note = MemberNote(activity.volumes, activity.open, activity.taken, activity.refused,
                           self.record.revision, self._follower.digest, FEATURE_LEVEL, runs)  # fmt: skip
            data = msgspec.msgpack.encode(note)
            if len(data) <= MAX_NOTE or not runs:
                return data
            del runs[max(runs, key=len)]

    def document(self, _now: int) -> ChangesStatus:
        """Return the status for operators, and for heads that can't reach the witness."""
        record, follower = self.record, self._follower
        things = []
        for thing in record.things():
            in_force = record.in_force(thing)
            in_progress = record.in_progress(thing)
            applied = follower.applied.get(thing)
            last = in_progress or in_force or record.versions_of(thing)[-1]
            things.append(
                ChangeStatus(
                    thing, in_force.number if in_force is not None else 0,
                    applied.running if applied is not None else 0,
                    in_progress.number if in_progress is not None else 0, last.standing.value, last.stage,
                    list(last.heads), f"{last.why} ({last.by})", last.reason, last.since_ms / 1e3,
                    applied.rejected if applied is not None else 0,
                    applied.reason if applied is not None else "",
                )
            )  # fmt: skip
        return ChangesStatus(record.revision, follower.digest, record.epoch, record.level,
                           follower.highest_seen, follower.witness_behind, things, self._data)  # fmt: skip
