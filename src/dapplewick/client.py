"""A library for users and operators: jobs over HTTP, status from a controller's peer port."""

from __future__ import annotations

from typing import Any

import anyio
import cbor2
import msgspec

from dapplewick.config import SettingsError, parse_host_port
from dapplewick.controller.user_api import JOBS_PATH
from dapplewick.errors import DapplewickError
from dapplewick.protocol.peers import KIND_CONTROLLER_STATUS, KIND_PARTITION_COMMAND
from dapplewick.transport.http_client import HttpClient, HttpError
from dapplewick.transport.peer import read_frame, send_frame

TIMEOUT_S = 4.0


class ClientError(DapplewickError):
    """The controller can't be reached or refuses: the text says which one and why."""


def _address(at: str) -> tuple[str, int]:
    try:
        return parse_host_port(at, "address")
    except SettingsError as err:
        raise ClientError(str(err)) from None


async def _call(at: str, method: str, path: str, body: bytes | None) -> dict[str, Any]:
    client = HttpClient(*_address(at), max_connections=0)
    try:
        status, answer = await client.request(method, path, body, TIMEOUT_S)
    except HttpError as err:
        raise ClientError(f"{at}: {err}") from None
    try:
        reply = msgspec.json.decode(answer, type=dict[str, Any])
    except msgspec.DecodeError:
        raise ClientError(f"{at}: status {status}, and no JSON") from None
    if status not in (200, 201):
        raise ClientError(f"{at}: status {status}: {reply.get('error', 'refused')}")
    return reply


async def submit(at: str, job: bytes) -> dict[str, Any]:
    """Submit a job, which is JSON as the users' protocol describes it; gives its state.

    Raises:
        ClientError: the controller can't be reached, or refuses.
    """
    return await _call(at, "POST", JOBS_PATH, job)


async def poll(at: str, job_id: str) -> dict[str, Any]:
    """Ask for a job's state.

    Raises:
        ClientError: the controller can't be reached, or refuses.
    """
    return await _call(at, "GET", f"{JOBS_PATH}/{job_id}", None)


async def cancel(at: str, job_id: str) -> dict[str, Any]:
    """Cancel a job; gives its state.

    Raises:
        ClientError: the controller can't be reached, or refuses.
    """
    return await _call(at, "POST", f"{JOBS_PATH}/{job_id}/abort", b"")


async def status(at: str) -> dict[str, Any]:
    """A controller's status, asked on its peer address.

    Raises:
        ClientError: the controller can't be reached.
    """
    return await _request_peer(at, {"kind": KIND_CONTROLLER_STATUS})


async def partitions(at: str, verb: str, **fields: Any) -> dict[str, Any]:
    """Put a command on partitions to a controller, on its peer address.

    What it refuses is in the answer: a `status` of 400 and more, and an `error`.

    Raises:
        ClientError: the controller can't be reached.
    """
    return await _request_peer(at, {"kind": KIND_PARTITION_COMMAND, "verb": verb, **fields})


async def _request_peer(at: str, message: dict[str, Any]) -> dict[str, Any]:
    host, port = _address(at)
    try:
        with anyio.fail_after(TIMEOUT_S):
            stream = await anyio.connect_tcp(host, port)
            async with stream:
                await send_frame(stream, message)
                return await read_frame(stream, bytearray())
    except TimeoutError:
        raise ClientError(f"{at}: no answer within {TIMEOUT_S:g} s") from None
    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError) as err:
        raise ClientError(f"{at}: {err or 'connection closed'}") from None
    except (ValueError, cbor2.CBORDecodeError) as err:
        raise ClientError(f"{at}: not a controller's answer: {err}") from None
