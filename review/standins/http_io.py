"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

Answer = tuple[int, Any]
MAX_HEAD = 64 * 1024
MAX_LINE = 64 * 1024  # "must not hold any line longer than 64 KiB" (PROTOCOL)


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read a request or a response: the first line, the headers and the body."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in rest:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        body = await reader.readexactly(length)
    return first, headers, body


async def serve(port: int, handle: Callable[[str, str, bytes], Awaitable[Answer]]) -> Any:
    """Serve requests on a loopback port; `handle` gets the method, the target and the body."""

    async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                first, _, body = message
                method, target, _ = first.split(" ", 2)
                status, value = await handle(method, target, body)
                data = json.dumps(value, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    return await asyncio.start_server(connection, "127.0.0.1", port, limit=MAX_HEAD)


class Client:
    """One connection to one address, which is opened again when it has ended."""

    def __init__(self, port: int) -> None:
        self.port = port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(
        self, method: str, target: str, value: Any = None, within_s: float = 5.0
    ) -> tuple[int, Any, bytes]:
        """Send a request; status 0 without a complete response in time.

        Returns:
            The status, the decoded body and the body as it was received.
        """
        try:
            async with asyncio.timeout(within_s):
                return await self._request(method, target, value)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return 0, {}, b""

    async def _request(self, method: str, target: str, value: Any) -> tuple[int, Any, bytes]:
        if self._streams is None:
            self._streams = await asyncio.open_connection("127.0.0.1", self.port, limit=MAX_HEAD)
        reader, writer = self._streams
        data = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
        writer.write(
            f"{method} {target} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n".encode()
            + data
        )
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            raise ConnectionResetError
        first, headers, body = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), json.loads(body) if body else {}, body

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
