"""Requests for the transfers that bring each partition to its target."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from dapplewick.partitions.index import MachineIndex
from dapplewick.partitions.plan import PartitionPlan
from dapplewick.partitions.solver import Cell
from dapplewick.partitions.targets import TargetsInForce
from dapplewick.partitions.transfer_drafts import PLAN, TransferDrafts
from dapplewick.storage.transfers import (
    COMPLETE,
    MAX_TRANSFER_MACHINES,
    OVERDUE,
    REQUESTED,
    TransferRecord,
)
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import Seconds, ShardName, TransferId, partition_of, shard_name, zone_of


def holds_off_plan(plan: PartitionPlan, record: TransferRecord, wall_time: Seconds) -> bool:
    """Whether an operator's transfer that has ended still keeps the plan from its machines.

    Args:
        plan: the plan in force, which says for how long.
        record: the transfer.
        wall_time: Unix time, in seconds.
    """
    ended = record.origin != PLAN and record.state in (COMPLETE, OVERDUE)
    return (
        ended and bool(plan.partitions) and wall_time < record.requested_at + plan.hold_commands_s
    )


class Imbalance:
    """Machines of one type in one zone that its shards have over or below their targets."""

    def __init__(self) -> None:
        self.spare: dict[ShardName, int] = {}
        self.short: dict[ShardName, int] = {}
        self.unassigned = 0  # machines of the zone's own shard that are in no transfer; may be < 0

    def note(self, shard: ShardName, excess: int) -> None:
        """Take note of how many machines a shard has over its target; negative: below it."""
        if excess > 0:
            self.spare[shard] = excess
        elif excess < 0:
            self.short[shard] = -excess

    def take_spare(self, shard: ShardName, most: int) -> int:
        """Take machines that a shard can spare, at most so many; gives how many."""
        count = min(most, self.spare[shard])
        self.spare[shard] -= count
        return count

    def take_unassigned(self, most: int) -> int:
        """Take machines of the zone's own shard, at most so many; gives how many."""
        count = min(most, max(0, self.unassigned))
        self.unassigned -= count
        return count


class Balancer:
    """Pairs partitions that have too many machines of a type with those that have too few."""

    def __init__(
        self, cache: WatchCache, index: MachineIndex, zones: Iterable[str], drafts: TransferDrafts
    ) -> None:
        self._cache = cache
        self._index = index
        self._zones = list(zones)
        self._drafts = drafts

    def request_transfers(
        self, wall_time: Seconds, plan: PartitionPlan, targets: TargetsInForce
    ) -> None:
        """Draft transfers towards the targets.

        Machines of a kind that an operator has moved are left alone for a while.
        """
        held = {
            (zone_of(record.source), record.type)
            for record in self._drafts.records().values()
            if record.origin != PLAN and (record.open or holds_off_plan(plan, record, wall_time))
        }
        kinds = {(zone_of(kind.shard), kind.type) for kind, _ in self._index.kinds()}
        for zone, type_ in sorted(kinds - held):
            if zone in self._zones:
                self._balance(wall_time, plan, targets, zone, type_)

    def _balance(
        self,
        wall_time: Seconds,
        plan: PartitionPlan,
        targets: TargetsInForce,
        zone: str,
        type_: str,
    ) -> None:
        """Draft the transfers of one type of machine in one zone."""
        until = wall_time + plan.move_within_s
        imbalance = self._imbalance(plan, targets, zone, type_)
        own = shard_name(zone)
        for target, missing in imbalance.short.items():
            missing -= self._cancel_counter_moves(target, type_, missing, outgoing=True)
            for source in list(imbalance.spare):
                count = imbalance.take_spare(source, missing)
                missing -= count
                self._request(wall_time, until, source, target, type_, count)
            count = imbalance.take_unassigned(missing)
            self._request(wall_time, until, own, target, type_, count)
        for source, count in imbalance.spare.items():
            count -= self._cancel_counter_moves(source, type_, count, outgoing=False)
            self._request(wall_time, until, source, own, type_, count)

    def _imbalance(
        self, plan: PartitionPlan, targets: TargetsInForce, zone: str, type_: str
    ) -> Imbalance:
        """What is over and what is short, with the transfers that are open counted as done."""
        partitions = {
            partition_of(kind.shard)
            for kind, _ in self._index.kinds()
            if zone_of(kind.shard) == zone
        }
        partitions |= {cell.partition for cell, _ in targets.items() if cell.zone == zone}
        coming, going = self._in_flight(zone, type_)
        imbalance = Imbalance()
        for partition in sorted(partitions - {""}):
            shard = shard_name(zone, partition)
            expected = self._index.count(shard, type_) + coming[shard] - going[shard]
            # A partition that is not in the plan gives all that it has.
            target = targets[Cell(partition, zone, type_)] if partition in plan.partitions else 0
            imbalance.note(shard, expected - target)
        own = shard_name(zone)
        imbalance.unassigned = self._index.count(own, type_) - going[own]
        return imbalance

    def _in_flight(self, zone: str, type_: str) -> tuple[Counter[str], Counter[str]]:
        """How many machines of a type are on their way to each shard, and from each."""
        coming: Counter[str] = Counter()
        going: Counter[str] = Counter()
        for record in self._drafts.open_records().values():
            if (zone_of(record.source), record.type) == (zone, type_):
                rest = record.count - record.moved
                coming[record.target] += rest
                going[record.source] += rest
        return coming, going

    def _cancel_counter_moves(self, shard: str, type_: str, most: int, *, outgoing: bool) -> int:
        """Cancel open transfers that the targets no longer want.

        Args:
            shard: one that is short (`outgoing`), or that has too many machines.
            type_: of the machines.
            most: transfers of more machines together than this are not cancelled.
            outgoing: whether transfers from the shard are cancelled, else those to it.

        Returns:
            How many machines the cancelled transfers still had to move.
        """
        ended = 0
        for transfer, record in self._drafts.open_records().items():
            end = record.source if outgoing else record.target
            rest = record.count - record.moved
            if end == shard and record.type == type_ and ended + rest <= most:
                self._drafts.cancel(transfer, "the targets have changed")
                ended += rest
        return ended

    def _request(
        self, wall_time: Seconds, until: Seconds, source: str, target: str, type_: str, count: int
    ) -> None:
        """Draft a transfer for the plan; none of no machines."""
        if count <= 0:
            return
        generation = self._drafts.coming_generation
        transfer = TransferId(f"p-{generation}-{self._cache.revision}")
        count = min(count, MAX_TRANSFER_MACHINES)
        self._drafts.request(
            transfer,
            TransferRecord(generation, source, target, type_, count, REQUESTED, wall_time, until),
        )
