"""HTTP/1.1 client for one address with a connection pool, based on the httptools parser."""

from __future__ import annotations

import re
from typing import NamedTuple

import anyio
import anyio.abc
import httptools

from dapplewick.errors import DapplewickError
from dapplewick.transport.http import READ_BYTES, STREAM_ERRORS
from dapplewick.types import Seconds

CONNECT_TIMEOUT_S = 2.0
MAX_HEAD_BYTES = 16 * 1024  # status line and headers of a response; the body is not limited
BODILESS_STATUSES = frozenset({204, 304})
TARGET_PATTERN = re.compile(r"[!-~\x80-\xff]+")  # no spaces and no control characters


class HttpError(DapplewickError):
    """No complete response was received; the server may or may not have executed the request."""


class RequestNotSentError(HttpError):
    """The connection could not be established, so the request was not sent."""


class ClientResponse(NamedTuple):
    """A complete response, and whether its connection can be reused."""

    status: int
    body: bytes
    keep_alive: bool


class ResponseParser:
    """Parses the byte stream of one connection into responses, one at a time."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body_parts: list[bytes] = []
        self._head_bytes = 0
        self._head_complete = False
        self._has_body_length = False  # a header gives a length or a transfer encoding
        self._response: ClientResponse | None = None

    def pop_response(self) -> ClientResponse | None:
        """Remove and return the response if it is complete, else return None."""
        response, self._response = self._response, None
        return response

    def feed(self, data: bytes) -> None:
        """Parse bytes received on the connection.

        Raises:
            HttpError: The bytes are not a valid response, or the headers are too long.
        """
        if not self._head_complete:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            raise HttpError(str(err) or type(err).__name__) from None
        if not self._head_complete and self._head_bytes > MAX_HEAD_BYTES:
            raise HttpError("status line and headers are too long")

    def response_at_eof(self) -> ClientResponse:
        """Return the response whose end is the end of the connection (RFC 9112, 6.3).

        Raises:
            HttpError: The connection was closed before the response was complete.
        """
        if not self._head_complete or self._has_body_length:
            raise HttpError("connection closed before the response was complete")
        return ClientResponse(self._parser.get_status_code(), b"".join(self._body_parts), False)

    # Callbacks of httptools.HttpResponseParser

    def on_message_begin(self) -> None:
        """Handle the start of a response."""
        self._body_parts = []
        self._head_complete = self._has_body_length = False

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: ARG002 - set by httptools
        """Handle a header; only the headers that define the end of the body are evaluated."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._has_body_length = True

    def on_headers_complete(self) -> None:
        """Handle the end of the headers."""
        self._head_complete = True
        self._head_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Handle a part of the body."""
        self._body_parts.append(body)

    def on_message_complete(self) -> None:
        """Handle the end of the response.

        Raises:
            HttpError: The previous response has not been popped yet, so no request is open.
        """
        status = self._parser.get_status_code()
        self._head_complete = False
        if status < 200:
            return  # interim response; the final response follows on the connection
        if self._response is not None:
            raise HttpError("unsolicited response")
        # A body of unknown length ends with the connection, so that connection can't be reused.
        length_known = self._has_body_length or status in BODILESS_STATUSES
        keep_alive = length_known and self._parser.should_keep_alive()
        self._response = ClientResponse(status, b"".join(self._body_parts), keep_alive)


class _Connection(NamedTuple):
    stream: anyio.abc.ByteStream
    parser: ResponseParser


class HttpClient:
    """Sends requests to one address and pools at most `max_connections` idle connections."""

    def __init__(self, host: str, port: int, max_connections: int = 16) -> None:
        self._host = host
        self._port = port
        self._idle: list[_Connection] = []
        self._max_connections = max_connections

    async def request(
        self, method: str, target: str, body: bytes | None, timeout_s: Seconds
    ) -> tuple[int, bytes]:
        """Send a request and wait for the complete response.

        Returns:
            The status and the body of the response.

        Raises:
            RequestNotSentError: The connection could not be established.
            HttpError: The target is invalid, or no complete response was received within
                `timeout_s`.
        """
        if not TARGET_PATTERN.fullmatch(target):
            raise HttpError(f"invalid request target: {target!r}")
        try:
            with anyio.fail_after(timeout_s):
                return await self._send_once(method, target, body, timeout_s)
        except TimeoutError:
            raise HttpError("timeout before the response was complete") from None

    async def _connect(self, timeout_s: Seconds) -> _Connection:
        try:
            with anyio.fail_after(min(timeout_s, CONNECT_TIMEOUT_S)):
                stream = await anyio.connect_tcp(self._host, self._port)
        except (OSError, TimeoutError) as err:
            raise RequestNotSentError(str(err) or "connect timeout") from None
        return _Connection(stream, ResponseParser())

    async def _send_once(
        self, method: str, target: str, body: bytes | None, timeout_s: Seconds
    ) -> tuple[int, bytes]:
        connection = self._idle.pop() if self._idle else await self._connect(timeout_s)
        returned_to_pool = False
        try:
            await connection.stream.send(self._request_bytes(method, target, body))
            response = await _read_response(connection)
            if response.keep_alive and len(self._idle) < self._max_connections:
                self._idle.append(connection)
                returned_to_pool = True
            return response.status, response.body
        except STREAM_ERRORS as err:
            raise HttpError(str(err) or type(err).__name__) from None
        finally:
            if not returned_to_pool:
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
        response = connection.parser.pop_response()
        if response is not None:
            return response
        try:
            data = await connection.stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return connection.parser.response_at_eof()
        connection.parser.feed(data)
