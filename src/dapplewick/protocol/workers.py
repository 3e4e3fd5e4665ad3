"""The workers' wire protocol: heartbeats, and the responses with commands."""

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

COUNTER_LIMIT = 1 << 64  # counts, versions, tokens and attempts in the protocol are lower than this
MAX_TASK_INDEX_DIGITS = 9
# Parsed task names that are cached, about 4 MB; with more tasks, names are parsed repeatedly.
TASK_CACHE_SIZE = 20_000


class TaskStage(StrEnum):
    """The stage of a task on a machine; the values are those on the wire.

    Heartbeats of newer workers may contain other stages, which are passed on unchanged.
    """

    FETCHING = "fetching"  # waits for its image to be fetched
    GATHERING = "gathering"  # a gang's task that waits for the other tasks of its attempt
    RUNNING = "running"
    FLUSHING = "flushing"  # received a stop command and saves its progress
    EXITED = "exited"


class ExitCause(StrEnum):
    """Why a task has exited; the values are those on the wire."""

    DONE = "done"
    STOPPED = "halted"  # by a stop command
    GANG_MEMBER_LOST = "peers"  # another task of its gang exited or was lost
    GANG_INCOMPLETE = "alone"  # the gang's tasks did not all arrive in time
    ERROR = "error"
    INSUFFICIENT_RESOURCES = "full"  # start refused: not enough free resources
    ALREADY_PRESENT = "in_use"  # start refused: the machine has another attempt of the task
    NOT_FOUND = "no_such"  # start refused: no such job or task


class CommandKind(StrEnum):
    """The kind of a command to a worker."""

    START = "start"
    STOP = "stop"
    FORGET = "forget"


class _TaskStatusBody(msgspec.Struct):
    task: str = msgspec.field(name="piece")
    attempt: int = msgspec.field(name="try")
    stage: str = ""
    cause: str | None = None
    saved: bool | None = None


class _HeartbeatBody(msgspec.Struct):
    machine: str = msgspec.field(name="loom")
    type: str = msgspec.field(name="build")
    zone: str = msgspec.field(name="yard")
    spot: bool = msgspec.field(name="borrowed")
    incarnation: int = msgspec.field(name="shift")
    sequence: int = msgspec.field(name="tally")
    token: int = msgspec.field(name="baton")
    tasks: list[_TaskStatusBody] = msgspec.field(name="pieces")
    address: str = msgspec.field(name="endpoint", default="")
    spot_notice_s: float | None = msgspec.field(name="recall_s", default=None)


class TaskStatus(NamedTuple):
    """The status of a task on a machine, as its worker reports it.

    Attributes:
        task: the task.
        attempt: the attempt of the task.
        stage: a `TaskStage`, or an unknown stage of a newer worker.
        cause: if the task has exited, an `ExitCause` or an unknown cause of a newer worker.
        saved: whether the task's progress was saved when it was stopped.
    """

    task: TaskRef
    attempt: Attempt
    stage: str
    cause: str | None
    saved: bool


class Heartbeat(NamedTuple):
    """A worker's periodic report of the state of its machine.

    Attributes:
        machine: the worker's machine.
        type: the machine's type.
        zone: the machine's zone.
        spot: whether the machine is a spot machine, which the cloud may reclaim.
        incarnation: starts at 1 and grows each time the worker's lease expires.
        sequence: grows with each message; of two messages, the one with the greater (incarnation,
            sequence) is newer.
        token: the highest fencing token that the worker has received.
        spot_notice_s: seconds until the cloud reclaims the machine; None without a notice.
        address: the address at which the worker accepts commands.
        tasks: all tasks on the machine, including exited ones until a forget command.
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
    """Parse the name of a task.

    Results are cached, since every heartbeat repeats the names of all tasks on the machine.

    Raises:
        MalformedMessageError: the name is not that of a task.
    """
    job, slash, index = name.rpartition("/")
    if not slash or not index.isdigit() or len(index) > MAX_TASK_INDEX_DIGITS:
        raise MalformedMessageError("piece: not a task")
    return TaskRef(JobId(job), TaskIndex(int(index)))


def parse_heartbeat(raw: bytes) -> Heartbeat:
    """Parse a worker's heartbeat.

    Raises:
        MalformedMessageError: the heartbeat violates the protocol.
    """
    try:
        body = _HEARTBEAT_DECODER.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        raise MalformedMessageError(str(err)) from None
    for value in (body.incarnation, body.sequence, body.token):
        if not 0 <= value < COUNTER_LIMIT:
            raise MalformedMessageError("shift, tally or baton: out of range")
    tasks = [
        TaskStatus(parse_task(t.task), Attempt(t.attempt), t.stage, t.cause, bool(t.saved))
        for t in body.tasks
    ]
    return Heartbeat(
        MachineId(body.machine),
        TypeName(body.type),
        Zone(body.zone),
        body.spot,
        body.incarnation,
        body.sequence,
        FencingToken(body.token),
        body.spot_notice_s,
        body.address,
        tasks,
    )


class Command(NamedTuple):
    """A command to a worker.

    Attributes:
        kind: a `CommandKind`.
        task: the task.
        attempt: the attempt of the task.
        grace_s: for stop commands, the seconds that the task has to save its progress.
    """

    kind: str
    task: TaskRef
    attempt: Attempt
    grace_s: Seconds = 0.0


# Plain strings, since every response to a heartbeat looks these up and enum members are slower.
_STOP = CommandKind.STOP.value
_WIRE_VERBS = {
    CommandKind.START.value: "launch",
    _STOP: "kill",
    CommandKind.FORGET.value: "forget",
}


def encode_heartbeat_response(token: FencingToken, commands: list[Command]) -> bytes:
    """Encode the response to a heartbeat: the shard owner's token, and commands in order."""
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
    """Encode the response to a worker whose shard has another owner; None: owner unknown."""
    return msgspec.json.encode({} if owner is None else {"foreman": owner})
