"""An HTTP/1.1 client for one address, with kept connections, over httptools' parser."""

from __future__ import annotations

import re
from typing import NamedTuple

import anyio
import anyio.abc
import httptools

from dapplewick.errors import DapplewickError
from dapplewick.transport.http import READ_BYTES, STREAM_ERRORS
from dapplewick.types import Seconds

CONNECT_S = 2.0
MAX_HEAD_BYTES = 16 * 1024  # of a response; its body may be as long as it takes
BODILESS = frozenset({204, 304})
TARGET = re.compile(r"[!-~\x80-\xff]+")  # no spaces and no control characters


class HttpError(DapplewickError):
    """No whole response came: the request may or may not have been carried out."""


class RequestNotSentError(HttpError):
    """No connection could be made: the request was not sent."""


class ClientResponse(NamedTuple):
    """A whole response, and whether its connection can be used again."""

    status: int
    body: bytes
    keep_alive: bool


class ResponseParser:
    """Reads one response at a time from the bytes of a connection."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._parts: list[bytes] = []
        self._head_bytes = 0
        self._head_complete = False
        self._framed = False  # the length of the body is known from the head
        self._response: ClientResponse | None = None

    def take(self) -> ClientResponse | None:
        """Take the response, once it is whole; None before."""
        response, self._response = self._response, None
        return response

    def feed(self, data: bytes) -> None:
        """Parse bytes that came on the connection.

        Raises:
            HttpError: they are no response.
        """
        if not self._head_complete:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            raise HttpError(str(err) or type(err).__name__) from None
        if not self._head_complete and self._head_bytes > MAX_HEAD_BYTES:
            raise HttpError("the head is too long")

    def end(self) -> ClientResponse:
        """The connection was closed: a body without a length ends with it (RFC 9112, 6.3).

        Raises:
            HttpError: the response is not whole.
        """
        if not self._head_complete or self._framed:
            raise HttpError("closed")
        return ClientResponse(self._parser.get_status_code(), b"".join(self._parts), False)

    # What the parser calls

    def on_message_begin(self) -> None:
        """A response begins."""
        self._parts = []
        self._head_complete = self._framed = False

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: ARG002 - the parser's call
        """A header came; only what says where the body ends matters here."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._framed = True

    def on_headers_complete(self) -> None:
        """The head is complete."""
        self._head_complete = True
        self._head_bytes = 0

    def on_body(self, body: bytes) -> None:
        """A piece of the body came."""
        self._parts.append(body)

    def on_message_complete(self) -> None:
        """The response is complete.

        Raises:
            HttpError: one that was not taken yet is there already.
        """
        status = self._parser.get_status_code()
        self._head_complete = False
        if status < 200:
            return  # an interim response: the final one follows
        if self._response is not None:
            raise HttpError("an answer that nobody asked for")
        # A body without a length ends where the connection does.
        lasting = self._framed or status in BODILESS
        keep_alive = lasting and self._parser.should_keep_alive()
        self._response = ClientResponse(status, b"".join(self._parts), keep_alive)


class _Connection(NamedTuple):
    stream: anyio.abc.ByteStream
    parser: ResponseParser


class HttpClient:
    """Requests to one address over kept connections, of which at most `max_connections` idle."""

    def __init__(self, host: str, port: int, max_connections: int = 16) -> None:
        self._host = host
        self._port = port
        self._idle: list[_Connection] = []
        self._max_connections = max_connections

    async def request(
        self, method: str, target: str, body: bytes | None, timeout_s: Seconds
    ) -> tuple[int, bytes]:
        """Send a request and wait for the whole response; gives its status and body.

        Raises:
            RequestNotSentError: no connection could be made.
            HttpError: no whole response came within `timeout_s`.
        """
        if not TARGET.fullmatch(target):
            raise HttpError(f"not a request target: {target!r}")
        try:
            with anyio.fail_after(timeout_s):
                return await self._once(method, target, body, timeout_s)
        except TimeoutError:
            raise HttpError("timeout") from None

    async def _connect(self, timeout_s: Seconds) -> _Connection:
        try:
            with anyio.fail_after(min(timeout_s, CONNECT_S)):
                stream = await anyio.connect_tcp(self._host, self._port)
        except (OSError, TimeoutError) as err:
            raise RequestNotSentError(str(err) or "connect timeout") from None
        return _Connection(stream, ResponseParser())

    async def _once(
        self, method: str, target: str, body: bytes | None, timeout_s: Seconds
    ) -> tuple[int, bytes]:
        connection = self._idle.pop() if self._idle else await self._connect(timeout_s)
        kept = False
        try:
            await connection.stream.send(self._request_bytes(method, target, body))
            response = await _read_response(connection)
            if response.keep_alive and len(self._idle) < self._max_connections:
                self._idle.append(connection)
                kept = True
            return response.status, response.body
        except STREAM_ERRORS as err:
            raise HttpError(str(err) or type(err).__name__) from None
        finally:
            if not kept:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(connection.stream)

    def _request_bytes(self, method: str, target: str, body: bytes | None) -> bytes:
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self._host}"]
        if body is not None:
            lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        return head + (body or b"")


async def _read_response(connection: _Connection) -> ClientResponse:
    while True:
        response = connection.parser.take()
        if response is not None:
            return response
        try:
            data = await connection.stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return connection.parser.end()
        connection.parser.feed(data)
