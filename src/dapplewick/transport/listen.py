"""Accept loop with a limit on the number of open connections."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
from anyio.streams.stapled import MultiListener

from dapplewick.transport.stream import accept
from dapplewick.types import NEVER_S

log = logging.getLogger(__name__)

ACCEPT_RETRY_DELAY_S = 0.05  # after a failed accept
LOG_INTERVAL_S = 10.0  # accept failures are logged at most this often
CLOSED_ON_ACCEPT_FAILURE = 8  # idle connections closed to free file descriptors

IdleCallback = Callable[[bool], None]  # called with whether a connection awaits its next request
ConnectionHandler = Callable[[anyio.abc.ByteStream, IdleCallback], Awaitable[None]]


class ConnectionAcceptor:
    """Accepts and serves connections, at most `max_connections` at a time.

    At the limit, a new connection replaces the one that has been idle longest, which includes
    connections left half-open by a network partition. If no connection is idle, the new one is
    closed at once. A failed accept (no file descriptor left, or the connection already reset by the
    client) is logged and retried after some idle connections have been closed; it ends neither the
    listener nor the process.
    """

    def __init__(self, max_connections: int, serve: ConnectionHandler) -> None:
        self._max_connections = max_connections
        self._serve = serve
        self._open: dict[anyio.CancelScope, None] = {}
        self._idle: dict[anyio.CancelScope, None] = {}  # ordered by idle time, longest first
        self._logged_at = NEVER_S

    async def run(self, listener: MultiListener[anyio.abc.SocketStream]) -> None:
        """Accept and serve connections until cancelled."""
        async with anyio.create_task_group() as group:
            for socket_listener in listener.listeners:
                assert isinstance(socket_listener, anyio.abc.SocketListener)
                group.start_soon(self._accept, socket_listener, group)

    async def _accept(self, listener: anyio.abc.SocketListener, group: anyio.abc.TaskGroup) -> None:
        while True:
            try:
                stream = await accept(listener)
            except OSError as err:
                self._log_failure(err)
                self._close_longest_idle(CLOSED_ON_ACCEPT_FAILURE)
                await anyio.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            if len(self._open) >= self._max_connections:
                self._close_longest_idle(1)
            if len(self._open) >= self._max_connections:
                self._log_failure("no idle connection")
                await anyio.aclose_forcefully(stream)
                continue
            scope = anyio.CancelScope()
            self._open[scope] = self._idle[scope] = None
            group.start_soon(self._serve_one, stream, scope)

    def _close_longest_idle(self, count: int) -> None:
        for scope in list(self._idle)[:count]:
            del self._open[scope], self._idle[scope]
            scope.cancel()

    def _log_failure(self, reason: object) -> None:
        now = anyio.current_time()
        if now - self._logged_at > LOG_INTERVAL_S:
            self._logged_at = now
            log.error("event=accept_failed open=%d reason=%r", len(self._open), reason)

    async def _serve_one(self, stream: anyio.abc.ByteStream, scope: anyio.CancelScope) -> None:
        def set_idle(idle: bool) -> None:
            if not idle:
                self._idle.pop(scope, None)
            elif scope in self._open:
                self._idle[scope] = None

        try:
            with scope:
                await self._serve(stream, set_idle)
        except Exception:
            log.exception("event=connection_crashed")
        finally:
            self._open.pop(scope, None)
            self._idle.pop(scope, None)
