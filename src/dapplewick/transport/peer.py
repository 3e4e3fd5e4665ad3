"""Messages between controllers: length-prefixed CBOR frames over TCP."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
import cbor2

from dapplewick.errors import DapplewickError
from dapplewick.types import Seconds

log = logging.getLogger(__name__)

# Large enough for the status of a shard with 4,000 machines of 100 tasks each
MAX_FRAME_BYTES = 32 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0
SEND_TIMEOUT_S = 3.0
RECONNECT_DELAY_S = 0.5


class PeerLink:
    """Sends messages to one peer.

    Only the newest message of each kind is queued: a message carries complete state, so it
    supersedes the earlier ones of its kind.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._pending: dict[str, Any] = {}
        self._wake = anyio.Event()

    def post(self, kind: str, message: dict[str, Any]) -> None:
        """Queue a message; it replaces an unsent message of the same kind."""
        self._pending[kind] = message
        self._wake.set()

    async def request(self, message: dict[str, Any], timeout_s: Seconds) -> dict[str, Any] | None:
        """Send a request on a new connection and return the reply.

        Returns:
            The reply; None if the request fails or times out, and the error is logged.
        """
        try:
            with anyio.fail_after(timeout_s):
                stream = await anyio.connect_tcp(self._host, self._port)
                async with stream:
                    await send_frame(stream, message)
                    return await read_frame(stream, bytearray())
        except Exception as err:  # noqa: BLE001 - no reply of a peer may crash the caller
            log.debug("event=peer_request_failed error=%r", err)
            return None

    async def run(self) -> None:
        """Send queued messages until cancelled; reconnect when the connection fails."""
        stream: anyio.abc.SocketStream | None = None
        while True:
            if not self._pending:
                self._wake = anyio.Event()
                await self._wake.wait()
            try:
                if stream is None:
                    with anyio.fail_after(CONNECT_TIMEOUT_S):
                        stream = await anyio.connect_tcp(self._host, self._port)
                batch, self._pending = list(self._pending.values()), {}
                data = b"".join(_encode_frame(message) for message in batch)
                with anyio.fail_after(SEND_TIMEOUT_S):
                    await stream.send(data)
            except (OSError, TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                # The unsent batch is dropped: senders post their current state periodically.
                if stream is not None:
                    await anyio.aclose_forcefully(stream)
                    stream = None
                await anyio.sleep(RECONNECT_DELAY_S)


def _encode_frame(message: dict[str, Any]) -> bytes:
    frame = cbor2.dumps(message)
    return len(frame).to_bytes(4, "big") + frame


async def send_frame(stream: anyio.abc.ByteSendStream, message: dict[str, Any]) -> None:
    """Send one message."""
    await stream.send(_encode_frame(message))


async def read_frame(stream: anyio.abc.ByteReceiveStream, buffer: bytearray) -> dict[str, Any]:
    """Read one message.

    Args:
        stream: The connection.
        buffer: Bytes received after the previous message. The caller passes the same buffer to
            each call for a connection.

    Raises:
        FrameTooLargeError: The frame length exceeds the limit; the stream can't be read further.
        ValueError: The message is not a map; the next call reads the next message.
        cbor2.CBORDecodeError: The message is not valid CBOR; the next call reads the next message.
    """
    while len(buffer) < 4:
        buffer += await stream.receive(65536)
    size = int.from_bytes(buffer[:4], "big")
    if size > MAX_FRAME_BYTES:
        raise FrameTooLargeError(f"frame of {size} bytes exceeds the size limit")
    while len(buffer) < 4 + size:
        buffer += await stream.receive(65536)
    frame = bytes(buffer[4 : 4 + size])
    del buffer[: 4 + size]
    message = cbor2.loads(frame)
    if not isinstance(message, dict):
        raise ValueError("expected a CBOR map")
    return message


class FrameTooLargeError(DapplewickError, ValueError):
    """The length prefix of a frame exceeds the limit; the stream can't be read further."""


async def receive_frames(
    stream: anyio.abc.ByteStream,
    handle: Callable[[dict[str, Any]], Awaitable[dict[str, Any] | None]],
) -> None:
    """Read the messages of one peer until its connection ends, and send the replies.

    An invalid message, or one whose handler raises, is logged and skipped. A frame above the size
    limit closes the connection.

    Args:
        stream: The connection; it is closed on return.
        handle: Handles a message and returns the reply, or None for no reply.
    """
    buffer = bytearray()
    async with stream:
        while True:
            try:
                reply = await handle(await read_frame(stream, buffer))
                if reply is not None:
                    with anyio.fail_after(SEND_TIMEOUT_S):
                        await send_frame(stream, reply)
            except (
                OSError,
                TimeoutError,
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                return
            except Exception as err:  # noqa: BLE001 - no message of a peer may crash the process
                log.error("event=peer_message_malformed reason=malformed error=%r", err)
                if isinstance(err, FrameTooLargeError):
                    return
