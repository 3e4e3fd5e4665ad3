"""A byte stream for accepted connections.

It keeps the contract of anyio's streams. anyio's own for sockets stops reading after each
message and starts again for the next, which is four system calls and a turn of the event loop
more for every heartbeat of every worker; this one reads on, up to a bounded buffer.
"""

from __future__ import annotations

import asyncio
import socket
from typing import cast

import anyio
import anyio.abc

LINGER_S = 5.0  # a closed stream goes on this long with what was sent before
MAX_READ_BUFFER_BYTES = 256 * 1024  # more than this is left in the socket until it is asked for


class SocketStream(asyncio.Protocol, anyio.abc.ByteStream):
    """One accepted connection."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._read = bytearray()
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None
        self._full = False  # reading is stopped
        self._ended = False  # the other side sends no more
        self._lost = False
        self._closed = False

    # What the event loop calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is there."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Bytes came; beyond MAX_READ_BUFFER_BYTES of them reading stops."""
        self._read += data
        if (
            len(self._read) > MAX_READ_BUFFER_BYTES
            and not self._full
            and self._transport is not None
        ):
            self._full = True
            self._transport.pause_reading()
        _wake(self._reader)

    def eof_received(self) -> bool:
        """The other side sends no more; this one may go on sending."""
        self._ended = True
        _wake(self._reader)
        return True

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's call
        """The connection is gone."""
        self._lost = True
        _wake(self._reader)
        _wake(self._writer)

    def pause_writing(self) -> None:
        """The other side takes nothing now: senders wait."""
        self._writer = self._loop.create_future()

    def resume_writing(self) -> None:
        """The other side takes more: senders go on."""
        _wake(self._writer)
        self._writer = None

    # What users of the stream call

    def _check(self) -> None:
        if self._closed:
            raise anyio.ClosedResourceError
        if self._lost:
            raise anyio.BrokenResourceError

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Receive at least one byte.

        Raises:
            anyio.EndOfStream: the other side sends no more.
            anyio.ClosedResourceError: this side has closed the stream.
            anyio.BrokenResourceError: the connection is lost.
        """
        while not self._read:
            if self._ended:
                raise anyio.EndOfStream
            self._check()
            self._reader = self._loop.create_future()
            try:
                await self._reader
            finally:
                self._reader = None
        data = bytes(self._read[:max_bytes])
        del self._read[:max_bytes]
        if self._full and not self._read and self._transport is not None:
            self._full = False
            if not self._transport.is_closing():
                self._transport.resume_reading()
        return data

    async def send(self, item: bytes) -> None:
        """Send bytes; waits while the other side takes nothing.

        Raises:
            anyio.ClosedResourceError: this side has closed the stream.
            anyio.BrokenResourceError: the connection is lost.
        """
        self._check()
        assert self._transport is not None
        self._transport.write(item)
        if self._writer is not None:
            await self._writer
            self._check()

    async def send_eof(self) -> None:
        """Say that nothing more is sent."""
        self._check()
        assert self._transport is not None
        self._transport.write_eof()

    async def aclose(self) -> None:
        """Close the connection, at once if nothing is left to be sent."""
        self._closed = True
        if self._transport is None:
            return
        if self._transport.get_write_buffer_size():
            # What was sent still goes out, if the other side takes it.
            self._transport.close()
            self._loop.call_later(LINGER_S, self._transport.abort)
        else:
            self._transport.abort()


def _wake(future: asyncio.Future[None] | None) -> None:
    if future is not None and not future.done():
        future.set_result(None)


async def accept(listener: anyio.abc.SocketListener) -> SocketStream:
    """The next connection of a listener.

    Raises:
        OSError: none can be had.
    """
    loop = asyncio.get_running_loop()
    raw, _ = await loop.sock_accept(listener.extra(anyio.abc.SocketAttribute.raw_socket))
    try:
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        raw.close()
        raise
    _, stream = await loop.connect_accepted_socket(SocketStream, raw)
    return stream
