"""Operators' orders, checked before anything is written."""

from __future__ import annotations

import re
from collections.abc import Mapping

from dapplewick.config import Deployment
from dapplewick.errors import DapplewickError
from dapplewick.partitions.plan import PartitionPlan
from dapplewick.partitions.transfer_drafts import OPERATOR, TransferCommand
from dapplewick.storage.transfers import CANCELLED, COUNT_MOST, REQUESTED, TransferRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import Seconds, TransferId, shard_name

COMMAND_ID = re.compile(r"o-[0-9a-f]{8,32}")


class TransferRefusedError(DapplewickError):
    """An order can't be carried out; the text is one line that names the field."""

    def __init__(self, reason: str, status: int = 400) -> None:
        super().__init__(reason)
        self.status = status


def _text(message: Mapping[str, object], field: str) -> str:
    value = message.get(field)
    if not isinstance(value, str):
        raise TransferRefusedError(f"{field}: a text is needed")
    return value


def move_command(
    message: Mapping[str, object],
    cache: WatchCache,
    plan: PartitionPlan,
    deployment: Deployment,
    wall: Seconds,
) -> TransferCommand:
    """A move of machines from one share of a zone to another; an empty name is the zone's own
    part. A repeated order has the same id, and is carried out once."""
    transfer = _text(message, "id")
    if COMMAND_ID.fullmatch(transfer) is None:
        raise TransferRefusedError("id: must be o- and 8 to 32 of 0-9 and a-f")
    zone, type_ = _text(message, "zone"), _text(message, "type")
    if zone not in deployment.zones:
        raise TransferRefusedError(f"zone: unknown zone {zone!r}")
    if type_ not in cache.types:
        raise TransferRefusedError(f"type: unknown type {type_!r}")
    source, target = _text(message, "source"), _text(message, "target")
    for field, partition in (("source", source), ("target", target)):
        known = (
            not partition
            or partition in plan.partitions
            or shard_name(zone, partition) in cache.shards
        )
        if not known or (field == "target" and partition and partition not in plan.partitions):
            raise TransferRefusedError(f"{field}: unknown share {partition!r}")
    if source == target:
        raise TransferRefusedError("target: the same share as source")
    count = message.get("count")
    if isinstance(count, bool) or not isinstance(count, int) or not 0 < count <= COUNT_MOST:
        raise TransferRefusedError(f"count: a number from 1 to {COUNT_MOST} is needed")
    record = TransferRecord(
        0,
        shard_name(zone, source),
        shard_name(zone, target),
        type_,
        count,
        REQUESTED,
        wall,
        wall + plan.move_within_s,
        origin=OPERATOR,
    )
    if TransferId(transfer) not in cache.transfers.records:
        there = _available(cache, record)
        if count > there:
            raise TransferRefusedError(
                f"count: {source or 'the zone itself'} has {there} {type_} in {zone}, not {count}"
            )
    return TransferCommand(TransferId(transfer), record)


def _available(cache: WatchCache, record: TransferRecord) -> int:
    """The machines that a share has, and those that are on their way to it."""
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


def cancellation(message: Mapping[str, object], cache: WatchCache) -> TransferCommand:
    """The end of a transfer. Machines that have moved stay where they are; of one that is
    complete it ends that the plan leaves its machines alone."""
    transfer = TransferId(_text(message, "id"))
    record = cache.transfers.records.get(transfer)
    if record is None:
        raise TransferRefusedError(f"id: unknown transfer {transfer!r}", status=404)
    if record.state == CANCELLED:
        raise TransferRefusedError(f"id: {transfer} is cancelled already", status=409)
    return TransferCommand(transfer, None)
