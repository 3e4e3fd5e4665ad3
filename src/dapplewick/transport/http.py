"""HTTP/1.1 server for accepted connections, based on the httptools parser.

Each worker sends a heartbeat every few seconds and on each state change, and the HTTP handling is
most of the cost of a heartbeat. httptools parses in C: parsing one heartbeat and building its
response takes 3 us; h11, which is written in Python, takes 75 to 90 us.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Awaitable, Callable
from functools import lru_cache
from typing import NamedTuple

import anyio
import anyio.abc
import httptools

from dapplewick.errors import DapplewickError
from dapplewick.transport.listen import IdleCallback

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024  # request line and headers; httptools limits neither
# Limit of a request body as sent, including chunk sizes and trailers. A body sent in 1-byte chunks
# takes six times its length. httptools buffers a whole trailer, and an endless trailer filled the
# memory of a controller.
MAX_ENCODED_BODY_BYTES = 8 * MAX_BODY_BYTES
MAX_PIPELINED_REQUESTS = 16  # complete requests of one connection that await handling
READ_BYTES = 64 * 1024
IDLE_TIMEOUT_S = 150.0
IDLE_DEADLINE_STEP_S = 10.0  # the idle deadline is extended at most this often
ERROR_RESPONSE_TIMEOUT_S = 1.0  # for sending the response to a malformed request
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
STREAM_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)


class Request(NamedTuple):
    """One HTTP request.

    Attributes:
        method: The method as received, for example GET.
        target: The path and query as received.
        body: At most MAX_BODY_BYTES bytes; empty if `too_large`.
        too_large: Whether the body exceeded MAX_BODY_BYTES; the excess is not read.
        keep_alive: Whether the connection stays open after the response.
    """

    method: str
    target: str
    body: bytes
    too_large: bool
    keep_alive: bool = True


class Response(NamedTuple):
    """An HTTP response; `retry_after` is the value of the Retry-After header in seconds."""

    status: int
    body: bytes = b"{}"
    retry_after: int | None = None


Handler = Callable[[Request], Awaitable[Response]]


class MalformedRequestError(DapplewickError):
    """The received bytes are not a valid HTTP request, or exceed a size or pipelining limit.

    The server sends a 400 response and closes the connection.
    """


class RequestParser:
    """Parses the byte stream of one connection into requests."""

    def __init__(self) -> None:
        self._requests: deque[Request] = deque()
        self._parser = httptools.HttpRequestParser(self)
        self._head_bytes = 0  # received outside a body since the last complete head or request
        self._encoded_bytes = 0  # received for the current body, as encoded on the connection
        self._in_body = False
        self._stopped = False  # further bytes of this connection are ignored
        self._error = ""
        self.expects_continue = False  # the client awaits "100 Continue" before it sends the body
        self._reset_request()

    def _reset_request(self) -> None:
        self._target_parts: list[bytes] = []
        self._body_parts: list[bytes] = []
        self._body_bytes = 0

    def pop_request(self) -> Request | None:
        """Remove and return the oldest complete request; None if no request is complete yet.

        Raises:
            MalformedRequestError: Parsing failed, and all requests that were complete before the
                failure have already been returned.
        """
        if self._requests:
            return self._requests.popleft()
        if self._error:
            raise MalformedRequestError(self._error)
        return None

    def feed(self, data: bytes) -> None:
        """Parse bytes received on the connection."""
        if self._stopped:
            return
        if self._in_body:
            self._encoded_bytes += len(data)
        else:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Protocol upgrades are not supported: the request is answered over HTTP/1.1, then the
            # connection is closed.
            self._stopped = True
            self._requests[-1] = self._requests[-1]._replace(keep_alive=False)
        except httptools.HttpParserError as err:
            self._fail(str(err))
        if not self._in_body and self._head_bytes > MAX_HEAD_BYTES:
            self._fail("request line and headers are too long")
        if self._in_body and self._encoded_bytes > MAX_ENCODED_BODY_BYTES:
            self._fail("encoded body is too long")
        if len(self._requests) > MAX_PIPELINED_REQUESTS:
            self._fail("too many pipelined requests")
            while len(self._requests) > MAX_PIPELINED_REQUESTS:
                self._requests.pop()

    def _fail(self, reason: str) -> None:
        self._stopped = True
        self._error = self._error or reason

    # Callbacks of httptools.HttpRequestParser

    def on_message_begin(self) -> None:
        """Handle the start of a request."""
        self._reset_request()

    def on_url(self, url: bytes) -> None:
        """Handle a part of the request target."""
        self._target_parts.append(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header; only `Expect: 100-continue` (RFC 9110, 10.1.1) is evaluated."""
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            self.expects_continue = True

    def on_headers_complete(self) -> None:
        """Handle the end of the headers."""
        self._in_body = True
        self._head_bytes = self._encoded_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Handle a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes <= MAX_BODY_BYTES:
            self._body_parts.append(body)
        elif not self._stopped:
            # The remaining body is not read: the response is sent at once, then the connection is
            # closed.
            self._stopped = True
            self._body_parts.clear()
            self._add_request(too_large=True)

    def on_message_complete(self) -> None:
        """Handle the end of the request."""
        self._in_body = False
        self._head_bytes = 0
        self.expects_continue = False
        if not self._stopped:
            self._add_request(too_large=False)

    def _add_request(self, *, too_large: bool) -> None:
        self._requests.append(
            Request(
                self._parser.get_method().decode("ascii"),
                b"".join(self._target_parts).decode("latin-1"),
                b"".join(self._body_parts),
                too_large,
                self._parser.should_keep_alive() and not too_large,
            )
        )


@lru_cache(maxsize=512)
def _response_head(status: int, length: int, retry_after: int | None, close: bool) -> bytes:
    lines = [
        f"HTTP/1.1 {status} ",
        "Content-Type: application/json",
        f"Content-Length: {length}",
    ]
    if retry_after is not None:
        lines.append(f"Retry-After: {retry_after}")
    if close:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("ascii")


def response_bytes(response: Response, *, close: bool = False, head_only: bool = False) -> bytes:
    """Encode a response; without its body if `head_only`, as for a HEAD request."""
    head = _response_head(response.status, len(response.body), response.retry_after, close)
    return head if head_only else head + response.body


def _ignore_idle(_idle: bool) -> None:
    """Default idle callback of `serve_connection`, which does nothing."""


async def serve_connection(
    stream: anyio.abc.ByteStream, handler: Handler, set_idle: IdleCallback = _ignore_idle
) -> None:
    """Serve one connection until it is closed; protocol and connection errors are not raised.

    Args:
        stream: The connection; it is closed on return.
        handler: Handles one request; the client receives a 503 response if the handler raises.
        set_idle: Called with True when the connection starts to wait for its next request, and
            with False when a request is received.
    """
    async with stream:
        with anyio.CancelScope(deadline=anyio.current_time() + IDLE_TIMEOUT_S) as scope:
            try:
                await _serve_requests(stream, handler, scope, set_idle)
            except MalformedRequestError as err:
                log.debug("event=request_malformed error=%s", err)
                await _send_bad_request(stream)
            except STREAM_ERRORS:
                return


async def _send_bad_request(stream: anyio.abc.ByteStream) -> None:
    response = Response(400, b'{"error":"malformed request"}')
    with anyio.move_on_after(ERROR_RESPONSE_TIMEOUT_S):
        try:
            await stream.send(response_bytes(response, close=True))
        except STREAM_ERRORS:
            return


async def _next_request(parser: RequestParser, stream: anyio.abc.ByteStream) -> Request:
    """Receive the next request.

    Raises:
        MalformedRequestError: The received bytes are not a valid request.
        anyio.EndOfStream: The client closed the connection.
    """
    while True:
        request = parser.pop_request()
        if request is not None:
            return request
        if parser.expects_continue:
            parser.expects_continue = False
            await stream.send(CONTINUE_RESPONSE)
        parser.feed(await stream.receive(READ_BYTES))


async def _serve_requests(
    stream: anyio.abc.ByteStream, handler: Handler, scope: anyio.CancelScope, set_idle: IdleCallback
) -> None:
    parser = RequestParser()
    while True:
        request = await _next_request(parser, stream)
        set_idle(False)
        now = anyio.current_time()
        if scope.deadline - now < IDLE_TIMEOUT_S - IDLE_DEADLINE_STEP_S:
            scope.deadline = now + IDLE_TIMEOUT_S
        try:
            response = await handler(request)
        except Exception:
            log.exception("event=request_handler_crashed target=%s", request.target)
            response = Response(503, b'{"error":"internal"}', 1)
        close, head_only = not request.keep_alive, request.method == "HEAD"
        await stream.send(response_bytes(response, close=close, head_only=head_only))
        set_idle(True)
        if close:
            return
