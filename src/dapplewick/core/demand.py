"""What work with accelerators, and gangs to come, need of machines: others leave them room."""

from __future__ import annotations

import math

from dapplewick.protocol.job_spec import JobSpec
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NO_RESOURCES, JobId, Resources, Seconds

GANG_WINDOW_S = 45.0  # gang tasks that come in this time should find idle slots
MEMORY_S = 60.0  # over this time the rate at which gangs come is counted
UNAIMED_S = 60.0  # work without aims of its own is left no room for this long
SCARCE = 0.5  # of the accelerators
SEEN_LEAST = 500  # gangs that have been counted, before those that are over are forgotten
FADE_S = 20.0  # a demand for accelerators that has passed is believed in for about this long


class AcceleratorDemand:
    """How many accelerators are wanted, and the CPUs and memory that go with each.

    A machine's accelerators are worth nothing without CPUs. Work that needs none of them may
    use a machine's other resources only beyond this share.
    """

    def __init__(self, cache: WatchCache, aimed: frozenset[str] = frozenset()) -> None:
        self.cache = cache
        self._aimed = aimed  # classes of which the users say what they expect
        self._wanted = 0.0
        self._at = 0.0
        self._each = Resources(0.0, 1.0, 0.0)
        self._share = 0.0
        self.priority = -1  # the highest of the work that wants accelerators

    def update(self, now: Seconds, wall: Seconds) -> None:
        wanted = cpus = ram_gb = 0.0
        self.priority = -1
        for _, job in self.cache.each_live():
            spec = job.spec
            if spec.gpus > 0 and job.open:
                # Where users expect something of other classes only, room is not kept from
                # those for this work, until it has waited for long.
                if (
                    self._aimed
                    and spec.job_class not in self._aimed
                    and wall - job.submitted_at < UNAIMED_S
                ):
                    continue
                self.priority = max(self.priority, spec.priority)
                wanted += spec.gpus * (spec.task_count - len(job.done))
                cpus = max(cpus, spec.cpus / spec.gpus)
                ram_gb = max(ram_gb, spec.ram_gb / spec.gpus)
        if cpus or ram_gb:
            self._each = Resources(cpus, 1.0, ram_gb)
        fade = math.exp(-max(0.0, now - self._at) / FADE_S)
        self._at = now
        self._wanted = max(wanted, self._wanted * fade)
        have = 0.0
        for record in self.cache.machines.values():
            kind = self.cache.types.get(record.type)
            if kind is not None and record.up and not record.terminating:
                have += kind.gpus
        self._share = min(1.0, self._wanted / have) if have else 0.0

    def wanted(self) -> bool:
        return self._share > 0.01

    def scarce(self) -> bool:
        """Whether most accelerators are wanted: what their work leaves goes to more of it."""
        return self._share > SCARCE

    def reserve(self, capacity: Resources, free: Resources) -> Resources:
        """What is to be left free on a machine for the accelerators that are wanted."""
        if capacity.gpus <= 0 or self._share <= 0.01:
            return NO_RESOURCES
        target = math.floor(self._share * capacity.gpus + 0.5)
        count = max(0.0, min(free.gpus, target - (capacity.gpus - free.gpus)))
        return Resources(self._each.cpus * count, 0.0, self._each.ram_gb * count)


class GangDemand:
    """How many idle slots to keep for gangs that can't displace the singles in their way.

    A gang of higher priority stops singles; any other would wait for them to end. So singles
    without accelerators use only what is left beside a few idle slots of the gangs' size.
    """

    def __init__(self, cache: WatchCache, factor: float = 1.0) -> None:
        self.cache = cache
        self._factor = factor
        self._count = 0.0
        self._at: Seconds | None = None
        self._begun = 0.0
        self.spec: JobSpec | None = None
        self._seen: dict[JobId, None] = {}
        self.resources = NO_RESOURCES
        self.priority = 0
        self.slots = 0.0  # for gangs that are expected
        self.waiting = 0  # tasks of gangs that have no place yet

    def update(self, now: Seconds) -> None:
        fresh = waiting = 0
        in_the_way = -1
        for job_id, job in self.cache.each_live():
            spec = job.spec
            if spec.is_gang and job.open and job.gang is None:
                waiting += spec.task_count
            if job.open and not spec.is_gang and not spec.is_service and spec.gpus == 0:
                in_the_way = max(in_the_way, job.spec.priority)
            if job.spec.is_gang and job_id not in self._seen:
                self._seen[job_id] = None
                self.spec = job.spec
                self.resources = job.spec.resources
                self.priority = job.spec.priority
                if self._at is not None:
                    fresh += job.spec.task_count
        if len(self._seen) > SEEN_LEAST + 2 * len(self.cache.live_jobs):
            self._seen = {job_id: None for job_id in self._seen if job_id in self.cache.live_jobs}
        if self._at is None:
            self._begun = self._at = now
        self._count = self._count * math.exp(-max(0.0, now - self._at) / MEMORY_S) + fresh
        self._at = now
        # A fading count stands for less than its whole memory soon after the start.
        weight = 1.0 - math.exp(-max(5.0, now - self._begun) / MEMORY_S)
        mean = self._count / (weight * MEMORY_S) * GANG_WINDOW_S
        # Gangs also end, about as many as come; what matters is how far both stray by chance.
        wanted = self._factor * 1.5 * math.sqrt(2.0 * mean)
        displaced = in_the_way < self.priority
        self.slots = 0.0 if displaced else wanted
        self.waiting = 0 if displaced else waiting

    def kept_slots(self, elsewhere: bool) -> float:
        """How many idle slots of the gangs' size are kept from singles. Those of gangs that wait
        count only where singles can also go `elsewhere`, to machines too small for a gang's
        task: without that a constant stream of gangs would starve them."""
        return self.slots + self.waiting if elsewhere else self.slots

    def applies(self, spec: JobSpec) -> bool:
        """Whether this work would be in the way of gangs."""
        if spec.is_gang or spec.is_service or spec.gpus > 0:
            return False
        return spec.priority >= self.priority and self.slots + self.waiting >= 0.5

    def rest(self, free: Resources) -> Resources:
        """A room less the whole slots of the gangs' size in it."""
        count = self.resources.count_in(free)
        return free.minus(
            Resources(
                self.resources.cpus * count,
                self.resources.gpus * count,
                self.resources.ram_gb * count,
            )
        )
