"""Byte stream for accepted connections, compatible with anyio's `ByteStream`.

anyio's own socket stream pauses reading after each message and resumes for the next one, which
costs four system calls and one event loop iteration more for each worker heartbeat. This stream
keeps reading into a bounded buffer.
"""

from __future__ import annotations

import asyncio
import socket
from typing import cast

import anyio
import anyio.abc

LINGER_TIMEOUT_S = 5.0  # how long a closed stream may take to send its buffered data
MAX_READ_BUFFER_BYTES = 256 * 1024  # reading pauses above this size, until the buffer is empty


class SocketStream(asyncio.Protocol, anyio.abc.ByteStream):
    """One accepted connection."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._read_waiter: asyncio.Future[None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._reading_paused = False
        self._eof_received = False  # the peer sends no more data
        self._connection_lost = False
        self._closed = False

    # Callbacks of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes; pause reading above MAX_READ_BUFFER_BYTES."""
        self._buffer += data
        if (
            len(self._buffer) > MAX_READ_BUFFER_BYTES
            and not self._reading_paused
            and self._transport is not None
        ):
            self._reading_paused = True
            self._transport.pause_reading()
        _wake(self._read_waiter)

    def eof_received(self) -> bool:
        """Handle the end of the peer's data; True keeps the connection open for sending."""
        self._eof_received = True
        _wake(self._read_waiter)
        return True

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - set by asyncio
        """Handle the loss of the connection: wake the waiting receiver and sender."""
        self._connection_lost = True
        _wake(self._read_waiter)
        _wake(self._write_waiter)

    def pause_writing(self) -> None:
        """Make senders wait: the write buffer is full because the peer reads too slowly."""
        self._write_waiter = self._loop.create_future()

    def resume_writing(self) -> None:
        """Wake the waiting sender: the write buffer has drained."""
        _wake(self._write_waiter)
        self._write_waiter = None

    # Interface of anyio.abc.ByteStream

    def _check_open(self) -> None:
        if self._closed:
            raise anyio.ClosedResourceError
        if self._connection_lost:
            raise anyio.BrokenResourceError

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Receive between one and `max_bytes` bytes; wait until data is available.

        Raises:
            anyio.EndOfStream: The peer has ended its data, and all of it has been received.
            anyio.ClosedResourceError: `aclose` has been called.
            anyio.BrokenResourceError: The connection is lost.
        """
        while not self._buffer:
            if self._eof_received:
                raise anyio.EndOfStream
            self._check_open()
            self._read_waiter = self._loop.create_future()
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None
        data = bytes(self._buffer[:max_bytes])
        del self._buffer[:max_bytes]
        if self._reading_paused and not self._buffer and self._transport is not None:
            self._reading_paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()
        return data

    async def send(self, item: bytes) -> None:
        """Send bytes; wait while the write buffer is full.

        Raises:
            anyio.ClosedResourceError: `aclose` has been called.
            anyio.BrokenResourceError: The connection is lost.
        """
        self._check_open()
        assert self._transport is not None
        self._transport.write(item)
        if self._write_waiter is not None:
            await self._write_waiter
            self._check_open()

    async def send_eof(self) -> None:
        """Signal to the peer that this side sends no more data."""
        self._check_open()
        assert self._transport is not None
        self._transport.write_eof()

    async def aclose(self) -> None:
        """Close the connection; buffered data that is not sent within LINGER_TIMEOUT_S is lost."""
        self._closed = True
        if self._transport is None:
            return
        if self._transport.get_write_buffer_size():
            # `close` sends the buffered data first; `abort` limits the time that this may take.
            self._transport.close()
            self._loop.call_later(LINGER_TIMEOUT_S, self._transport.abort)
        else:
            self._transport.abort()


def _wake(future: asyncio.Future[None] | None) -> None:
    if future is not None and not future.done():
        future.set_result(None)


async def accept(listener: anyio.abc.SocketListener) -> SocketStream:
    """Accept the next connection of a listener.

    Raises:
        OSError: No file descriptor is left, or the connection failed already.
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
