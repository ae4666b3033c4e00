"""Calls to the witness, one connection each.

Every call has a deadline and may fail; a failure does not tell whether the call had an effect.
"""

from __future__ import annotations

from harriertrack.membership import leases
from harriertrack.membership.leases import Lock, VolumeRecord, WitnessError
from harriertrack.protocol.http import HttpCall, HttpError
from harriertrack.runtime.hub import DeadlineExceeded, Hub
from harriertrack.runtime.streams import Network

FAILURES = (OSError, DeadlineExceeded, HttpError, WitnessError)


class WitnessClient:
    """Reads and writes sessions, locks and keys at the witness."""

    def __init__(
        self, hub: Hub, network: Network, address: tuple[str, int], timeout_us: int, name: str
    ) -> None:
        self._hub, self._network, self._address = hub, network, address
        self._timeout_us, self._name = timeout_us, name

    def _call(self, method: str, target: str, body: bytes = b"") -> tuple[int, bytes]:
        deadline = self._hub.now() + self._timeout_us
        stream = self._network.connect(self._address, deadline, self._name)
        try:
            host = f"{self._address[0]}:{self._address[1]}"
            call = HttpCall(method, host, target, f"harriertrack/{self._name}", body)
            stream.write(call.request)
            while not call.receive(stream.read(deadline)):
                pass
        finally:
            stream.close()
        return call.status, call.body

    def _call_checked(self, method: str, target: str, body: bytes = b"") -> bytes:
        status, answer = self._call(method, target, body)
        if status != 200:
            raise WitnessError(f"{method} {target}: status {status}")
        return answer

    def create_session(self, ttl_us: int) -> str:
        """Create a session; return its id."""
        body = leases.session_request(ttl_us, self._name)
        return leases.parse_session_id(self._call_checked("PUT", f"{leases.SESSION_PATH}/create", body))

    def renew_session(self, session: str) -> bool:
        """Renew a session; return False if it no longer exists at the witness."""
        status, _ = self._call("PUT", f"{leases.SESSION_PATH}/renew/{session}")
        if status not in (200, 404):
            raise WitnessError(f"renew: status {status}")
        return status == 200

    def _get(self, path: str) -> bytes | None:
        status, body = self._call("GET", path)
        if status == 404:
            return None
        if status != 200:
            raise WitnessError(f"status {status}")
        return body

    def lock(self, volume: str) -> Lock | None:
        """Return a volume's key; None if the witness has none."""
        body = self._get(f"{leases.KEY_PREFIX}{volume}")
        return None if body is None else leases.parse_lock(body)

    def key(self, path: str) -> leases.Key | None:
        """Return any key, by its path in the API; None if the witness has none."""
        body = self._get(path)
        return None if body is None else leases.parse_key(body)

    def _change(self, verb: str, volume: str, session: str, standing: VolumeRecord, index: int) -> int:
        return self._transact(leases.change_request(volume, verb, session, standing, index))

    def change(self, path: str, verb: str, session: str, value: bytes, index: int) -> int:
        """Lock or unlock any key if it is as read; return its new index, 0 if it could not be."""
        return self._transact(leases.key_request(path, verb, session, value, index))

    def replace(self, path: str, value: bytes, index: int) -> int:
        """Set an unlocked key if it is as read; return its new index, 0 if it is not."""
        return self._transact(leases.write_request(path, value, index))

    def _transact(self, transaction: bytes) -> int:
        status, body = self._call("PUT", "/v1/txn", transaction)
        if status == 409:
            return 0
        if status != 200:
            raise WitnessError(f"transaction: status {status}")
        return leases.parse_new_index(body)

    def acquire_lock(self, volume: str, session: str, standing: VolumeRecord, index: int) -> int:
        """Acquire a volume's lock, or change its record while holding it, if its key is as read at `index`.

        Return the key's new index; 0 if it was changed meanwhile, or another session holds it.
        """
        return self._change("lock", volume, session, standing, index)

    def release_lock(self, volume: str, session: str, standing: VolumeRecord, index: int) -> int:
        """Release a volume's lock, under the same condition; return the key's new index, or 0."""
        return self._change("unlock", volume, session, standing, index)

    def wish(self, volume: str) -> str:
        """Return the region that operators requested for a volume; "" for none."""
        status, body = self._call("GET", f"{leases.HOME_REQUEST_PREFIX}{volume}?raw")
        return body.decode("utf-8", "replace") if status == 200 else ""

    def set_wish(self, volume: str, region: str) -> None:
        """Request a region for a volume; "" withdraws the request."""
        self.put(f"{leases.HOME_REQUEST_PREFIX}{volume}", region.encode())

    def put(self, path: str, value: bytes) -> None:
        """Write a key that is not locked."""
        self._call_checked("PUT", path, value)
