"""Operators' transfer commands, checked before anything is written."""

from __future__ import annotations

import re
from collections.abc import Mapping

from dapplewick.config import Deployment
from dapplewick.errors import DapplewickError
from dapplewick.partitions.plan import PartitionPlan
from dapplewick.partitions.transfer_drafts import OPERATOR, TransferCommand
from dapplewick.storage.transfers import CANCELLED, MAX_TRANSFER_MACHINES, REQUESTED, TransferRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import Seconds, TransferId, partition_of, shard_name, zone_of

COMMAND_ID = re.compile(r"o-[0-9a-f]{8,32}")

BAD_REQUEST, NOT_FOUND, CONFLICT = 400, 404, 409


class TransferRefusedError(DapplewickError):
    """A command can't be carried out; the text is one line that names the field."""

    def __init__(self, reason: str, status: int = BAD_REQUEST) -> None:
        super().__init__(reason)
        self.status = status


def move_command(
    message: Mapping[str, object],
    cache: WatchCache,
    plan: PartitionPlan,
    deployment: Deployment,
    wall_time: Seconds,
) -> TransferCommand:
    """Check a move of machines from one partition of a zone to another.

    An empty name is the zone's own shard. A repeated command has the same id, and is carried out
    once: how many machines there are counts for the first only.

    Args:
        message: the command as it came; any field may be missing or of another type.
        cache: the records.
        plan: the plan in force.
        deployment: the zones that there are.
        wall_time: Unix time, in seconds.

    Raises:
        TransferRefusedError: a field is wrong; of several the first in the order of the checks.
    """
    transfer = TransferId(_text(message, "id"))
    if COMMAND_ID.fullmatch(transfer) is None:
        raise TransferRefusedError("id: must be o- and 8 to 32 of 0-9 and a-f")
    zone, type_ = _text(message, "zone"), _text(message, "type")
    if zone not in deployment.zones:
        raise TransferRefusedError(f"zone: unknown zone {zone!r}")
    if type_ not in cache.types:
        raise TransferRefusedError(f"type: unknown type {type_!r}")
    source, target = _text(message, "source"), _text(message, "target")
    _check_partitions(zone, source, target, cache, plan)
    record = TransferRecord(
        0,
        shard_name(zone, source),
        shard_name(zone, target),
        type_,
        _count(message),
        REQUESTED,
        wall_time,
        wall_time + plan.move_within_s,
        origin=OPERATOR,
    )
    if transfer not in cache.transfers.records:
        _check_available(cache, record)
    return TransferCommand(transfer, record)


def cancellation(message: Mapping[str, object], cache: WatchCache) -> TransferCommand:
    """Check the cancellation of a transfer.

    Machines that have moved stay where they are. If the transfer is complete, cancelling it ends
    the time in which the plan leaves its machines alone.

    Raises:
        TransferRefusedError: there is no such transfer, or it is cancelled already.
    """
    transfer = TransferId(_text(message, "id"))
    record = cache.transfers.records.get(transfer)
    if record is None:
        raise TransferRefusedError(f"id: unknown transfer {transfer!r}", status=NOT_FOUND)
    if record.state == CANCELLED:
        raise TransferRefusedError(f"id: {transfer} is cancelled already", status=CONFLICT)
    return TransferCommand(transfer, None)


def _text(message: Mapping[str, object], field: str) -> str:
    value = message.get(field)
    if not isinstance(value, str):
        raise TransferRefusedError(f"{field}: a text is needed")
    return value


def _count(message: Mapping[str, object]) -> int:
    count = message.get("count")
    if (
        isinstance(count, bool)
        or not isinstance(count, int)
        or not 0 < count <= MAX_TRANSFER_MACHINES
    ):
        raise TransferRefusedError(f"count: a number from 1 to {MAX_TRANSFER_MACHINES} is needed")
    return count


def _check_partitions(
    zone: str, source: str, target: str, cache: WatchCache, plan: PartitionPlan
) -> None:
    """Refuse unknown partitions; one that the plan has no more may still give its machines."""
    for field, partition in (("source", source), ("target", target)):
        planned = not partition or partition in plan.partitions
        left_over = field == "source" and shard_name(zone, partition) in cache.shards
        if not planned and not left_over:
            raise TransferRefusedError(f"{field}: unknown share {partition!r}")
    if source == target:
        raise TransferRefusedError("target: the same share as source")


def _check_available(cache: WatchCache, record: TransferRecord) -> None:
    available = _available(cache, record)
    if record.count > available:
        source = partition_of(record.source) or "the zone itself"
        raise TransferRefusedError(
            f"count: {source} has {available} {record.type} in {zone_of(record.source)}, "
            f"not {record.count}"
        )


def _available(cache: WatchCache, record: TransferRecord) -> int:
    """How many machines the source has, and are on their way to it."""
    there = sum(
        machine.shard == record.source and machine.type == record.type and not machine.terminating
        for machine in cache.machines.values()
    )
    coming = sum(
        other.count - other.moved
        for other in cache.transfers.records.values()
        if other.open and (other.target, other.type) == (record.source, record.type)
    )
    return there + coming
