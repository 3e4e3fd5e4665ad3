"""The leader's copy of the shards' state, assembled from the statuses that owners send."""

from __future__ import annotations

from collections import Counter
from typing import TypeVar

from dapplewick.core.estimates import Estimates
from dapplewick.core.leader.machine_capacity import MachineCapacity
from dapplewick.protocol.peers import (
    GANG_RESERVED,
    GangStatus,
    JobStatus,
    MachineStatus,
    ShardStatus,
)
from dapplewick.storage.keys import SHARDS
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NEVER_S, JobId, MachineId, Revision, Seconds, ShardName, zone_of

# An owner that has received no heartbeat for this long may be cut off from its shard's machines, if
# at least UNREACHABLE_MIN_MACHINES of them are up: a single machine may itself have failed.
UNREACHABLE_S = 6.0
UNREACHABLE_MIN_MACHINES = 2

V = TypeVar("V")


class ObservedShard:
    """The state of a shard, assembled from its owner's incremental statuses.

    Attributes:
        token: The owner's fencing token.
        status_number: The number of the latest status; 0 before the first status.
        received_at: When the latest status was received, by the leader's monotonic clock.
        clock_offset_s: The leader's monotonic clock minus the owner's, in seconds.
        seen_revision: The revision of the state service that the owner had read.
        machines: The status of each machine of the shard.
        capacities: The machines' capacities for planning, which are built on demand.
        jobs: The status of each job with array tasks in the shard.
        gangs: The status of each gang with slots in the shard.
    """

    def __init__(self, shard: ShardName, token: int) -> None:
        self.shard = shard
        self.zone = zone_of(shard)
        self.token = token
        self.status_number = 0
        self.received_at = NEVER_S
        self.clock_offset_s = 0.0
        self.seen_revision = Revision(0)
        self.machines: dict[MachineId, MachineStatus] = {}
        self.capacities: dict[MachineId, MachineCapacity] = {}
        self.jobs: dict[JobId, JobStatus] = {}
        self.gangs: dict[JobId, GangStatus] = {}
        self._latest: ShardStatus | None = None

    @property
    def latest_status(self) -> ShardStatus:
        """The latest status, for the fields that each status contains in full.

        Raises:
            LookupError: no status has been received yet.
        """
        if self._latest is None:
            raise LookupError(f"shard {self.shard} has no status yet")
        return self._latest

    def apply(self, now: Seconds, status: ShardStatus) -> bool:
        """Apply a status.

        Returns:
            Whether the status is applied or outdated; False if an earlier status is missing.
        """
        number, base = status.number, status.base
        if base > self.status_number:
            return False
        if number <= self.status_number:
            return True
        if base == 0:
            self.machines.clear()
            self.capacities.clear()
            self.jobs.clear()
            self.gangs.clear()
        self.status_number = number
        self.received_at = now
        self.clock_offset_s = now - status.at
        self.seen_revision = status.seen_revision
        for machine_id, machine in status.machines.items():
            self.capacities.pop(machine_id, None)
            if machine is None:
                self.machines.pop(machine_id, None)
            else:
                self.machines[machine_id] = machine
        _merge(self.jobs, status.jobs)
        _merge(self.gangs, status.gangs)
        self._latest = status
        return True

    def reservation(self, job_id: JobId, attempt: int) -> GangStatus | None:
        """The status of a gang's attempt, if its slots in this shard are only reserved."""
        status = self.gangs.get(job_id)
        if status is None or status.attempt != attempt or status.state != GANG_RESERVED:
            return None
        return status

    def placed_task_count(self, job_id: JobId) -> int:
        """The number of array tasks of a job on machines of this shard, including starting ones."""
        status = self.jobs.get(job_id)
        return status.placed if status is not None else 0


class ObservedShards:
    """All shards with a received status, in the order of their first statuses."""

    def __init__(self, cache: WatchCache, estimates: Estimates) -> None:
        self._cache = cache
        self._estimates = estimates
        self.by_name: dict[ShardName, ObservedShard] = {}

    def receive(self, now: Seconds, status: ShardStatus) -> int:
        """Apply a status that a shard's owner sent.

        Returns:
            The number of the latest status that is applied for this shard. It is 0 if the next
            status has to be complete, or if the sender no longer owns the shard.
        """
        name = status.shard
        token = self._cache.version(SHARDS + name)
        if status.token != token:
            return 0
        shard = self.by_name.get(name)
        if shard is None or shard.token != token:
            shard = self.by_name[name] = ObservedShard(name, token)
        if shard.apply(now, status):
            self._estimates.merge(status.estimates)
        return shard.status_number

    def owned(self) -> list[ObservedShard]:
        """The shards with a status of their present owner."""
        return [shard for shard in self.by_name.values() if self._is_current(shard)]

    def owned_by_name(self, name: ShardName) -> ObservedShard | None:
        """A shard, if its present owner has sent a status; else None."""
        shard = self.by_name.get(name)
        return shard if shard is not None and self._is_current(shard) else None

    def _is_current(self, shard: ObservedShard) -> bool:
        """Whether a shard's state comes from its present owner."""
        return shard.status_number > 0 and shard.token == self._cache.version(SHARDS + shard.shard)

    def unreachable_shards(self) -> set[ShardName]:
        """The shards whose owner is cut off from all machines, although several are up.

        Such a shard needs another owner: if its machines were deleted as unreachable, the fault of
        one controller's network would cost the shard all its work. Machines are counted by their
        records, since the statuses of an owner do not contain machines from which it has received
        no heartbeat since it took over the shard.
        """
        isolated = {
            shard.shard
            for shard in self.owned()
            if shard.latest_status.last_contact_age_s > UNREACHABLE_S
        }
        if not isolated:
            return isolated
        machines_up = Counter(
            record.shard
            for record in self._cache.machines.values()
            if record.up and not record.terminating
        )
        return {name for name in isolated if machines_up[name] >= UNREACHABLE_MIN_MACHINES}

    def has_moved(self, machine_id: MachineId, shard: ObservedShard) -> bool:
        """Whether a machine has moved to another shard since this shard's latest status."""
        record = self._cache.machines.get(machine_id)
        return record is not None and record.shard != shard.shard

    def placed_task_count(self, job_id: JobId) -> int:
        """The number of array tasks of a job on machines of all shards, including starting ones."""
        return sum(shard.placed_task_count(job_id) for shard in self.by_name.values())


def _merge(into: dict[JobId, V], changes: dict[JobId, V | None]) -> None:
    for key, value in changes.items():
        if value is None:
            into.pop(key, None)
        else:
            into[key] = value
