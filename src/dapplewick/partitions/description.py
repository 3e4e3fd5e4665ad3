"""Describes partitions to operators, including why a machine has not been handed over yet."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import msgspec

from dapplewick.core.estimates import UNBOUNDED_RUN_S
from dapplewick.core.leader.observed_shard import ObservedShard
from dapplewick.partitions.messages import (
    DurationSummary,
    MachineCount,
    PartitionsDescription,
    TransferDescription,
)
from dapplewick.partitions.plan import PartitionPlan
from dapplewick.partitions.targets import TargetsInForce
from dapplewick.protocol.peers import MachineStatus
from dapplewick.storage.keys import SHARDS, TRANSFERS
from dapplewick.storage.transfers import TransferRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import MachineId, Seconds, ShardName, TransferId, partition_of, zone_of

MAX_CONTACT_GAP_S = 4.0  # longer gaps are reported as the reason why a machine has not moved


class PartitionDescriber:
    """Describes partitions from the records and the shards' statuses, without changing either."""

    def __init__(
        self, now: Seconds, wall_time: Seconds, cache: WatchCache, shards: Iterable[ObservedShard]
    ) -> None:
        self._now = now
        self._wall_time = wall_time
        self._cache = cache
        self._shards = {shard.shard: shard for shard in shards}

    def describe(
        self,
        leader: str,
        plan: PartitionPlan,
        targets: TargetsInForce,
        durations: dict[str, DurationSummary],
    ) -> PartitionsDescription:
        """Describe all partitions, their machines and targets, and the transfers, oldest first."""
        transfers = sorted(
            self._cache.transfers.records.items(), key=lambda item: item[1].generation
        )
        return PartitionsDescription(
            leader=leader,
            plan=msgspec.to_builtins(plan),
            times=durations,
            format=self._cache.format,
            targets_known=targets.known,
            teams={name: partition.teams for name, partition in plan.partitions.items()},
            machines=self._machine_counts(targets),
            owners={shard: record.owner for shard, record in self._cache.shards.items()},
            transfers=[self._transfer(name, record) for name, record in transfers],
        )

    def _machine_counts(self, targets: TargetsInForce) -> list[MachineCount]:
        counts = Counter(
            (record.zone, record.partition, record.type)
            for record in self._cache.machines.values()
            if not record.terminating
        )
        target_counts = {
            (cell.zone, cell.partition, cell.type): count for cell, count in targets.items()
        }
        return [
            MachineCount(
                zone=zone,
                partition=partition,
                type=type_,
                machines=counts.get((zone, partition, type_), 0),
                target=target_counts.get((zone, partition, type_), 0) if partition else None,
            )
            for zone, partition, type_ in sorted(counts.keys() | target_counts.keys())
        ]

    def _transfer(self, name: TransferId, record: TransferRecord) -> TransferDescription:
        waits_for = {
            machine: self._blocking_reason(name, record, machine)
            for machine in map(MachineId, record.draining)
            if record.open
        }
        return TransferDescription(
            id=name,
            generation=record.generation,
            zone=zone_of(record.source),
            source=partition_of(record.source),
            target=partition_of(record.target),
            type=record.type,
            count=record.count,
            moved=record.moved,
            state=record.state,
            origin=record.origin,
            left_s=round(max(0.0, record.overdue_at - self._wall_time), 1) if record.open else 0.0,
            waits_for=waits_for,
        )

    def _blocking_reason(
        self, name: TransferId, record: TransferRecord, machine_id: MachineId
    ) -> str:
        """Why a draining machine has not been handed over, as one sentence for operators."""
        machine = self._cache.machines.get(machine_id)
        if machine is None or machine.terminating:
            return "it is gone or about to go; another will be chosen"
        if not self._cache.version(SHARDS + record.target):
            return "the receiving share has no owner yet"
        if not machine.up:
            return "it is still coming up and goes over with the next writes"
        shard = self._shards.get(ShardName(record.source))
        if shard is None:
            return "the owner of the giving share has not been heard yet"
        if shard.seen_revision < self._cache.version(TRANSFERS + name):
            return f"the owner of the giving share was last heard {self._status_age(shard)} ago"
        contact_gap = shard.latest_status.machine_contact_gaps.get(machine_id)
        if contact_gap is not None and contact_gap.gap_s > MAX_CONTACT_GAP_S:
            return (
                f"it has been silent for {contact_gap.gap_s:.0f} s, so that nothing is proven of it"
            )
        status = shard.machines.get(machine_id)
        if status is None or not status.reconciled:
            return "it has not reported to its present owner yet"
        return self._work_reason(shard, machine_id, status)

    def _status_age(self, shard: ObservedShard) -> str:
        return f"{max(0.0, self._now - shard.received_at):.0f} s"

    def _work_reason(
        self, shard: ObservedShard, machine_id: MachineId, status: MachineStatus
    ) -> str:
        """Why a machine that has reported to its owner has not been handed over."""
        ends = status.ends
        if ends:
            last = max(end.at for end in ends) + shard.clock_offset_s - self._now
            tasks = f"{len(ends)} task{'s' if len(ends) > 1 else ''} on it"
            if last >= UNBOUNDED_RUN_S / 2:
                return f"{tasks}, a replica of a service among them, which moves first"
            return f"{tasks}, expected to end in {max(0.0, last):.0f} s"
        gangs = [
            job_id
            for job_id, job in self._cache.iter_live_jobs()
            if job.gang is not None and any(m == machine_id for _, m in job.gang.placements)
        ]
        if gangs:
            return f"the gang {gangs[0]} has slots on it that are not released yet"
        if machine_id in shard.latest_status.drained_machines:
            return "it is empty and goes over with the next writes"
        return "results on it are not stored yet, or it was told to start a task a moment ago"
