"""The workers' interface on the wire: heartbeats, and the commands that answer them."""

from __future__ import annotations

from functools import lru_cache
from typing import Any, NamedTuple

import msgspec

from dapplewick.protocol.errors import MalformedMessageError
from dapplewick.types import (
    Attempt,
    FencingToken,
    JobId,
    MachineId,
    Seconds,
    TaskIndex,
    TaskRef,
    TypeName,
    Zone,
)

MAX_COUNT = 1 << 64
KNOWN_TASKS = 20_000  # names of tasks kept, about 4 MB; more are parsed anew each time


class _TaskStatusBody(msgspec.Struct):
    piece: str
    try_: int = msgspec.field(name="try")
    stage: str = ""
    cause: str | None = None
    saved: bool | None = None


class _HeartbeatBody(msgspec.Struct):
    loom: str
    build: str
    yard: str
    borrowed: bool
    shift: int
    tally: int
    baton: int
    pieces: list[_TaskStatusBody]
    endpoint: str = ""
    recall_s: float | None = None


class TaskStatus(NamedTuple):
    task: TaskRef
    attempt: Attempt
    stage: str
    cause: str | None
    saved: bool


class Heartbeat(NamedTuple):
    machine: MachineId
    type: TypeName
    zone: Zone
    spot: bool
    incarnation: int
    sequence: int
    token: FencingToken
    spot_notice_s: Seconds | None
    address: str
    tasks: list[TaskStatus]


_HEARTBEAT_DECODER = msgspec.json.Decoder(_HeartbeatBody)


@lru_cache(maxsize=KNOWN_TASKS)
def parse_task(name: str) -> TaskRef:
    """A task is named in each report while it is on its machine, so its name is kept."""
    job, slash, index = name.rpartition("/")
    if not slash or not index.isdigit() or len(index) > 9:
        raise MalformedMessageError("piece: not a task")
    return TaskRef(JobId(job), TaskIndex(int(index)))


def parse_heartbeat(raw: bytes) -> Heartbeat:
    try:
        body = _HEARTBEAT_DECODER.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        raise MalformedMessageError(str(err)) from None
    for value in (body.shift, body.tally, body.baton):
        if not 0 <= value < MAX_COUNT:
            raise MalformedMessageError("shift, tally or baton: out of range")
    tasks = [
        TaskStatus(parse_task(p.piece), Attempt(p.try_), p.stage, p.cause, bool(p.saved))
        for p in body.pieces
    ]
    return Heartbeat(
        MachineId(body.loom),
        TypeName(body.build),
        Zone(body.yard),
        body.borrowed,
        body.shift,
        body.tally,
        FencingToken(body.baton),
        body.recall_s,
        body.endpoint,
        tasks,
    )


class Command(NamedTuple):
    """A command to a worker. `grace` is only for stops."""

    op: str
    task: TaskRef
    attempt: Attempt
    grace: Seconds = 0.0


_VERBS = {"start": "launch", "stop": "kill", "forget": "forget"}


def encode_heartbeat_response(token: FencingToken, commands: list[Command]) -> bytes:
    out = []
    for command in commands:
        item: dict[str, Any] = {
            "verb": _VERBS[command.op],
            "piece": f"{command.task.job}/{command.task.number}",
            "try": command.attempt,
        }
        if command.op == "stop":
            item["wind_down_s"] = command.grace
        out.append(item)
    return msgspec.json.encode({"baton": token, "orders": out})


def encode_redirect(owner: str | None) -> bytes:
    return msgspec.json.encode({} if owner is None else {"foreman": owner})
