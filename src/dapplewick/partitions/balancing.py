"""Requests the transfers that bring each partition to its target number of machines."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from dapplewick.partitions.index import MachineIndex
from dapplewick.partitions.plan import PartitionPlan
from dapplewick.partitions.solver import Cell
from dapplewick.partitions.targets import TargetsInForce
from dapplewick.partitions.transfer_drafts import ORIGIN_PLAN, TransferDrafts
from dapplewick.storage.transfers import (
    COMPLETE,
    MAX_TRANSFER_MACHINES,
    OVERDUE,
    REQUESTED,
    TransferRecord,
)
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import Seconds, ShardName, TransferId, partition_of, shard_name, zone_of


def blocks_plan(plan: PartitionPlan, record: TransferRecord, wall_time: Seconds) -> bool:
    """Whether an operator's ended transfer still prevents the plan from moving machines.

    While it does, the plan moves no machines of the transfer's type in its zone; otherwise the plan
    would undo the operator's transfer as soon as it has ended.

    Args:
        plan: the plan in force, which sets how long the plan is blocked.
        record: the transfer.
        wall_time: Unix time, in seconds.
    """
    operator_ended = record.origin != ORIGIN_PLAN and record.state in (COMPLETE, OVERDUE)
    return (
        operator_ended
        and bool(plan.partitions)
        and wall_time < record.requested_at + plan.hold_commands_s
    )


class Imbalance:
    """Surpluses and shortages of one machine type in one zone, relative to the targets."""

    def __init__(self) -> None:
        self.surplus: dict[ShardName, int] = {}
        self.shortages: dict[ShardName, int] = {}
        # Machines in the zone's default shard, without those that open transfers will move out of
        # it; may be negative.
        self.unassigned = 0

    def record_excess(self, shard: ShardName, excess: int) -> None:
        """Record how many machines a shard has above its target; negative if below it."""
        if excess > 0:
            self.surplus[shard] = excess
        elif excess < 0:
            self.shortages[shard] = -excess

    def allocate_surplus(self, shard: ShardName, limit: int) -> int:
        """Allocate up to `limit` machines of a shard's surplus and return their number."""
        count = min(limit, self.surplus[shard])
        self.surplus[shard] -= count
        return count

    def allocate_unassigned(self, limit: int) -> int:
        """Allocate up to `limit` machines of the zone's default shard and return their number."""
        count = min(limit, max(0, self.unassigned))
        self.unassigned -= count
        return count


class Balancer:
    """Pairs partitions with a surplus of a machine type with partitions that are short of it."""

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
        """Draft the transfers that bring the partitions to their targets.

        A machine type in a zone is skipped while an operator's transfer of it is open or blocks the
        plan.
        """
        blocked = {
            (zone_of(record.source), record.type)
            for record in self._drafts.records().values()
            if record.origin != ORIGIN_PLAN
            and (record.open or blocks_plan(plan, record, wall_time))
        }
        kinds = {(zone_of(pool.shard), pool.type) for pool, _ in self._index.counts()}
        for zone, type_ in sorted(kinds - blocked):
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
        overdue_at = wall_time + plan.move_within_s
        imbalance = self._imbalance(plan, targets, zone, type_)
        zone_shard = shard_name(zone)
        for target, missing in imbalance.shortages.items():
            missing -= self._cancel_opposing_transfers(target, type_, missing, outgoing=True)
            for source in list(imbalance.surplus):
                count = imbalance.allocate_surplus(source, missing)
                missing -= count
                self._request(wall_time, overdue_at, source, target, type_, count)
            count = imbalance.allocate_unassigned(missing)
            self._request(wall_time, overdue_at, zone_shard, target, type_, count)
        for source, count in imbalance.surplus.items():
            count -= self._cancel_opposing_transfers(source, type_, count, outgoing=False)
            self._request(wall_time, overdue_at, source, zone_shard, type_, count)

    def _imbalance(
        self, plan: PartitionPlan, targets: TargetsInForce, zone: str, type_: str
    ) -> Imbalance:
        """Surpluses and shortages, as they will be once all open transfers are complete."""
        partitions = {
            partition_of(pool.shard)
            for pool, _ in self._index.counts()
            if zone_of(pool.shard) == zone
        }
        partitions |= {cell.partition for cell, _ in targets.items() if cell.zone == zone}
        incoming, outgoing = self._in_flight(zone, type_)
        imbalance = Imbalance()
        for partition in sorted(partitions - {""}):
            shard = shard_name(zone, partition)
            expected = self._index.count(shard, type_) + incoming[shard] - outgoing[shard]
            # A partition that is no longer in the plan has a target of 0 machines.
            target = targets[Cell(partition, zone, type_)] if partition in plan.partitions else 0
            imbalance.record_excess(shard, expected - target)
        zone_shard = shard_name(zone)
        imbalance.unassigned = self._index.count(zone_shard, type_) - outgoing[zone_shard]
        return imbalance

    def _in_flight(self, zone: str, type_: str) -> tuple[Counter[str], Counter[str]]:
        """The machines of a type that open transfers still have to move to and from each shard."""
        incoming: Counter[str] = Counter()
        outgoing: Counter[str] = Counter()
        for record in self._drafts.open_records().values():
            if (zone_of(record.source), record.type) == (zone, type_):
                remaining = record.count - record.moved
                incoming[record.target] += remaining
                outgoing[record.source] += remaining
        return incoming, outgoing

    def _cancel_opposing_transfers(
        self, shard: str, type_: str, limit: int, *, outgoing: bool
    ) -> int:
        """Cancel open transfers that move machines away from the targets.

        Args:
            shard: a shard with a shortage (if `outgoing`) or a surplus of machines.
            type_: the machine type.
            limit: the maximum number of machines that the cancelled transfers together still had to
                move.
            outgoing: whether to cancel transfers from the shard instead of transfers to it.

        Returns:
            The number of machines that the cancelled transfers still had to move.
        """
        cancelled_count = 0
        for transfer, record in self._drafts.open_records().items():
            endpoint = record.source if outgoing else record.target
            remaining = record.count - record.moved
            if endpoint == shard and record.type == type_ and cancelled_count + remaining <= limit:
                self._drafts.cancel(transfer, "the targets have changed")
                cancelled_count += remaining
        return cancelled_count

    def _request(
        self,
        wall_time: Seconds,
        overdue_at: Seconds,
        source: str,
        target: str,
        type_: str,
        count: int,
    ) -> None:
        """Draft a transfer for the plan, unless `count` is 0 or negative."""
        if count <= 0:
            return
        generation = self._drafts.next_generation
        transfer = TransferId(f"p-{generation}-{self._cache.revision}")
        count = min(count, MAX_TRANSFER_MACHINES)
        self._drafts.request(
            transfer,
            TransferRecord(
                generation, source, target, type_, count, REQUESTED, wall_time, overdue_at
            ),
        )
