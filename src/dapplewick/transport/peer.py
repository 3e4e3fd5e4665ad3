"""Messages between controllers: CBOR frames with their length in front, one way each."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
import cbor2

log = logging.getLogger("dapplewick.peer")

MAX_FRAME = 4 * 1024 * 1024
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
        self._waiting[kind] = message
        self._wake.set()

    async def run(self) -> None:
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
                data = b""
                for message in batch:
                    frame = cbor2.dumps(message)
                    data += len(frame).to_bytes(4, "big") + frame
                with anyio.fail_after(SEND_S):
                    await stream.send(data)
            except (OSError, TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                # States are sent again by those who own them, so nothing is kept back here.
                if stream is not None:
                    await anyio.aclose_forcefully(stream)
                    stream = None
                await anyio.sleep(RETRY_S)


async def receive_frames(
    stream: anyio.abc.ByteStream, handle: Callable[[dict[str, Any]], None]
) -> None:
    """Read one peer's messages. A malformed one is logged and ends only its connection."""
    buffer = bytearray()
    async with stream:
        while True:
            try:
                buffer += await stream.receive(65536)
            except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
                return
            while len(buffer) >= 4:
                size = int.from_bytes(buffer[:4], "big")
                if size > MAX_FRAME:
                    log.error("event=peer_refused reason=frame_too_large size=%d", size)
                    return
                if len(buffer) < 4 + size:
                    break
                frame = bytes(buffer[4 : 4 + size])
                del buffer[: 4 + size]
                try:
                    message = cbor2.loads(frame)
                    if not isinstance(message, dict):
                        raise ValueError("not a map")
                    handle(message)
                except Exception as err:
                    log.error("event=peer_refused reason=malformed error=%r", err)
