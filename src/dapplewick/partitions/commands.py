"""Validation of operators' transfer commands, before anything is written."""

from __future__ import annotations

import re
from collections.abc import Mapping

from dapplewick.config import Deployment
from dapplewick.errors import DapplewickError
from dapplewick.partitions.plan import PartitionPlan
from dapplewick.partitions.transfer_drafts import ORIGIN_OPERATOR, TransferCommand
from dapplewick.storage.transfers import CANCELLED, MAX_TRANSFER_MACHINES, REQUESTED, TransferRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import Seconds, TransferId, partition_of, shard_name, zone_of

COMMAND_ID = re.compile(r"o-[0-9a-f]{8,32}")

BAD_REQUEST, NOT_FOUND, CONFLICT = 400, 404, 409


class CommandRefusedError(DapplewickError):
    """A command is rejected; the message is one line that names the invalid field."""

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
    """Validate a command that moves machines from one partition of a zone to another.

    An empty partition name stands for the zone's default shard. A repeated command has the same id
    and is executed once; only the first one is checked against the number of available machines.

    Args:
        message: the command as received; any field may be missing or of a wrong type.
        cache: the cached records of the state service.
        plan: the plan in force.
        deployment: the deployment, which lists the zones.
        wall_time: Unix time, in seconds.

    Raises:
        CommandRefusedError: a field is invalid; the message names the first one found.
    """
    transfer = TransferId(_string_field(message, "id"))
    if COMMAND_ID.fullmatch(transfer) is None:
        raise CommandRefusedError("id: must be o- and 8 to 32 of 0-9 and a-f")
    zone, type_ = _string_field(message, "zone"), _string_field(message, "type")
    if zone not in deployment.zones:
        raise CommandRefusedError(f"zone: unknown zone {zone!r}")
    if type_ not in cache.types:
        raise CommandRefusedError(f"type: unknown type {type_!r}")
    source, target = _string_field(message, "source"), _string_field(message, "target")
    _check_partitions(zone, source, target, cache, plan)
    record = TransferRecord(
        0,
        shard_name(zone, source),
        shard_name(zone, target),
        type_,
        _count_field(message),
        REQUESTED,
        wall_time,
        wall_time + plan.move_within_s,
        origin=ORIGIN_OPERATOR,
    )
    if transfer not in cache.transfers.records:
        _check_available(cache, record)
    return TransferCommand(transfer, record)


def cancel_command(message: Mapping[str, object], cache: WatchCache) -> TransferCommand:
    """Validate the cancellation of a transfer.

    Machines that have already moved are not moved back. Cancelling a complete transfer ends the
    period in which the plan may not move machines of its type in its zone.

    Raises:
        CommandRefusedError: the transfer does not exist or is already cancelled.
    """
    transfer = TransferId(_string_field(message, "id"))
    record = cache.transfers.records.get(transfer)
    if record is None:
        raise CommandRefusedError(f"id: unknown transfer {transfer!r}", status=NOT_FOUND)
    if record.state == CANCELLED:
        raise CommandRefusedError(f"id: {transfer} is cancelled already", status=CONFLICT)
    return TransferCommand(transfer, None)


def _string_field(message: Mapping[str, object], field: str) -> str:
    value = message.get(field)
    if not isinstance(value, str):
        raise CommandRefusedError(f"{field}: a text is needed")
    return value


def _count_field(message: Mapping[str, object]) -> int:
    count = message.get("count")
    if (
        isinstance(count, bool)
        or not isinstance(count, int)
        or not 0 < count <= MAX_TRANSFER_MACHINES
    ):
        raise CommandRefusedError(f"count: a number from 1 to {MAX_TRANSFER_MACHINES} is needed")
    return count


def _check_partitions(
    zone: str, source: str, target: str, cache: WatchCache, plan: PartitionPlan
) -> None:
    """Reject unknown partitions; a partition removed from the plan is valid as a source only."""
    for field, partition in (("source", source), ("target", target)):
        planned = not partition or partition in plan.partitions
        has_leftover_shard = field == "source" and shard_name(zone, partition) in cache.shards
        if not planned and not has_leftover_shard:
            raise CommandRefusedError(f"{field}: unknown share {partition!r}")
    if source == target:
        raise CommandRefusedError("target: the same share as source")


def _check_available(cache: WatchCache, record: TransferRecord) -> None:
    available = _available_count(cache, record)
    if record.count > available:
        source = partition_of(record.source) or "the zone itself"
        raise CommandRefusedError(
            f"count: {source} has {available} {record.type} in {zone_of(record.source)}, "
            f"not {record.count}"
        )


def _available_count(cache: WatchCache, record: TransferRecord) -> int:
    """The machines of the source, including those that open transfers will move to it."""
    present = sum(
        machine.shard == record.source and machine.type == record.type and not machine.terminating
        for machine in cache.machines.values()
    )
    incoming = sum(
        other.count - other.moved
        for other in cache.transfers.records.values()
        if other.open and (other.target, other.type) == (record.source, record.type)
    )
    return present + incoming
