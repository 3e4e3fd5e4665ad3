"""What the leader knows of the shards: put together from the statuses that their owners send."""

from __future__ import annotations

from collections import Counter
from typing import TypeVar

from dapplewick.core.estimates import Estimates
from dapplewick.core.leader.machine_capacity import MachineCapacity
from dapplewick.protocol.peers import GANG_HELD, GangStatus, JobStatus, MachineStatus, ShardStatus
from dapplewick.storage.keys import SHARDS
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NEVER_S, JobId, MachineId, Revision, Seconds, ShardName, zone_of

UNREACHABLE_S = 6.0  # an owner that heard nothing for this long may be cut off from its workers
UNREACHABLE_MIN_MACHINES = 2  # of this many machines at least: one alone may be silent itself

V = TypeVar("V")


class ObservedShard:
    """What a shard's owner has told, put together from its statuses.

    Attributes:
        token: The fencing token under which the owner speaks.
        number: That of the newest status; 0 before the first.
        at: When the newest status came, by our steady clock.
        clock: Our steady clock less the owner's, in seconds.
        seen: The revision of the state service up to which the owner had read.
        capacities: The machines as the leader plans with them, made where they are needed.
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
        """The newest status; its fields that are complete in each status hold now.

        Raises:
            LookupError: the owner has not told anything yet.
        """
        if self._latest is None:
            raise LookupError(f"shard {self.shard} has no status yet")
        return self._latest

    def apply(self, now: Seconds, status: ShardStatus) -> bool:
        """Take over a status; False if something before it is missing here."""
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
        """The status of a gang's attempt, if it has slots here that are only reserved."""
        status = self.gangs.get(job_id)
        if status is None or status.attempt != attempt or status.state != GANG_HELD:
            return None
        return status

    def placed_task_count(self, job_id: JobId) -> int:
        """How many array tasks of a job are on machines here, or about to start."""
        status = self.jobs.get(job_id)
        return status.placed if status is not None else 0


class ObservedShards:
    """All shards of which an owner has told, in the order in which they were first heard of."""

    def __init__(self, cache: WatchCache, estimates: Estimates) -> None:
        self._cache = cache
        self._estimates = estimates
        self.by_name: dict[ShardName, ObservedShard] = {}

    def receive(self, now: Seconds, status: ShardStatus) -> int:
        """Take over a status.

        Returns:
            The number up to which this shard's statuses are known here: 0 if the next one has to
            be complete, or if the sender does not own the shard any more.
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
        """The shards whose present owner has told of them."""
        return [shard for shard in self.by_name.values() if self._is_owners(shard)]

    def owned_by_name(self, name: ShardName) -> ObservedShard | None:
        """A shard, if its present owner has told of it."""
        shard = self.by_name.get(name)
        return shard if shard is not None and self._is_owners(shard) else None

    def _is_owners(self, shard: ObservedShard) -> bool:
        """Whether what is known of a shard is its present owner's word."""
        return shard.status_number > 0 and shard.token == self._cache.version(SHARDS + shard.shard)

    def unreachable_shards(self) -> set[ShardName]:
        """Shards whose owner has not heard any machine for a while, though several are up.

        Deleting them all as silent would cost a shard its work for one controller's broken
        network. The records say which are up: an owner that has heard none of them since it took
        over the shard describes none in its statuses.
        """
        quiet = {
            shard.shard for shard in self.owned() if shard.latest_status.heard_ago_s > UNREACHABLE_S
        }
        if not quiet:
            return quiet
        up = Counter(
            record.shard
            for record in self._cache.machines.values()
            if record.up and not record.terminating
        )
        return {name for name in quiet if up[name] >= UNREACHABLE_MIN_MACHINES}

    def has_moved(self, machine_id: MachineId, shard: ObservedShard) -> bool:
        """Whether a machine has gone to another shard since this one's status."""
        record = self._cache.machines.get(machine_id)
        return record is not None and record.shard != shard.shard

    def placed_task_count(self, job_id: JobId) -> int:
        """How many array tasks of a job are on machines anywhere, or about to start."""
        return sum(shard.placed_task_count(job_id) for shard in self.by_name.values())


def _merge(into: dict[JobId, V], changes: dict[JobId, V | None]) -> None:
    for key, value in changes.items():
        if value is None:
            into.pop(key, None)
        else:
            into[key] = value
