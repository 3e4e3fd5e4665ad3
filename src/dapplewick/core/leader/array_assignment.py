"""Which shard gets which tasks of the pending arrays: the design's first point."""

from __future__ import annotations

from typing import NamedTuple

from dapplewick.core.demand import GangDemand
from dapplewick.core.leader.array_order import PendingArray
from dapplewick.core.leader.job_drafts import JobDrafts
from dapplewick.core.leader.observed_shard import ObservedShards
from dapplewick.core.leader.quotas import TeamQuotas
from dapplewick.core.leader.shard_capacity import ShardCapacity
from dapplewick.protocol.job_spec import JobSpec, PlacementKey
from dapplewick.storage.job_records import JobRecord
from dapplewick.storage.write_priority import WritePriority
from dapplewick.types import JobId, ShardName, Zone, zone_of

LEAST_QUEUED = 2  # tasks that may be queued in a shard, beyond its idle slots
QUEUED_FRACTION = 0.15  # and so many more for each that runs there


class _Shape(NamedTuple):
    """What decides for which tasks the idle slots are the same."""

    placement_key: PlacementKey
    image: str


class ArrayAssignment:
    """Assigns tasks to shards by their idle slots, and a few more for their queues."""

    def __init__(
        self, drafts: JobDrafts, quotas: TeamQuotas, shards: ObservedShards, gangs: GangDemand
    ) -> None:
        self._drafts = drafts
        self._quotas = quotas
        self._shards = shards
        self._gangs = gangs
        self._first_open: dict[JobId, int] = {}  # all tasks below this number are complete

    def assign(
        self,
        shard_capacities: list[ShardCapacity],
        pending: list[PendingArray],
        overdue: list[PendingArray],
    ) -> None:
        """Draft the assignments of this pass.

        Slots go first to work whose image is on the machine: a fetch keeps them from all work.

        Args:
            shard_capacities: What this pass has left free; the slots that are given are taken.
            pending: The arrays and services that want slots, in the order in which they get them.
            overdue: Those of which one task goes before all others.
        """
        queue_capacity = self._queue_capacity(shard_capacities)
        self._assign_in_order(overdue, shard_capacities, queue_capacity, most=1)
        self._assign_in_order(pending, shard_capacities, queue_capacity, only_with_image=True)
        self._assign_in_order(pending, shard_capacities, queue_capacity)

    def _assign_in_order(
        self,
        arrays: list[PendingArray],
        shard_capacities: list[ShardCapacity],
        queue_capacity: dict[ShardName, int],
        only_with_image: bool = False,
        most: int | None = None,
    ) -> None:
        """Give each array its slots, and at most so many of its tasks, as long as there are any."""
        # Where one job got less than it wanted, one of the same shape gets none.
        full: set[_Shape] = set()
        for array in arrays:
            if array.unassigned <= 0:
                continue
            spec = array.job.spec
            shape = _Shape(spec.placement_key, spec.image if only_with_image else "")
            if shape in full:
                continue
            split = self._split(array, shard_capacities, queue_capacity, only_with_image, most)
            if split is None:
                continue
            if split.left > 0 and not (spec.same_zone or spec.spread):
                full.add(shape)
            if split.total() > 0:
                self._draft(array.job_id, split)

    def _split(
        self,
        array: PendingArray,
        shard_capacities: list[ShardCapacity],
        queue_capacity: dict[ShardName, int],
        only_with_image: bool,
        most: int | None,
    ) -> _Split | None:
        """Take slots for a job's tasks; None if it has none left or its team's limit is reached."""
        job = self._drafts.current(array.job_id)
        spec = job.spec
        assigned = sum(len(tasks) for tasks in job.assignments.values())
        unassigned = spec.task_count - len(job.done) - assigned
        wanted = min(unassigned, self._quotas.within_limit(spec))
        if most is not None:
            wanted = min(wanted, most)
        if wanted <= 0:
            return None
        split = _Split(job, shard_capacities, wanted)
        split.take_idle(self._gangs, only_with_image)
        if not only_with_image:
            split.take_more(queue_capacity)
        return split

    def _draft(self, job_id: JobId, split: _Split) -> None:
        job, total = split.job, split.total()
        tasks = self._next_tasks(job_id, job, total)
        draft = self._drafts.edit(job_id, WritePriority.NORMAL)
        for shard, count in split.counts.items():
            if count:
                mine, tasks = tasks[:count], tasks[count:]
                draft.assignments[shard] = draft.assigned(shard) | set(mine)
        self._quotas.spend(job.spec, total)

    def _next_tasks(self, job_id: JobId, job: JobRecord, count: int) -> list[int]:
        """The first tasks that are neither complete nor assigned, at most so many."""
        assigned: set[int] = set()
        for tasks in job.assignments.values():
            assigned |= tasks
        first = self._first_open.get(job_id, 0)
        while first < job.spec.task_count and first in job.done:
            first += 1
        self._first_open[job_id] = first
        found: list[int] = []
        index = first
        while len(found) < count and index < job.spec.task_count:
            if index not in job.done and index not in assigned:
                found.append(index)
            index += 1
        return found

    def _queue_capacity(self, shard_capacities: list[ShardCapacity]) -> dict[ShardName, int]:
        """How many more tasks may be queued in each shard."""
        queue_capacity = {}
        for shard in shard_capacities:
            observed = self._shards.by_name[shard.shard]
            running = sum(capacity.array_tasks for capacity in shard.capacities)
            queued = 0
            for job_id, job in self._drafts.live_jobs():
                assigned = job.assignments.get(shard.shard)
                if assigned and not job.spec.is_service:
                    queued += max(0, len(assigned) - observed.placed_task_count(job_id))
            most = int(LEAST_QUEUED + QUEUED_FRACTION * running)
            queue_capacity[shard.shard] = max(0, most - queued)
        return queue_capacity


class _Split:
    """How many of a job's tasks each shard gets, within the limit of each zone.

    Attributes:
        job: The job as it stands in this pass.
        counts: The tasks for each shard, in the order in which shards were chosen.
        left: Tasks that no shard has got.
    """

    def __init__(self, job: JobRecord, shard_capacities: list[ShardCapacity], wanted: int) -> None:
        self.job = job
        self._spec = spec = job.spec
        self._shard_fraction = 1.0 / max(1, len(shard_capacities))
        shards = [s for s in shard_capacities if any(c.allows(spec) for c in s.capacities)]
        if spec.same_zone:
            shards = _in_one_zone(job, shards)
        # A partition that is kept for its teams goes before what all use; else idle slots decide.
        shards.sort(key=lambda s: (s.teams is None, -s.idle_slots(spec)))
        self._shards = shards
        self._zone_left = {s.zone: spec.zone_cap - job.assigned_in_zone(s.zone) for s in shards}
        self.counts: dict[ShardName, int] = {}
        self.left = wanted

    def total(self) -> int:
        """How many tasks were given to shards."""
        return sum(self.counts.values())

    def take_idle(self, gangs: GangDemand, only_with_image: bool) -> None:
        """Give shards tasks for their idle slots, less those that are kept for gangs."""
        for shard in self._shards:
            shard.reserve_idle_slots_for_gangs(gangs, self._shard_fraction)
            most = min(self.left, self._zone_left[shard.zone])
            self.counts[shard.shard] = 0
            self._give(shard, shard.reserve_up_to(self._spec, most, only_with_image))

    def take_more(self, queue_capacity: dict[ShardName, int]) -> None:
        """Give shards tasks for their queues, or replicas for which they preempt others."""
        for shard in self._shards:
            most = min(self.left, self._zone_left[shard.zone])
            if self._spec.is_service:
                # No replica waits in a queue; work of lower priority gives way to it.
                count = shard.reserve_by_preemption(self._spec, most)
            else:
                count = max(0, min(most, queue_capacity[shard.shard]))
                queue_capacity[shard.shard] -= count
            self._give(shard, count)

    def _give(self, shard: ShardCapacity, count: int) -> None:
        self.counts[shard.shard] += count
        self._zone_left[shard.zone] -= count
        self.left -= count


def _in_one_zone(job: JobRecord, shards: list[ShardCapacity]) -> list[ShardCapacity]:
    """The shards of the zone in which tasks of this job are, else of the one with most slots."""
    zones = {zone_of(name) for name, tasks in job.assignments.items() if tasks}
    if not zones and shards:
        zones = {_widest_zone(shards, job.spec)}
    return [shard for shard in shards if shard.zone in zones]


def _widest_zone(shards: list[ShardCapacity], spec: JobSpec) -> Zone:
    """The zone with most idle slots for this work."""
    idle: dict[Zone, int] = {}
    for shard in shards:
        idle[shard.zone] = idle.get(shard.zone, 0) + shard.idle_slots(spec)
    return max(idle, key=idle.__getitem__)
