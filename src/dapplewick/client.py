"""A library for users and operators: jobs over HTTP, status from a controller's peer port."""

from __future__ import annotations

from typing import Any

import anyio
import cbor2
import msgspec

from dapplewick.config import SettingsError, host_port
from dapplewick.controller.user_api import PATH
from dapplewick.errors import DapplewickError
from dapplewick.transport.http_client import HttpClient, HttpError
from dapplewick.transport.peer import read_frame, send_frame

WITHIN_S = 4.0


class ClientError(DapplewickError):
    """The controller can't be reached or refuses: the text says which one and why."""


def _address(at: str) -> tuple[str, int]:
    try:
        return host_port(at, "address")
    except SettingsError as err:
        raise ClientError(str(err)) from None


async def _call(at: str, method: str, path: str, body: bytes | None) -> dict[str, Any]:
    client = HttpClient(*_address(at), most=0)
    try:
        status, answer = await client.request(method, path, body, WITHIN_S)
    except HttpError as err:
        raise ClientError(f"{at}: {err}") from None
    try:
        said = msgspec.json.decode(answer, type=dict[str, Any])
    except msgspec.DecodeError:
        raise ClientError(f"{at}: status {status}, and no JSON") from None
    if status not in (200, 201):
        raise ClientError(f"{at}: status {status}: {said.get('error', 'refused')}")
    return said


async def submit(at: str, job: bytes) -> dict[str, Any]:
    """Submit a job as the users' protocol describes it."""
    return await _call(at, "POST", PATH, job)


async def poll(at: str, job_id: str) -> dict[str, Any]:
    return await _call(at, "GET", f"{PATH}/{job_id}", None)


async def cancel(at: str, job_id: str) -> dict[str, Any]:
    return await _call(at, "POST", f"{PATH}/{job_id}/abort", b"")


async def status(at: str) -> dict[str, Any]:
    """A controller's status, asked on its peer address."""
    return await _ask(at, {"kind": "status"})


async def partitions(at: str, verb: str, **fields: Any) -> dict[str, Any]:
    """Put a command on shares to a controller, on its peer address. What it refuses is in the
    answer: a `status` of 400 and more, and an `error`."""
    return await _ask(at, {"kind": "shares", "verb": verb, **fields})


async def _ask(at: str, message: dict[str, Any]) -> dict[str, Any]:
    host, port = _address(at)
    try:
        with anyio.fail_after(WITHIN_S):
            stream = await anyio.connect_tcp(host, port)
            async with stream:
                await send_frame(stream, message)
                return await read_frame(stream, bytearray())
    except TimeoutError:
        raise ClientError(f"{at}: no answer within {WITHIN_S:g} s") from None
    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError) as err:
        raise ClientError(f"{at}: {err or 'connection closed'}") from None
    except (ValueError, cbor2.CBORDecodeError) as err:
        raise ClientError(f"{at}: not a controller's answer: {err}") from None
