"""Selection of waiting array tasks that may start on a machine now."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from dapplewick.core.shard.array_tasks import ArrayTaskTable
from dapplewick.core.shard.backfill import BackfillPolicy
from dapplewick.core.shard.constraints import PlacementConstraints
from dapplewick.core.shard.free_capacity import FreeCapacity
from dapplewick.core.shard.gang_reservations import GangReservationTable
from dapplewick.core.shard.state import Machine
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NO_RESOURCES, JobId, Resources, Seconds, TaskRef


class CandidateSelector:
    """Finds the jobs that fit on a machine and selects the next of their waiting tasks."""

    def __init__(
        self,
        cache: WatchCache,
        tasks: ArrayTaskTable,
        constraints: PlacementConstraints,
        free_capacity: FreeCapacity,
        reservations: GangReservationTable,
        backfill: BackfillPolicy,
    ) -> None:
        self._cache = cache
        self._tasks = tasks
        self._constraints = constraints
        self._free_capacity = free_capacity
        self._reservations = reservations
        self._backfill = backfill

    def fitting_jobs(
        self, now: Seconds, machine: Machine, jobs: Iterable[JobId]
    ) -> dict[JobId, None]:
        """The jobs that may start an array task on this machine now.

        Jobs whose image is on the machine come first, because among queues of equal length, work
        stealing prefers the queue of the earlier job.
        """
        reserved = self._reservations.reserved_resources(machine.id)
        # The capacity that a job may use depends only on these properties of its specification.
        available_by_kind: dict[tuple[bool, int, bool], Resources] = {}
        warm: dict[JobId, None] = {}
        cold: dict[JobId, None] = {}
        for job_id in jobs:
            job = self._cache.jobs.get(job_id)
            if job is None or not self._constraints.allow(job.spec, machine):
                continue
            spec = job.spec
            if spec.is_service and any(t.job == job_id for t in machine.task_attempts):
                # Replicas of a service are spread over machines where possible; only
                # `ReplicaPlacement` may place a second one on the same machine, at a cost.
                continue
            kind = (spec.gpus > 0, spec.priority, spec.is_service)
            available = available_by_kind.get(kind)
            if available is None:
                available = available_by_kind[kind] = self._free_capacity.usable_by(spec, machine)
            if not job.resources.fits_in(available):
                continue
            fits_beside_reserved = reserved is NO_RESOURCES or job.resources.fits_in(
                available.minus(reserved)
            )
            if fits_beside_reserved or self._backfill.may_backfill(now, spec, machine):
                (warm if spec.image in machine.images else cold)[job_id] = None
        return warm | cold

    def next_task(
        self,
        now: Seconds,
        machine: Machine,
        queue: Iterable[TaskRef],
        fitting: Collection[JobId],
    ) -> TaskRef | None:
        """The first task of a queue that may start on this machine now.

        Tasks whose image is on the machine have precedence.

        Args:
            now: The monotonic clock, in seconds.
            machine: The machine.
            queue: The waiting tasks, in the order in which they are considered.
            fitting: The result of `fitting_jobs` for this machine.
        """
        first_cold: TaskRef | None = None
        for task in queue:
            if task.job not in fitting:
                continue
            spec = self._tasks.spec(task)
            array_task = self._tasks.get(task)
            if spec is None or array_task is None or array_task.not_before > now:
                continue
            if spec.image in machine.images:
                return task
            first_cold = first_cold or task
        return first_cold
