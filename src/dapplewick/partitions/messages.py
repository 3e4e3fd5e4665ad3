"""Operators' commands on partitions and their answers, and their form on the wire.

Partitions are called shares in messages; the names here are the ones that the rest of the package
uses. A command's fields are read one by one in `commands`, so that a refusal can name the field.
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
    """Ask for the partitions, their machines, and what is moving."""

    verb: str = SHOW


class PlanCommand(msgspec.Struct, kw_only=True):
    """Put a plan in force; none: go back to the one that the controllers started with."""

    verb: str = PLAN
    plan: object


class MoveCommand(msgspec.Struct, kw_only=True):
    """Move machines between partitions of a zone; an empty name is the zone's own shard."""

    verb: str = MOVE
    id: str
    zone: str
    type: str
    count: int
    source: str
    target: str


class CancelCommand(msgspec.Struct, kw_only=True):
    """Cancel a transfer."""

    verb: str = CANCEL
    id: str


class Refusal(msgspec.Struct):
    """A command that is not carried out, or that is not known to be."""

    status: int
    error: str


class PlanStored(msgspec.Struct, kw_only=True):
    """A plan is stored; without a revision where there was nothing to store."""

    status: int = OK
    revision: Revision | UnsetType = UNSET


class TransferAnswer(msgspec.Struct, kw_only=True):
    """A move or a cancellation is stored."""

    status: int = OK
    id: str
    state: str


class DurationSummary(msgspec.Struct):
    """How many durations were recorded, and how long they were, in seconds."""

    count: int
    p50_s: Seconds
    p95_s: Seconds
    max_s: Seconds


class MachineCount(msgspec.Struct, kw_only=True):
    """How many machines of a type a partition has in a zone, and is to have."""

    zone: str
    partition: str = msgspec.field(name="share")  # empty: the zone's own shard
    type: str
    machines: int
    target: int | None  # None: the zone's own shard has no target


class TransferDescription(msgspec.Struct, kw_only=True):
    """A transfer as operators see it."""

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
    left_s: Seconds  # until it is overdue; 0 for one that has ended
    waits_for: dict[MachineId, str]  # why each drained machine was not handed over yet


class PartitionsDescription(msgspec.Struct, kw_only=True):
    """All partitions, their machines and targets, and the transfers."""

    status: int = OK
    leader: str
    plan: object  # as it is stored
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
    """The answer where a command may succeed later, or may have succeeded."""
    return Refusal(UNAVAILABLE, reason)


def encode(message: Answer | Command) -> dict[str, Any]:
    """A message as the map that goes into a frame."""
    encoded: dict[str, Any] = msgspec.to_builtins(message)
    return encoded
