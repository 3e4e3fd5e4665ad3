"""The capacity of all shards at the start of a planning pass."""

from __future__ import annotations

from collections.abc import Callable

from dapplewick.core.demand import AcceleratorDemand
from dapplewick.core.leader.job_drafts import JobDrafts
from dapplewick.core.leader.machine_capacity import MachineCapacity, capacity_of_status
from dapplewick.core.leader.observed_shard import ObservedShard, ObservedShards
from dapplewick.core.leader.shard_capacity import ShardCapacity
from dapplewick.core.leader.shard_contacts import is_fresh
from dapplewick.protocol.peers import MachineStatus
from dapplewick.storage.job_records import JobRecord
from dapplewick.storage.machine_records import MachineRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import JobId, MachineId, Seconds, ShardName, TypeName


class CapacitySnapshotBuilder:
    """Builds the shards' capacities from their statuses and from newer decisions of the leader."""

    def __init__(
        self,
        cache: WatchCache,
        drafts: JobDrafts,
        shards: ObservedShards,
        demand: AcceleratorDemand,
    ) -> None:
        self._cache = cache
        self._drafts = drafts
        self._shards = shards
        self._accelerator_demand = demand

    def build(
        self, now: Seconds, served_teams: Callable[[ShardName], frozenset[str] | None]
    ) -> list[ShardCapacity]:
        """The shards' capacities, less the slots of work assigned after their latest statuses.

        Shards without a recent status are left out.

        Args:
            now: The monotonic clock, in seconds.
            served_teams: Returns the teams whose work may be placed in a shard; None for all.
        """
        by_name: dict[str, ShardCapacity] = {}
        for shard in self._shards.owned():
            if is_fresh(now, shard):
                capacity = ShardCapacity(shard.shard, self._machine_capacities(now, shard))
                teams = served_teams(shard.shard)
                if teams is not None:
                    capacity.restrict_to_teams(teams)
                by_name[shard.shard] = capacity
        for job_id, job in self._drafts.live_jobs():
            self._reserve_unseen_gang(job, by_name)
            self._reserve_unseen_tasks(job_id, job, by_name)
        return list(by_name.values())

    def _machine_capacities(self, now: Seconds, shard: ObservedShard) -> list[MachineCapacity]:
        """The machines of a shard that may be given work; cached capacities are reused."""
        capacities = []
        drains = self._cache.transfers.draining_transfer
        for machine_id, status in shard.machines.items():
            record = self._cache.machines.get(machine_id)
            if record is None or record.terminating or not status.usable:
                continue
            if record.shard != shard.shard or drains(machine_id):
                continue  # moved to another shard since the status, or draining for a transfer
            capacity = shard.capacities.get(machine_id)
            if capacity is None:
                capacity = self._add_capacity(machine_id, record, status, shard)
                if capacity is None:
                    continue
            capacity.begin_pass(now)
            capacities.append(capacity)
        return capacities

    def _add_capacity(
        self,
        machine_id: MachineId,
        record: MachineRecord,
        status: MachineStatus,
        shard: ObservedShard,
    ) -> MachineCapacity | None:
        machine_type = self._cache.types.get(record.type)
        if machine_type is None:
            return None
        capacity = shard.capacities[machine_id] = capacity_of_status(
            machine_id,
            TypeName(record.type),
            shard.shard,
            record.spot,
            machine_type.resources,
            status,
            self._accelerator_demand,
            shard.clock_offset_s,
        )
        return capacity

    def _reserve_unseen_gang(self, job: JobRecord, by_name: dict[str, ShardCapacity]) -> None:
        """Reserve a gang's slots in shards whose owner had not read the gang's record yet."""
        if job.gang is None:
            return
        for name, machine in job.gang.placements:
            observed = self._shards.by_name.get(ShardName(name))
            if name not in by_name or observed is None or observed.seen_revision >= job.version:
                continue
            capacity = observed.capacities.get(MachineId(machine))
            if capacity is not None:
                by_name[name].reserve([capacity], job.resources)

    def _reserve_unseen_tasks(
        self, job_id: JobId, job: JobRecord, by_name: dict[str, ShardCapacity]
    ) -> None:
        """Reserve slots for tasks that are assigned to a shard but not yet on its machines."""
        for name, tasks in job.assignments.items():
            if name not in by_name:
                continue
            backlog = len(tasks) - self._shards.by_name[ShardName(name)].placed_task_count(job_id)
            if backlog > 0:
                by_name[name].reserve_up_to(job.spec, backlog)
