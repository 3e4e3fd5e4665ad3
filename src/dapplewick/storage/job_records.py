"""Records of jobs: what was asked, what is done, and who may run what."""

from __future__ import annotations

from typing import Any

import msgspec

from dapplewick.protocol.job_spec import JobSpec
from dapplewick.storage.encoding import encoded_size
from dapplewick.storage.ranges import pack, unpack
from dapplewick.types import Revision, zone_of

OPEN, DONE, CANCELLED = "open", "done", "cancelled"  # stages of a job, as they are stored

# What a record's other fields and its quotes take beside sets of tasks, and each shard's name
# beside its own bytes.
_FRAME_BYTES = 40
_NAME_FRAME_BYTES = 8


class GangPlacement(msgspec.Struct, omit_defaults=True):
    """Where an attempt of a gang is held or runs.

    Attributes:
        attempt: the gang's attempt.
        placements: shard and machine of each task.
        ending: it is to end and be cleared.
        preempt: it may take the place of tasks of a lower priority.
        placement_keys: of how many keys the placements are to be read, if they are not here.
    """

    attempt: int
    placements: list[tuple[str, str]] = msgspec.field(name="places")
    ending: bool = msgspec.field(name="over", default=False)
    preempt: bool = False
    placement_keys: int = msgspec.field(name="shares", default=0)

    def shards(self) -> set[str]:
        """The shards in which its tasks are."""
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
    """A piece of the placement of a long gang, in a key of its own."""

    attempt: int
    placements: list[tuple[str, str]] = msgspec.field(name="places")


class Chunk:
    """Some of an array's tasks, in a key of their own: which are done, and who may run what.

    Attributes:
        value: the chunk as it is stored.
        done: the tasks that are done.
        assignments: the tasks that each shard may run.
        version: the version of the chunk's key.
    """

    __slots__ = ("assignments", "done", "value", "version")

    def __init__(self, value: Any, version: int) -> None:
        raw = msgspec.convert(value, type=_RawChunk)
        self.value = value
        self.done = unpack(raw.done)
        self.assignments = {shard: unpack(text) for shard, text in raw.assignments.items()}
        self.version = version


def number_bytes(tasks: int) -> int:
    """How many bytes each task number takes at most in a set written as ranges."""
    return len(str(max(1, tasks - 1))) + 1


def chunk_tasks(tasks: int, shard_names: list[str], value_bytes: int) -> int:
    """How many tasks a chunk may hold, in the worst order in which they can be done."""
    rest = value_bytes - _FRAME_BYTES - _names_bytes(shard_names)
    return max(1, rest // number_bytes(tasks))


def _names_bytes(shard_names: list[str]) -> int:
    return sum(len(name.encode()) + _NAME_FRAME_BYTES for name in shard_names)


class JobRecord:
    """A job: what was asked, what is done, and who may run what.

    Where its tasks' numbers may outgrow a value they are kept in chunks of `chunk_size` tasks,
    with keys of their own; the record itself then says only what was asked and how it stands.

    Attributes:
        spec: what was asked.
        resources: what each task takes.
        stage: `OPEN`, `DONE` or `CANCELLED`.
        submitted_at: in seconds since the epoch.
        done: the tasks that are done, while the job is open.
        assignments: the tasks that each shard may run.
        gang: where a gang is held or runs; None if it is not.
        chunk_size: how many tasks a chunk has; 0: there are none.
        chunk_versions: the version of each chunk's key.
        version: the version of the newest of its keys.
        main_version: the version of the record itself.
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

    def __init__(self, spec: JobSpec, submitted_at: float) -> None:
        self.spec = spec
        self.resources = spec.resources
        self.stage = OPEN
        self.submitted_at = submitted_at
        self.done: set[int] = set()
        self.assignments: dict[str, set[int]] = {}
        self.gang: GangPlacement | None = None
        self.chunk_size = 0
        self.chunk_versions: dict[int, int] = {}
        self.version = self.main_version = Revision(0)

    def dump(self, value_bytes: int = 0) -> Any:
        """The record as it is written.

        Of a job that is over the assignments only say what may still be there: where they don't
        fit into `value_bytes`, each is widened to all between its first and its last.
        """
        is_whole = not self.chunk_size
        assignments = {
            shard: pack(tasks) for shard, tasks in self.assignments.items() if tasks and is_whole
        }
        raw = _RawJob(
            spec=self.spec,
            stage=self.stage,
            submitted_at=self.submitted_at,
            done=pack(self.done) if self.stage == OPEN and is_whole else "",
            assignments=assignments,
            gang=self._short_gang(),
            chunk_size=self.chunk_size,
        )
        value = msgspec.to_builtins(raw)
        if value_bytes and assignments and not self.open and encoded_size(value) > value_bytes:
            raw.assignments = {
                shard: f"{min(tasks)}-{max(tasks)}"
                for shard, tasks in self.assignments.items()
                if tasks
            }
            value = msgspec.to_builtins(raw)
        return value

    def _short_gang(self) -> GangPlacement | None:
        """The gang's placement without what is kept in keys of its own."""
        if self.gang is None or not self.gang.placement_keys:
            return self.gang
        return msgspec.structs.replace(self.gang, placements=[])

    def may_exceed(self, shard_names: list[str], value_bytes: int) -> bool:
        """Whether its record, as one value, may come to have more bytes than this."""
        max_bytes = encoded_size(
            msgspec.to_builtins(
                _RawJob(spec=self.spec, stage=CANCELLED, submitted_at=self.submitted_at)
            )
        )
        if not self.spec.is_gang:
            max_bytes += self.spec.task_count * number_bytes(self.spec.task_count) + _FRAME_BYTES
            max_bytes += _names_bytes(shard_names)
        return max_bytes > value_bytes

    def chunk_value(self, number: int) -> Any:
        """What a chunk's key holds; None if nothing is to be said of its tasks."""
        low, high = number * self.chunk_size, (number + 1) * self.chunk_size

        def in_chunk(tasks: set[int]) -> str:
            return pack(task for task in tasks if low <= task < high)

        assignments = {
            shard: text for shard, tasks in self.assignments.items() if (text := in_chunk(tasks))
        }
        raw = _RawChunk(done=in_chunk(self.done) if self.open else "", assignments=assignments)
        return msgspec.to_builtins(raw) or None

    def chunk_values(self) -> dict[int, Any]:
        """All of its chunks that say anything."""
        count = -(-self.spec.task_count // self.chunk_size)
        return {n: v for n in range(count) if (v := self.chunk_value(n)) is not None}

    def chunks_changed(self, old: JobRecord) -> set[int]:
        """The chunks in which this draft differs."""
        tasks = self.done ^ old.done
        for shard in self.assignments.keys() | old.assignments.keys():
            tasks |= self.assigned(shard) ^ old.assigned(shard)
        return {index // self.chunk_size for index in tasks}

    @classmethod
    def load(cls, value: Any, version: int) -> JobRecord:
        """Read a record as it is stored.

        Raises:
            msgspec.ValidationError: it is malformed.
            ValueError: a set of tasks in it is malformed.
        """
        raw = msgspec.convert(value, type=_RawJob)
        job = cls(raw.spec, raw.submitted_at)
        job.stage = raw.stage
        job.done = unpack(raw.done)
        job.assignments = {shard: unpack(text) for shard, text in raw.assignments.items()}
        job.gang = raw.gang
        job.chunk_size = raw.chunk_size
        job.version = job.main_version = Revision(version)
        return job

    def copy(self) -> JobRecord:
        """A draft of its next version."""
        job = JobRecord(self.spec, self.submitted_at)
        job.stage = self.stage
        job.done = set(self.done)
        job.assignments = {shard: set(tasks) for shard, tasks in self.assignments.items()}
        job.gang = self.gang
        job.chunk_size = self.chunk_size
        job.chunk_versions = self.chunk_versions
        job.version = self.version
        job.main_version = self.main_version
        return job

    @property
    def done_count(self) -> int:
        """How many of its tasks are done."""
        return self.spec.task_count if self.stage == DONE else len(self.done)

    @property
    def open(self) -> bool:
        """Whether it is neither done nor cancelled."""
        return self.stage == OPEN

    def task_version(self, index: int) -> int:
        """The version of the key that says who may run a task.

        Other keys of the same job may change before it and after it.
        """
        if not self.chunk_size:
            return self.version
        return self.chunk_versions.get(index // self.chunk_size, 0)

    def assigned(self, shard: str) -> set[int]:
        """The tasks that a shard may run."""
        return self.assignments.get(shard, set())

    def assigned_in_zone(self, zone: str) -> int:
        """How many tasks the shards of a zone may run together."""
        return sum(
            len(tasks) for shard, tasks in self.assignments.items() if zone_of(shard) == zone
        )
