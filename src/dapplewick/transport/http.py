"""An HTTP/1.1 server for accepted connections, over httptools' parser.

Each worker sends a heartbeat every few seconds and at each change, so what a request costs here is
most of what a heartbeat costs. httptools parses in C: a heartbeat's head and body and its response
take 3 us, with h11, which is written in Python, 75 to 90 us.
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
MAX_HEAD_BYTES = 16 * 1024  # request line and headers; the parser itself bounds neither
# A body with its chunk lengths and trailers. In chunks of a byte it takes six times its length. The
# parser keeps a trailer whole, and one without an end filled a controller's memory.
MAX_ENCODED_BODY_BYTES = 8 * MAX_BODY_BYTES
MAX_PIPELINED_REQUESTS = 16  # requests that a client sends without waiting for responses
READ_BYTES = 64 * 1024
IDLE_S = 150.0
IDLE_STEP_S = 10.0  # the end of an idle connection is put off at most this often
REFUSAL_S = 1.0  # for the response to a malformed request
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
STREAM_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
)


class Request(NamedTuple):
    """One request.

    Attributes:
        method: as it came, like GET.
        target: path and query, as they came.
        body: at most MAX_BODY_BYTES bytes.
        too_large: whether the body was longer, and not read to the end.
        keep_alive: whether the connection is used again after the response.
    """

    method: str
    target: str
    body: bytes
    too_large: bool
    keep_alive: bool = True


class Response(NamedTuple):
    """A response to a request; a refusal may say after how many seconds to come back."""

    status: int
    body: bytes = b"{}"
    retry_after: int | None = None


Handler = Callable[[Request], Awaitable[Response]]


class MalformedRequestError(DapplewickError):
    """What came is no HTTP request or has too long a head: a 400, and the connection ends."""


class RequestParser:
    """Cuts the bytes of one connection into requests."""

    def __init__(self) -> None:
        self._requests: deque[Request] = deque()
        self._parser = httptools.HttpRequestParser(self)
        self._head_bytes = 0  # fed since the last request or head was complete
        self._encoded_bytes = 0  # fed of the present body
        self._in_body = False
        self._ended = False  # nothing more is parsed on this connection
        self._error = ""
        self.wants_continue = False  # the client waits for leave to send its body
        self._begin()

    def _begin(self) -> None:
        self._url: list[bytes] = []
        self._parts: list[bytes] = []
        self._size = 0

    def pop_request(self) -> Request | None:
        """Take the next request that is complete; None if there is none yet.

        Raises:
            MalformedRequestError: all requests that came before what can't be parsed were taken.
        """
        if self._requests:
            return self._requests.popleft()
        if self._error:
            raise MalformedRequestError(self._error)
        return None

    def feed(self, data: bytes) -> None:
        """Parse bytes that came on the connection."""
        if self._ended:
            return
        if self._in_body:
            self._encoded_bytes += len(data)
        else:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Another protocol is offered, and not taken up: the request itself is answered.
            self._ended = True
            self._requests[-1] = self._requests[-1]._replace(keep_alive=False)
        except httptools.HttpParserError as err:
            self._fail(str(err))
        if not self._in_body and self._head_bytes > MAX_HEAD_BYTES:
            self._fail("the head is too long")
        if self._in_body and self._encoded_bytes > MAX_ENCODED_BODY_BYTES:
            self._fail("the body is too long for what it says")
        if len(self._requests) > MAX_PIPELINED_REQUESTS:
            self._fail("too many requests at once")
            while len(self._requests) > MAX_PIPELINED_REQUESTS:
                self._requests.pop()

    def _fail(self, reason: str) -> None:
        self._ended = True
        self._error = self._error or reason

    # What the parser calls

    def on_message_begin(self) -> None:
        """A request begins."""
        self._begin()

    def on_url(self, url: bytes) -> None:
        """A piece of the target came."""
        self._url.append(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header came; of all only one matters here (RFC 9110, 10.1.1)."""
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            self.wants_continue = True

    def on_headers_complete(self) -> None:
        """The head is complete."""
        self._in_body = True
        self._head_bytes = self._encoded_bytes = 0

    def on_body(self, body: bytes) -> None:
        """A piece of the body came."""
        self._size += len(body)
        if self._size <= MAX_BODY_BYTES:
            self._parts.append(body)
        elif not self._ended:
            # The rest is not read: the response goes out at once and the connection ends.
            self._ended = True
            self._parts.clear()
            self._complete(too_large=True)

    def on_message_complete(self) -> None:
        """The request is complete."""
        self._in_body = False
        self._head_bytes = 0
        self.wants_continue = False
        if not self._ended:
            self._complete(too_large=False)

    def _complete(self, *, too_large: bool) -> None:
        self._requests.append(
            Request(
                self._parser.get_method().decode("ascii"),
                b"".join(self._url).decode("latin-1"),
                b"".join(self._parts),
                too_large,
                self._parser.should_keep_alive() and not too_large,
            )
        )


@lru_cache(maxsize=512)
def _head(status: int, length: int, retry_after: int | None, close: bool) -> bytes:
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
    """A response as it is sent; a HEAD request gets no body."""
    head = _head(response.status, len(response.body), response.retry_after, close)
    return head if head_only else head + response.body


def _ignore_idle(_idle: bool) -> None:
    """For connections of which nobody needs to know whether they are idle."""


async def serve_connection(
    stream: anyio.abc.ByteStream, handler: Handler, set_idle: IdleCallback = _ignore_idle
) -> None:
    """Serve one connection until it ends; what is broken on it ends nothing else.

    Args:
        stream: the connection, which is closed in the end.
        handler: answers requests; if it raises, the client gets a 503.
        set_idle: called with whether the next request is waited for.
    """
    async with stream:
        with anyio.CancelScope(deadline=anyio.current_time() + IDLE_S) as scope:
            try:
                await _serve(stream, handler, scope, set_idle)
            except MalformedRequestError as err:
                log.debug("event=request_malformed error=%s", err)
                await _refuse(stream)
            except STREAM_ERRORS:
                return


async def _refuse(stream: anyio.abc.ByteStream) -> None:
    response = Response(400, b'{"error":"malformed request"}')
    with anyio.move_on_after(REFUSAL_S):
        try:
            await stream.send(response_bytes(response, close=True))
        except STREAM_ERRORS:
            return


async def _next_request(parser: RequestParser, stream: anyio.abc.ByteStream) -> Request:
    """The next request.

    Raises:
        MalformedRequestError: what came is no request.
        anyio.EndOfStream: the client has closed the connection.
    """
    while True:
        request = parser.pop_request()
        if request is not None:
            return request
        if parser.wants_continue:
            parser.wants_continue = False
            await stream.send(CONTINUE)
        parser.feed(await stream.receive(READ_BYTES))


async def _serve(
    stream: anyio.abc.ByteStream, handler: Handler, scope: anyio.CancelScope, set_idle: IdleCallback
) -> None:
    parser = RequestParser()
    while True:
        request = await _next_request(parser, stream)
        set_idle(False)
        now = anyio.current_time()
        if scope.deadline - now < IDLE_S - IDLE_STEP_S:
            scope.deadline = now + IDLE_S
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
