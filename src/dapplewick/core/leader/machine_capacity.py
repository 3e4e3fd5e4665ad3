"""One machine in the leader's planning: its free resources, and when busy ones become free."""

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

RESOURCE_TOLERANCE = 1e-6  # compensates rounding errors in sums of resource amounts


class ExpectedEnd(NamedTuple):
    """The estimated end of a task on a machine, and the resources that it then releases.

    Attributes:
        at: The estimated time of the end, by the leader's monotonic clock.
        resources: The resources that the task releases.
        priority: The priority of the task's job.
        group: The gang, whose tasks all end together; empty for an array task.
    """

    at: Seconds
    resources: Resources
    priority: int
    group: str


class SlotWait(NamedTuple):
    """The time until a slot becomes idle.

    Attributes:
        without_preemption_s: The time if all running tasks run to their estimated end.
        with_preemption_s: The time if tasks of lower priority are preempted.
    """

    without_preemption_s: Seconds
    with_preemption_s: Seconds


IDLE_NOW = SlotWait(0.0, 0.0)


class SlotEnd(NamedTuple):
    """The time until a slot becomes idle, and the group of tasks whose end makes it idle.

    Attributes:
        wait_s: The time until the slot is idle; 0 if it is idle now.
        group: The group of tasks; empty if the slot is idle.
    """

    wait_s: Seconds
    group: str


class MachineCapacity:
    """One machine's capacity within a planning pass.

    The object is cached as long as the machine status it was built from is current, and each pass
    resets it with `begin_pass`: building thousands of objects in every pass would be expensive.

    Attributes:
        teams: The teams whose work the machine accepts; None means all teams.
        reported_free: The free resources according to the shard's status.
        free: `reported_free` less the resources reserved in this pass.
        ends: The expected ends of the running tasks, earliest first.
        array_tasks: The number of array tasks that run on the machine.
        max_cpus: The CPUs that are free once all running tasks have ended.
        queue_length: The number of tasks queued on the machine.
        demand: The accelerator demand for which CPUs and memory are reserved; None for none.
        gang_demand: Set while the idle slots of the machine's shard are reserved for gangs.
    """

    __slots__ = (
        "_idle_slots",
        "_slot_ends",
        "_slot_waits",
        "array_tasks",
        "demand",
        "ends",
        "free",
        "gang_demand",
        "id",
        "images",
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
        self.gang_demand: GangDemand | None = None
        # Memo tables by the placement key of a job, valid until resources are reserved.
        self._idle_slots: dict[PlacementKey, int] = {}
        self._slot_waits: dict[PlacementKey, list[Seconds]] = {}
        self._slot_ends: dict[PlacementKey, list[SlotEnd]] = {}

    def begin_pass(self, now: Seconds) -> None:
        """Reset the reservations and restrictions of the previous pass."""
        self.free = self.reported_free
        self.now = now
        self.teams = None
        self.gang_demand = None
        if self._idle_slots or self._slot_waits or self._slot_ends:
            self.clear_memos()

    def clear_memos(self) -> None:
        """Clear the memo tables, after a change of their inputs."""
        self._idle_slots.clear()
        self._slot_waits.clear()
        self._slot_ends.clear()

    def reserve(self, resources: Resources) -> None:
        """Reserve resources until the end of this pass."""
        self.free = self.free.minus(resources)
        if self._idle_slots or self._slot_waits or self._slot_ends:
            self.clear_memos()

    def has_image(self, spec: JobSpec) -> bool:
        """Whether the job's image is on the machine or being fetched."""
        return spec.image in self.images

    def allows(self, spec: JobSpec) -> bool:
        """Whether a job may run here by its constraints and team, whatever resources are free."""
        return (
            (spec.types is None or self.machine_type in spec.types)
            and (spec.spot or not self.spot)
            and (spec.zone is None or spec.zone == self.zone)
            and (self.teams is None or spec.team in self.teams)
        )

    def usable_resources(self, spec: JobSpec) -> Resources:
        """The free resources that a job may use, less those reserved for gangs or accelerators."""
        free = self.free
        if spec.gpus > 0 or spec.is_service or self.demand is None:
            return free
        if self.gang_demand is not None and self.gang_demand.is_restricted(spec):
            free = self.gang_demand.outside_reserved_slots(free)
        reserve = self.demand.resources_to_reserve(self.total, self.free)
        return free if reserve is NO_RESOURCES else free.minus(reserve)

    def slot_count(self, spec: JobSpec) -> int:
        """The number of tasks of a job that fit into its usable resources."""
        return spec.resources.fit_count(self.usable_resources(spec))

    def idle_slots(self, spec: JobSpec) -> int:
        """The number of tasks of a job that may start here now; memoized by placement key."""
        placement_key = spec.placement_key
        count = self._idle_slots.get(placement_key)
        if count is None:
            count = self.slot_count(spec) if self.allows(spec) else 0
            self._idle_slots[placement_key] = count
        return count

    def slot_wait(self, spec: JobSpec) -> SlotWait | None:
        """The time until a slot for a job is idle; None if no running task's end makes one idle.

        Tasks with accelerators are ignored if the CPUs that they release are reserved; see
        `_reserves_accelerators`.
        """
        resources, priority = spec.resources, spec.priority
        free = free_preempting = self.usable_resources(spec)
        if resources.fits_in(free):
            return IDLE_NOW
        without_preemption_s = -1.0
        reserves_accelerators = self._reserves_accelerators(spec)
        for end, freed, end_priority, _ in self.ends:
            if reserves_accelerators and freed.gpus > 0:
                continue
            free = free.plus(freed)
            if end_priority < priority:
                free_preempting = free_preempting.plus(freed)
            if without_preemption_s < 0.0 and resources.fits_in(free):
                without_preemption_s = max(0.0, end - self.now)
        if without_preemption_s < 0.0:
            return None
        return SlotWait(
            without_preemption_s,
            0.0 if resources.fits_in(free_preempting) else without_preemption_s,
        )

    def slot_waits(self, spec: JobSpec) -> list[Seconds]:
        """The time until each slot for a job is idle, with preemption where that is earlier."""
        placement_key = spec.placement_key
        waits = self._slot_waits.get(placement_key)
        if waits is None:
            waits = self._slot_waits[placement_key] = []
            if self._may_ever_fit(spec):
                free_before = self.free
                while (wait := self.slot_wait(spec)) is not None:
                    self.free = self.free.minus(spec.resources)
                    waits.append(min(wait.without_preemption_s, wait.with_preemption_s))
                self.free = free_before
        return waits

    def slot_ends(self, spec: JobSpec) -> list[SlotEnd]:
        """The idle time and group of each slot for a job, without preemption; see `SlotEnd`."""
        placement_key = spec.placement_key
        slots = self._slot_ends.get(placement_key)
        if slots is None:
            slots = self._slot_ends[placement_key] = []
            if self._may_ever_fit(spec):
                self._add_slot_ends(spec, slots)
        return slots

    def _add_slot_ends(self, spec: JobSpec, slots: list[SlotEnd]) -> None:
        resources, free = spec.resources, self.usable_resources(spec)
        count = resources.fit_count(free)
        slots.extend([SlotEnd(0.0, "")] * count)
        free = free.minus(resources.times(count))
        reserves_accelerators = self._reserves_accelerators(spec)
        for end in self.ends:
            if reserves_accelerators and end.resources.gpus > 0:
                continue
            free = free.plus(end.resources)
            while resources.fits_in(free):
                free = free.minus(resources)
                group = end.group or f"{self.id}/{len(slots)}"
                slots.append(SlotEnd(max(0.0, end.at - self.now), group))

    def _may_ever_fit(self, spec: JobSpec) -> bool:
        return self.max_cpus >= spec.cpus - RESOURCE_TOLERANCE and self.allows(spec)

    def _reserves_accelerators(self, spec: JobSpec) -> bool:
        """Whether the CPUs next to accelerators are reserved for work that uses accelerators.

        Without this rule, a gang without accelerators could preempt accelerator work to use its
        CPUs, which left most accelerators idle.
        """
        return spec.gpus == 0 and self.demand is not None and self.demand.is_scarce()


# The sort key that `best_fit_key` returns: accelerators that the job does not need, whether the
# image is missing, whether the machine is on-demand, free CPUs and free memory. A plain tuple,
# because one is built for every candidate machine each time tasks are assigned.
BestFitKey = tuple[float, bool, bool, float, float]


def best_fit_key(capacity: MachineCapacity, spec: JobSpec) -> BestFitKey:
    """A sort key that orders a job's candidate machines by the resources wasted on each.

    Machines without unneeded accelerators come first, then those that have the image, then spot
    machines, which are cheaper, then those with the least free CPUs and memory.
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
    """Build a machine's capacity from its status in a shard's report.

    Args:
        machine_id: The machine.
        machine_type: Its type.
        shard: The shard that schedules it.
        spot: Whether the cloud may reclaim it.
        total: The resources of its type.
        status: The machine's status as the shard's owner reported it.
        demand: The accelerator demand for which CPUs and memory are reserved.
        clock_offset_s: The leader's monotonic clock minus that of the shard's owner.
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
    """The capacity of a booting or requested machine: empty, in the shard named like its zone."""
    return MachineCapacity(machine_id, machine_type, ShardName(zone), spot, total, total, [], 0)
