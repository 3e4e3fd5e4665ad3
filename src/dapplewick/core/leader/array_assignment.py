"""Assignment of the tasks of pending arrays to shards (point 1 of `docs/design.md`)."""

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

BASE_QUEUE_LIMIT = 2  # tasks queued in a shard beyond its idle slots
QUEUE_LIMIT_PER_RUNNING_TASK = 0.15  # additional queued tasks per running array task


class _SlotShape(NamedTuple):
    """The properties of a task that determine which idle slots fit it."""

    placement_key: PlacementKey
    image: str


class ArrayAssigner:
    """Assigns tasks to the idle slots of shards, and a few more tasks to the shards' queues."""

    def __init__(
        self, drafts: JobDrafts, quotas: TeamQuotas, shards: ObservedShards, gang_demand: GangDemand
    ) -> None:
        self._drafts = drafts
        self._quotas = quotas
        self._shards = shards
        self._gang_demand = gang_demand
        self._first_incomplete: dict[JobId, int] = {}  # all lower tasks are complete

    def assign(
        self,
        shard_capacities: list[ShardCapacity],
        pending: list[PendingArray],
        overdue: list[PendingArray],
    ) -> None:
        """Draft the assignments of this pass.

        Slots are assigned first to work whose image is already on the machine, because no task can
        use a slot while an image is fetched for it.

        Args:
            shard_capacities: The free capacity in this pass; assigned slots are deducted from it.
            pending: The arrays and services that need slots, in the order in which they are served.
            overdue: The arrays that each have one task assigned before all other tasks.
        """
        queue_capacity = self._queue_capacity(shard_capacities)
        self._assign_in_order(overdue, shard_capacities, queue_capacity, limit=1)
        self._assign_in_order(pending, shard_capacities, queue_capacity, only_with_image=True)
        self._assign_in_order(pending, shard_capacities, queue_capacity)

    def _assign_in_order(
        self,
        arrays: list[PendingArray],
        shard_capacities: list[ShardCapacity],
        queue_capacity: dict[ShardName, int],
        only_with_image: bool = False,
        limit: int | None = None,
    ) -> None:
        """Assign slots to at most `limit` tasks of each array, in order, until none are free."""
        # Shapes with no free slots left for later jobs: a job received fewer slots than it needs.
        exhausted: set[_SlotShape] = set()
        for array in arrays:
            if array.unassigned <= 0:
                continue
            spec = array.job.spec
            shape = _SlotShape(spec.placement_key, spec.image if only_with_image else "")
            if shape in exhausted:
                continue
            allocation = self._allocate(
                array, shard_capacities, queue_capacity, only_with_image, limit
            )
            if allocation is None:
                continue
            if allocation.remaining > 0 and not (spec.same_zone or spec.spread):
                exhausted.add(shape)
            if allocation.total() > 0:
                self._draft(array.job_id, allocation)

    def _allocate(
        self,
        array: PendingArray,
        shard_capacities: list[ShardCapacity],
        queue_capacity: dict[ShardName, int],
        only_with_image: bool,
        limit: int | None,
    ) -> _JobAllocation | None:
        """Reserve slots for unassigned tasks; None without such tasks or at the team's limit."""
        job = self._drafts.current(array.job_id)
        spec = job.spec
        assigned = sum(len(tasks) for tasks in job.assignments.values())
        unassigned = spec.task_count - len(job.done) - assigned
        wanted = min(unassigned, self._quotas.within_limit(spec))
        if limit is not None:
            wanted = min(wanted, limit)
        if wanted <= 0:
            return None
        allocation = _JobAllocation(job, shard_capacities, wanted)
        allocation.assign_idle_slots(self._gang_demand, only_with_image)
        if not only_with_image:
            allocation.assign_beyond_idle_slots(queue_capacity)
        return allocation

    def _draft(self, job_id: JobId, allocation: _JobAllocation) -> None:
        job, total = allocation.job, allocation.total()
        tasks = self._next_tasks(job_id, job, total)
        draft = self._drafts.edit(job_id, WritePriority.NORMAL)
        for shard, count in allocation.counts.items():
            if count:
                shard_tasks, tasks = tasks[:count], tasks[count:]
                draft.assignments[shard] = draft.assigned(shard) | set(shard_tasks)
        self._quotas.charge(job.spec, total)

    def _next_tasks(self, job_id: JobId, job: JobRecord, count: int) -> list[int]:
        """Return the first `count` tasks, or fewer, that are neither complete nor assigned."""
        assigned: set[int] = set()
        for tasks in job.assignments.values():
            assigned |= tasks
        first = self._first_incomplete.get(job_id, 0)
        while first < job.spec.task_count and first in job.done:
            first += 1
        self._first_incomplete[job_id] = first
        found: list[int] = []
        index = first
        while len(found) < count and index < job.spec.task_count:
            if index not in job.done and index not in assigned:
                found.append(index)
            index += 1
        return found

    def _queue_capacity(self, shard_capacities: list[ShardCapacity]) -> dict[ShardName, int]:
        """Return how many more tasks may be queued in each shard."""
        queue_capacity = {}
        for shard in shard_capacities:
            observed = self._shards.by_name[shard.shard]
            running = sum(capacity.array_tasks for capacity in shard.capacities)
            queued = 0
            for job_id, job in self._drafts.live_jobs():
                assigned = job.assignments.get(shard.shard)
                if assigned and not job.spec.is_service:
                    queued += max(0, len(assigned) - observed.placed_task_count(job_id))
            limit = int(BASE_QUEUE_LIMIT + QUEUE_LIMIT_PER_RUNNING_TASK * running)
            queue_capacity[shard.shard] = max(0, limit - queued)
        return queue_capacity


class _JobAllocation:
    """Distributes a job's tasks over shards, within the job's limit for each zone.

    Attributes:
        job: The job with the changes of this pass.
        counts: The number of tasks assigned to each shard, in the order in which shards are tried.
        remaining: The number of tasks that are assigned to no shard.
    """

    def __init__(self, job: JobRecord, shard_capacities: list[ShardCapacity], wanted: int) -> None:
        self.job = job
        self._spec = spec = job.spec
        self._shard_fraction = 1.0 / max(1, len(shard_capacities))
        shards = [s for s in shard_capacities if any(c.allows(spec) for c in s.capacities)]
        if spec.same_zone:
            shards = _in_one_zone(job, shards)
        # Shards reserved for certain teams precede shared shards; then those with the most idle
        # slots come first.
        shards.sort(key=lambda s: (s.teams is None, -s.idle_slots(spec)))
        self._shards = shards
        self._zone_remaining = {
            s.zone: spec.max_tasks_per_zone - job.assigned_in_zone(s.zone) for s in shards
        }
        self.counts: dict[ShardName, int] = {}
        self.remaining = wanted

    def total(self) -> int:
        """Return how many tasks were assigned to shards."""
        return sum(self.counts.values())

    def assign_idle_slots(self, gang_demand: GangDemand, only_with_image: bool) -> None:
        """Assign tasks to the shards' idle slots, except slots reserved for gangs."""
        for shard in self._shards:
            shard.reserve_idle_slots_for_gangs(gang_demand, self._shard_fraction)
            limit = min(self.remaining, self._zone_remaining[shard.zone])
            self.counts[shard.shard] = 0
            self._assign(shard, shard.reserve_up_to(self._spec, limit, only_with_image))

    def assign_beyond_idle_slots(self, queue_capacity: dict[ShardName, int]) -> None:
        """Assign tasks to the shards' queues, or replicas that preempt work of lower priority."""
        for shard in self._shards:
            limit = min(self.remaining, self._zone_remaining[shard.zone])
            if self._spec.is_service:
                # Replicas are not queued; they preempt work of lower priority.
                count = shard.reserve_by_preemption(self._spec, limit)
            else:
                count = max(0, min(limit, queue_capacity[shard.shard]))
                queue_capacity[shard.shard] -= count
            self._assign(shard, count)

    def _assign(self, shard: ShardCapacity, count: int) -> None:
        self.counts[shard.shard] += count
        self._zone_remaining[shard.zone] -= count
        self.remaining -= count


def _in_one_zone(job: JobRecord, shards: list[ShardCapacity]) -> list[ShardCapacity]:
    """Return the shards of the zone in which all tasks of the job must run.

    This is the zone of the job's assigned tasks; if none is assigned, the zone with the most idle
    slots.
    """
    zones = {zone_of(name) for name, tasks in job.assignments.items() if tasks}
    if not zones and shards:
        zones = {_zone_with_most_idle_slots(shards, job.spec)}
    return [shard for shard in shards if shard.zone in zones]


def _zone_with_most_idle_slots(shards: list[ShardCapacity], spec: JobSpec) -> Zone:
    idle: dict[Zone, int] = {}
    for shard in shards:
        idle[shard.zone] = idle.get(shard.zone, 0) + shard.idle_slots(spec)
    return max(idle, key=idle.__getitem__)
