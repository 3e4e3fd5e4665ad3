"""The HTTP server and client, compared with h11 and tested with protocol violations."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dapplewick.transport.http import (
    MAX_BODY_BYTES,
    MAX_ENCODED_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_PIPELINED_REQUESTS,
    READ_BYTES,
    MalformedRequestError,
    Request,
    RequestParser,
    Response,
    serve_connection,
)
from dapplewick.transport.http_client import HttpClient, HttpError

TOKEN = st.text(st.sampled_from("abcXYZ-019"), min_size=1, max_size=12)


@st.composite
def request_bytes(draw: st.DrawFn) -> bytes:
    """A request as workers, users or their libraries may write it."""
    method = draw(st.sampled_from(["GET", "POST", "PUT", "DELETE"]))
    target = "/" + draw(st.text(st.sampled_from("abc/-019?=&%."), max_size=20))
    body = draw(st.binary(max_size=300))
    lines = [f"{method} {target} HTTP/1.1", "Host: x"]
    for name in draw(st.lists(TOKEN, max_size=3, unique=True)):
        lines.append(f"X-{name}: {draw(TOKEN)}")
    if draw(st.booleans()):
        lines.append("Transfer-Encoding: chunked")
        pieces = [body[:7], body[7:]]
        chunks = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces if piece]
        written = b"".join(chunks) + b"0\r\n\r\n"
    else:
        lines.append(f"Content-Length: {len(body)}")
        written = body
    return "\r\n".join([*lines, "", ""]).encode() + written


def by_h11(data: bytes) -> Request:
    """Parse one request with h11, which serves as the reference implementation."""
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(data)
    head: h11.Request | None = None
    body = b""
    while True:
        event = connection.next_event()
        if isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        else:
            assert isinstance(event, h11.EndOfMessage)
            assert head is not None
            return Request(head.method.decode(), head.target.decode("latin-1"), body, False)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(request_bytes(), min_size=1, max_size=4),
    st.lists(st.integers(1, 40), min_size=1, max_size=8),
)
def test_requests_are_cut_as_h11_cuts_them_however_they_arrive(
    requests: list[bytes], sizes: list[int]
) -> None:
    data, parser = b"".join(requests), RequestParser()
    found: list[Request] = []
    turn = 0
    while data:
        size = sizes[turn % len(sizes)]
        turn += 1
        parser.feed(data[:size])
        data = data[size:]
        while (request := parser.pop_request()) is not None:
            found.append(request)
    assert found == [by_h11(request) for request in requests]


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost x\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
        b"GET /" + b"a" * MAX_HEAD_BYTES,
        b"GET / HTTP/1.1\r\nX: " + b"a" * MAX_HEAD_BYTES,
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 40,
    ],
)
def test_malformed_requests_are_rejected_within_bounds(data: bytes) -> None:
    parser = RequestParser()
    parser.feed(data)

    def take_all() -> None:
        for _ in range(MAX_PIPELINED_REQUESTS + 2):
            if parser.pop_request() is None:
                return

    with pytest.raises(MalformedRequestError):
        take_all()


def test_a_body_over_the_limit_is_not_buffered() -> None:
    """The request is answered before its remaining body is read, with or without a length."""
    chunked = b"POST /v2/runs HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunked += (b"1000\r\n" + b"x" * 4096 + b"\r\n") * 17
    length = b"POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Length: 9999999\r\n\r\n"
    length += b"x" * (MAX_BODY_BYTES + 1)
    for data in (chunked, length):
        parser = RequestParser()
        parser.feed(data)
        assert parser.pop_request() == Request("POST", "/v2/runs", b"", True, False)
        parser.feed(b"x" * 100_000)
        assert parser.pop_request() is None
        assert not parser._body_parts
    parser = RequestParser()
    parser.feed(
        length[: length.index(b"9999999")] + b"%d\r\n\r\n" % MAX_BODY_BYTES + b"x" * MAX_BODY_BYTES
    )
    request = parser.pop_request()
    assert request is not None
    assert len(request.body) == MAX_BODY_BYTES
    assert not request.too_large


def test_a_trailer_without_an_end_is_refused_and_a_body_in_single_bytes_is_not() -> None:
    """The parser buffers trailers, so their bytes count against the limit of the encoded body."""
    head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    parser = RequestParser()
    parser.feed(head + b"1\r\na\r\n0\r\nX: ")
    for _ in range(MAX_ENCODED_BODY_BYTES // READ_BYTES + 1):
        assert parser.pop_request() is None
        parser.feed(b"b" * READ_BYTES)
    with pytest.raises(MalformedRequestError):
        parser.pop_request()
    parser = RequestParser()
    parser.feed(head)
    for _ in range(MAX_BODY_BYTES):
        parser.feed(b"1\r\na\r\n")
    parser.feed(b"0\r\n\r\n")
    assert parser.pop_request() == Request("POST", "/", b"a" * MAX_BODY_BYTES, False)


ClientScript = Callable[[anyio.abc.SocketStream], Awaitable[None]]


def serve(script: ClientScript) -> list[Request]:
    """Run a client script against the server and return the requests that were handled."""
    handled: list[Request] = []

    async def handle(request: Request) -> Response:
        handled.append(request)
        return Response(503, b'{"a":1}', 2) if request.target == "/busy" else Response(200, b"{}")

    async def main() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, lambda stream: serve_connection(stream, handle), group)
            with anyio.fail_after(10):
                async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                    await script(stream)
            group.cancel_scope.cancel()

    anyio.run(main)
    return handled


async def read_all(stream: anyio.abc.SocketStream) -> bytes:
    data = b""
    try:
        while True:
            data += await stream.receive()
    except anyio.EndOfStream:
        return data


@pytest.mark.parametrize(
    ("data", "answers"),
    [
        (b"GET / HTTP/1.0\r\n\r\n", [b"200"]),
        (b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", [b"200"]),
        (
            b"GET /busy HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\nConnection: close\r\n\r\n",
            [b"503", b"200"],
        ),
        (b"GET / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\nPRI", [b"200"]),
        (b"GET / HTTP/1.1\r\n\r\nrubbish\r\n\r\n", [b"200", b"400"]),
    ],
)
def test_each_request_is_answered_and_a_connection_that_is_over_is_closed(
    data: bytes, answers: list[bytes]
) -> None:
    async def script(stream: anyio.abc.SocketStream) -> None:
        await stream.send(data)
        received = await read_all(stream)
        assert [part[:3] for part in received.split(b"HTTP/1.1 ")[1:]] == answers
        assert (b"Retry-After: 2\r\n" in received) == (b"503" in answers)
        assert b"Connection: close\r\n" in received

    assert len(serve(script)) == sum(status != b"400" for status in answers)


def test_expect_100_continue_is_answered_and_a_head_response_has_no_body() -> None:
    async def script(stream: anyio.abc.SocketStream) -> None:
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
        await stream.send(head)
        assert (await stream.receive()).startswith(b"HTTP/1.1 100 ")
        await stream.send(b"hi")
        assert (await stream.receive()).startswith(b"HTTP/1.1 200 ")
        await stream.send(b"HEAD / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        assert (await read_all(stream)).endswith(b"\r\n\r\n")

    assert [request.body for request in serve(script)] == [b"hi", b""]


@pytest.mark.parametrize(
    ("pieces", "expected"),
    [
        ([b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", b"lo"], (200, b"hello")),
        ([b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 \r\nContent-Length: 0\r\n\r\n"], (201, b"")),
        (
            [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"],
            (200, b"hi"),
        ),
        ([b"HTTP/1.1 200 OK\r\n\r\nto the ", b"end"], (200, b"to the end")),
        ([b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel"], None),
        ([b"HTTP/1.1 200 OK\r\nContent-"], None),
        ([b"rubbish\r\n\r\n"], None),
        ([b"HTTP/1.1 200 OK\r\nX: " + b"a" * 40_000], None),
        ([], None),
    ],
)
def test_a_response_is_complete_or_an_error(
    pieces: list[bytes], expected: tuple[int, bytes] | None
) -> None:
    async def main() -> None:
        async def answer(stream: anyio.abc.SocketStream) -> None:
            async with stream:
                await stream.receive()
                for piece in pieces:
                    await stream.send(piece)
                    await anyio.sleep(0.01)

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, answer, group)
            client = HttpClient("127.0.0.1", port)
            if expected is None:
                with pytest.raises(HttpError):
                    await client.request("GET", "/", None, 5.0)
            else:
                assert await client.request("GET", "/", None, 5.0) == expected
            with pytest.raises(HttpError):
                await client.request("GET", "/x HTTP/1.1\r\nX: y", None, 5.0)
            group.cancel_scope.cancel()

    anyio.run(main)
