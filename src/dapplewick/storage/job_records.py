"""Records of jobs: what was asked, what is done, and who may run what."""

from __future__ import annotations

from typing import Any

import msgspec

from dapplewick.protocol.job_spec import JobSpec
from dapplewick.storage.encoding import encoded_size
from dapplewick.storage.ranges import pack, unpack
from dapplewick.types import (
    Revision,
    zone_of,
)

OPEN, DONE, CANCELLED = "open", "done", "cancelled"


class GangPlacement(msgspec.Struct, omit_defaults=True):
    """Where an attempt of a gang is held or runs. `over`: it is to end and be cleared."""

    attempt: int
    # (shard, machine) of each task
    placements: list[tuple[str, str]] = msgspec.field(name="places")
    over: bool = msgspec.field(name="over", default=False)
    preempt: bool = False
    # Of how many keys the places are to be read, if they are not here.
    placement_keys: int = msgspec.field(name="shares", default=0)

    def shards(self) -> set[str]:
        return {shard for shard, _ in self.placements}


class _RawJob(msgspec.Struct, omit_defaults=True):
    spec: JobSpec
    stage: str
    submitted_at: float = msgspec.field(name="at")
    done: str = ""
    assignments: dict[str, str] = msgspec.field(name="grants", default_factory=dict)
    gang: GangPlacement | None = None
    chunk_size: int = msgspec.field(name="chunk", default=0)


class _RawChunk(msgspec.Struct, omit_defaults=True):
    done: str = ""
    assignments: dict[str, str] = msgspec.field(name="grants", default_factory=dict)


class GangPlacementPart(msgspec.Struct):
    attempt: int
    placements: list[tuple[str, str]] = msgspec.field(name="places")


class Chunk:
    """A share of an array's tasks: what is done of it, and who may run what."""

    __slots__ = ("assignments", "done", "value", "version")

    def __init__(self, value: Any, version: int) -> None:
        raw = msgspec.convert(value, type=_RawChunk)
        self.value = value
        self.done = unpack(raw.done)
        self.assignments = {zone: unpack(text) for zone, text in raw.assignments.items()}
        self.version = version


def number_bytes(tasks: int) -> int:
    """What each task number takes at most in a set written as ranges."""
    return len(str(max(1, tasks - 1))) + 1


def chunk_tasks(tasks: int, shard_names: list[str], value_bytes: int) -> int:
    """How many tasks a chunk may hold, in the worst order in which they can be done."""
    rest = value_bytes - 40 - sum(len(name.encode()) + 8 for name in shard_names)
    return max(1, rest // number_bytes(tasks))


class JobRecord:
    """A job: what was asked, what is done, and who may run what.

    Where its tasks' numbers may outgrow a value they are kept in chunks of `chunk` tasks, with
    keys of their own; the record itself then says only what was asked and how it stands.
    `version` is that of the newest of its keys, `main_version` that of the record itself.
    """

    __slots__ = (
        "assignments",
        "chunk_size",
        "chunk_versions",
        "done",
        "gang",
        "main_version",
        "resources",
        "spec",
        "stage",
        "submitted_at",
        "version",
    )

    def __init__(self, spec: JobSpec, at: float) -> None:
        self.spec = spec
        self.resources = spec.resources  # of each task
        self.stage = OPEN
        self.submitted_at = at
        self.done: set[int] = set()
        self.assignments: dict[str, set[int]] = {}
        self.gang: GangPlacement | None = None
        self.chunk_size = 0
        self.chunk_versions: dict[int, int] = {}
        self.version = self.main_version = Revision(0)

    def dump(self, value_bytes: int = 0) -> Any:
        """The record as it is written. Of a job that is over the grants only say what may still
        be there: where they don't fit, each is widened to all between its first and its last."""
        whole = not self.chunk_size
        assignments = {z: pack(tasks) for z, tasks in self.assignments.items() if tasks and whole}
        raw = _RawJob(
            spec=self.spec,
            stage=self.stage,
            submitted_at=self.submitted_at,
            done=pack(self.done) if self.stage == OPEN and whole else "",
            assignments=assignments,
            gang=self._short_gang(),
            chunk_size=self.chunk_size,
        )
        value = msgspec.to_builtins(raw)
        if value_bytes and assignments and not self.open and encoded_size(value) > value_bytes:
            value["grants"] = {
                z: f"{min(tasks)}-{max(tasks)}" for z, tasks in self.assignments.items() if tasks
            }
        return value

    def _short_gang(self) -> GangPlacement | None:
        if self.gang is None or not self.gang.placement_keys:
            return self.gang
        return msgspec.structs.replace(self.gang, placements=[])

    def outgrows(self, shard_names: list[str], value_bytes: int) -> bool:
        """Whether its record, as one value, may come to be larger than this."""
        most = encoded_size(
            msgspec.to_builtins(
                _RawJob(spec=self.spec, stage=CANCELLED, submitted_at=self.submitted_at)
            )
        )
        if not self.spec.is_gang:
            most += self.spec.task_count * number_bytes(self.spec.task_count) + 40
            most += sum(len(name.encode()) + 8 for name in shard_names)
        return most > value_bytes

    def chunk_value(self, number: int) -> Any:
        """What a chunk's key holds; None if nothing is to be said of its tasks."""
        low, high = number * self.chunk_size, (number + 1) * self.chunk_size

        def mine(tasks: set[int]) -> str:
            return pack(i for i in tasks if low <= i < high)

        assignments = {z: text for z, tasks in self.assignments.items() if (text := mine(tasks))}
        raw = _RawChunk(done=mine(self.done) if self.open else "", assignments=assignments)
        return msgspec.to_builtins(raw) or None

    def chunk_values(self) -> dict[int, Any]:
        """All of its chunks that say anything."""
        count = -(-self.spec.task_count // self.chunk_size)
        return {n: v for n in range(count) if (v := self.chunk_value(n)) is not None}

    def chunks_changed(self, old: JobRecord) -> set[int]:
        """The chunks in which this draft differs."""
        tasks = self.done ^ old.done
        for zone in self.assignments.keys() | old.assignments.keys():
            tasks |= self.assigned(zone) ^ old.assigned(zone)
        return {index // self.chunk_size for index in tasks}

    @classmethod
    def load(cls, value: Any, version: int) -> JobRecord:
        raw = msgspec.convert(value, type=_RawJob)
        job = cls(raw.spec, raw.submitted_at)
        job.stage = raw.stage
        job.done = unpack(raw.done)
        job.assignments = {zone: unpack(text) for zone, text in raw.assignments.items()}
        job.gang = raw.gang
        job.chunk_size = raw.chunk_size
        job.version = job.main_version = Revision(version)
        return job

    def copy(self) -> JobRecord:
        """A draft of its next version."""
        job = JobRecord(self.spec, self.submitted_at)
        job.stage = self.stage
        job.done = set(self.done)
        job.assignments = {zone: set(tasks) for zone, tasks in self.assignments.items()}
        job.gang = self.gang
        job.chunk_size = self.chunk_size
        job.chunk_versions = self.chunk_versions
        job.version = self.version
        job.main_version = self.main_version
        return job

    @property
    def done_count(self) -> int:
        return self.spec.task_count if self.stage == DONE else len(self.done)

    @property
    def open(self) -> bool:
        return self.stage == OPEN

    def task_version(self, index: int) -> int:
        """The version of the key that says who may run a task: other keys of the same job may
        change before it and after it."""
        if not self.chunk_size:
            return self.version
        return self.chunk_versions.get(index // self.chunk_size, 0)

    def assigned(self, shard: str) -> set[int]:
        """The tasks that a part may run."""
        return self.assignments.get(shard, set())

    def assigned_in_zone(self, zone: str) -> int:
        """How many tasks the parts of a zone may run together."""
        return sum(
            len(tasks) for shard, tasks in self.assignments.items() if zone_of(shard) == zone
        )
