"""What accelerator work, and gangs to come, need of machines that other work would fill."""

from __future__ import annotations

import math
from typing import NamedTuple

from dapplewick.protocol.job_spec import JobSpec
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NO_RESOURCES, JobId, Resources, Seconds

GANG_WINDOW_S = 45.0  # gang tasks that come in this time should find idle slots
MEMORY_S = 60.0  # over this time the rate at which gangs come is counted
LEAST_MEMORY_S = 5.0  # as if it had been counted for at least so long
GANG_SPREAD = 1.5  # standard deviations of the gang tasks that come and go, which are kept idle
UNAIMED_S = 60.0  # nothing is reserved for this long for work that has no objectives
WANTED = 0.01  # of the accelerators: less is not worth reserving for
SCARCE = 0.5  # of the accelerators
SEEN_LEAST = 500  # gangs that have been counted, before those that are over are forgotten
FADE_S = 20.0  # a demand for accelerators that has passed is believed in for about this long
MIN_GANG_SLOTS = 0.5  # fewer idle slots than this are not worth keeping


class AcceleratorDemand:
    """How many accelerators are wanted, and the CPUs and memory that go with each.

    A machine's accelerators are worth nothing without CPUs. Work that needs none of them may
    use a machine's other resources only beyond what its wanted accelerators need.

    Attributes:
        priority: The highest of the work that wants accelerators; -1 if there is none.
    """

    def __init__(self, cache: WatchCache, aimed_classes: frozenset[str] = frozenset()) -> None:
        self.cache = cache
        self._aimed_classes = aimed_classes  # classes that have objectives
        self._wanted = 0.0
        self._updated_at = 0.0
        self._each = Resources(0.0, 1.0, 0.0)  # what goes with one accelerator
        self._wanted_fraction = 0.0  # of all accelerators that are up
        self.priority = -1

    def update(self, now: Seconds, wall_time: Seconds) -> None:
        """Sum up the demand of all open jobs; a demand that has passed fades.

        Args:
            now: The steady clock.
            wall_time: The wall clock, which is compared with times of submission.
        """
        wanted = self._count_wanted(wall_time)
        fade = math.exp(-max(0.0, now - self._updated_at) / FADE_S)
        self._updated_at = now
        self._wanted = max(wanted, self._wanted * fade)
        have = self._count_up()
        self._wanted_fraction = min(1.0, self._wanted / have) if have else 0.0

    def _count_wanted(self, wall_time: Seconds) -> float:
        """The accelerators that unfinished work wants; notes its priority and what goes with it."""
        wanted = cpus = ram_gb = 0.0
        self.priority = -1
        for _, job in self.cache.iter_live_jobs():
            spec = job.spec
            if spec.gpus > 0 and job.open:
                # Where users have objectives for other classes only, nothing is kept from those
                # for this work, until it has waited for long.
                if (
                    self._aimed_classes
                    and spec.job_class not in self._aimed_classes
                    and wall_time - job.submitted_at < UNAIMED_S
                ):
                    continue
                self.priority = max(self.priority, spec.priority)
                wanted += spec.gpus * (spec.task_count - len(job.done))
                cpus = max(cpus, spec.cpus / spec.gpus)
                ram_gb = max(ram_gb, spec.ram_gb / spec.gpus)
        if cpus or ram_gb:
            self._each = Resources(cpus, 1.0, ram_gb)
        return wanted

    def _count_up(self) -> float:
        """The accelerators of all machines that are up."""
        count = 0.0
        for record in self.cache.machines.values():
            machine_type = self.cache.types.get(record.type)
            if machine_type is not None and record.up and not record.terminating:
                count += machine_type.gpus
        return count

    def wanted(self) -> bool:
        """Whether accelerators are wanted at all."""
        return self._wanted_fraction > WANTED

    def scarce(self) -> bool:
        """Whether most accelerators are wanted: what their work leaves goes to more of it."""
        return self._wanted_fraction > SCARCE

    def resources_to_reserve(self, total: Resources, free: Resources) -> Resources:
        """What is to be left free on a machine for the accelerators that are wanted.

        Args:
            total: All resources of the machine.
            free: Those that no task uses.
        """
        if total.gpus <= 0 or self._wanted_fraction <= WANTED:
            return NO_RESOURCES
        target = math.floor(self._wanted_fraction * total.gpus + 0.5)
        count = max(0.0, min(free.gpus, target - (total.gpus - free.gpus)))
        return Resources(self._each.cpus * count, 0.0, self._each.ram_gb * count)


class _TaskCounts(NamedTuple):
    """Tasks of gangs that are new and that wait, and the highest priority of arrays in their way.

    The priority is -1 if there is no such array.
    """

    fresh: int
    waiting: int
    in_the_way: int


class GangDemand:
    """How many idle slots to keep for gangs that can't preempt the array tasks in their way.

    A gang of higher priority preempts array tasks; any other would wait for them to end. So array
    tasks without accelerators use only what is left beside a few idle slots of the gangs' size.

    Attributes:
        spec: The gang that came last; None before the first.
        resources: Those of each of its tasks: the size of a slot.
        priority: Its priority.
        slots: How many idle slots are kept on average for gangs that are expected.
        waiting: Tasks of gangs that have no place yet.
    """

    def __init__(self, cache: WatchCache, factor: float = 1.0) -> None:
        self.cache = cache
        self._factor = factor  # as operators have set it
        self._count = 0.0  # tasks of gangs that came, fading
        self._updated_at: Seconds | None = None
        self._begun_at = 0.0
        self._seen: dict[JobId, None] = {}
        self.latest_spec: JobSpec | None = None
        self.resources = NO_RESOURCES
        self.priority = 0
        self.slots = 0.0
        self.waiting = 0

    def update(self, now: Seconds) -> None:
        """Count the gangs that came since the last call and those that wait."""
        fresh, waiting, in_the_way = self._count_tasks()
        if len(self._seen) > SEEN_LEAST + 2 * len(self.cache.live_jobs):
            self._seen = {job_id: None for job_id in self._seen if job_id in self.cache.live_jobs}
        if self._updated_at is None:
            self._begun_at = self._updated_at = now
        self._count = self._count * math.exp(-max(0.0, now - self._updated_at) / MEMORY_S) + fresh
        self._updated_at = now
        # A fading count stands for less than its whole memory soon after the start.
        weight = 1.0 - math.exp(-max(LEAST_MEMORY_S, now - self._begun_at) / MEMORY_S)
        mean = self._count / (weight * MEMORY_S) * GANG_WINDOW_S
        # Gangs also end, about as many as come; what matters is how far both stray by chance.
        wanted = self._factor * GANG_SPREAD * math.sqrt(2.0 * mean)
        preempts = in_the_way < self.priority
        self.slots = 0.0 if preempts else wanted
        self.waiting = 0 if preempts else waiting

    def _count_tasks(self) -> _TaskCounts:
        fresh = waiting = 0
        in_the_way = -1
        for job_id, job in self.cache.iter_live_jobs():
            spec = job.spec
            if spec.is_gang and job.open and job.gang is None:
                waiting += spec.task_count
            if job.open and not spec.is_gang and not spec.is_service and spec.gpus == 0:
                in_the_way = max(in_the_way, spec.priority)
            if spec.is_gang and job_id not in self._seen:
                self._seen[job_id] = None
                self.latest_spec = spec
                self.resources = spec.resources
                self.priority = spec.priority
                # Gangs that were there before this controller looked first are not new.
                if self._updated_at is not None:
                    fresh += spec.task_count
        return _TaskCounts(fresh, waiting, in_the_way)

    def reserved_slots(self, elsewhere: bool) -> float:
        """How many idle slots of the gangs' size are kept from array tasks.

        Args:
            elsewhere: Whether array tasks can also go to machines too small for a gang's task.
                Only then do the slots of gangs that wait count: else a constant stream of gangs
                would starve array tasks.
        """
        return self.slots + self.waiting if elsewhere else self.slots

    def is_restricted(self, spec: JobSpec) -> bool:
        """Whether this work would be in the way of gangs."""
        if spec.is_gang or spec.is_service or spec.gpus > 0:
            return False
        return spec.priority >= self.priority and self.slots + self.waiting >= MIN_GANG_SLOTS

    def outside_reserved_slots(self, free: Resources) -> Resources:
        """Free resources less the whole slots of the gangs' size in them."""
        return free.minus(self.resources.times(self.resources.fit_count(free)))
