"""The workers' interface on the wire: heartbeats, and the commands that answer them."""

from __future__ import annotations

from enum import StrEnum
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

COUNTER_LIMIT = 1 << 64  # the protocol: counts, versions, tokens and attempts are below 2^64
MAX_TASK_INDEX_DIGITS = 9
TASK_CACHE_SIZE = 20_000  # names of tasks kept, about 4 MB; more are parsed anew each time


class TaskStage(StrEnum):
    """How a task stands on a machine, in the words of the wire.

    A heartbeat may have other words, of later workers: they are passed on as they come.
    """

    FETCHING = "fetching"  # waits for its image
    GATHERING = "gathering"  # of a gang, waits for the other tasks of its attempt
    RUNNING = "running"
    FLUSHING = "flushing"  # was told to stop and saves
    EXITED = "exited"


class ExitCause(StrEnum):
    """Why a task has exited, in the words of the wire."""

    DONE = "done"
    STOPPED = "halted"  # by a command
    GANG_MEMBER_LOST = "peers"  # another task of its gang is gone
    GANG_INCOMPLETE = "alone"  # its gang was not complete in time
    ERROR = "error"
    INSUFFICIENT_RESOURCES = "full"  # start refused: not enough free resources
    ALREADY_PRESENT = "in_use"  # start refused: the task is there with another attempt
    NOT_FOUND = "no_such"  # start refused: no such job or task


class CommandKind(StrEnum):
    """What a command to a worker asks for."""

    START = "start"
    STOP = "stop"
    FORGET = "forget"


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
    """What a worker tells of a task on its machine.

    Attributes:
        task: which task.
        attempt: which attempt of it.
        stage: a `TaskStage`, or a word that is not known here.
        cause: an `ExitCause` or another word, if it has exited.
        saved: whether its progress was saved when it was stopped.
    """

    task: TaskRef
    attempt: Attempt
    stage: str
    cause: str | None
    saved: bool


class Heartbeat(NamedTuple):
    """What a worker tells of its machine.

    Attributes:
        machine: the worker's machine.
        type: its type.
        zone: where it is.
        spot: whether the cloud may take it away.
        incarnation: starts at 1, grows each time the worker's lease expires.
        sequence: grows with each message; the larger (incarnation, sequence) is the newer one.
        token: the highest fencing token that the worker has seen.
        spot_notice_s: seconds until the cloud takes the machine away; None if it does not.
        address: where the worker takes commands.
        tasks: all tasks on the machine, exited ones until they are forgotten.
    """

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


@lru_cache(maxsize=TASK_CACHE_SIZE)
def parse_task(name: str) -> TaskRef:
    """Read the name of a task.

    It stands in each heartbeat while the task is on its machine, so what was read is kept.

    Raises:
        MalformedMessageError: it names no task.
    """
    job, slash, index = name.rpartition("/")
    if not slash or not index.isdigit() or len(index) > MAX_TASK_INDEX_DIGITS:
        raise MalformedMessageError("piece: not a task")
    return TaskRef(JobId(job), TaskIndex(int(index)))


def parse_heartbeat(raw: bytes) -> Heartbeat:
    """Read a worker's heartbeat.

    Raises:
        MalformedMessageError: it breaks the protocol.
    """
    try:
        body = _HEARTBEAT_DECODER.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        raise MalformedMessageError(str(err)) from None
    for value in (body.shift, body.tally, body.baton):
        if not 0 <= value < COUNTER_LIMIT:
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
    """A command to a worker.

    Attributes:
        op: a `CommandKind`.
        task: which task.
        attempt: which attempt of it.
        grace: for stops: the seconds within which the task may save.
    """

    kind: str
    task: TaskRef
    attempt: Attempt
    grace_s: Seconds = 0.0


# Plain strings: each response to a heartbeat looks them up, and members of enums are slower.
_STOP = CommandKind.STOP.value
_WIRE_VERBS = {  # of the wire
    CommandKind.START.value: "launch",
    _STOP: "kill",
    CommandKind.FORGET.value: "forget",
}


def encode_heartbeat_response(token: FencingToken, commands: list[Command]) -> bytes:
    """The response to a heartbeat: the shard owner's fencing token, and commands in order."""
    items: list[dict[str, Any]] = []
    for command in commands:
        item: dict[str, Any] = {
            "verb": _WIRE_VERBS[command.kind],
            "piece": f"{command.task.job}/{command.task.task_index}",
            "try": command.attempt,
        }
        if command.kind == _STOP:
            item["wind_down_s"] = command.grace_s
        items.append(item)
    return msgspec.json.encode({"baton": token, "orders": items})


def encode_redirect(owner: str | None) -> bytes:
    """The response to a worker whose shard another controller owns, or nobody known here."""
    return msgspec.json.encode({} if owner is None else {"foreman": owner})
