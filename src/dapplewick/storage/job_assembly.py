"""Jobs as the watch cache puts them together of their keys, in whatever order those change."""

from __future__ import annotations

from typing import Any

import msgspec

from dapplewick.storage.cancellations import Cancellations
from dapplewick.storage.job_records import (
    CANCELLED,
    DONE,
    OPEN,
    Chunk,
    GangPlacementPart,
    JobRecord,
)
from dapplewick.storage.keys import split_numbered_key
from dapplewick.types import JobId, Revision


class JobAssembly:
    """All jobs: each is its record joined with the chunks and gang placements kept beside it.

    Attributes:
        jobs: the jobs as they stand, put together.
        live_jobs: jobs that are open or of which something remains, in the order they came.
        chunks: chunks of arrays, by job and number.
        placements: pieces of the placements of long gangs, by job and number.
        cancellations: every cancellation, in the order of versions.
    """

    def __init__(self) -> None:
        self.jobs: dict[JobId, JobRecord] = {}
        self.live_jobs: dict[JobId, None] = {}
        self.chunks: dict[JobId, dict[int, Chunk]] = {}
        self.placements: dict[JobId, dict[int, GangPlacementPart]] = {}
        self.cancellations = Cancellations()
        self._main_records: dict[JobId, JobRecord] = {}  # as written, without their other keys

    def put_record(self, name: str, value: Any, version: int) -> None:
        """Take over a job's record; `name` is the job's id."""
        job_id = JobId(name)
        job = JobRecord.load(value, version)
        if self.cancellations.is_announced_after(job_id, version):
            job.stage = CANCELLED  # an older version came after a peer told of a newer one
        before = self.jobs.get(job_id)
        if job.stage == CANCELLED and (before is None or before.stage != CANCELLED):
            self.cancellations.add(job_id, version)
        self._main_records[job_id] = job
        self._join(job_id)

    def remove_record(self, name: str) -> None:
        """A job's record is gone."""
        job_id = JobId(name)
        self.jobs.pop(job_id, None)
        self._main_records.pop(job_id, None)
        self.live_jobs.pop(job_id, None)

    def put_chunk(self, name: str, value: Any, version: int) -> None:
        """Take over a chunk of an array; `name` is the job's id and the chunk's number."""
        job_id, number = split_numbered_key(name)
        chunk = Chunk(value, version)
        self.chunks.setdefault(job_id, {})[number] = chunk
        self._join(job_id)

    def remove_chunk(self, name: str) -> None:
        """A chunk of an array is gone."""
        self._remove_numbered(self.chunks, name)

    def put_placement(self, name: str, value: Any, _version: int) -> None:
        """Take over a piece of a gang's placement; `name` is the job's id and its number."""
        job_id, number = split_numbered_key(name)
        pieces = self.placements.setdefault(job_id, {})
        pieces[number] = msgspec.convert(value, type=GangPlacementPart)
        self._join(job_id)

    def remove_placement(self, name: str) -> None:
        """A piece of a gang's placement is gone."""
        self._remove_numbered(self.placements, name)

    def _remove_numbered(
        self, pieces: dict[JobId, dict[int, Chunk]] | dict[JobId, dict[int, Any]], name: str
    ) -> None:
        job, _, number = name.rpartition("/")
        if not number.isdigit():
            return
        job_id = JobId(job)
        left = pieces.get(job_id, {})
        left.pop(int(number), None)
        if not left:
            pieces.pop(job_id, None)
        self._join(job_id)

    def cancel_before_record(self, job_id: JobId, version: int) -> bool:
        """A peer that has read it tells of a cancellation whose record has not come here.

        Until it comes the record that is here counts as cancelled; its version stays, so nothing
        can be written over it.

        Returns:
            Whether the job was open here, and is cancelled now.
        """
        job = self.jobs.get(job_id)
        if not self.cancellations.announce(job_id, version):
            return False
        if job is None or not job.open:
            return False
        main = self._main_records[job_id].copy()
        main.stage = CANCELLED
        self._main_records[job_id] = main
        self._join(job_id)
        self.cancellations.add(job_id, version)
        return True

    def _join(self, job_id: JobId) -> None:
        """Put a job together of its keys, in whatever order they changed."""
        main = self._main_records.get(job_id)
        if main is None:
            return
        has_placement_keys = main.gang is not None and bool(main.gang.placement_keys)
        job = main.copy() if main.chunk_size or has_placement_keys else main
        if main.chunk_size:
            self._join_chunks(job, self.chunks.get(job_id, {}))
        if has_placement_keys:
            self._join_placements(job, self.placements.get(job_id, {}))
        self.jobs[job_id] = job
        self._update_live(job_id, job)

    @staticmethod
    def _join_chunks(job: JobRecord, chunks: dict[int, Chunk]) -> None:
        job.done, job.assignments = set(), {}
        job.chunk_versions = {n: chunk.version for n, chunk in chunks.items()}
        for chunk in chunks.values():
            job.version = Revision(max(job.version, chunk.version))
            if job.stage == OPEN:
                job.done |= chunk.done
            if job.stage != DONE:
                for shard, tasks in chunk.assignments.items():
                    job.assignments.setdefault(shard, set()).update(tasks)

    @staticmethod
    def _join_placements(job: JobRecord, pieces: dict[int, GangPlacementPart]) -> None:
        if job.gang is None:
            return
        placements: list[tuple[str, str]] = []
        for number in range(job.gang.placement_keys):
            piece = pieces.get(number)
            if piece is not None and piece.attempt == job.gang.attempt:
                placements += piece.placements
        job.gang = msgspec.structs.replace(job.gang, placements=placements)

    def _update_live(self, job_id: JobId, job: JobRecord) -> None:
        if (
            job.open
            or job.assignments
            or job.gang
            or self.chunks.get(job_id)
            or self.placements.get(job_id)
        ):
            self.live_jobs[job_id] = None
        else:
            self.live_jobs.pop(job_id, None)
