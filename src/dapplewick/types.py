"""The small types of the project: ids, versions, times and amounts."""

from __future__ import annotations

from typing import NamedTuple, NewType

JobId = NewType("JobId", str)
MachineId = NewType("MachineId", str)
NodeName = NewType("NodeName", str)
Zone = NewType("Zone", str)
TypeName = NewType("TypeName", str)
TaskIndex = NewType("TaskIndex", int)
Attempt = NewType("Attempt", int)
Revision = NewType("Revision", int)
Token = NewType("Token", int)
Seconds = float

# A node's attempts and request names are its fencing token times this, plus a counter: a
# token is never given out twice, so neither is an attempt or a name.
PER_TOKEN = 1 << 20


class TaskRef(NamedTuple):
    """One task of one job."""

    job: JobId
    number: TaskIndex


class Size(NamedTuple):
    """What a task takes of its machine, or what a machine has."""

    cpus: float
    gpus: float
    ram: float

    def plus(self, other: Size) -> Size:
        return Size(self.cpus + other.cpus, self.gpus + other.gpus, self.ram + other.ram)

    def minus(self, other: Size) -> Size:
        return Size(self.cpus - other.cpus, self.gpus - other.gpus, self.ram - other.ram)

    def times(self, count: int) -> Size:
        return Size(self.cpus * count, self.gpus * count, self.ram * count)

    def fits(self, room: Size) -> bool:
        """Whether this size fits into the room (with an allowance for rounding)."""
        return (
            self.cpus <= room.cpus + 1e-6
            and self.gpus <= room.gpus + 1e-6
            and self.ram <= room.ram + 1e-6
        )

    def times_in(self, room: Size) -> int:
        """How often this size fits into the room."""
        most = 1 << 20
        for need, have in zip(self, room, strict=True):
            if need > 1e-9:
                most = min(most, int((have + 1e-6) / need))
        return max(0, most)


NOTHING = Size(0.0, 0.0, 0.0)
