"""Who may act: a head's session with the witness, and the lock on each volume that the session holds.

The witness is met through Consul's published HTTP API: a session with a TTL ("Session": the server never ends
it before the TTL, and may do so any time after), and one key for each volume, which a session locks ("KV
Store"). Every change is a transaction on the key as it was last read, so that a call that was under way for
long changes nothing. `LockIndex` grows with each acquisition: it is the volume's epoch, which storage nodes
and the other region's head remember and hold against whoever comes with an older one (Consul calls it a
sequencer; the reasoning on leases is Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for
Distributed File Cache Consistency", SOSP 1989, section 2).

A head counts its session from before it asked, and shorter than the TTL by twice the stated error of a
clock's rate: its own clock may run slow while the witness's runs fast.
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
    """What the witness keeps for a volume.

    Where its home is, and which regions hold all acknowledged writes.
    """

    home: str
    in_sync: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Lock:
    """A volume's key as the witness last told it."""

    record: VolumeRecord
    session: str  # "" while nobody holds it
    epoch: int  # LockIndex
    index: int = 0  # ModifyIndex: changes with every change of the key


class WitnessError(Exception):
    """The witness's answer is not what the API documents."""


class _Entry(msgspec.Struct, rename="pascal"):
    lock_index: Annotated[int, msgspec.Meta(ge=0)]
    modify_index: Annotated[int, msgspec.Meta(ge=1)]
    value: str | None = None
    session: str = ""


class _Session(msgspec.Struct, rename="pascal"):
    id: str = msgspec.field(name="ID")


def session_request(ttl_us: int, head: str) -> bytes:
    """Write the body that asks for a session.

    Its locks are released when it ends; nodes fence, so no lock delay.
    """
    return msgspec.json.encode(
        {"Name": head, "TTL": f"{ttl_us / 1e6:g}s", "Behavior": "release", "LockDelay": "0s"}
    )


def change_request(volume: str, verb: str, session: str, standing: VolumeRecord, index: int) -> bytes:
    """Write the transaction that locks or unlocks a volume's key if it is still as read (index 0: not there).

    Source: Consul HTTP API, "Transaction": `check-index` with `lock` or `unlock` in one step. Without the
    check a call that was under way for long could put back a record that was changed meanwhile.
    """
    return key_request(KEY_PREFIX + volume, verb, session, msgspec.json.encode(standing), index)


def key_request(path: str, verb: str, session: str, value: bytes, index: int) -> bytes:
    """Write the same transaction for any key, by its path in the API."""
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
    """Write the transaction that sets a key that nobody locks, if it is as read (index 0: not there)."""
    key = path.removeprefix("/v1/kv/")
    check = {"Verb": "check-index", "Key": key, "Index": index}
    if not index:
        check = {"Verb": "check-not-exists", "Key": key}
    change = {"Verb": "set", "Key": key, "Value": base64.b64encode(value).decode()}
    return msgspec.json.encode([{"KV": check}, {"KV": change}])


def parse_new_index(body: bytes) -> int:
    """Read the key's new index from a transaction's answer. Raises WitnessError."""
    try:
        return msgspec.json.decode(body, type=_Results).results[-1].kv.modify_index
    except (msgspec.MsgspecError, IndexError) as error:
        raise WitnessError(str(error)) from error


def parse_session_id(body: bytes) -> str:
    """Read the session's id. Raises WitnessError."""
    try:
        return msgspec.json.decode(body, type=_Session).id
    except msgspec.MsgspecError as error:
        raise WitnessError(str(error)) from error


@dataclass(frozen=True, slots=True)
class Key:
    """A key as the witness last told it."""

    value: bytes
    session: str  # "" while nobody holds it
    epoch: int  # LockIndex
    index: int  # ModifyIndex


def parse_key(body: bytes) -> Key:
    """Read a key; its value comes in base64, as the API documents. Raises WitnessError."""
    try:
        (entry,) = msgspec.json.decode(body, type=list[_Entry])
        value = base64.b64decode(entry.value or "", validate=True)
    except (msgspec.MsgspecError, ValueError) as error:
        raise WitnessError(str(error)) from error
    return Key(value, entry.session, entry.lock_index, entry.modify_index)


def parse_lock(body: bytes) -> Lock:
    """Read a volume's key. Raises WitnessError."""
    key = parse_key(body)
    try:
        record = msgspec.json.decode(key.value, type=VolumeRecord)
    except msgspec.MsgspecError as error:
        raise WitnessError(str(error)) from error
    return Lock(record, key.session, key.epoch, key.index)


@dataclass(slots=True)
class Session:
    """This head's session: NONE until granted, LIVE until its time by this head's clock is over."""

    ttl_us: int
    clock_error: float  # how far a clock's rate may be off, as a part of it
    id: str = ""
    until: int = 0
    ended: int = 0  # sessions that ended before they were renewed

    @property
    def safe_us(self) -> int:
        """How long a grant is relied on, counted from before it was asked for."""
        return int(self.ttl_us * (1 - 2 * self.clock_error))

    def record_grant(self, session: str, asked_at: int) -> None:
        """A session was created, or renewed, by a call that began at `asked_at`."""
        self.id, self.until = session, max(self.until if session == self.id else 0, asked_at + self.safe_us)

    def valid(self, now: int) -> bool:
        """Whether the witness can't have ended it yet."""
        return bool(self.id) and now < self.until

    def invalidate(self) -> None:
        """It is over: by its time, or because the witness does not know it any more."""
        if self.id:
            self.ended += 1
        self.id, self.until = "", 0


@dataclass(slots=True)
class HeldLocks:
    """What this head holds under its session: volume to epoch.

    Nothing outlives the session it was held under.
    """

    session: Session
    _held: dict[str, tuple[str, int]] = field(default_factory=dict)

    def add(self, volume: str, epoch: int) -> None:
        """The witness granted a volume's lock to the present session."""
        self._held[volume] = (self.session.id, epoch)

    def remove(self, volume: str) -> None:
        """The lock was released, or found to be another's."""
        self._held.pop(volume, None)

    def epoch(self, volume: str, now: int) -> int:
        """Return the epoch under which this head may act on a volume now; 0 if it may not."""
        held = self._held.get(volume)
        if held is None or held[0] != self.session.id or not self.session.valid(now):
            return 0
        return held[1]


@dataclass(slots=True)
class Fence:
    """What a storage node, or the other region's head, remembers: the highest epoch seen of each volume."""

    _highest: dict[str, int] = field(default_factory=dict)

    def admits(self, volume: str, epoch: int) -> bool:
        """Whether work under this epoch may be done; a higher one raises the fence.

        Epoch 0 is of no lease.
        """
        highest = self._highest.get(volume, 0)
        if epoch > highest:
            self._highest[volume] = epoch
        return epoch >= highest

    def highest(self, volume: str) -> int:
        """Return the highest epoch seen."""
        return self._highest.get(volume, 0)
