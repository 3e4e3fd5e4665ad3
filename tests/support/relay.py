"""A TCP relay between two processes on loopback that injects network faults."""

from __future__ import annotations

from enum import Enum, auto

import anyio
import anyio.abc

POLL_S = 0.05
CONNECTION_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class RelayMode(Enum):
    """The fault that a relay injects."""

    OPEN = auto()
    HELD = auto()  # data is buffered until the mode is OPEN again
    REFUSED = auto()  # connections are closed, and new ones end at once


class Relay:
    """Relays connections from its own port to a target port."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._mode = RelayMode.OPEN
        self._connections: set[anyio.CancelScope] = set()
        self.port = 0
        self._listener: anyio.abc.Listener[anyio.abc.SocketStream] | None = None

    async def open(self) -> None:
        """Listen on a free port, and set `port`."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self._listener = listener

    async def run(self) -> None:
        """Serve connections until cancelled."""
        assert self._listener is not None
        async with self._listener:
            await self._listener.serve(self._relay)

    def set_mode(self, mode: RelayMode) -> None:
        """Set the fault to inject; REFUSED closes open connections."""
        self._mode = mode
        if mode is RelayMode.REFUSED:
            for scope in list(self._connections):
                scope.cancel()

    async def _relay(self, client_stream: anyio.abc.SocketStream) -> None:
        async with client_stream:
            if self._mode is RelayMode.REFUSED:
                return
            with anyio.CancelScope() as scope:
                self._connections.add(scope)
                try:
                    target_stream = await anyio.connect_tcp("127.0.0.1", self._target_port)
                    async with target_stream, anyio.create_task_group() as group:
                        group.start_soon(
                            self._copy, client_stream, target_stream, group.cancel_scope
                        )
                        group.start_soon(
                            self._copy, target_stream, client_stream, group.cancel_scope
                        )
                except CONNECTION_ERRORS:
                    pass
                finally:
                    self._connections.discard(scope)

    async def _copy(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        connection_scope: anyio.CancelScope,
    ) -> None:
        try:
            while True:
                data = await source.receive(65536)
                while self._mode is RelayMode.HELD:
                    await anyio.sleep(POLL_S)
                await sink.send(data)
        except CONNECTION_ERRORS:
            connection_scope.cancel()
