"""The small types of the project: ids, versions, times and amounts of resources."""

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

NEVER_S: Seconds = -1e9  # before any time of the steady clock

# A controller's attempts and request names are its fencing token times this, plus a counter: a
# token is never given out twice, so neither is an attempt or a name.
IDS_PER_TOKEN = 1 << 20

PARTITION_SEPARATOR = "/~"  # between the zone and the partition in the name of a shard

_ROUNDING = 1e-6  # what sums of amounts may be off by rounding
_NO_AMOUNT = 1e-9  # less than this is nothing
_MAX_COUNT = 1 << 20  # how often a size that takes nothing fits into any room


def shard_name(zone: str, partition: str = "") -> ShardName:
    """The shard that schedules a partition of a zone; without a partition, the zone's own shard."""
    return ShardName(f"{zone}{PARTITION_SEPARATOR}{partition}" if partition else zone)


def zone_of(shard: str) -> Zone:
    """The zone whose machines a shard schedules."""
    return Zone(shard.partition(PARTITION_SEPARATOR)[0])


def partition_of(shard: str) -> str:
    """The partition that a shard schedules; empty for a zone's own shard."""
    return shard.partition(PARTITION_SEPARATOR)[2]


class TaskRef(NamedTuple):
    """One task of one job."""

    job: JobId
    task_index: TaskIndex


class Resources(NamedTuple):
    """What a task takes of its machine, or what a machine has.

    Attributes:
        cpus: processors; a task may take less than one.
        gpus: accelerators.
        ram_gb: memory in GB.
    """

    cpus: float
    gpus: float
    ram_gb: float

    def plus(self, other: Resources) -> Resources:
        """Both together."""
        return Resources(self.cpus + other.cpus, self.gpus + other.gpus, self.ram_gb + other.ram_gb)

    def minus(self, other: Resources) -> Resources:
        """What is left without the other; negative where the other is larger."""
        return Resources(self.cpus - other.cpus, self.gpus - other.gpus, self.ram_gb - other.ram_gb)

    def times(self, count: int) -> Resources:
        """What so many take together."""
        return Resources(self.cpus * count, self.gpus * count, self.ram_gb * count)

    def fits_in(self, room: Resources) -> bool:
        """Whether this size fits into the room (with an allowance for rounding)."""
        return (
            self.cpus <= room.cpus + _ROUNDING
            and self.gpus <= room.gpus + _ROUNDING
            and self.ram_gb <= room.ram_gb + _ROUNDING
        )

    def fit_count(self, room: Resources) -> int:
        """How often this size fits into the room (with an allowance for rounding); 0 if never."""
        count = _MAX_COUNT
        for need, have in zip(self, room, strict=True):
            if need > _NO_AMOUNT:
                count = min(count, int((have + _ROUNDING) / need))
        return max(0, count)


NO_RESOURCES = Resources(0.0, 0.0, 0.0)
