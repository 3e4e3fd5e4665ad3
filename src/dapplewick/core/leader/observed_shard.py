"""What the leader knows of a part: put together from the statuses that its owner sends."""

from __future__ import annotations

from typing import Any

from dapplewick.core.leader.capacity import MachineCapacity
from dapplewick.types import JobId, MachineId, Revision, Seconds, ShardName, zone_of


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
        self.machines: dict[MachineId, dict[str, Any]] = {}
        self.capacities: dict[MachineId, MachineCapacity] = {}
        self.jobs: dict[JobId, dict[str, Any]] = {}
        self.gangs: dict[JobId, tuple[int, str, float]] = {}
        self.fresh: dict[str, Any] = {}  # what each status tells in full

    def apply(self, now: Seconds, body: dict[str, Any]) -> bool:
        """Take over a status; False if something before it is missing here."""
        number, base = int(body["number"]), int(body["base"])
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
        self.clock = now - float(body["at"])
        self.seen = Revision(body["seen"])
        for machine_id, machine in body["machines"].items():
            self.capacities.pop(machine_id, None)
            if machine is None:
                self.machines.pop(machine_id, None)
            else:
                self.machines[machine_id] = machine
        _merge(self.jobs, body["jobs"])
        _merge(self.gangs, body["gangs"])
        self.fresh = body
        return True

    def placed(self, job_id: JobId) -> int:
        """How many singles of a job are on machines here, or about to start."""
        body = self.jobs.get(job_id)
        return int(body["placed"]) if body is not None else 0


def _merge(into: dict[Any, Any], changes: dict[Any, Any]) -> None:
    for key, value in changes.items():
        if value is None:
            into.pop(key, None)
        else:
            into[key] = value
