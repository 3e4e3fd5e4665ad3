"""For which work machines are missing: the needs on which renting and returning are decided."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from dapplewick.core.demand import GangDemand
from dapplewick.core.estimates import Estimates
from dapplewick.core.leader.gang_placement import LONG_RESERVATION_S
from dapplewick.core.leader.observed_shard import ObservedShard
from dapplewick.core.leader.provisioner import CapacityRequest, wanted_slots
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.storage.job_records import GangPlacement, JobRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.tuning import Tuning
from dapplewick.types import JobId, Seconds, ShardName, zone_of

LEAST_RUN_S = 1.0  # an owner may say that a task takes no time at all
STARVED_S = 60.0  # a job of which nothing started for so long has machines rented for it


class Waiting(NamedTuple):
    """An array or a service with tasks that are granted to no part."""

    job_id: JobId
    job: JobRecord
    left: int  # such tasks


class _ArrayWork:
    """What arrays that may use the same machines want together."""

    def __init__(self, first: JobSpec) -> None:
        self.largest = first
        self.seconds = 0.0  # of work, of tasks that run nowhere
        self.starved_seconds = 0.0  # the same of jobs of which nothing started for long
        self.running = 0
        self.waiting = 0


class CapacityRequestPlanner:
    """Sums up what waits, at the leader and in the parts."""

    def __init__(
        self,
        cache: WatchCache,
        zones: list[str],
        estimates: Estimates,
        tuning: Tuning,
        gangs: GangDemand,
        shards: Mapping[ShardName, ObservedShard],
        drafted: Callable[[JobId], JobRecord],
    ) -> None:
        self._cache = cache
        self._zones = zones
        self._estimates = estimates
        self._tuning = tuning
        self._gangs = gangs
        self._shards = shards
        self._drafted = drafted

    def capacity_requests(self, wall: Seconds, ordered: Iterable[Waiting]) -> list[CapacityRequest]:
        """All needs of this moment, those for accelerators first."""
        capacity_requests = self._gang_needs()
        arrays: dict[Any, list[Waiting]] = {}
        for waiting in ordered:
            spec = waiting.job.spec
            if spec.is_service:
                capacity_requests += self._service_needs(waiting)
                continue
            capacity_requests += self._bound_needs(waiting)
            key = (tuple(spec.types or ()), spec.spot, spec.zone, spec.gpus > 0)
            arrays.setdefault(key, []).append(waiting)
        for alike in arrays.values():
            capacity_requests += self._array_needs(wall, alike)
        if self._gangs.spec is not None and self._gangs.slots >= 0.5:
            # Idle slots for gangs still to come: renting when they are here is too late.
            capacity_requests.append(
                CapacityRequest(self._gangs.spec, math.ceil(self._gangs.slots), False)
            )
        # Accelerators first: gangs then see what CPUs these leave of the machines to come.
        capacity_requests.sort(key=lambda need: need.spec.gpus == 0)
        return capacity_requests

    def _gang_needs(self) -> list[CapacityRequest]:
        """Gangs that wait at the leader, or hold slots that will be busy for long."""
        capacity_requests: list[CapacityRequest] = []
        alike: dict[Any, int] = {}
        for job_id in sorted(self._cache.live_jobs, key=lambda j: self._cache.jobs[j].submitted_at):
            job = self._drafted(job_id)
            spec = job.spec
            if not spec.is_gang or not job.open:
                continue
            if job.gang is not None and not self._long_reserved(job_id, job.gang):
                continue
            if spec.same_zone or spec.spread:
                capacity_requests.append(CapacityRequest(spec, spec.task_count, True))
            elif spec.placement_key in alike:
                # Gangs that may span all parts need the same as one gang of all their tasks.
                old = capacity_requests[alike[spec.placement_key]]
                capacity_requests[alike[spec.placement_key]] = old._replace(
                    tasks=old.tasks + spec.task_count
                )
            else:
                alike[spec.placement_key] = len(capacity_requests)
                capacity_requests.append(CapacityRequest(spec, spec.task_count, True))
        return capacity_requests

    def _long_reserved(self, job_id: JobId, gang: GangPlacement) -> bool:
        """Whether a gang's slots will still be busy for long: more room is wanted then."""
        for name in gang.shards():
            shard = self._shards.get(ShardName(name))
            if shard is not None:
                status = shard.gangs.get(job_id)
                if (
                    status is not None
                    and status.attempt == gang.attempt
                    and status.state == "held"
                    and status.remaining_wait_s > LONG_RESERVATION_S
                ):
                    return True
        return False

    def _service_needs(self, waiting: Waiting) -> list[CapacityRequest]:
        """Replicas of a service that are nowhere, nor on the way."""
        spec = waiting.job.spec
        missing = spec.task_count - self._placed(waiting.job_id)
        return (
            [CapacityRequest(spec, missing, False, self._caps(waiting.job))] if missing > 0 else []
        )

    def _bound_needs(self, waiting: Waiting) -> list[CapacityRequest]:
        """An array bound to zones: room in a zone where none of it may start any more would seem
        to do for it."""
        caps = self._caps(waiting.job)
        if caps is None or not waiting.left:
            return []
        spec = waiting.job.spec
        each = max(LEAST_RUN_S, self._estimates.run_time(spec))
        count = wanted_slots(waiting.left * each, 0, self._tuning.horizon_s)
        return [CapacityRequest(spec, max(1, min(waiting.left, count)), False, caps)]

    def _caps(self, job: JobRecord) -> dict[str, int] | None:
        """How many more of its tasks may be in each zone; None if it is bound to none."""
        spec = job.spec
        if spec.same_zone:
            holders = [zone_of(shard) for shard, tasks in job.assignments.items() if tasks]
            return dict.fromkeys(holders, spec.task_count) if holders else None
        if not spec.spread:
            return None
        return {z: max(0, spec.zone_cap - job.assigned_in_zone(z)) for z in self._zones}

    def _array_needs(self, wall: Seconds, alike: list[Waiting]) -> list[CapacityRequest]:
        """Enough slots for all that waits to start within the horizon."""
        work = self._array_work(wall, alike)
        horizon = self._tuning.horizon_s
        if alike[0].job.spec.gpus > 0:
            horizon = self._tuning.horizon_accelerator_s
        count = min(work.waiting, wanted_slots(work.seconds, work.running, horizon))
        if work.seconds > 0 and work.running == 0:
            count = max(1, count)
        if work.starved_seconds > 0:
            # The slots that run now are not free again as soon as was thought.
            starved = wanted_slots(work.starved_seconds, 0, horizon)
            count = max(count, min(work.waiting, starved))
        return [CapacityRequest(work.largest, count, False)] if count > 0 else []

    def _array_work(self, wall: Seconds, alike: list[Waiting]) -> _ArrayWork:
        work = _ArrayWork(alike[0].job.spec)
        for job_id, job, left in alike:
            placed = self._placed(job_id)
            assigned = sum(len(tasks) for tasks in job.assignments.values())
            waiting = left + max(0, assigned - placed)
            seconds = waiting * max(LEAST_RUN_S, self._estimates.run_time(job.spec))
            work.running += placed
            work.waiting += waiting
            work.seconds += seconds
            if not placed and wall - job.submitted_at > STARVED_S:
                work.starved_seconds += seconds
            if waiting and job.spec.cpus > work.largest.cpus:
                work.largest = job.spec
        return work

    def _placed(self, job_id: JobId) -> int:
        return sum(shard.placed(job_id) for shard in self._shards.values())
