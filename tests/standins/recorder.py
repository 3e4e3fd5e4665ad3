"""Records a trace of the messages and answers of controllers; off by default.

`tests/tools/compare_behaviour.py` compares the traces of two versions. The names of events and of
their fields are therefore part of the trace format and don't change in a refactoring.
"""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any, TextIO

import anyio

if TYPE_CHECKING:
    from standins.world import World

ASK_S = 5.0  # interval between an operator's requests to each controller

_out: TextIO | None = None


def start(out: TextIO) -> None:
    """Start recording events to a file, one line of JSON each."""
    global _out
    _out = out


def stop() -> None:
    """Stop recording."""
    global _out
    _out = None


def plain(value: Any) -> Any:
    """Convert a value to plain JSON, deterministically.

    Bodies are parsed; bytes and keys that aren't strings are marked, to differ from strings.
    """
    if isinstance(value, bytes):
        try:
            return {"json": plain(json.loads(value))}
        except ValueError:
            return {"bytes": value.hex()}
    if isinstance(value, dict):
        return {k if isinstance(k, str) else f"({k!r})": plain(v) for k, v in value.items()}
    if isinstance(value, list | tuple):
        return [plain(item) for item in value]
    if isinstance(value, set | frozenset):
        return {"set": sorted((plain(item) for item in value), key=json.dumps)}
    if value is None or isinstance(value, str | int | float):
        return value
    raise TypeError(f"a {type(value).__name__} in a trace")


def record(event: str, **fields: Any) -> None:
    """Record one event with the virtual time, if recording is on."""
    if _out is None:
        return
    try:
        at = round(asyncio.get_running_loop().time(), 6)
    except RuntimeError:
        at = 0.0  # no event loop: outside a scenario
    line = {"at": at, "event": event, **{name: plain(value) for name, value in fields.items()}}
    _out.write(json.dumps(line, sort_keys=True, separators=(",", ":")) + "\n")


def watch(name: str, controller: Any) -> None:
    """Record a controller's answers to workers, users, operators and other controllers."""
    if _out is None:
        return
    handle, on_request = controller.handle, controller.on_request

    async def handled(request: Any) -> Any:
        answer = await handle(request)
        record(
            "answer",
            node=name,
            method=request.method,
            target=request.target,
            asked=request.body,
            status=answer.status,
            body=answer.body,
            retry_after=answer.retry_after,
        )
        return answer

    async def requested(message: dict[str, Any]) -> Any:
        asked = plain(message)
        answer = await on_request(message)
        record("reply", node=name, asked=asked, answer=answer)
        return answer

    controller.handle, controller.on_request = handled, requested


async def ask_operators(world: World) -> None:
    """While recording, request the status and the partitions of every controller periodically."""
    while _out is not None:
        await anyio.sleep(ASK_S)
        for name in sorted(world.controllers):
            for message in ({"kind": "status"}, {"kind": "shares", "verb": "show"}):
                world.group.start_soon(_ask, world, name, message)


async def _ask(world: World, name: str, message: dict[str, Any]) -> None:
    controller = world.controllers.get(name)
    if controller is not None and name not in world.paused:
        with anyio.move_on_after(ASK_S):
            await controller.on_request(message)
