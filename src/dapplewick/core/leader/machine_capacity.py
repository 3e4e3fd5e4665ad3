"""One machine in the leader's planning: its free resources, and when busy ones become free."""

from __future__ import annotations

from collections.abc import Iterable

from dapplewick.core.demand import AcceleratorDemand, GangDemand
from dapplewick.core.leader.slot_times import (
    ExpectedEnd,
    SlotEndCount,
    SlotWait,
    SlotWaitCount,
    count_slot_ends,
    count_slot_waits,
)
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
        self._slot_waits: dict[PlacementKey, list[SlotWaitCount]] = {}
        self._slot_ends: dict[PlacementKey, list[SlotEndCount]] = {}

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
        """The time until a slot for a job is idle; None if no running task's end makes one idle."""
        waits = self.slot_waits(spec)
        return waits[0].wait if waits else None

    def slot_waits(self, spec: JobSpec) -> list[SlotWaitCount]:
        """The number of slots for a job by the time until they are idle, shortest wait first."""
        placement_key = spec.placement_key
        waits = self._slot_waits.get(placement_key)
        if waits is None:
            waits = []
            if self._may_ever_fit(spec):
                free, ends = self.usable_resources(spec), self._usable_ends(spec)
                waits = count_slot_waits(spec.resources, free, ends, spec.priority, self.now)
            self._slot_waits[placement_key] = waits
        return waits

    def slot_ends(self, spec: JobSpec) -> list[SlotEndCount]:
        """The number of slots for a job by the group whose end makes them idle, not preempting."""
        placement_key = spec.placement_key
        slots = self._slot_ends.get(placement_key)
        if slots is None:
            slots = []
            if self._may_ever_fit(spec):
                free, ends = self.usable_resources(spec), self._usable_ends(spec)
                slots = count_slot_ends(spec.resources, free, ends, self.id, self.now)
            self._slot_ends[placement_key] = slots
        return slots

    def _usable_ends(self, spec: JobSpec) -> list[ExpectedEnd]:
        """The ends whose resources a job may use, without those reserved for accelerators."""
        if self._reserves_accelerators(spec):
            return [end for end in self.ends if end.resources.gpus <= 0]
        return self.ends

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
