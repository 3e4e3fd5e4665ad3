"""Messages between controllers: CBOR frames with their length in front, one way each."""

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

MAX_FRAME_BYTES = 32 * 1024 * 1024  # a status of a shard with 4,000 machines of 100 tasks each
CONNECT_S = 1.0
SEND_S = 3.0
RETRY_S = 0.5


class PeerLink:
    """Sends messages to one peer. Only the newest of each kind waits: they are states."""

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._waiting: dict[str, Any] = {}
        self._wake = anyio.Event()

    def post(self, kind: str, message: dict[str, Any]) -> None:
        """Have a message sent, in place of one of its kind that still waits."""
        self._waiting[kind] = message
        self._wake.set()

    async def ask(self, message: dict[str, Any], timeout_s: Seconds) -> dict[str, Any] | None:
        """Ask for something on a connection of its own; None if no answer comes in time.

        Whatever goes wrong on the way is logged and counts as no answer.
        """
        try:
            with anyio.fail_after(timeout_s):
                stream = await anyio.connect_tcp(self._host, self._port)
                async with stream:
                    await send_frame(stream, message)
                    return await read_frame(stream, bytearray())
        except Exception as err:  # noqa: BLE001 - whatever the peer sends ends nothing here
            log.debug("event=peer_request_failed error=%r", err)
            return None

    async def run(self) -> None:
        """Send what is posted until cancelled; the connection is made anew when it fails."""
        stream: anyio.abc.SocketStream | None = None
        while True:
            if not self._waiting:
                self._wake = anyio.Event()
                await self._wake.wait()
            try:
                if stream is None:
                    with anyio.fail_after(CONNECT_S):
                        stream = await anyio.connect_tcp(self._host, self._port)
                batch, self._waiting = list(self._waiting.values()), {}
                data = b"".join(_encode_frame(message) for message in batch)
                with anyio.fail_after(SEND_S):
                    await stream.send(data)
            except (OSError, TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                # States are sent again by those who own them, so nothing is kept back here.
                if stream is not None:
                    await anyio.aclose_forcefully(stream)
                    stream = None
                await anyio.sleep(RETRY_S)


def _encode_frame(message: dict[str, Any]) -> bytes:
    frame = cbor2.dumps(message)
    return len(frame).to_bytes(4, "big") + frame


async def send_frame(stream: anyio.abc.ByteSendStream, message: dict[str, Any]) -> None:
    """Send one message."""
    await stream.send(_encode_frame(message))


async def read_frame(stream: anyio.abc.ByteReceiveStream, buffer: bytearray) -> dict[str, Any]:
    """Read one message.

    Args:
        stream: the connection.
        buffer: what was received beyond the last message; kept from call to call.

    Raises:
        FrameTooLargeError: the length is out of bounds; nothing more can be read.
        ValueError: the message is no map; the stream is at the next one.
        cbor2.CBORDecodeError: the message is malformed; the stream is at the next one.
    """
    while len(buffer) < 4:
        buffer += await stream.receive(65536)
    size = int.from_bytes(buffer[:4], "big")
    if size > MAX_FRAME_BYTES:
        raise FrameTooLargeError(f"a frame of {size} bytes")
    while len(buffer) < 4 + size:
        buffer += await stream.receive(65536)
    frame = bytes(buffer[4 : 4 + size])
    del buffer[: 4 + size]
    message = cbor2.loads(frame)
    if not isinstance(message, dict):
        raise ValueError("not a map")
    return message


class FrameTooLargeError(DapplewickError, ValueError):
    """The length in front of a frame is out of bounds: the connection can't be read any more."""


async def receive_frames(
    stream: anyio.abc.ByteStream,
    handle: Callable[[dict[str, Any]], Awaitable[dict[str, Any] | None]],
) -> None:
    """Read one peer's messages, and answer those that have an answer.

    A malformed message is logged and ends nothing else.

    Args:
        stream: the connection, which is closed in the end.
        handle: gives the answer to a message, or None.
    """
    buffer = bytearray()
    async with stream:
        while True:
            try:
                answer = await handle(await read_frame(stream, buffer))
                if answer is not None:
                    with anyio.fail_after(SEND_S):
                        await send_frame(stream, answer)
            except (
                OSError,
                TimeoutError,
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                return
            except Exception as err:  # noqa: BLE001 - whatever the peer sends ends nothing else
                log.error("event=peer_message_malformed reason=malformed error=%r", err)
                if isinstance(err, FrameTooLargeError):
                    return
