"""The small types of the project: ids, versions, times and amounts."""

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

# A node's attempts and request names are its fencing token times this, plus a counter: a
# token is never given out twice, so neither is an attempt or a name.
IDS_PER_TOKEN = 1 << 20


PARTITION_SEPARATOR = "/~"  # between the zone and the share in the name of a share's part


def shard_name(zone: str, partition: str = "") -> ShardName:
    """The part that schedules a share of a zone; without a share, the zone's own part."""
    return ShardName(f"{zone}{PARTITION_SEPARATOR}{partition}" if partition else zone)


def zone_of(shard: str) -> Zone:
    """The zone whose machines a part schedules."""
    return Zone(shard.partition(PARTITION_SEPARATOR)[0])


def partition_of(shard: str) -> str:
    """The share that a part is of; empty for a zone's own part."""
    return shard.partition(PARTITION_SEPARATOR)[2]


class TaskRef(NamedTuple):
    """One task of one job."""

    job: JobId
    number: TaskIndex


class Resources(NamedTuple):
    """What a task takes of its machine, or what a machine has."""

    cpus: float
    gpus: float
    ram_gb: float

    def plus(self, other: Resources) -> Resources:
        return Resources(self.cpus + other.cpus, self.gpus + other.gpus, self.ram_gb + other.ram_gb)

    def minus(self, other: Resources) -> Resources:
        return Resources(self.cpus - other.cpus, self.gpus - other.gpus, self.ram_gb - other.ram_gb)

    def times(self, count: int) -> Resources:
        return Resources(self.cpus * count, self.gpus * count, self.ram_gb * count)

    def fits_in(self, room: Resources) -> bool:
        """Whether this size fits into the room (with an allowance for rounding)."""
        return (
            self.cpus <= room.cpus + 1e-6
            and self.gpus <= room.gpus + 1e-6
            and self.ram_gb <= room.ram_gb + 1e-6
        )

    def count_in(self, room: Resources) -> int:
        """How often this size fits into the room."""
        most = 1 << 20
        for need, have in zip(self, room, strict=True):
            if need > 1e-9:
                most = min(most, int((have + 1e-6) / need))
        return max(0, most)


NO_RESOURCES = Resources(0.0, 0.0, 0.0)
