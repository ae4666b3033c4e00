"""An NBD client on the hub: for links between regions' heads, lab days, tests, and the command line."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from harriertrack.protocol.nbd.client import (
    ClientConnection,
    ClientState,
    GreetingReceived,
    OptionEnded,
    Reply,
)
from harriertrack.protocol.nbd.wire import BASE_ALLOCATION, Command, ProtocolViolation, TransmissionFlags
from harriertrack.runtime.hub import Hub, Scope, answer_of
from harriertrack.runtime.streams import Network, Stream


class NbdClientError(Exception):
    """The server refused an option; the text says why."""


class NbdClient:
    """One connection. `call` waits for the reply; `start` passes it to a callback."""

    def __init__(self, hub: Hub, network: Network, name: str = "client",
                 contexts: Sequence[str] = (BASE_ALLOCATION,)) -> None:  # fmt: skip
        self._contexts = contexts
        self._hub, self._network, self._name = hub, network, name
        self._nbd = ClientConnection()
        self._stream: Stream | None = None
        self._cookie = 0
        self._callbacks: dict[int, Callable[[Reply | None], None]] = {}
        self._events: list[GreetingReceived | OptionEnded | Reply] = []
        self.size = 0
        self.flags = TransmissionFlags(0)
        self.block_sizes = (1, 4096, 0)
        self.read_at = 0  # when the last bytes of the current reply were read
        self.violation = ""  # how the server violated the protocol
        self.on_lost: Callable[[], None] | None = None

    @property
    def structured(self) -> bool:
        """Whether structured replies were negotiated."""
        return self._nbd.structured

    @property
    def contexts(self) -> list[str]:
        """Return the meta contexts in use."""
        return list(self._nbd.contexts.values())

    def open(self, address: tuple[str, int], deadline: int | None = None) -> None:
        """Connect and read the greeting. Raises OSError, DeadlineExceeded, ProtocolViolation."""
        self._stream = self._network.connect(address, deadline, self._name)
        self._await(deadline)

    def names(self, deadline: int | None = None) -> list[str]:
        """Return the names of the exports. Raises NbdClientError."""
        self._nbd.send_list()
        return self._option(deadline).names

    def go(
        self,
        scope: Scope,
        export: str,
        deadline: int | None = None,
        structured: bool = True,
        contexts: Sequence[str] | None = None,
    ) -> None:
        """Select an export; from then on a task of `scope` reads replies. Raises NbdClientError."""
        if structured:
            self._nbd.send_structured_reply()
            requested = self._contexts if contexts is None else contexts
            if not self._option(deadline, must=False).error and requested:
                self._nbd.send_meta_contexts(export, requested)
                self._option(deadline, must=False)
        self._nbd.send_go(export)
        done = self._option(deadline)
        self.size, self.flags, self.block_sizes = done.size, TransmissionFlags(done.flags), done.block_sizes
        scope.spawn(f"{self._name} replies", self._replies)

    def _option(self, deadline: int | None, must: bool = True) -> OptionEnded:
        event = self._await(deadline)
        assert isinstance(event, OptionEnded)
        if event.error and must:
            raise NbdClientError(event.message or f"the server answered {event.error:#x}")
        return event

    def _await(self, deadline: int | None) -> GreetingReceived | OptionEnded | Reply:
        self._push()
        while not self._events:
            assert self._stream is not None
            data = self._stream.read(deadline)
            if not data:
                raise ConnectionError("the server closed the connection")
            self._events.extend(self._nbd.receive(data))
            self._push()
        return self._events.pop(0)

    def _push(self) -> None:
        for data in self._nbd.take_outgoing():
            assert self._stream is not None
            self._stream.write(data)

    def _replies(self) -> None:
        assert self._stream is not None
        try:
            while data := self._stream.read():
                self.read_at = self._hub.now()
                for event in self._nbd.receive(data):
                    if isinstance(event, Reply):
                        self._callbacks.pop(event.cookie)(event)
        except OSError:
            pass
        except ProtocolViolation as error:
            self.violation = str(error)
        finally:  # also when the task is cancelled, so that the server sees the connection close
            self._stream.close()
        lost, self._callbacks = self._callbacks, {}
        for callback in lost.values():
            callback(None)
        if self.on_lost is not None:
            self.on_lost()

    def start(
        self,
        command: Command,
        offset: int,
        length: int,
        data: bytes,
        then: Callable[[Reply | None], None],
        flags: int = 0,
    ) -> None:
        """Send a request; `then` gets its reply, or None if the connection is lost first."""
        self._cookie += 1
        if self._nbd.state is not ClientState.TRANSMISSION:
            then(None)
            return
        self._callbacks[self._cookie] = then
        self._nbd.request(command, self._cookie, offset, length, data, flags)
        self._push()

    def call(
        self,
        command: Command,
        offset: int = 0,
        length: int = 0,
        data: bytes = b"",
        flags: int = 0,
        deadline: int | None = None,
    ) -> Reply:
        """Send a request and wait for its reply. Raises ConnectionError if the connection is lost."""

        def send(then: Callable[[Reply | None], None]) -> None:
            self.start(command, offset, length, data, then, flags)

        reply = answer_of(self._hub, send, deadline)
        if reply is None:
            raise ConnectionError("the connection was lost")
        return reply

    def close(self) -> None:
        """Disconnect in order and close."""
        if self._stream is not None:
            if self._nbd.state is ClientState.TRANSMISSION:
                self._nbd.disconnect()
            elif self._nbd.state is ClientState.OPTIONS:
                self._nbd.send_abort()
            self._push()
            self._stream.close()

    def abort(self) -> None:
        """Break the connection."""
        if self._stream is not None:
            self._stream.abort()
