"""What the leader knows of a part: put together from the statuses that its owner sends."""

from __future__ import annotations

from typing import TypeVar

from dapplewick.core.leader.capacity import MachineCapacity
from dapplewick.protocol.peers import GangStatus, JobStatus, MachineStatus, ShardStatus
from dapplewick.types import JobId, MachineId, Revision, Seconds, ShardName, zone_of

V = TypeVar("V")


class ObservedShard:
    """What a part has told, put together from its statuses."""

    def __init__(self, shard: ShardName, token: int) -> None:
        self.shard = shard
        self.zone = zone_of(shard)
        self.token = token
        self.number = 0  # of the newest status
        self.at = -1e9
        self.clock = 0.0  # our clock less the part's
        self.seen = Revision(0)
        self.machines: dict[MachineId, MachineStatus] = {}
        self.capacities: dict[MachineId, MachineCapacity] = {}
        self.jobs: dict[JobId, JobStatus] = {}
        self.gangs: dict[JobId, GangStatus] = {}
        self._latest: ShardStatus | None = None

    @property
    def latest(self) -> ShardStatus:
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
        if base > self.number:
            return False
        if number <= self.number:
            return True
        if base == 0:
            self.machines.clear()
            self.capacities.clear()
            self.jobs.clear()
            self.gangs.clear()
        self.number = number
        self.at = now
        self.clock = now - status.at
        self.seen = status.seen_revision
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

    def placed(self, job_id: JobId) -> int:
        """How many singles of a job are on machines here, or about to start."""
        status = self.jobs.get(job_id)
        return status.placed if status is not None else 0


def _merge(into: dict[JobId, V], changes: dict[JobId, V | None]) -> None:
    for key, value in changes.items():
        if value is None:
            into.pop(key, None)
        else:
            into[key] = value
