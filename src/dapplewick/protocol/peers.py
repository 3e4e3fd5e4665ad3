"""Messages between controllers and their encoding.

A message is a CBOR map with the field `kind`. The keys on the wire must not change, since
controllers of different versions run at the same time. Fields whose names in the source differ from
their keys declare the key with `msgspec.field(name=...)`.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final, Literal, TypeVar

import msgspec
from msgspec import UNSET, UnsetType

from dapplewick.types import (
    ControllerName,
    FencingToken,
    JobId,
    MachineId,
    Resources,
    Revision,
    Seconds,
    ShardName,
)

KIND_SHARD_STATUS = "part"
KIND_STATUS_CONFIRMATION = "have"
KIND_GOSSIP = "node"
KIND_FORWARDED_REQUEST = "ask"
KIND_CONTROLLER_STATUS = "status"
KIND_PARTITION_COMMAND = "shares"


class TaskEnd(msgspec.Struct, array_like=True, frozen=True):
    """The estimated end of a task and the resources that it releases then."""

    at: Seconds
    cpus: float
    gpus: float
    ram_gb: float
    priority: int
    gang: str  # the gang's job, whose tasks all end with this one; empty for tasks of arrays

    @property
    def resources(self) -> Resources:
        """The resources that the task occupies until its end."""
        return Resources(self.cpus, self.gpus, self.ram_gb)


class MachineStatus(msgspec.Struct, kw_only=True):
    """The status of a machine, as its shard's owner reports it to the leader.

    Attributes:
        free: the resources that are neither occupied nor reserved.
        ends: the estimated ends of the tasks that have not exited.
        images: the images that the machine has fetched.
        queued: number of tasks in the queues of the machine's slots.
        usable: whether new tasks may be placed on the machine.
        reconciled: whether a heartbeat has carried the owner's fencing token; the owner then knows
            all tasks on the machine.
        leaving: whether the machine has a spot notice, is slow or unreachable, or is drained.
        faulty: whether tasks of several jobs have failed on the machine, and none has completed
            since.
    """

    free: Resources
    ends: list[TaskEnd]
    images: list[str]
    queued: int
    usable: bool
    reconciled: bool = msgspec.field(name="heard")
    leaving: bool
    faulty: bool


class JobStatus(msgspec.Struct, kw_only=True):
    """The status of a job's array tasks that are assigned to one shard.

    Attributes:
        placed: number of assigned tasks that are neither done nor released.
        running: number of these tasks that are on a machine.
        done: the indices of completed tasks.
        released: the indices of tasks that the shard's owner returns to the leader.
        version: the version of the job record that the owner used.
    """

    placed: int
    running: int
    done: list[int]
    released: list[int] = msgspec.field(name="returned")
    version: int


# The state of a gang's attempt in a shard, as the shard's owner reports it to the leader.
GangState = Literal["held", "on", "bad", "done", "busy", "clear"]
GANG_RESERVED: Final = "held"  # slots are reserved, but not all start commands were sent
GANG_STARTED: Final = "on"  # all start commands were sent
GANG_FAILED: Final = "bad"  # this attempt can't succeed any more
GANG_DONE: Final = "done"  # a task of the attempt has completed
GANG_STOPPING: Final = "busy"  # no longer scheduled, but a task is or may be on a machine
GANG_STOPPED: Final = "clear"  # no longer scheduled, and no task is on a machine


class GangStatus(msgspec.Struct, array_like=True, frozen=True):
    """The state of a gang's attempt in one shard."""

    attempt: int
    state: str
    remaining_wait_s: Seconds


class MachineContactGap(msgspec.Struct, array_like=True, frozen=True):
    """The time without contact with a machine whose heartbeats are overdue.

    Attributes:
        gap_s: seconds since the last heartbeat with the owner's fencing token, or since the owner
            last began to accept heartbeats if that was later.
        urgent: whether replicas or cancelled tasks wait for proof that the machine is gone.
    """

    gap_s: Seconds
    urgent: bool


class ShardStatus(msgspec.Struct, kw_only=True):
    """The status of a shard, sent by its owner to the leader.

    `machines`, `jobs` and `gangs` hold the entries that changed since the status numbered `base`,
    with None for removed entries. The other fields are complete in each status.

    Attributes:
        kind: the kind of the message.
        shard: the shard.
        token: the fencing token of the shard's owner.
        number: the number of this status; numbers grow by one with each status of an owner.
        base: the number of the status that the changes refer to; 0: all entries are included.
        at: when the status was made, by the owner's monotonic clock.
        seen_revision: the revision up to which the owner has read the records.
        machines: the changed machines.
        jobs: the changed jobs with array tasks in the shard.
        gangs: the changed attempts of gangs.
        machine_contact_gaps: the machines whose heartbeats are overdue.
        idle: seconds for which each idle machine has been idle.
        last_contact_age_s: the shortest contact gap of all available machines; -1: no machine.
        drained_jobs: ended jobs that are assigned to the shard and have no task on a machine.
        unreconciled: number of machines that the owner has not reconciled.
        estimates: for each job class, the learned bias of users' run time estimates and the number
            of tasks from which it was learned.
        drained: machines that a transfer drains and that are proven to have no tasks; set while
            machines move between partitions.
        controller: the controller that owns the shard; set in statuses sent to another controller.
        version: the record format that the sender supports.
    """

    kind: str = KIND_SHARD_STATUS
    shard: ShardName = msgspec.field(name="zone")
    token: FencingToken
    number: int
    base: int
    at: Seconds
    seen_revision: Revision = msgspec.field(name="seen")
    machines: dict[MachineId, MachineStatus | None]
    jobs: dict[JobId, JobStatus | None]
    gangs: dict[JobId, GangStatus | None]
    machine_contact_gaps: dict[MachineId, MachineContactGap] = msgspec.field(name="silent")
    idle: dict[MachineId, Seconds]
    last_contact_age_s: Seconds = msgspec.field(name="heard_ago")
    drained_jobs: list[JobId] = msgspec.field(name="clear")
    unreconciled: int = msgspec.field(name="unheard", default=0)
    estimates: dict[str, tuple[float, int]]
    drained: list[MachineId] | UnsetType = UNSET
    controller: ControllerName | UnsetType = msgspec.field(name="node", default=UNSET)
    version: int | UnsetType = UNSET

    @property
    def drained_machines(self) -> list[MachineId]:
        """Machines that a transfer drains and that are proven to have no tasks."""
        return [] if isinstance(self.drained, UnsetType) else self.drained


class StatusConfirmation(msgspec.Struct, kw_only=True):
    """The leader's confirmation of a shard's statuses up to `number`.

    Attributes:
        kind: the kind of the message.
        shard: the shard.
        token: the fencing token of the shard's owner.
        incarnation: the incarnation of the leader's process.
        number: the number up to which the leader has the shard's statuses.
        version: the record format that the leader supports.
    """

    kind: str = KIND_STATUS_CONFIRMATION
    shard: ShardName = msgspec.field(name="zone")
    token: FencingToken
    incarnation: str = msgspec.field(name="boot")
    number: int
    version: int | UnsetType = UNSET


class Gossip(msgspec.Struct, kw_only=True):
    """A message that each controller sends to all others about once a second.

    The same map also holds the fields of a `CancellationMessage`.

    Attributes:
        kind: the kind of the message.
        controller: the sender.
        version: the record format that the sender supports.
        running: the number of running tasks of each job in the shards that the sender owns.
        shards: the fencing token and the owner of each shard in the sender's watch cache.
        reaches_state_service: whether the sender has recently had contact with the state service.
    """

    kind: str = KIND_GOSSIP
    controller: ControllerName = msgspec.field(name="node")
    version: int | UnsetType = UNSET
    running: dict[JobId, int]
    shards: dict[ShardName, tuple[FencingToken, ControllerName]] = msgspec.field(name="parts")
    reaches_state_service: bool = msgspec.field(name="state")


class ForwardedRequest(msgspec.Struct, kw_only=True):
    """A user's request, forwarded to a controller that has contact with the state service."""

    kind: str = KIND_FORWARDED_REQUEST
    method: str
    target: str
    body: bytes


class ForwardedResponse(msgspec.Struct, kw_only=True):
    """The response to a forwarded request."""

    status: int
    body: bytes
    retry_after: int | None = msgspec.field(name="retry", default=None)


Message = TypeVar("Message", bound=msgspec.Struct)


def encode(message: msgspec.Struct) -> dict[str, Any]:
    """Encode a message as the map that a frame contains."""
    encoded: dict[str, Any] = msgspec.to_builtins(message, builtin_types=(bytes,))
    return encoded


def decode(message: Mapping[str, Any], kind: type[Message]) -> Message:
    """Decode a message of a known kind.

    Raises:
        ValueError: the message is malformed.
    """
    return msgspec.convert(message, type=kind, builtin_types=(bytes,))
