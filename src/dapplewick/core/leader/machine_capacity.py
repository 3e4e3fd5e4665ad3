"""One machine as the leader plans with it: what is free now, and what becomes free when."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from dapplewick.core.demand import AcceleratorDemand, GangDemand
from dapplewick.core.priorities import NON_PREEMPTIBLE_PRIORITY
from dapplewick.protocol.job_spec import JobSpec, PlacementKey
from dapplewick.protocol.peers import MachineStatus
from dapplewick.types import (
    NO_RESOURCES,
    MachineId,
    Resources,
    Seconds,
    ShardName,
    TypeName,
    zone_of,
)

CPU_ROUNDING = 1e-6  # amounts are sums of floats, so fits are tested with this allowance


class ExpectedEnd(NamedTuple):
    """When a task on a machine is estimated to end, and the resources that it frees then.

    Tasks with the same `group` end together: those of one gang. It is empty for an array's task.
    """

    at: Seconds
    resources: Resources
    priority: int
    group: str


class SlotWait(NamedTuple):
    """How long until a slot is idle: when tasks end by themselves, and when some are preempted."""

    without_preemption_s: Seconds
    with_preemption_s: Seconds


IDLE_NOW = SlotWait(0.0, 0.0)


class SlotEnd(NamedTuple):
    """When a slot becomes idle, and with which group's end; no group if it is idle already."""

    wait_s: Seconds
    group: str


class MachineCapacity:
    """One machine's capacity within a pass.

    It lives as long as the status that it was made of; each pass begins it anew, so that
    thousands of machines are not built again for every pass.

    Attributes:
        teams: Whose work the machine takes; None means everybody's.
        reported_free: The free resources in its shard's status.
        free: The same less what this pass has taken.
        ends: The running tasks' expected ends, earliest first.
        array_tasks: How many array tasks run here.
        max_cpus: The CPUs that are free once all running tasks have ended.
        kept_for: Set while the idle slots of its shard are kept for gangs.
    """

    __slots__ = (
        "_idle_slots",
        "_slot_ends",
        "_slot_waits",
        "array_tasks",
        "demand",
        "ends",
        "free",
        "id",
        "images",
        "kept_for",
        "machine_type",
        "max_cpus",
        "now",
        "queue_length",
        "reported_free",
        "shard",
        "spot",
        "teams",
        "total",
        "zone",
    )

    def __init__(
        self,
        machine_id: MachineId,
        machine_type: TypeName,
        shard: ShardName,
        spot: bool,
        total: Resources,
        free: Resources,
        ends: list[ExpectedEnd],
        queue_length: int,
        demand: AcceleratorDemand | None = None,
        images: Iterable[str] = (),
    ) -> None:
        self.id = machine_id
        self.machine_type = machine_type
        self.shard = shard
        self.zone = zone_of(shard)
        self.teams: frozenset[str] | None = None
        self.spot = spot
        self.total = total
        self.free = free
        self.reported_free = free
        self.ends = ends
        self.now = 0.0
        self.queue_length = queue_length
        self.demand = demand
        self.array_tasks = sum(end.priority < NON_PREEMPTIBLE_PRIORITY for end in ends)
        self.max_cpus = free.cpus + sum(end.resources.cpus for end in ends)
        self.images = frozenset(images)
        self.kept_for: GangDemand | None = None
        # Memo tables by the shape of a slot, valid until resources are taken.
        self._idle_slots: dict[PlacementKey, int] = {}
        self._slot_waits: dict[PlacementKey, list[Seconds]] = {}
        self._slot_ends: dict[PlacementKey, list[SlotEnd]] = {}

    def begin_pass(self, now: Seconds) -> None:
        """Forget what the last pass took."""
        self.free = self.reported_free
        self.now = now
        self.teams = None
        self.kept_for = None
        if self._idle_slots or self._slot_waits or self._slot_ends:
            self.clear_memos()

    def clear_memos(self) -> None:
        """Clear the memo tables: what they rest on has changed."""
        self._idle_slots.clear()
        self._slot_waits.clear()
        self._slot_ends.clear()

    def reserve(self, resources: Resources) -> None:
        """Take resources for the rest of this pass."""
        self.free = self.free.minus(resources)
        if self._idle_slots or self._slot_waits or self._slot_ends:
            self.clear_memos()

    def has_image(self, spec: JobSpec) -> bool:
        """Whether the image of this work is there, or being fetched."""
        return spec.image in self.images

    def allows(self, spec: JobSpec) -> bool:
        """Whether this work may run here at all, whatever is free."""
        return (
            (spec.types is None or self.machine_type in spec.types)
            and (spec.spot or not self.spot)
            and (spec.zone is None or spec.zone == self.zone)
            and (self.teams is None or spec.team in self.teams)
        )

    def usable_resources(self, spec: JobSpec) -> Resources:
        """The free resources that this work may use."""
        free = self.free
        if spec.gpus > 0 or spec.is_service or self.demand is None:
            return free
        if self.kept_for is not None and self.kept_for.is_restricted(spec):
            free = self.kept_for.outside_reserved_slots(free)
        reserve = self.demand.resources_to_reserve(self.total, self.free)
        return free if reserve is NO_RESOURCES else free.minus(reserve)

    def slot_count(self, spec: JobSpec) -> int:
        """How many tasks of this work fit into what is free."""
        return spec.resources.count_in(self.usable_resources(spec))

    def idle_slots(self, spec: JobSpec) -> int:
        """How many tasks of this work may start here now; memoized by the shape of a slot."""
        placement_key = spec.placement_key
        count = self._idle_slots.get(placement_key)
        if count is None:
            count = self.slot_count(spec) if self.allows(spec) else 0
            self._idle_slots[placement_key] = count
        return count

    def slot_wait(self, spec: JobSpec) -> SlotWait | None:
        """When the running tasks will have left a slot; None if they never do."""
        resources, priority = spec.resources, spec.priority
        free = free_preempting = self.usable_resources(spec)
        if resources.fits_in(free):
            return IDLE_NOW
        natural_s = -1.0
        keeps_accelerators = self._keeps_accelerators(spec)
        for end, freed, end_priority, _ in self.ends:
            if keeps_accelerators and freed.gpus > 0:
                continue
            free = free.plus(freed)
            if end_priority < priority:
                free_preempting = free_preempting.plus(freed)
            if natural_s < 0.0 and resources.fits_in(free):
                natural_s = max(0.0, end - self.now)
        if natural_s < 0.0:
            return None
        return SlotWait(natural_s, 0.0 if resources.fits_in(free_preempting) else natural_s)

    def slot_waits(self, spec: JobSpec) -> list[Seconds]:
        """When each slot of this shape becomes idle, preempting lower priorities if it helps."""
        placement_key = spec.placement_key
        waits = self._slot_waits.get(placement_key)
        if waits is None:
            waits = self._slot_waits[placement_key] = []
            if self._may_ever_fit(spec):
                saved = self.free
                while (wait := self.slot_wait(spec)) is not None:
                    self.free = self.free.minus(spec.resources)
                    waits.append(min(wait.without_preemption_s, wait.with_preemption_s))
                self.free = saved
        return waits

    def slot_ends(self, spec: JobSpec) -> list[SlotEnd]:
        """When each slot of this shape becomes idle by itself, and with whose end."""
        placement_key = spec.placement_key
        slots = self._slot_ends.get(placement_key)
        if slots is None:
            slots = self._slot_ends[placement_key] = []
            if self._may_ever_fit(spec):
                self._add_slot_ends(spec, slots)
        return slots

    def _add_slot_ends(self, spec: JobSpec, slots: list[SlotEnd]) -> None:
        resources, free = spec.resources, self.usable_resources(spec)
        count = resources.count_in(free)
        slots.extend([SlotEnd(0.0, "")] * count)
        free = free.minus(resources.times(count))
        keeps_accelerators = self._keeps_accelerators(spec)
        for end in self.ends:
            if keeps_accelerators and end.resources.gpus > 0:
                continue
            free = free.plus(end.resources)
            while resources.fits_in(free):
                free = free.minus(resources)
                group = end.group or f"{self.id}/{len(slots)}"
                slots.append(SlotEnd(max(0.0, end.at - self.now), group))

    def _may_ever_fit(self, spec: JobSpec) -> bool:
        return self.max_cpus >= spec.cpus - CPU_ROUNDING and self.allows(spec)

    def _keeps_accelerators(self, spec: JobSpec) -> bool:
        """Whether the CPUs beside accelerators here are left to work that needs these.

        A gang that took them, with such work preempted for it, left most accelerators idle.
        """
        return spec.gpus == 0 and self.demand is not None and self.demand.scarce()


# Accelerators that the work does not need, whether the image is missing, whether it is an
# on-demand machine, free CPUs and free memory. A bare tuple, since one is made for every machine
# that could take a task, each time that tasks are assigned.
SpareKey = tuple[float, bool, bool, float, float]


def spare_key(capacity: MachineCapacity, spec: JobSpec) -> SpareKey:
    """What using this machine would waste.

    Machines without accelerators that are not needed come first, then those with the image, then
    the cheap spot machines, then those with the least left.
    """
    return (
        capacity.total.gpus if spec.gpus == 0 else 0.0,
        not capacity.has_image(spec),
        not capacity.spot,
        capacity.free.cpus,
        capacity.free.ram_gb,
    )


def capacity_of_status(
    machine_id: MachineId,
    machine_type: TypeName,
    shard: ShardName,
    spot: bool,
    total: Resources,
    status: MachineStatus,
    demand: AcceleratorDemand,
    clock_offset_s: Seconds = 0.0,
) -> MachineCapacity:
    """A machine as its shard's status describes it.

    Args:
        machine_id: The machine.
        machine_type: Its type.
        shard: The shard that schedules it.
        spot: Whether the cloud may reclaim it.
        total: The resources of its type.
        status: What the shard's owner told of it.
        demand: What is kept beside accelerators.
        clock_offset_s: Our steady clock less that of the shard's owner.
    """
    return MachineCapacity(
        machine_id,
        machine_type,
        shard,
        spot,
        total,
        status.free,
        [
            ExpectedEnd(end.at + clock_offset_s, end.resources, end.priority, end.gang)
            for end in status.ends
        ],
        status.queued,
        demand,
        status.images,
    )


def empty_capacity(
    machine_id: MachineId, machine_type: TypeName, zone: str, spot: bool, total: Resources
) -> MachineCapacity:
    """A machine that is still to come, as an empty one of its zone's own shard."""
    return MachineCapacity(machine_id, machine_type, ShardName(zone), spot, total, total, [], 0)
