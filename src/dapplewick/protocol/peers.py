"""Messages between controllers, and their form on the wire.

A message is a CBOR map. Its keys are kept for the sake of versions that run side by side; the names
here are the ones that the rest of the package uses. Every message names its `kind`.
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
    """When a task is estimated to end, and what it leaves then."""

    at: Seconds
    cpus: float
    gpus: float
    ram_gb: float
    priority: int
    gang: str  # the job whose tasks end together with this one; empty for an array's task

    @property
    def resources(self) -> Resources:
        """What the task uses until its end."""
        return Resources(self.cpus, self.gpus, self.ram_gb)


class MachineStatus(msgspec.Struct, kw_only=True):
    """What a shard's owner tells of one of its machines."""

    free: Resources
    ends: list[TaskEnd]
    images: list[str]
    queued: int
    usable: bool
    reconciled: bool = msgspec.field(name="heard")
    leaving: bool
    faulty: bool


class JobStatus(msgspec.Struct, kw_only=True):
    """What a shard's owner tells of the array tasks that it was assigned of one job."""

    placed: int
    running: int
    done: list[int]
    released: list[int] = msgspec.field(name="returned")
    version: int  # of the job's record that the owner knew


# How a gang's attempt stands in a shard, as its owner tells the leader.
GangState = Literal["held", "on", "bad", "done", "busy", "clear"]
GANG_RESERVED: Final = "held"  # slots are reserved, and not all starts were sent
GANG_STARTED: Final = "on"  # all starts were sent
GANG_FAILED: Final = "bad"  # this attempt can't succeed
GANG_DONE: Final = "done"  # a task of it has the result
GANG_STOPPING: Final = "busy"  # no longer wanted, but some task is or may be on its machine
GANG_STOPPED: Final = "clear"  # no longer wanted, and on no machine


class GangStatus(msgspec.Struct, array_like=True, frozen=True):
    """How an attempt of a gang stands in one shard."""

    attempt: int
    state: str
    remaining_wait_s: Seconds


class MachineContactGap(msgspec.Struct, array_like=True, frozen=True):
    """A machine that has not been heard from for a while."""

    gap_s: Seconds
    urgent: bool  # replicas or cancelled tasks wait for the proof that it is gone


class ShardStatus(msgspec.Struct, kw_only=True):
    """What a shard's owner tells the leader: what changed since the status numbered `base`.

    `machines`, `jobs` and `gangs` hold what changed, with None for what is gone. The other fields
    are complete in each status.
    """

    kind: str = KIND_SHARD_STATUS
    shard: ShardName = msgspec.field(name="zone")
    token: FencingToken
    number: int
    base: int
    at: Seconds  # by the owner's steady clock
    seen_revision: Revision = msgspec.field(name="seen")
    machines: dict[MachineId, MachineStatus | None]
    jobs: dict[JobId, JobStatus | None]
    gangs: dict[JobId, GangStatus | None]
    machine_contact_gaps: dict[MachineId, MachineContactGap] = msgspec.field(name="silent")
    idle: dict[MachineId, Seconds]
    last_contact_age_s: Seconds = msgspec.field(name="heard_ago")  # -1: the shard has no machine
    drained_jobs: list[JobId] = msgspec.field(name="clear")
    unreconciled: int = msgspec.field(name="unheard", default=0)
    estimates: dict[str, tuple[float, int]]
    drained: list[MachineId] | UnsetType = UNSET  # only while machines move between partitions
    controller: ControllerName | UnsetType = msgspec.field(name="node", default=UNSET)
    version: int | UnsetType = UNSET

    @property
    def drained_machines(self) -> list[MachineId]:
        """Machines that a transfer drains and that are proven empty."""
        return [] if isinstance(self.drained, UnsetType) else self.drained


class StatusConfirmation(msgspec.Struct, kw_only=True):
    """The leader's answer to a shard's status: up to which number it has them."""

    kind: str = KIND_STATUS_CONFIRMATION
    shard: ShardName = msgspec.field(name="zone")
    token: FencingToken
    incarnation: str = msgspec.field(name="boot")
    number: int
    version: int | UnsetType = UNSET


class Gossip(msgspec.Struct, kw_only=True):
    """What each controller tells all others about once a second.

    The fields of a `CancellationMessage` stand in the same map.
    """

    kind: str = KIND_GOSSIP
    controller: ControllerName = msgspec.field(name="node")
    version: int | UnsetType = UNSET
    running: dict[JobId, int]
    shards: dict[ShardName, tuple[FencingToken, ControllerName]] = msgspec.field(name="parts")
    reaches_state_service: bool = msgspec.field(name="state")


class ForwardedRequest(msgspec.Struct, kw_only=True):
    """A user's request that a controller puts to one that reaches the state service."""

    kind: str = KIND_FORWARDED_REQUEST
    method: str
    target: str
    body: bytes


class ForwardedResponse(msgspec.Struct, kw_only=True):
    """The answer to a forwarded request."""

    status: int
    body: bytes
    retry_after: int | None = msgspec.field(name="retry", default=None)


Message = TypeVar("Message", bound=msgspec.Struct)


def encode(message: msgspec.Struct) -> dict[str, Any]:
    """A message as the map that goes into a frame."""
    encoded: dict[str, Any] = msgspec.to_builtins(message, builtin_types=(bytes,))
    return encoded


def decode(message: Mapping[str, Any], kind: type[Message]) -> Message:
    """Read a message of a known kind.

    Raises:
        ValueError: it is malformed.
    """
    return msgspec.convert(message, type=kind, builtin_types=(bytes,))
