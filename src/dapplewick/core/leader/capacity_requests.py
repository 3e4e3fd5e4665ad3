"""Capacity requests: the demand for machines on which scaling is decided."""

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

MIN_RUN_S = 1.0  # lower bound of estimated run times: users may submit an estimate of zero
# If no task of a job is on a machine this long after its submission, machines are requested for it
# even though running slots were estimated to suffice.
STARVATION_S = 60.0


class CapacityRequest(NamedTuple):
    """A demand for slots for tasks of one shape.

    Attributes:
        spec: The job specification that the slots have to fit.
        task_count: The number of tasks that should run at the same time.
        all_or_nothing: Whether the tasks can only start all at once, as those of a gang.
        zone_limits: The maximum number of tasks in each zone; None if zones are not limited.
    """

    spec: JobSpec
    task_count: int
    all_or_nothing: bool
    zone_limits: dict[str, int] | None = None


class _MachineConstraints(NamedTuple):
    """The constraints that determine which machines an array may use."""

    types: tuple[str, ...]
    spot: bool
    zone: str | None
    accelerators: bool


class _ArrayWork:
    """The total demand of arrays with the same machine constraints.

    Attributes:
        largest_spec: The specification with the most CPUs per task among arrays with waiting tasks.
        pending_s: The estimated run time of all waiting tasks, in seconds.
        starved_s: The estimated run time of the waiting tasks of starved jobs (see `STARVATION_S`).
        running_tasks: The number of tasks that are on machines.
        waiting_tasks: The number of tasks that are on no machine.
    """

    def __init__(self, first: JobSpec) -> None:
        self.largest_spec = first
        self.pending_s = 0.0
        self.starved_s = 0.0
        self.running_tasks = 0
        self.waiting_tasks = 0


def additional_slots(work_s: Seconds, running_tasks: int, horizon_s: Seconds) -> int:
    """The slots needed, beyond the running ones, to finish this work within the horizon."""
    return max(0, math.ceil(work_s / max(1.0, horizon_s)) - running_tasks)


class CapacityRequestPlanner:
    """Derives capacity requests from the work that waits at the leader and in the shards."""

    def __init__(
        self,
        cache: WatchCache,
        zones: list[str],
        estimates: Estimates,
        tuning: Tuning,
        gang_demand: GangDemand,
        shards: ObservedShards,
        drafts: JobDrafts,
    ) -> None:
        self._cache = cache
        self._zones = zones
        self._estimates = estimates
        self._tuning = tuning
        self._gang_demand = gang_demand
        self._shards = shards
        self._drafts = drafts

    def capacity_requests(
        self, wall_time: Seconds, pending: Iterable[PendingArray]
    ) -> list[CapacityRequest]:
        """The current capacity requests, those for accelerators first."""
        requests = self._gang_requests()
        arrays: dict[_MachineConstraints, list[PendingArray]] = {}
        for array in pending:
            spec = array.job.spec
            if spec.is_service:
                requests += self._service_requests(array)
                continue
            requests += self._zone_bound_requests(array)
            constraints = _MachineConstraints(
                tuple(spec.types or ()), spec.spot, spec.zone, spec.gpus > 0
            )
            arrays.setdefault(constraints, []).append(array)
        for compatible in arrays.values():
            requests += self._array_requests(wall_time, compatible)
        if self._gang_demand.latest_spec is not None and self._gang_demand.slots >= MIN_GANG_SLOTS:
            # Idle slots are reserved for gangs expected to arrive: machines that are provisioned
            # only once a gang has arrived are up too late for it.
            requests.append(
                CapacityRequest(
                    self._gang_demand.latest_spec, math.ceil(self._gang_demand.slots), False
                )
            )
        # Requests for accelerators come first, so that gangs without accelerators are planned on
        # the CPUs that remain on the machines requested for accelerators.
        requests.sort(key=lambda request: request.spec.gpus == 0)
        return requests

    def _gang_requests(self) -> list[CapacityRequest]:
        """Requests for gangs without a placement, or whose reserved slots stay busy for long."""
        requests: list[CapacityRequest] = []
        positions: dict[PlacementKey, int] = {}  # indices in `requests` of mergeable gangs
        for job_id in sorted(self._cache.live_jobs, key=lambda j: self._cache.jobs[j].submitted_at):
            job = self._drafts.current(job_id)
            spec = job.spec
            if not spec.is_gang or not job.open:
                continue
            if job.gang is not None and not self._has_long_wait(job_id, job.gang):
                continue
            is_mergeable = not (spec.same_zone or spec.spread)
            if is_mergeable and spec.placement_key in positions:
                # Gangs without zone constraints have the same demand as one gang with all their
                # tasks.
                position = positions[spec.placement_key]
                old = requests[position]
                requests[position] = old._replace(task_count=old.task_count + spec.task_count)
                continue
            if is_mergeable:
                positions[spec.placement_key] = len(requests)
            requests.append(CapacityRequest(spec, spec.task_count, True))
        return requests

    def _has_long_wait(self, job_id: JobId, gang: GangPlacement) -> bool:
        """Whether the slots reserved for a gang stay busy so long that machines are requested."""
        for name in gang.shards():
            shard = self._shards.by_name.get(ShardName(name))
            status = shard.reservation(job_id, gang.attempt) if shard is not None else None
            if status is not None and status.remaining_wait_s > LONG_RESERVATION_S:
                return True
        return False

    def _service_requests(self, array: PendingArray) -> list[CapacityRequest]:
        """A request for replicas of a service that are neither on a machine nor about to start."""
        spec = array.job.spec
        missing = spec.task_count - self._shards.placed_task_count(array.job_id)
        if missing <= 0:
            return []
        return [CapacityRequest(spec, missing, False, self._zone_limits(array.job))]

    def _zone_bound_requests(self, array: PendingArray) -> list[CapacityRequest]:
        """A separate request for an array with zone limits.

        In the total over all arrays, idle slots would count towards this array even if they are in
        zones where none of its tasks may start.
        """
        zone_limits = self._zone_limits(array.job)
        if zone_limits is None or not array.unassigned:
            return []
        spec = array.job.spec
        run_s = max(MIN_RUN_S, self._estimates.run_time(spec))
        count = additional_slots(array.unassigned * run_s, 0, self._tuning.horizon_s)
        return [CapacityRequest(spec, max(1, min(array.unassigned, count)), False, zone_limits)]

    def _zone_limits(self, job: JobRecord) -> dict[str, int] | None:
        """The further tasks of a job allowed in each zone; None if zones are not limited."""
        spec = job.spec
        if spec.same_zone:
            zones = [zone_of(shard) for shard, tasks in job.assignments.items() if tasks]
            return dict.fromkeys(zones, spec.task_count) if zones else None
        if not spec.spread:
            return None
        return {
            zone: max(0, spec.max_tasks_per_zone - job.assigned_in_zone(zone))
            for zone in self._zones
        }

    def _array_requests(
        self, wall_time: Seconds, compatible: list[PendingArray]
    ) -> list[CapacityRequest]:
        """A request for the slots with which all waiting tasks are processed within the horizon."""
        work = self._array_work(wall_time, compatible)
        horizon_s = self._tuning.horizon_s
        if compatible[0].job.spec.gpus > 0:
            horizon_s = self._tuning.horizon_accelerator_s
        count = min(
            work.waiting_tasks, additional_slots(work.pending_s, work.running_tasks, horizon_s)
        )
        if work.pending_s > 0 and work.running_tasks == 0:
            count = max(1, count)
        if work.starved_s > 0:
            # Running slots were estimated to become idle in time for these jobs, but did not, so
            # running slots are not counted for them.
            starved = additional_slots(work.starved_s, 0, horizon_s)
            count = max(count, min(work.waiting_tasks, starved))
        return [CapacityRequest(work.largest_spec, count, False)] if count > 0 else []

    def _array_work(self, wall_time: Seconds, compatible: list[PendingArray]) -> _ArrayWork:
        work = _ArrayWork(compatible[0].job.spec)
        for job_id, job, unassigned in compatible:
            placed = self._shards.placed_task_count(job_id)
            assigned = sum(len(tasks) for tasks in job.assignments.values())
            waiting = unassigned + max(0, assigned - placed)
            seconds = waiting * max(MIN_RUN_S, self._estimates.run_time(job.spec))
            work.running_tasks += placed
            work.waiting_tasks += waiting
            work.pending_s += seconds
            if not placed and wall_time - job.submitted_at > STARVATION_S:
                work.starved_s += seconds
            if waiting and job.spec.cpus > work.largest_spec.cpus:
                work.largest_spec = job.spec
        return work
