"""Operators' orders, checked before anything is written."""

from __future__ import annotations

import re
from typing import Any

from dapplewick.config import Deployment
from dapplewick.shares.keeper import OPERATOR, Order
from dapplewick.shares.plan import SharePlan
from dapplewick.storage.records import WatchCache
from dapplewick.storage.transfers import CANCELLED, COUNT_MOST, REQUESTED, TransferRecord
from dapplewick.types import Seconds, TransferId, shard_name

ORDER_ID = re.compile(r"o-[0-9a-f]{8,32}")


class OrderRefused(Exception):
    """An order can't be carried out; the text is one line that names the field."""

    def __init__(self, reason: str, status: int = 400) -> None:
        super().__init__(reason)
        self.status = status


def _text(message: dict[str, Any], field: str) -> str:
    value = message.get(field)
    if not isinstance(value, str):
        raise OrderRefused(f"{field}: a text is needed")
    return value


def move_order(
    message: dict[str, Any],
    cache: WatchCache,
    plan: SharePlan,
    deployment: Deployment,
    wall: Seconds,
) -> Order:
    """A move of machines from one share of a zone to another; an empty name is the zone's own
    part. A repeated order has the same id, and is carried out once."""
    transfer = _text(message, "id")
    if ORDER_ID.fullmatch(transfer) is None:
        raise OrderRefused("id: must be o- and 8 to 32 of 0-9 and a-f")
    zone, type_ = _text(message, "zone"), _text(message, "type")
    if zone not in deployment.zones:
        raise OrderRefused(f"zone: unknown zone {zone!r}")
    if type_ not in cache.types:
        raise OrderRefused(f"type: unknown type {type_!r}")
    source, target = _text(message, "source"), _text(message, "target")
    for field, share in (("source", source), ("target", target)):
        known = not share or share in plan.shares or shard_name(zone, share) in cache.shards
        if not known or (field == "target" and share and share not in plan.shares):
            raise OrderRefused(f"{field}: unknown share {share!r}")
    if source == target:
        raise OrderRefused("target: the same share as source")
    count = message.get("count")
    if isinstance(count, bool) or not isinstance(count, int) or not 0 < count <= COUNT_MOST:
        raise OrderRefused(f"count: a number from 1 to {COUNT_MOST} is needed")
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
            raise OrderRefused(
                f"count: {source or 'the zone itself'} has {there} {type_} in {zone}, not {count}"
            )
    return Order(TransferId(transfer), record)


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


def cancellation(message: dict[str, Any], cache: WatchCache) -> Order:
    """The end of a transfer. Machines that have moved stay where they are; of one that is
    complete it ends that the plan leaves its machines alone."""
    transfer = TransferId(_text(message, "id"))
    record = cache.transfers.records.get(transfer)
    if record is None:
        raise OrderRefused(f"id: unknown transfer {transfer!r}", status=404)
    if record.state == CANCELLED:
        raise OrderRefused(f"id: {transfer} is cancelled already", status=409)
    return Order(transfer, None)
