"""Assembly of jobs in the watch cache from their keys, which may change in any order."""

from __future__ import annotations

from operator import itemgetter
from typing import Any

import msgspec

from dapplewick.storage.cancellations import CancellationIndex
from dapplewick.storage.job_records import (
    CANCELLED,
    DONE,
    OPEN,
    Chunk,
    GangPlacementPiece,
    JobRecord,
)
from dapplewick.storage.keys import split_numbered_key
from dapplewick.types import JobId, Revision


class JobTable:
    """All jobs, each joined from its record and its separately stored chunks and placements.

    Attributes:
        jobs: the current state of each job, joined from all of its keys.
        live_jobs: jobs that are open, or that still have assignments, a gang, chunks or
            placements, in the order in which they became live; an ordered set.
        chunks: chunks of arrays, by job and number.
        placements: pieces of the placements of long gangs, by job and number.
        cancellations: every known cancellation, ordered by version.
    """

    def __init__(self) -> None:
        self.jobs: dict[JobId, JobRecord] = {}
        self.live_jobs: dict[JobId, None] = {}
        self.chunks: dict[JobId, dict[int, Chunk]] = {}
        self.placements: dict[JobId, dict[int, GangPlacementPiece]] = {}
        self.cancellations = CancellationIndex()
        self._main_records: dict[JobId, JobRecord] = {}  # without the other keys

    def put_record(self, name: str, value: Any, version: int) -> None:
        """Store a job's record; `name` is the job's id."""
        job_id = JobId(name)
        job = JobRecord.load(value, version)
        if self.cancellations.is_announced_after(job_id, version):
            job.stage = CANCELLED  # this version is older than the cancellation
        before = self.jobs.get(job_id)
        if job.stage == CANCELLED and (before is None or before.stage != CANCELLED):
            self.cancellations.add(job_id, version)
        self._main_records[job_id] = job
        self._join(job_id)

    def remove_record(self, name: str) -> None:
        """Remove a job whose record was removed."""
        job_id = JobId(name)
        self.jobs.pop(job_id, None)
        self._main_records.pop(job_id, None)
        self.live_jobs.pop(job_id, None)

    def put_chunk(self, name: str, value: Any, version: int) -> None:
        """Store a chunk of an array; `name` is the job's id and the chunk's number."""
        job_id, number = split_numbered_key(name)
        chunk = Chunk(value, version)
        self.chunks.setdefault(job_id, {})[number] = chunk
        self._join(job_id)

    def remove_chunk(self, name: str) -> None:
        """Remove a chunk of an array."""
        self._remove_numbered(self.chunks, name)

    def put_placement(self, name: str, value: Any, _version: int) -> None:
        """Store a piece of a gang's placement; `name` is the job's id and the piece's number."""
        job_id, number = split_numbered_key(name)
        pieces = self.placements.setdefault(job_id, {})
        pieces[number] = msgspec.convert(value, type=GangPlacementPiece)
        self._join(job_id)

    def remove_placement(self, name: str) -> None:
        """Remove a piece of a gang's placement."""
        self._remove_numbered(self.placements, name)

    def _remove_numbered(
        self, pieces: dict[JobId, dict[int, Chunk]] | dict[JobId, dict[int, Any]], name: str
    ) -> None:
        job, _, number = name.rpartition("/")
        if not number.isdigit():
            return
        job_id = JobId(job)
        remaining = pieces.get(job_id, {})
        remaining.pop(int(number), None)
        if not remaining:
            pieces.pop(job_id, None)
        self._join(job_id)

    def cancel_before_record(self, job_id: JobId, version: int) -> bool:
        """Apply a cancellation announced by a peer before the record of this version is read here.

        Until then the older record in the cache counts as cancelled. It keeps its own version, so
        a write that is conditional on this version can't overwrite the cancellation.

        Returns:
            Whether the job was open in this cache before.
        """
        job = self.jobs.get(job_id)
        if not self.cancellations.record_announced(job_id, version):
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
        """Join a job from the keys that have been read so far; does nothing without its record."""
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
    def _join_placements(job: JobRecord, pieces: dict[int, GangPlacementPiece]) -> None:
        if job.gang is None:
            return
        placements: list[tuple[str, str]] = []
        for number, piece in sorted(pieces.items(), key=itemgetter(0)):
            if number < job.gang.placement_keys and piece.attempt == job.gang.attempt:
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
