"""Records of jobs: the spec, the completed tasks, and the shards to which tasks are assigned."""

from __future__ import annotations

from typing import Any

import msgspec

from dapplewick.protocol.job_spec import JobSpec
from dapplewick.storage.encoding import encoded_size
from dapplewick.storage.ranges import pack, unpack
from dapplewick.types import Revision, zone_of

OPEN, DONE, CANCELLED = "open", "done", "cancelled"  # stored stages of a job

# Bytes of a record's fields and quotes other than the sets of tasks, and bytes of quotes and
# separators that are added to each shard's name.
_RECORD_OVERHEAD_BYTES = 40
_NAME_OVERHEAD_BYTES = 8


class GangPlacement(msgspec.Struct, omit_defaults=True):
    """Where an attempt of a gang has reservations or runs.

    Attributes:
        attempt: the gang's attempt.
        placements: the shard and the machine of each task.
        ending: whether the attempt must end and release its machines.
        preempt: whether the attempt may preempt tasks of lower priority.
        placement_keys: the number of keys in which the placements are stored; 0 if they are
            stored here.
    """

    attempt: int
    placements: list[tuple[str, str]] = msgspec.field(name="places")
    ending: bool = msgspec.field(name="over", default=False)
    preempt: bool = False
    placement_keys: int = msgspec.field(name="shares", default=0)

    def shards(self) -> set[str]:
        """The shards that contain tasks of the gang."""
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


class GangPlacementPiece(msgspec.Struct):
    """A piece of the placement of a long gang, stored in its own key."""

    attempt: int
    placements: list[tuple[str, str]] = msgspec.field(name="places")


class Chunk:
    """A range of an array's tasks, stored in its own key: completed and assigned tasks.

    Attributes:
        value: the chunk as it is stored.
        done: the completed tasks.
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


def max_number_bytes(task_count: int) -> int:
    """The maximum bytes per task number, with its separator, in a set written as ranges."""
    return len(str(max(1, task_count - 1))) + 1


def chunk_capacity(task_count: int, shard_names: list[str], value_bytes: int) -> int:
    """How many tasks fit into a chunk, even if their order of completion needs the most bytes.

    Args:
        task_count: the number of tasks of the job.
        shard_names: the shards to which tasks may be assigned.
        value_bytes: the maximum size of a chunk's value.
    """
    available_bytes = value_bytes - _RECORD_OVERHEAD_BYTES - _names_bytes(shard_names)
    return max(1, available_bytes // max_number_bytes(task_count))


def _names_bytes(shard_names: list[str]) -> int:
    return sum(len(name.encode()) + _NAME_OVERHEAD_BYTES for name in shard_names)


class JobRecord:
    """A job: its spec, its completed tasks, and the shards to which tasks are assigned.

    If the task numbers may exceed the size of one value, they are stored in chunks of `chunk_size`
    tasks with one key each. The record itself then contains only the spec, the stage and the gang.

    Attributes:
        spec: the job as it was submitted.
        resources: the resources of each task.
        stage: `OPEN`, `DONE` or `CANCELLED`.
        submitted_at: in seconds since the Unix epoch.
        done: the completed tasks, while the job is open.
        assignments: the tasks that each shard may run.
        gang: where the gang has reservations or runs; None if it does neither.
        chunk_size: the number of tasks in a chunk; 0 if the job has no chunks.
        chunk_versions: the version of each chunk's key.
        version: the newest version among the job's keys.
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
        """Encode the record for writing.

        The assignments of a job that is done or cancelled only show which tasks may still run. If
        the record exceeds `value_bytes`, each shard's assignment is widened to the range from its
        first to its last task.

        Args:
            value_bytes: the maximum size of a value; 0 for no limit.
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
        """The gang's placement, without the placements that are stored in separate keys."""
        if self.gang is None or not self.gang.placement_keys:
            return self.gang
        return msgspec.structs.replace(self.gang, placements=[])

    def may_exceed(self, shard_names: list[str], value_bytes: int) -> bool:
        """Whether the record, stored as one value, may ever exceed `value_bytes`."""
        max_bytes = encoded_size(
            msgspec.to_builtins(
                _RawJob(spec=self.spec, stage=CANCELLED, submitted_at=self.submitted_at)
            )
        )
        if not self.spec.is_gang:
            max_bytes += (
                self.spec.task_count * max_number_bytes(self.spec.task_count)
                + _RECORD_OVERHEAD_BYTES
            )
            max_bytes += _names_bytes(shard_names)
        return max_bytes > value_bytes

    def chunk_value(self, number: int) -> Any:
        """The value of a chunk's key; None if no task of the chunk is completed or assigned."""
        low, high = number * self.chunk_size, (number + 1) * self.chunk_size

        def in_chunk(tasks: set[int]) -> str:
            return pack(task for task in tasks if low <= task < high)

        assignments = {
            shard: text for shard, tasks in self.assignments.items() if (text := in_chunk(tasks))
        }
        raw = _RawChunk(done=in_chunk(self.done) if self.open else "", assignments=assignments)
        return msgspec.to_builtins(raw) or None

    def chunk_values(self) -> dict[int, Any]:
        """The values of all chunks that are not empty, by number."""
        count = -(-self.spec.task_count // self.chunk_size)
        return {n: v for n in range(count) if (v := self.chunk_value(n)) is not None}

    def chunks_changed(self, old: JobRecord) -> set[int]:
        """The numbers of the chunks in which this draft differs from the job's `old` state."""
        tasks = self.done ^ old.done
        for shard in self.assignments.keys() | old.assignments.keys():
            tasks |= self.assigned(shard) ^ old.assigned(shard)
        return {index // self.chunk_size for index in tasks}

    @classmethod
    def load(cls, value: Any, version: int) -> JobRecord:
        """Decode a stored record.

        Raises:
            msgspec.ValidationError: the record is malformed.
            ValueError: a set of tasks in the record is malformed.
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
        """Copy the job as the draft of its next version."""
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
        """The number of completed tasks."""
        return self.spec.task_count if self.stage == DONE else len(self.done)

    @property
    def open(self) -> bool:
        """Whether the job is neither done nor cancelled."""
        return self.stage == OPEN

    def task_version(self, index: int) -> int:
        """The version of the key that contains the assignment of a task.

        Other keys of the same job may have older or newer versions.
        """
        if not self.chunk_size:
            return self.version
        return self.chunk_versions.get(index // self.chunk_size, 0)

    def assigned(self, shard: str) -> set[int]:
        """The tasks that a shard may run."""
        return self.assignments.get(shard, set())

    def assigned_in_zone(self, zone: str) -> int:
        """The number of tasks assigned to all shards of a zone."""
        return sum(
            len(tasks) for shard, tasks in self.assignments.items() if zone_of(shard) == zone
        )
