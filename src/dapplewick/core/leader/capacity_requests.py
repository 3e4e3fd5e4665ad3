"""For which work machines are missing: the requests on which scaling is decided."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from dapplewick.core.demand import MIN_GANG_SLOTS, GangDemand
from dapplewick.core.estimates import Estimates
from dapplewick.core.leader.array_order import PendingArray
from dapplewick.core.leader.gang_placement import LONG_RESERVATION_S
from dapplewick.core.leader.job_drafts import JobDrafts
from dapplewick.core.leader.observed_shard import ObservedShards
from dapplewick.protocol.job_spec import JobSpec, PlacementKey
from dapplewick.storage.job_records import GangPlacement, JobRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.tuning import Tuning
from dapplewick.types import JobId, Seconds, ShardName, zone_of

LEAST_RUN_S = 1.0  # an owner may say that a task takes no time at all
STARVATION_S = 60.0  # a job of which nothing started for so long has machines provisioned for it


class CapacityRequest(NamedTuple):
    """Tasks for which machines are wanted.

    Attributes:
        spec: The work.
        task_count: How many tasks want to run at the same time.
        together: Whether they start only all at once.
        zone_limits: How many may be in each zone, where that is bound.
    """

    spec: JobSpec
    task_count: int
    together: bool
    zone_limits: dict[str, int] | None = None


class _MachineNeed(NamedTuple):
    """What decides which machines arrays may use."""

    types: tuple[str, ...]
    spot: bool
    zone: str | None
    accelerators: bool


class _ArrayWork:
    """What arrays that may use the same machines want together."""

    def __init__(self, first: JobSpec) -> None:
        self.largest = first
        self.seconds = 0.0  # of work, of tasks that run nowhere
        self.starved_seconds = 0.0  # the same of jobs of which nothing started for long
        self.running = 0
        self.waiting = 0


def wanted_slots(work_s: Seconds, running: int, horizon_s: Seconds) -> int:
    """How many slots, beyond those that run, finish this work within the horizon."""
    return max(0, math.ceil(work_s / max(1.0, horizon_s)) - running)


class CapacityRequestPlanner:
    """Sums up what waits, at the leader and in the shards."""

    def __init__(
        self,
        cache: WatchCache,
        zones: list[str],
        estimates: Estimates,
        tuning: Tuning,
        gangs: GangDemand,
        shards: ObservedShards,
        drafts: JobDrafts,
    ) -> None:
        self._cache = cache
        self._zones = zones
        self._estimates = estimates
        self._tuning = tuning
        self._gangs = gangs
        self._shards = shards
        self._drafts = drafts

    def capacity_requests(
        self, wall_time: Seconds, pending: Iterable[PendingArray]
    ) -> list[CapacityRequest]:
        """All requests of this moment, those for accelerators first."""
        requests = self._gang_requests()
        arrays: dict[_MachineNeed, list[PendingArray]] = {}
        for array in pending:
            spec = array.job.spec
            if spec.is_service:
                requests += self._service_requests(array)
                continue
            requests += self._zone_bound_requests(array)
            need = _MachineNeed(tuple(spec.types or ()), spec.spot, spec.zone, spec.gpus > 0)
            arrays.setdefault(need, []).append(array)
        for alike in arrays.values():
            requests += self._array_requests(wall_time, alike)
        if self._gangs.latest_spec is not None and self._gangs.slots >= MIN_GANG_SLOTS:
            # Idle slots for gangs still to come: provisioning when they are here is too late.
            requests.append(
                CapacityRequest(self._gangs.latest_spec, math.ceil(self._gangs.slots), False)
            )
        # Accelerators first: gangs then see what CPUs these leave of the machines to come.
        requests.sort(key=lambda request: request.spec.gpus == 0)
        return requests

    def _gang_requests(self) -> list[CapacityRequest]:
        """Gangs that wait at the leader, or have reserved slots that will be busy for long."""
        requests: list[CapacityRequest] = []
        positions: dict[PlacementKey, int] = {}  # in `requests`, of those that may grow
        for job_id in sorted(self._cache.live_jobs, key=lambda j: self._cache.jobs[j].submitted_at):
            job = self._drafts.current(job_id)
            spec = job.spec
            if not spec.is_gang or not job.open:
                continue
            if job.gang is not None and not self._waits_long(job_id, job.gang):
                continue
            joins_others = not (spec.same_zone or spec.spread)
            if joins_others and spec.placement_key in positions:
                # Gangs that may span all shards need the same as one gang of all their tasks.
                position = positions[spec.placement_key]
                old = requests[position]
                requests[position] = old._replace(task_count=old.task_count + spec.task_count)
                continue
            if joins_others:
                positions[spec.placement_key] = len(requests)
            requests.append(CapacityRequest(spec, spec.task_count, True))
        return requests

    def _waits_long(self, job_id: JobId, gang: GangPlacement) -> bool:
        """Whether a gang's slots will still be busy for long: more machines are wanted then."""
        for name in gang.shards():
            shard = self._shards.by_name.get(ShardName(name))
            status = shard.reservation(job_id, gang.attempt) if shard is not None else None
            if status is not None and status.remaining_wait_s > LONG_RESERVATION_S:
                return True
        return False

    def _service_requests(self, array: PendingArray) -> list[CapacityRequest]:
        """Replicas of a service that are nowhere, nor on the way."""
        spec = array.job.spec
        missing = spec.task_count - self._shards.placed_task_count(array.job_id)
        if missing <= 0:
            return []
        return [CapacityRequest(spec, missing, False, self._zone_limits(array.job))]

    def _zone_bound_requests(self, array: PendingArray) -> list[CapacityRequest]:
        """An array bound to zones has a request of its own.

        In the sum over all arrays, idle slots in a zone where none of its tasks may start any more
        would seem to do for it.
        """
        zone_limits = self._zone_limits(array.job)
        if zone_limits is None or not array.unassigned:
            return []
        spec = array.job.spec
        run_s = max(LEAST_RUN_S, self._estimates.run_time(spec))
        count = wanted_slots(array.unassigned * run_s, 0, self._tuning.horizon_s)
        return [CapacityRequest(spec, max(1, min(array.unassigned, count)), False, zone_limits)]

    def _zone_limits(self, job: JobRecord) -> dict[str, int] | None:
        """How many more of its tasks may be in each zone; None if it is bound to none."""
        spec = job.spec
        if spec.same_zone:
            zones = [zone_of(shard) for shard, tasks in job.assignments.items() if tasks]
            return dict.fromkeys(zones, spec.task_count) if zones else None
        if not spec.spread:
            return None
        return {zone: max(0, spec.zone_cap - job.assigned_in_zone(zone)) for zone in self._zones}

    def _array_requests(
        self, wall_time: Seconds, alike: list[PendingArray]
    ) -> list[CapacityRequest]:
        """Enough slots for all that waits to start within the horizon."""
        work = self._array_work(wall_time, alike)
        horizon_s = self._tuning.horizon_s
        if alike[0].job.spec.gpus > 0:
            horizon_s = self._tuning.horizon_accelerator_s
        count = min(work.waiting, wanted_slots(work.seconds, work.running, horizon_s))
        if work.seconds > 0 and work.running == 0:
            count = max(1, count)
        if work.starved_seconds > 0:
            # The slots that run now are not free again as soon as was thought.
            starved = wanted_slots(work.starved_seconds, 0, horizon_s)
            count = max(count, min(work.waiting, starved))
        return [CapacityRequest(work.largest, count, False)] if count > 0 else []

    def _array_work(self, wall_time: Seconds, alike: list[PendingArray]) -> _ArrayWork:
        work = _ArrayWork(alike[0].job.spec)
        for job_id, job, unassigned in alike:
            placed = self._shards.placed_task_count(job_id)
            assigned = sum(len(tasks) for tasks in job.assignments.values())
            waiting = unassigned + max(0, assigned - placed)
            seconds = waiting * max(LEAST_RUN_S, self._estimates.run_time(job.spec))
            work.running += placed
            work.waiting += waiting
            work.seconds += seconds
            if not placed and wall_time - job.submitted_at > STARVATION_S:
                work.starved_seconds += seconds
            if waiting and job.spec.cpus > work.largest.cpus:
                work.largest = job.spec
        return work
