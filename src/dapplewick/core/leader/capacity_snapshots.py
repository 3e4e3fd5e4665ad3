"""The capacity of all shards at the start of a pass."""

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
    """Builds the shards' capacities from their statuses and from what these do not show yet."""

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
        self._demand = demand

    def build(
        self, now: Seconds, served_teams: Callable[[ShardName], frozenset[str] | None]
    ) -> list[ShardCapacity]:
        """The shards' capacities, less what was given to them that their statuses don't show.

        Args:
            now: The steady clock.
            served_teams: The teams whose work may come to a shard; None for all.
        """
        by_name: dict[str, ShardCapacity] = {}
        for shard in self._shards.owned():
            if is_fresh(now, shard):
                capacity = ShardCapacity(shard.shard, self._machines(now, shard))
                teams = served_teams(shard.shard)
                if teams is not None:
                    capacity.serve_only(teams)
                by_name[shard.shard] = capacity
        for job_id, job in self._drafts.live_jobs():
            self._take_unseen_gang(job, by_name)
            self._take_unseen_tasks(job_id, job, by_name)
        return list(by_name.values())

    def _machines(self, now: Seconds, shard: ObservedShard) -> list[MachineCapacity]:
        """The machines of a shard that may get work; a machine is built only if it is new."""
        capacities = []
        drains = self._cache.transfers.drains
        for machine_id, status in shard.machines.items():
            record = self._cache.machines.get(machine_id)
            if record is None or record.terminating or not status.usable:
                continue
            if record.shard != shard.shard or drains(machine_id):
                continue  # moved to another shard since its status, or chosen to be
            capacity = shard.capacities.get(machine_id)
            if capacity is None:
                capacity = self._new_machine(machine_id, record, status, shard)
                if capacity is None:
                    continue
            capacity.begin_pass(now)
            capacities.append(capacity)
        return capacities

    def _new_machine(
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
            self._demand,
            shard.clock_offset_s,
        )
        return capacity

    def _take_unseen_gang(self, job: JobRecord, by_name: dict[str, ShardCapacity]) -> None:
        """Take a gang's slots where the shard's owner had not read of the gang yet."""
        if job.gang is None:
            return
        for name, machine in job.gang.placements:
            observed = self._shards.by_name.get(ShardName(name))
            if name not in by_name or observed is None or observed.seen_revision >= job.version:
                continue
            capacity = observed.capacities.get(MachineId(machine))
            if capacity is not None:
                by_name[name].reserve([capacity], job.resources)

    def _take_unseen_tasks(
        self, job_id: JobId, job: JobRecord, by_name: dict[str, ShardCapacity]
    ) -> None:
        """Take slots for tasks that were assigned to a shard and are on none of its machines."""
        for name, tasks in job.assignments.items():
            if name not in by_name:
                continue
            backlog = len(tasks) - self._shards.by_name[ShardName(name)].placed_task_count(job_id)
            if backlog > 0:
                by_name[name].reserve_up_to(job.spec, backlog)
