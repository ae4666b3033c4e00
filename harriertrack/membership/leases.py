"""Leases on volumes: a head's session with the witness, and the volume locks that the session holds.

The witness is accessed through Consul's published HTTP API: a session with a TTL ("Session": the server never
ends it before the TTL, and may do so any time after), and one key for each volume, which a session locks ("KV
Store"). Every change is a transaction conditional on the key as last read, so that a delayed call changes
nothing. `LockIndex` grows with each acquisition: it is the volume's epoch. Storage nodes and the other
region's head remember the highest epoch and reject work under an older one (Consul calls it a sequencer; for
leases see Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
Consistency", SOSP 1989, section 2).

A head counts its session from before the request was sent, and shortens the TTL by twice the configured clock
rate error: its own clock may run slow while the witness's runs fast.
"""

from __future__ import annotations

import base64
from dataclasses import dataclass, field
from typing import Annotated

import msgspec

SESSION_PATH = "/v1/session"
KEY_PREFIX = "/v1/kv/harriertrack/volumes/"
HOME_REQUEST_PREFIX = "/v1/kv/harriertrack/wishes/"


class VolumeRecord(msgspec.Struct, frozen=True):
    """The value of a volume's key at the witness.

    Its home region, and the regions that hold all acknowledged writes.
    """

    home: str
    in_sync: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Lock:
    """A volume's key as last read from the witness."""

    record: VolumeRecord
    session: str  # "" while the key is not locked
    epoch: int  # LockIndex
    index: int = 0  # ModifyIndex: changes with every change of the key


class WitnessError(Exception):
    """The witness's response does not match the documented API."""


class _Entry(msgspec.Struct, rename="pascal"):
    lock_index: Annotated[int, msgspec.Meta(ge=0)]
    modify_index: Annotated[int, msgspec.Meta(ge=1)]
    value: str | None = None
    session: str = ""


class _Session(msgspec.Struct, rename="pascal"):
    id: str = msgspec.field(name="ID")


def session_request(ttl_us: int, head: str) -> bytes:
    """Encode the body of a session creation request.

    The session's locks are released when it ends; nodes fence by epoch, so there is no lock delay.
    """
    return msgspec.json.encode(
        {"Name": head, "TTL": f"{ttl_us / 1e6:g}s", "Behavior": "release", "LockDelay": "0s"}
    )


def change_request(volume: str, verb: str, session: str, record: VolumeRecord, index: int) -> bytes:
    """Encode the transaction that locks or unlocks a volume's key if unchanged since read (index 0: absent).

    Source: Consul HTTP API, "Transaction": `check-index` with `lock` or `unlock` in one step. Without the
    check, a delayed call could overwrite a record that changed in the meantime with an older one.
    """
    return key_request(KEY_PREFIX + volume, verb, session, msgspec.json.encode(record), index)


def key_request(path: str, verb: str, session: str, value: bytes, index: int) -> bytes:
    """Encode the same transaction for any key, by its path in the API."""
    key = path.removeprefix("/v1/kv/")
    check = {"Verb": "check-index", "Key": key, "Index": index}
    if not index:
        check = {"Verb": "check-not-exists", "Key": key}
    change = {"Verb": verb, "Key": key, "Value": base64.b64encode(value).decode(), "Session": session}
    return msgspec.json.encode([{"KV": check}, {"KV": change}])


class _Result(msgspec.Struct):
    kv: _Entry = msgspec.field(name="KV")


class _Results(msgspec.Struct):
    results: list[_Result] = msgspec.field(name="Results")


def write_request(path: str, value: bytes, index: int) -> bytes:
    """Encode the transaction that sets an unlocked key if unchanged since read (index 0: absent)."""
    key = path.removeprefix("/v1/kv/")
    check = {"Verb": "check-index", "Key": key, "Index": index}
    if not index:
        check = {"Verb": "check-not-exists", "Key": key}
    change = {"Verb": "set", "Key": key, "Value": base64.b64encode(value).decode()}
    return msgspec.json.encode([{"KV": check}, {"KV": change}])


def parse_new_index(body: bytes) -> int:
    """Parse the key's new index from a transaction's response. Raises WitnessError."""
    try:
        return msgspec.json.decode(body, type=_Results).results[-1].kv.modify_index
    except (msgspec.MsgspecError, IndexError) as error:
        raise WitnessError(str(error)) from error


def parse_session_id(body: bytes) -> str:
    """Parse the session's id. Raises WitnessError."""
    try:
        return msgspec.json.decode(body, type=_Session).id
    except msgspec.MsgspecError as error:
        raise WitnessError(str(error)) from error


@dataclass(frozen=True, slots=True)
class Key:
    """A key as last read from the witness."""

    value: bytes
    session: str  # "" while the key is not locked
    epoch: int  # LockIndex
    index: int  # ModifyIndex


def parse_key(body: bytes) -> Key:
    """Parse a key; its value is base64, as the API documents. Raises WitnessError."""
    try:
        (entry,) = msgspec.json.decode(body, type=list[_Entry])
        value = base64.b64decode(entry.value or "", validate=True)
    except (msgspec.MsgspecError, ValueError) as error:
        raise WitnessError(str(error)) from error
    return Key(value, entry.session, entry.lock_index, entry.modify_index)


def parse_lock(body: bytes) -> Lock:
    """Parse a volume's key. Raises WitnessError."""
    key = parse_key(body)
    try:
        record = msgspec.json.decode(key.value, type=VolumeRecord)
    except msgspec.MsgspecError as error:
        raise WitnessError(str(error)) from error
    return Lock(record, key.session, key.epoch, key.index)


@dataclass(slots=True)
class Session:
    """This head's session: absent until granted, valid until it expires by this head's clock."""

    ttl_us: int
    clock_error: float  # greatest error of a clock's rate, as a fraction of it
    id: str = ""
    until: int = 0
    ended: int = 0  # sessions that ended before they were renewed

    @property
    def safe_us(self) -> int:
        """How long a grant is relied on, counted from before the request was sent."""
        return int(self.ttl_us * (1 - 2 * self.clock_error))

    def record_grant(self, session: str, sent_at: int) -> None:
        """Record that a call started at `sent_at` created or renewed a session."""
        self.id, self.until = session, max(self.until if session == self.id else 0, sent_at + self.safe_us)

    def valid(self, now: int) -> bool:
        """Whether the witness can not have ended the session yet."""
        return bool(self.id) and now < self.until

    def invalidate(self) -> None:
        """Drop the session: it expired, or the witness no longer has it."""
        if self.id:
            self.ended += 1
        self.id, self.until = "", 0


@dataclass(slots=True)
class HeldLocks:
    """The volume locks that this head holds, with their epochs.

    A lock is void once the session under which it was acquired has ended.
    """

    session: Session
    _locks: dict[str, tuple[str, int]] = field(default_factory=dict)

    def add(self, volume: str, epoch: int) -> None:
        """Record that the witness granted a volume's lock to the current session."""
        self._locks[volume] = (self.session.id, epoch)

    def remove(self, volume: str) -> None:
        """Remove a lock that was released, or found to be held by another session."""
        self._locks.pop(volume, None)

    def epoch(self, volume: str, now: int) -> int:
        """Return the epoch under which this head may act on a volume at `now`; 0 if it may not."""
        lock = self._locks.get(volume)
        if lock is None or lock[0] != self.session.id or not self.session.valid(now):
            return 0
        return lock[1]


@dataclass(slots=True)
class Fence:
    """The highest epoch seen for each volume, as a storage node or the other region's head remembers it."""

    _highest: dict[str, int] = field(default_factory=dict)

    def admits(self, volume: str, epoch: int) -> bool:
        """Whether work under this epoch is accepted; a higher epoch raises the fence.

        Epoch 0 stands for work without a lease.
        """
        highest = self._highest.get(volume, 0)
        if epoch > highest:
            self._highest[volume] = epoch
        return epoch >= highest

    def highest(self, volume: str) -> int:
        """Return the highest epoch seen for a volume."""
        return self._highest.get(volume, 0)
