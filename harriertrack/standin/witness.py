"""A witness stand-in: the part of Consul's HTTP API for sessions and locked keys that heads use.

Source: Consul HTTP API, "Session" (create, renew, destroy; a session ends no sooner than its TTL after the
last renewal) and "KV Store" (`?acquire`, `?release`, `LockIndex`). Its clock may run fast or slow by
`clock_rate`. Its state can be saved and restored; restored sessions last for another full TTL, as they do
under a new leader of Consul's servers.
"""

from __future__ import annotations

import base64
import json
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from harriertrack.runtime.hub import Hub, Scope
from harriertrack.runtime.streams import Listener, Network
from harriertrack.standin.http import HttpRequest, HttpResponse, serve

SESSION = "/v1/session/"
KV = "/v1/kv/"
TXN = "/v1/txn"


@dataclass(slots=True)
class _Key:
    value: bytes = b""
    session: str = ""
    lock_index: int = 0
    modify_index: int = 0


class Witness:
    """Keeps sessions and locks; while `down` is set, it resets the connections of all calls."""

    def __init__(self, hub: Hub, network: Network, clock_rate: float = 1.0) -> None:
        self._hub, self._network, self._clock_rate = hub, network, clock_rate
        self._sessions: dict[str, tuple[int, int]] = {}  # id: (TTL, its end by the witness's clock)
        self._keys: dict[str, _Key] = {}
        self._session_count = self._index = 0
        self._listener: Listener | None = None
        self.address = ("127.0.0.1", 0)
        self.down = False
        self.on_change: Callable[[], None] = lambda: None  # called when the state to save changed
        self.grants: list[tuple[int, str, str, int]] = []  # (time, key, session, LockIndex), for checks

    def start(self, scope: Scope, address: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        """Listen for calls."""
        self._listener = self._network.listen(address)
        self.address = self._listener.address
        scope.spawn("witness", serve, self._listener, scope, "witness call", self._handle)

    def backup(self) -> bytes:
        """Return the state as bytes to save."""
        keys = {
            name: [base64.b64encode(key.value).decode(), key.session, key.lock_index, key.modify_index]
            for name, key in self._keys.items()
        }
        ttls = {session: ttl for session, (ttl, _) in self._sessions.items()}
        counts = {"number": self._session_count, "index": self._index}
        return json.dumps({"sessions": ttls, "keys": keys, **counts}).encode()

    def restore(self, saved: bytes) -> None:
        """Replace the state by a saved one; later changes are lost."""
        state, now = json.loads(saved), self._now()
        self._sessions = {session: (ttl, now + ttl) for session, ttl in state["sessions"].items()}
        self._keys = {
            name: _Key(base64.b64decode(value), *rest) for name, (value, *rest) in state["keys"].items()
        }
        self._session_count, self._index = state["number"], state["index"]

    def _now(self) -> int:
        return int(self._hub.now() * self._clock_rate)

    def _expire(self) -> None:
        now = self._now()
        for session, (_, ends_at) in list(self._sessions.items()):
            if now >= ends_at:
                self._end_session(session)

    def _end_session(self, session: str) -> None:
        self._sessions.pop(session, None)
        self.on_change()
        for key in self._keys.values():
            if key.session == session:
                key.session = ""
                self._mark_changed(key)

    def _handle(self, request: HttpRequest) -> HttpResponse | None:
        if self.down:
            return None
        self._expire()
        target = urlsplit(request.target)
        query = parse_qs(target.query, keep_blank_values=True)
        if target.path.startswith(SESSION):
            action, _, session = target.path.removeprefix(SESSION).partition("/")
            return self._session(action, session, request.body)
        if target.path == TXN and request.method == "PUT":
            return self._transaction(json.loads(request.body))
        if not target.path.startswith(KV):
            return HttpResponse(404)
        name = target.path.removeprefix(KV)
        if request.method == "PUT":
            key = self._keys.setdefault(name, _Key())
            key.value = request.body
            self._mark_changed(key)
            return HttpResponse(200, b"true")
        known = self._keys.get(name)
        if known is None:
            return HttpResponse(404)
        if "raw" in query:
            return HttpResponse(200, known.value)
        return HttpResponse(200, json.dumps([self._encode_key(name, known)]).encode())

    def _session(self, action: str, session: str, body: bytes) -> HttpResponse:
        if action == "create":
            self._session_count += 1
            session = f"session-{self._session_count}-{self._hub.random.getrandbits(48):012x}"
            ttl = int(float(json.loads(body)["TTL"].removesuffix("s")) * 1e6)
            self._sessions[session] = (ttl, self._now() + ttl)
            self.on_change()
        elif session not in self._sessions:
            return HttpResponse(404)
        elif action == "renew":
            ttl = self._sessions[session][0]
            self._sessions[session] = (ttl, self._now() + ttl)
        elif action == "destroy":
            self._end_session(session)
        return HttpResponse(200, json.dumps({"ID": session}).encode())

    def _mark_changed(self, key: _Key) -> None:
        self._index += 1
        key.modify_index = self._index
        self.on_change()

    def _encode_key(self, name: str, key: _Key) -> dict[str, object]:
        value = base64.b64encode(key.value).decode()
        encoded = {"Key": name, "LockIndex": key.lock_index, "ModifyIndex": key.modify_index, "Value": value}
        return {**encoded, "Session": key.session} if key.session else encoded

    def _transaction(self, operations: list[dict[str, dict]]) -> HttpResponse:
        """Apply all operations, or none and return 409."""
        requested = [entry["KV"] for entry in operations]
        if not all(self._is_allowed(operation) for operation in requested):
            return HttpResponse(409, b'{"Results": null, "Errors": [{"OpIndex": 0, "What": "refused"}]}')
        results = []
        for operation in requested:
            name, session = operation["Key"], operation.get("Session", "")
            if operation["Verb"] in ("lock", "unlock", "set"):
                key = self._keys.setdefault(name, _Key())
                key.value = base64.b64decode(operation["Value"])
                if operation["Verb"] == "unlock":
                    key.session = ""
                elif operation["Verb"] == "lock" and key.session != session:
                    key.session = session
                    key.lock_index += 1
                    self.grants.append((self._hub.now(), name, session, key.lock_index))
                self._mark_changed(key)
                results.append({"KV": self._encode_key(name, key)})
        return HttpResponse(200, json.dumps({"Results": results, "Errors": None}).encode())

    def _is_allowed(self, operation: dict) -> bool:
        key, session = self._keys.get(operation["Key"]), operation.get("Session", "")
        match operation["Verb"]:
            case "check-not-exists":
                return key is None
            case "check-index":
                return key is not None and key.modify_index == operation["Index"]
            case "set":
                return True
            case "lock":
                return session in self._sessions and (key is None or key.session in ("", session))
            case "unlock":
                return key is not None and key.session == session
        return False
