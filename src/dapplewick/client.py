"""Client library for users and operators.

Job requests use the user API over HTTP; status and partition commands use the peer port.
"""

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

REQUEST_TIMEOUT_S = 4.0


class ClientError(DapplewickError):
    """The controller is unreachable or rejected the request; the text has address and reason."""


def _parse_address(at: str) -> tuple[str, int]:
    try:
        return parse_host_port(at, "address")
    except SettingsError as err:
        raise ClientError(str(err)) from None


async def _request_user_api(at: str, method: str, path: str, body: bytes | None) -> dict[str, Any]:
    client = HttpClient(*_parse_address(at), max_connections=0)
    try:
        status, answer = await client.request(method, path, body, REQUEST_TIMEOUT_S)
    except HttpError as err:
        raise ClientError(f"{at}: {err}") from None
    try:
        reply = msgspec.json.decode(answer, type=dict[str, Any])
    except msgspec.DecodeError:
        raise ClientError(f"{at}: status {status}, but the body is not a JSON object") from None
    if status not in (200, 201):
        raise ClientError(f"{at}: status {status}: {reply.get('error', 'refused')}")
    return reply


async def submit(at: str, job: bytes) -> dict[str, Any]:
    """Submit a job.

    Args:
        at: host:port of a controller's user API.
        job: The job as JSON, in the format of the user API.

    Returns:
        The state of the job.

    Raises:
        ClientError: The controller is unreachable or rejected the job.
    """
    return await _request_user_api(at, "POST", JOBS_PATH, job)


async def poll(at: str, job_id: str) -> dict[str, Any]:
    """Return the state of a job.

    Raises:
        ClientError: The controller is unreachable or rejected the request.
    """
    return await _request_user_api(at, "GET", f"{JOBS_PATH}/{job_id}", None)


async def cancel(at: str, job_id: str) -> dict[str, Any]:
    """Cancel a job and return its state.

    Raises:
        ClientError: The controller is unreachable or rejected the request.
    """
    return await _request_user_api(at, "POST", f"{JOBS_PATH}/{job_id}/abort", b"")


async def status(at: str) -> dict[str, Any]:
    """Return the status of the controller with the peer address `at`.

    Raises:
        ClientError: The controller is unreachable, or its reply is malformed.
    """
    return await _request_peer(at, {"kind": KIND_CONTROLLER_STATUS})


async def partitions(at: str, verb: str, **fields: Any) -> dict[str, Any]:
    """Send a partition command to the controller with the peer address `at`.

    Returns:
        The reply. A rejected command has a `status` of 400 or higher and an `error`.

    Raises:
        ClientError: The controller is unreachable, or its reply is malformed.
    """
    return await _request_peer(at, {"kind": KIND_PARTITION_COMMAND, "verb": verb, **fields})


async def _request_peer(at: str, message: dict[str, Any]) -> dict[str, Any]:
    host, port = _parse_address(at)
    try:
        with anyio.fail_after(REQUEST_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, port)
            async with stream:
                await send_frame(stream, message)
                return await read_frame(stream, bytearray())
    except TimeoutError:
        raise ClientError(f"{at}: no answer within {REQUEST_TIMEOUT_S:g} s") from None
    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError) as err:
        raise ClientError(f"{at}: {err or 'connection closed'}") from None
    except (ValueError, cbor2.CBORDecodeError) as err:
        raise ClientError(f"{at}: malformed reply, not from a controller: {err}") from None
