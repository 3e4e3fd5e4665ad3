"""Operators' commands on partitions, their answers and their wire format.

Messages call partitions "shares"; attribute names follow the rest of the package. The module
`commands` reads each field of a command separately, so that a refusal can name the invalid field.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import UNSET, UnsetType

from dapplewick.types import MachineId, Revision, Seconds, ShardName

SHOW, PLAN, MOVE, CANCEL = "show", "plan", "move", "cancel"

OK = 200
BAD_REQUEST = 400
UNAVAILABLE = 503


class ShowCommand(msgspec.Struct):
    """Requests a description of the partitions, their machines and the transfers."""

    verb: str = SHOW


class PlanCommand(msgspec.Struct, kw_only=True):
    """Puts a plan in force; None restores the plan that the controllers started with."""

    verb: str = PLAN
    plan: object


class MoveCommand(msgspec.Struct, kw_only=True):
    """Moves machines between partitions; an empty name stands for the zone's default shard."""

    verb: str = MOVE
    id: str
    zone: str
    type: str
    count: int
    source: str
    target: str


class CancelCommand(msgspec.Struct, kw_only=True):
    """Cancels a transfer."""

    verb: str = CANCEL
    id: str


class Refusal(msgspec.Struct):
    """The answer to a command that was rejected, or whose outcome is unknown."""

    status: int
    error: str


class PlanStored(msgspec.Struct, kw_only=True):
    """The answer to a plan command; it has no revision if nothing had to be stored."""

    status: int = OK
    revision: Revision | UnsetType = UNSET


class TransferAnswer(msgspec.Struct, kw_only=True):
    """The answer to a move or a cancellation whose record is stored."""

    status: int = OK
    id: str
    state: str


class DurationSummary(msgspec.Struct):
    """The number of recorded durations, and their distribution in seconds."""

    count: int
    p50_s: Seconds
    p95_s: Seconds
    max_s: Seconds


class MachineCount(msgspec.Struct, kw_only=True):
    """The current and the target number of machines of a type in a partition of a zone."""

    zone: str
    partition: str = msgspec.field(name="share")  # empty: the zone's default shard
    type: str
    machines: int
    target: int | None  # None: the zone's default shard has no target


class TransferDescription(msgspec.Struct, kw_only=True):
    """A transfer, as reported to operators."""

    id: str
    generation: int
    zone: str
    source: str
    target: str
    type: str
    count: int
    moved: int
    state: str
    origin: str
    left_s: Seconds  # until the transfer is overdue; 0 if it has ended
    waits_for: dict[MachineId, str]  # why each draining machine has not been handed over


class PartitionsDescription(msgspec.Struct, kw_only=True):
    """All partitions, their machines and targets, and the transfers."""

    status: int = OK
    leader: str
    plan: object  # in its stored form
    times: dict[str, DurationSummary]
    format: int
    targets_known: bool
    teams: dict[str, list[str]]
    machines: list[MachineCount]
    owners: dict[ShardName, str]
    transfers: list[TransferDescription]


Answer = Refusal | PlanStored | TransferAnswer | PartitionsDescription
Command = ShowCommand | PlanCommand | MoveCommand | CancelCommand


def unavailable(reason: str) -> Refusal:
    """The answer to a command that may succeed later, or may have succeeded."""
    return Refusal(UNAVAILABLE, reason)


def encode(message: Answer | Command) -> dict[str, Any]:
    """Encode a message as a map for a frame."""
    encoded: dict[str, Any] = msgspec.to_builtins(message)
    return encoded
