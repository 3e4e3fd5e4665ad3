"""Demand of accelerator work and of gangs, for which capacity is reserved from other work."""

from __future__ import annotations

import math
from typing import NamedTuple

from dapplewick.protocol.job_spec import JobSpec
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NO_RESOURCES, JobId, Resources, Seconds

GANG_WINDOW_S = 45.0  # gang tasks that arrive within this time should find idle slots
RATE_DECAY_S = 60.0  # decay time constant of the gang arrival rate
MIN_RATE_WINDOW_S = 5.0  # minimum observation time for the arrival rate
# Reserved slots, in standard deviations of the gang tasks that arrive minus those that end.
GANG_SLOT_DEVIATIONS = 1.5
# If some classes have objectives, resources are reserved for a job of another class only after the
# job has waited for this long.
NO_OBJECTIVE_RESERVATION_DELAY_S = 60.0
MIN_DEMAND_FRACTION = 0.01  # nothing is reserved if a smaller fraction is demanded
SCARCE_FRACTION = 0.5  # accelerators are scarce if a larger fraction is demanded
# Ended gangs are removed from the set of counted gangs once it has more entries than this number
# plus two per live job.
COUNTED_GANGS_ALLOWANCE = 500
DEMAND_DECAY_S = 20.0  # decay time constant of a past accelerator demand
MIN_GANG_SLOTS = 0.5  # nothing is reserved if gangs need fewer slots


class AcceleratorDemand:
    """The number of accelerators that open jobs need, and the CPUs and memory for each.

    A machine's accelerators are unusable without CPUs. Work without accelerators may use only the
    CPUs and memory of a machine that its demanded accelerators do not need.

    Attributes:
        priority: The highest priority of the work that needs accelerators; -1 without such work.
    """

    def __init__(
        self, cache: WatchCache, classes_with_objectives: frozenset[str] = frozenset()
    ) -> None:
        self.cache = cache
        self._classes_with_objectives = classes_with_objectives
        self._demand = 0.0
        self._updated_at = 0.0
        self._per_accelerator = Resources(0.0, 1.0, 0.0)  # resources needed with one accelerator
        self._demand_fraction = 0.0  # of all available accelerators
        self.priority = -1

    def update(self, now: Seconds, wall_time: Seconds) -> None:
        """Sum the demand of all open jobs; past demand decays exponentially.

        Args:
            now: The monotonic clock, in seconds.
            wall_time: The wall clock, in seconds, which is compared with submission times.
        """
        demand = self._count_demand(wall_time)
        decay = math.exp(-max(0.0, now - self._updated_at) / DEMAND_DECAY_S)
        self._updated_at = now
        self._demand = max(demand, self._demand * decay)
        total = self._count_available()
        self._demand_fraction = min(1.0, self._demand / total) if total else 0.0

    def _count_demand(self, wall_time: Seconds) -> float:
        """Count the accelerators that open jobs need; update their work's priority and needs."""
        demand = cpus = ram_gb = 0.0
        self.priority = -1
        for _, job in self.cache.iter_live_jobs():
            spec = job.spec
            if spec.gpus > 0 and job.open:
                # If only other classes have objectives, no resources are withheld from their work
                # for this job until the job has waited for long.
                if (
                    self._classes_with_objectives
                    and spec.job_class not in self._classes_with_objectives
                    and wall_time - job.submitted_at < NO_OBJECTIVE_RESERVATION_DELAY_S
                ):
                    continue
                self.priority = max(self.priority, spec.priority)
                demand += spec.gpus * (spec.task_count - len(job.done))
                cpus = max(cpus, spec.cpus / spec.gpus)
                ram_gb = max(ram_gb, spec.ram_gb / spec.gpus)
        if cpus or ram_gb:
            self._per_accelerator = Resources(cpus, 1.0, ram_gb)
        return demand

    def _count_available(self) -> float:
        """Count the accelerators of all machines that are up and not terminating."""
        count = 0.0
        for record in self.cache.machines.values():
            machine_type = self.cache.types.get(record.type)
            if machine_type is not None and record.up and not record.terminating:
                count += machine_type.gpus
        return count

    def needs_reservation(self) -> bool:
        """Return whether the demand is high enough to reserve resources for accelerator work."""
        return self._demand_fraction > MIN_DEMAND_FRACTION

    def is_scarce(self) -> bool:
        """Return whether the demand exceeds `SCARCE_FRACTION` of the available accelerators.

        The CPUs of machines with accelerators are then left to work that needs accelerators.
        """
        return self._demand_fraction > SCARCE_FRACTION

    def resources_to_reserve(self, total: Resources, free: Resources) -> Resources:
        """Return the resources to leave free on a machine for the demanded accelerators.

        Args:
            total: All resources of the machine.
            free: The resources that no task uses.
        """
        if total.gpus <= 0 or self._demand_fraction <= MIN_DEMAND_FRACTION:
            return NO_RESOURCES
        target = math.floor(self._demand_fraction * total.gpus + 0.5)
        count = max(0.0, min(free.gpus, target - (total.gpus - free.gpus)))
        return Resources(
            self._per_accelerator.cpus * count, 0.0, self._per_accelerator.ram_gb * count
        )


class _TaskCounts(NamedTuple):
    """Tasks of new and of waiting gangs, and the highest priority of arrays that may block gangs.

    The priority is -1 if there are no such arrays.
    """

    new: int
    waiting: int
    blocking_priority: int


class GangDemand:
    """The number of idle slots to reserve for gangs that cannot preempt array tasks.

    A gang of higher priority preempts array tasks; any other gang waits for them to end. Therefore
    a few idle slots of the gangs' size are withheld from array tasks without accelerators.

    Attributes:
        latest_spec: The latest gang to arrive; None before the first.
        resources: The resources of one task of the latest gang: the size of a slot.
        priority: The priority of the latest gang.
        slots: The number of idle slots to reserve for expected gangs, over all shards.
        waiting: The number of tasks of gangs that are not placed.
    """

    def __init__(self, cache: WatchCache, factor: float = 1.0) -> None:
        self.cache = cache
        self._slot_factor = factor  # configured by operators
        self._decayed_arrivals = 0.0  # gang tasks that arrived, exponentially decayed
        self._updated_at: Seconds | None = None
        self._started_at = 0.0
        self._counted_gangs: dict[JobId, None] = {}
        self.latest_spec: JobSpec | None = None
        self.resources = NO_RESOURCES
        self.priority = 0
        self.slots = 0.0
        self.waiting = 0

    def update(self, now: Seconds) -> None:
        """Count the tasks of gangs that have arrived since the last call, and of waiting gangs."""
        new, waiting, blocking_priority = self._count_tasks()
        if len(self._counted_gangs) > COUNTED_GANGS_ALLOWANCE + 2 * len(self.cache.live_jobs):
            self._counted_gangs = {
                job_id: None for job_id in self._counted_gangs if job_id in self.cache.live_jobs
            }
        if self._updated_at is None:
            self._started_at = self._updated_at = now
        self._decayed_arrivals = (
            self._decayed_arrivals * math.exp(-max(0.0, now - self._updated_at) / RATE_DECAY_S)
            + new
        )
        self._updated_at = now
        # Soon after the start, a decayed count covers less than its whole time constant.
        weight = 1.0 - math.exp(-max(MIN_RATE_WINDOW_S, now - self._started_at) / RATE_DECAY_S)
        mean = self._decayed_arrivals / (weight * RATE_DECAY_S) * GANG_WINDOW_S
        # Gangs end about as often as they arrive, so slots cover only the random fluctuations of
        # both: the variance of the difference is twice the mean.
        slots = self._slot_factor * GANG_SLOT_DEVIATIONS * math.sqrt(2.0 * mean)
        preempts = blocking_priority < self.priority
        self.slots = 0.0 if preempts else slots
        self.waiting = 0 if preempts else waiting

    def _count_tasks(self) -> _TaskCounts:
        new = waiting = 0
        blocking_priority = -1
        for job_id, job in self.cache.iter_live_jobs():
            spec = job.spec
            if spec.is_gang and job.open and job.gang is None:
                waiting += spec.task_count
            if job.open and not spec.is_gang and not spec.is_service and spec.gpus == 0:
                blocking_priority = max(blocking_priority, spec.priority)
            if spec.is_gang and job_id not in self._counted_gangs:
                self._counted_gangs[job_id] = None
                self.latest_spec = spec
                self.resources = spec.resources
                self.priority = spec.priority
                # Gangs that existed at the first update are not counted as new.
                if self._updated_at is not None:
                    new += spec.task_count
        return _TaskCounts(new, waiting, blocking_priority)

    def reserved_slots(self, has_small_machines: bool) -> float:
        """Return how many idle slots of the gangs' size array tasks may not use.

        Args:
            has_small_machines: Whether array tasks can run on machines too small for a gang's task.
                Only then are slots also reserved for waiting gangs; otherwise a constant stream of
                gangs would starve array tasks.
        """
        return self.slots + self.waiting if has_small_machines else self.slots

    def is_restricted(self, spec: JobSpec) -> bool:
        """Return whether this work may not use the slots reserved for gangs."""
        if spec.is_gang or spec.is_service or spec.gpus > 0:
            return False
        return spec.priority >= self.priority and self.slots + self.waiting >= MIN_GANG_SLOTS

    def outside_reserved_slots(self, free: Resources) -> Resources:
        """Return the free resources without the whole slots of the gangs' size in them."""
        return free.minus(self.resources.times(self.resources.fit_count(free)))
