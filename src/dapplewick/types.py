"""Basic types: identifiers, versions, times and resource amounts."""

from __future__ import annotations

from typing import NamedTuple, NewType

JobId = NewType("JobId", str)
MachineId = NewType("MachineId", str)
ControllerName = NewType("ControllerName", str)
Zone = NewType("Zone", str)
ShardName = NewType("ShardName", str)
TransferId = NewType("TransferId", str)
TypeName = NewType("TypeName", str)
TaskIndex = NewType("TaskIndex", int)
Attempt = NewType("Attempt", int)
Revision = NewType("Revision", int)
FencingToken = NewType("FencingToken", int)
Seconds = float

NEVER_S: Seconds = -1e9  # earlier than any time of the monotonic clock: "has not happened"

# An attempt or request id is the controller's fencing token times this factor, plus a counter. A
# fencing token is never issued twice, so these ids are unique across controllers.
IDS_PER_TOKEN = 1 << 20

PARTITION_SEPARATOR = "/~"  # separates the zone and the partition in a shard name

_ROUNDING_TOLERANCE = 1e-6  # maximum rounding error of a sum of resource amounts
_MIN_AMOUNT = 1e-9  # a smaller amount counts as zero
_MAX_COUNT = 1 << 20  # result of `fit_count` for a task that takes no resources


def shard_name(zone: str, partition: str = "") -> ShardName:
    """Return the shard of a partition in a zone; without a partition, the zone's default shard."""
    return ShardName(f"{zone}{PARTITION_SEPARATOR}{partition}" if partition else zone)


def zone_of(shard: str) -> Zone:
    """Return the zone whose machines a shard schedules."""
    return Zone(shard.partition(PARTITION_SEPARATOR)[0])


def partition_of(shard: str) -> str:
    """Return the partition that a shard schedules; empty for a zone's default shard."""
    return shard.partition(PARTITION_SEPARATOR)[2]


class TaskRef(NamedTuple):
    """Reference to a task: the job and the index of the task in the job."""

    job: JobId
    task_index: TaskIndex


class Resources(NamedTuple):
    """Resources that a task requires or that a machine provides.

    Attributes:
        cpus: Number of CPUs; a task may require a fraction of one.
        gpus: Number of accelerators.
        ram_gb: Memory in GB.
    """

    cpus: float
    gpus: float
    ram_gb: float

    def plus(self, other: Resources) -> Resources:
        """Return the sum of both."""
        return Resources(self.cpus + other.cpus, self.gpus + other.gpus, self.ram_gb + other.ram_gb)

    def minus(self, other: Resources) -> Resources:
        """Return the difference; an amount is negative where the other's is larger."""
        return Resources(self.cpus - other.cpus, self.gpus - other.gpus, self.ram_gb - other.ram_gb)

    def times(self, count: int) -> Resources:
        """Return the resources of `count` tasks of this size."""
        return Resources(self.cpus * count, self.gpus * count, self.ram_gb * count)

    def fits_in(self, capacity: Resources) -> bool:
        """Whether these resources fit into a capacity, with a tolerance for rounding errors."""
        return (
            self.cpus <= capacity.cpus + _ROUNDING_TOLERANCE
            and self.gpus <= capacity.gpus + _ROUNDING_TOLERANCE
            and self.ram_gb <= capacity.ram_gb + _ROUNDING_TOLERANCE
        )

    def fit_count(self, capacity: Resources) -> int:
        """Return how many times these resources fit into a capacity, tolerating rounding errors."""
        count = _MAX_COUNT
        for need, available in zip(self, capacity, strict=True):
            if need > _MIN_AMOUNT:
                count = min(count, int((available + _ROUNDING_TOLERANCE) / need))
        return max(0, count)

    def fitting_slots(self, capacity: Resources) -> int:
        """Return how many slots of this size a capacity has; 0 if one would not fit there.

        Unlike `fit_count`, it is also 0 if an amount that the slots do not need is overused.
        """
        return self.fit_count(capacity) if self.fits_in(capacity) else 0


NO_RESOURCES = Resources(0.0, 0.0, 0.0)
