"""Scaling in: which idle machines are terminated."""

from __future__ import annotations

import math
from collections.abc import Iterable

from dapplewick.core.demand import MIN_GANG_SLOTS, GangDemand
from dapplewick.core.leader.capacity_requests import CapacityRequest
from dapplewick.core.leader.job_drafts import JobDrafts
from dapplewick.core.leader.machine_lifecycle import MachineLifecycle
from dapplewick.core.leader.observed_shard import ObservedShard, ObservedShards
from dapplewick.core.leader.provisioner import Provisioner
from dapplewick.core.leader.shard_capacity import ShardCapacity
from dapplewick.storage.machine_records import MachineRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.storage.write_priority import WritePriority
from dapplewick.types import MachineId, Seconds


class ScaleInPlanner:
    """Drafts the termination of idle machines, except those that waiting work could use."""

    def __init__(
        self,
        cache: WatchCache,
        drafts: JobDrafts,
        shards: ObservedShards,
        provisioner: Provisioner,
        gang_demand: GangDemand,
        machine_lifecycle: MachineLifecycle,
    ) -> None:
        self._cache = cache
        self._drafts = drafts
        self._shards = shards
        self._provisioner = provisioner
        self._gang_demand = gang_demand
        self._machine_lifecycle = machine_lifecycle

    def spare_slots(self, shard_capacities: Iterable[ShardCapacity]) -> int:
        """The number of idle slots of the gangs' size beyond those reserved for expected gangs."""
        idle = sum(
            self._gang_demand.resources.fit_count(machine.free)
            for shard in shard_capacities
            for machine in shard.open_capacities
        )
        return idle - math.ceil(self._gang_demand.slots)

    def terminate_idle(self, unmet: list[CapacityRequest], spare_slots: int) -> None:
        """Draft the termination of idle machines.

        Args:
            unmet: The capacity requests that could not be fully served; a machine that could serve
                one of them is not terminated.
            spare_slots: The number of slots of the gangs' size that may be removed.
        """
        placed = {
            machine
            for _, job in self._drafts.live_jobs()
            if job.gang is not None
            for _, machine in job.gang.placements
        }
        for shard in self._shards.owned():
            for machine_id, idle_s in shard.latest_status.idle.items():
                record = self._cache.machines.get(machine_id)
                if record is None or not self._is_terminable(shard, machine_id, record, idle_s):
                    continue
                if machine_id in placed or self._would_serve_unmet(record, unmet):
                    continue
                slots = self._gang_slots(record)
                if slots and spare_slots < slots:
                    continue
                spare_slots -= slots
                self._machine_lifecycle.terminate(machine_id, "idle", WritePriority.LOW)

    def _is_terminable(
        self, shard: ObservedShard, machine_id: MachineId, record: MachineRecord, idle_s: Seconds
    ) -> bool:
        """Whether a machine is up, still in this shard, in no transfer, and idle past its limit.

        A machine that is `leaving` (it has a spot notice, is slow, unreachable or drained)
        qualifies without being idle for that long.
        """
        status = shard.machines.get(machine_id)
        if status is None or record.terminating or not record.up:
            return False
        if self._shards.has_moved(machine_id, shard):
            return False
        if self._cache.transfers.draining_transfer(machine_id) is not None:
            return False
        return idle_s > self._provisioner.idle_limit_s(record.type) or status.leaving

    def _gang_slots(self, record: MachineRecord) -> int:
        """The slots of the gangs' size on a machine; 0 while none are reserved for gangs."""
        machine_type = self._cache.types.get(record.type)
        if machine_type is None or self._gang_demand.slots < MIN_GANG_SLOTS:
            return 0
        return self._gang_demand.resources.fit_count(machine_type.resources)

    def _would_serve_unmet(
        self, record: MachineRecord, requests: Iterable[CapacityRequest]
    ) -> bool:
        """Whether a task of one of these requests fits on this machine when it is empty."""
        machine_type = self._cache.types.get(record.type)
        return machine_type is not None and any(
            request.spec.resources.fits_in(machine_type.resources)
            and (request.spec.types is None or record.type in request.spec.types)
            and (request.spec.spot or not record.spot)
            for request in requests
        )
