"""Accepting connections within a limit of sockets."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
from anyio.streams.stapled import MultiListener

from dapplewick.transport.stream import accept
from dapplewick.types import NEVER_S

log = logging.getLogger(__name__)

PAUSE_S = 0.05  # after an accept that failed
LOG_INTERVAL_S = 10.0  # such failures are logged at most this often
GIVEN_UP = 8  # connections given up when there is no socket left

IdleCallback = Callable[[bool], None]  # whether a connection waits for its next request
Serve = Callable[[anyio.abc.ByteStream, IdleCallback], Awaitable[None]]


class ConnectionAcceptor:
    """Serves the connections that a listener accepts, at most `max_connections` at a time.

    Beyond that the connections that were idle for longest are given up: half-open ones behind
    a network partition are among them. If none is idle, the new one is closed at once. An accept
    that fails, for want of sockets or because the other side is gone already, ends nothing.
    """

    def __init__(self, max_connections: int, serve: Serve) -> None:
        self._max_connections = max_connections
        self._serve = serve
        self._open: dict[anyio.CancelScope, None] = {}
        self._idle: dict[anyio.CancelScope, None] = {}  # the one idle for longest first
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
                self._give_up(GIVEN_UP)
                await anyio.sleep(PAUSE_S)
                continue
            if len(self._open) >= self._max_connections:
                self._give_up(1)
            if len(self._open) >= self._max_connections:
                self._log_failure("no idle connection")
                await anyio.aclose_forcefully(stream)
                continue
            scope = anyio.CancelScope()
            self._open[scope] = self._idle[scope] = None
            group.start_soon(self._serve_one, stream, scope)

    def _give_up(self, count: int) -> None:
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
