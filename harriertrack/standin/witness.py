"""A witness stand-in: the sessions and locked keys of Consul's HTTP API, as far as heads use them.

Source: Consul HTTP API, "Session" (create, renew, destroy; a session ends no sooner than its TTL after the
last renewal) and "KV Store" (`?acquire`, `?release`, `LockIndex`). Its clock may run fast or slow by
`clock_rate`. What it knows can be kept and taken up again: sessions then live for a whole TTL more, as they
do under a new leader of Consul's servers.
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
    """Grants locks; `down` turns all calls away."""

    def __init__(self, hub: Hub, network: Network, clock_rate: float = 1.0) -> None:
        self._hub, self._network, self._rate = hub, network, clock_rate
        self._sessions: dict[str, tuple[int, int]] = {}  # id: (TTL, when it ends by the witness's clock)
        self._keys: dict[str, _Key] = {}
        self._number = self._index = 0
        self._listener: Listener | None = None
        self.address = ("127.0.0.1", 0)
        self.down = False
        self.on_change: Callable[[], None] = lambda: None  # something is to be kept
        self.grants: list[tuple[int, str, str, int]] = []  # (time, key, session, LockIndex), for checkers

    def start(self, scope: Scope, address: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        """Listen for calls."""
        self._listener = self._network.listen(address)
        self.address = self._listener.address
        scope.spawn("witness", serve, self._listener, scope, "witness call", self._handle)

    def backup(self) -> bytes:
        """Return what a backup holds."""
        keys = {
            name: [base64.b64encode(key.value).decode(), key.session, key.lock_index, key.modify_index]
            for name, key in self._keys.items()
        }
        ttls = {session: ttl for session, (ttl, _) in self._sessions.items()}
        counts = {"number": self._number, "index": self._index}
        return json.dumps({"sessions": ttls, "keys": keys, **counts}).encode()

    def restore(self, kept: bytes) -> None:
        """Go on from what was kept, whatever was done since."""
        state, now = json.loads(kept), self._now()
        self._sessions = {session: (ttl, now + ttl) for session, ttl in state["sessions"].items()}
        self._keys = {
            name: _Key(base64.b64decode(value), *rest) for name, (value, *rest) in state["keys"].items()
        }
        self._number, self._index = state["number"], state["index"]

    def _now(self) -> int:
        return int(self._hub.now() * self._rate)

    def _expire(self) -> None:
        now = self._now()
        for session, (_, until) in list(self._sessions.items()):
            if now >= until:
                self._end(session)

    def _end(self, session: str) -> None:
        self._sessions.pop(session, None)
        self.on_change()
        for key in self._keys.values():
            if key.session == session:
                key.session = ""
                self._changed(key)

    def _handle(self, asked: HttpRequest) -> HttpResponse | None:
        if self.down:
            return None
        self._expire()
        target = urlsplit(asked.target)
        query = parse_qs(target.query, keep_blank_values=True)
        if target.path.startswith(SESSION):
            action, _, session = target.path.removeprefix(SESSION).partition("/")
            return self._session(action, session, asked.body)
        if target.path == TXN and asked.method == "PUT":
            return self._transaction(json.loads(asked.body))
        if not target.path.startswith(KV):
            return HttpResponse(404)
        name = target.path.removeprefix(KV)
        if asked.method == "PUT":
            key = self._keys.setdefault(name, _Key())
            key.value = asked.body
            self._changed(key)
            return HttpResponse(200, b"true")
        known = self._keys.get(name)
        if known is None:
            return HttpResponse(404)
        if "raw" in query:
            return HttpResponse(200, known.value)
        return HttpResponse(200, json.dumps([self._shown(name, known)]).encode())

    def _session(self, action: str, session: str, body: bytes) -> HttpResponse:
        if action == "create":
            self._number += 1
            session = f"session-{self._number}-{self._hub.random.getrandbits(48):012x}"
            ttl = int(float(json.loads(body)["TTL"].removesuffix("s")) * 1e6)
            self._sessions[session] = (ttl, self._now() + ttl)
            self.on_change()
        elif session not in self._sessions:
            return HttpResponse(404)
        elif action == "renew":
            ttl = self._sessions[session][0]
            self._sessions[session] = (ttl, self._now() + ttl)
        elif action == "destroy":
            self._end(session)
        return HttpResponse(200, json.dumps({"ID": session}).encode())

    def _changed(self, key: _Key) -> None:
        self._index += 1
        key.modify_index = self._index
        self.on_change()

    def _shown(self, name: str, key: _Key) -> dict[str, object]:
        value = base64.b64encode(key.value).decode()
        shown = {"Key": name, "LockIndex": key.lock_index, "ModifyIndex": key.modify_index, "Value": value}
        return {**shown, "Session": key.session} if key.session else shown

    def _transaction(self, operations: list[dict[str, dict]]) -> HttpResponse:
        """Do all operations, or none and say 409."""
        asked = [operation["KV"] for operation in operations]
        if not all(self._allowed(one) for one in asked):
            return HttpResponse(409, b'{"Results": null, "Errors": [{"OpIndex": 0, "What": "refused"}]}')
        results = []
        for one in asked:
            name, session = one["Key"], one.get("Session", "")
            if one["Verb"] in ("lock", "unlock", "set"):
                key = self._keys.setdefault(name, _Key())
                key.value = base64.b64decode(one["Value"])
                if one["Verb"] == "unlock":
                    key.session = ""
                elif one["Verb"] == "lock" and key.session != session:
                    key.session = session
                    key.lock_index += 1
                    self.grants.append((self._hub.now(), name, session, key.lock_index))
                self._changed(key)
                results.append({"KV": self._shown(name, key)})
        return HttpResponse(200, json.dumps({"Results": results, "Errors": None}).encode())

    def _allowed(self, one: dict) -> bool:
        key, session = self._keys.get(one["Key"]), one.get("Session", "")
        match one["Verb"]:
            case "check-not-exists":
                return key is None
            case "check-index":
                return key is not None and key.modify_index == one["Index"]
            case "set":
                return True
            case "lock":
                return session in self._sessions and (key is None or key.session in ("", session))
            case "unlock":
                return key is not None and key.session == session
        return False
