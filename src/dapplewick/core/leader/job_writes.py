"""Writes of drafted job records, within the limits of the state service.

A record that may exceed the size of a value is split over several keys: an array's tasks into
chunks, the placement of a long gang into pieces. The order of the writes determines what remains if
the leader fails between them; each write is harmless if the next one never follows.
"""

from __future__ import annotations

import logging
from collections.abc import Collection, Iterator

import msgspec

from dapplewick.storage.conditional_write import ConditionalWrite, Precondition
from dapplewick.storage.encoding import encoded_size
from dapplewick.storage.formats import CURRENT_FORMAT
from dapplewick.storage.job_records import DONE, JobRecord, chunk_capacity
from dapplewick.storage.keys import CHUNKS, GANG_PLACEMENTS, JOBS
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.storage.write_priority import WritePriority
from dapplewick.types import JobId, Seconds

log = logging.getLogger(__name__)

PROGRESS_INTERVAL_S = 1.0  # minimum interval between progress writes of an unfinished job
CHUNKS_PER_INTERVAL = 2.0  # with more changed chunks the interval grows in proportion
MAX_CONVERTING_JOBS = 2  # jobs whose records are split into chunks at the same time
MAX_CONVERSION_WRITES = 6  # per pass; also the limit for removals of obsolete keys
LONG_GANG_TASKS = 8  # placements of smaller gangs always fit into one value
PIECE_OVERHEAD_BYTES = 60  # size of a placement piece without its tasks


class JobWriteBuilder:
    """Builds the writes for drafts of job records, within the lowest configured value size."""

    def __init__(self, cache: WatchCache, shard_names: list[str], value_bytes: int) -> None:
        self._cache = cache
        self._shard_names = shard_names
        self._value_bytes = value_bytes
        self._converting: set[JobId] = set()  # jobs whose records are being split in this pass
        self._outgrows: dict[JobId, bool] = {}  # memoized: record may exceed the value size
        self._fitting_attempts: dict[JobId, int] = {}  # with placements that fit into the record
        self._stored_at: dict[JobId, Seconds] = {}

    def record_write(self, now: Seconds, job_id: JobId) -> None:
        """Record that a key of this job has been stored."""
        self._stored_at[job_id] = now

    def changes(
        self, now: Seconds, job_id: JobId, job: JobRecord, priority: WritePriority
    ) -> list[ConditionalWrite]:
        """Return the writes for a draft, of one record or of the keys that it is split into.

        Args:
            now: The monotonic clock, in seconds.
            job_id: The job.
            job: The job's draft; changed if a long gang's placement is split into pieces.
            priority: The priority of the writes.
        """
        old = self._cache.jobs[job_id]
        if job_id in self._converting and job.stage == old.stage:
            return []
        elapsed_s = now - self._stored_at.get(job_id, 0.0)
        if job.chunk_size:
            return self._chunked_changes(elapsed_s, job_id, job, old, priority)
        if priority == WritePriority.PROGRESS and elapsed_s < PROGRESS_INTERVAL_S:
            return []
        pieces = self._split_placement(job_id, job, priority)
        value = job.dump(self._value_bytes)
        if self._cache.format >= CURRENT_FORMAT and encoded_size(value) > self._value_bytes:
            return []  # the record is split first; the next pass derives this write again
        return [*pieces, ConditionalWrite(JOBS + job_id, value, job.main_version, priority)]

    def _chunked_changes(
        self,
        elapsed_s: Seconds,
        job_id: JobId,
        job: JobRecord,
        old: JobRecord,
        priority: WritePriority,
    ) -> list[ConditionalWrite]:
        key = JOBS + job_id
        changes = []
        if (job.stage, job.gang) != (old.stage, old.gang):
            changes.append(ConditionalWrite(key, job.dump(), job.main_version, priority))
        if job.stage == DONE:
            return changes
        changed = sorted(job.chunks_changed(old))
        interval_s = PROGRESS_INTERVAL_S * max(1.0, len(changed) / CHUNKS_PER_INTERVAL)
        if priority == WritePriority.PROGRESS and elapsed_s < interval_s:
            return changes
        for number in changed:
            chunk = f"{CHUNKS}{job_id}/{number}"
            value, version = job.chunk_value(number), self._cache.version(chunk)
            if value is not None or version:
                changes.append(
                    ConditionalWrite(
                        chunk, value, version, priority, (Precondition(key, job.main_version),)
                    )
                )
        return changes

    def _split_placement(
        self, job_id: JobId, job: JobRecord, priority: WritePriority
    ) -> list[ConditionalWrite]:
        """Return writes of a long gang's placement, which precede the record with the piece count.

        Each piece contains the attempt, so that pieces left behind by a failed leader are ignored.
        """
        gang = job.gang
        if gang is None or gang.placement_keys or self._cache.format < CURRENT_FORMAT:
            return []
        if encoded_size(job.dump()) <= self._value_bytes:
            return []
        longest = max(encoded_size(placement) + 1 for placement in gang.placements)
        piece_tasks = max(1, (self._value_bytes - PIECE_OVERHEAD_BYTES) // longest)
        pieces = [
            gang.placements[i : i + piece_tasks]
            for i in range(0, len(gang.placements), piece_tasks)
        ]
        job.gang = msgspec.structs.replace(gang, placement_keys=len(pieces))
        changes = []
        for number, placements in enumerate(pieces):
            key = f"{GANG_PLACEMENTS}{job_id}/{number}"
            value = {"attempt": gang.attempt, "places": [list(p) for p in placements]}
            changes.append(ConditionalWrite(key, value, self._cache.version(key), priority))
        return changes

    def oversized_placements(self) -> Iterator[JobId]:
        """Yield gangs whose placement is in their job record and no longer fits the value size.

        The caller writes these records again, with the placement in pieces. Otherwise, after the
        size limit has been lowered, a cancellation would be rejected for its size: the cancelled
        job's record keeps the placement, because tasks may still be running there.
        """
        if self._cache.format < CURRENT_FORMAT:
            return
        for job_id, job in self._cache.iter_live_jobs():
            gang = job.gang
            if gang is None or gang.placement_keys or len(gang.placements) < LONG_GANG_TASKS:
                continue
            if self._fitting_attempts.get(job_id) == gang.attempt:
                continue
            if encoded_size(job.dump()) > self._value_bytes:
                yield job_id
            else:
                self._fitting_attempts[job_id] = gang.attempt

    def conversion_writes(self) -> list[ConditionalWrite]:
        """Split array records that may exceed the value size into chunks, a few writes at a time.

        These records were written before the format had chunks. The chunks, which no controller
        reads yet, are written first, and once all chunks match the record, the record itself is
        written. Only the leader changes chunks and record, apart from a cancellation, which makes
        the last write fail; nothing else of the job is changed during the conversion. Each write is
        small, so that the conversion also proceeds after the size limit has been lowered.
        """
        self._converting = set()
        if self._cache.format < CURRENT_FORMAT:
            return []
        changes: list[ConditionalWrite] = []
        for job_id, job in self._cache.iter_live_jobs():
            if (
                job.chunk_size
                or job.spec.is_gang
                or not job.open
                or not self._may_outgrow(job_id, job)
            ):
                continue
            self._converting.add(job_id)
            changes += self._next_conversion_writes(
                job_id, job, MAX_CONVERSION_WRITES - len(changes)
            )
            if (
                len(self._converting) >= MAX_CONVERTING_JOBS
                or len(changes) >= MAX_CONVERSION_WRITES
            ):
                break
        return changes

    def _next_conversion_writes(
        self, job_id: JobId, job: JobRecord, limit: int
    ) -> list[ConditionalWrite]:
        """Return the next writes, at most `limit`, that split one job's record into chunks."""
        target = job.copy()
        target.chunk_size = chunk_capacity(
            job.spec.task_count, self._shard_names, self._value_bytes
        )
        wanted = target.chunk_values()
        stored = {n: chunk.value for n, chunk in self._cache.chunks.get(job_id, {}).items()}
        differ = [n for n in sorted(wanted | stored) if wanted.get(n) != stored.get(n)]
        if not differ:
            log.info("event=job_record_chunked job=%s chunks=%d", job_id, len(wanted))
            return [
                ConditionalWrite(
                    JOBS + job_id, target.dump(), job.main_version, WritePriority.NORMAL
                )
            ]
        unchanged = (Precondition(JOBS + job_id, job.main_version),)
        changes = []
        for number in differ[:limit]:
            key = f"{CHUNKS}{job_id}/{number}"
            version = self._cache.version(key)
            changes.append(
                ConditionalWrite(key, wanted.get(number), version, WritePriority.LOW, unchanged)
            )
        return changes

    def _may_outgrow(self, job_id: JobId, job: JobRecord) -> bool:
        outgrows = self._outgrows.get(job_id)
        if outgrows is None:
            outgrows = self._outgrows[job_id] = job.may_exceed(self._shard_names, self._value_bytes)
        return outgrows

    def obsolete_key_removals(self, drafted: Collection[JobId]) -> list[ConditionalWrite]:
        """Return writes that remove the chunks and placement pieces that are no longer read."""
        unread: list[str] = []
        for job_id in [*self._cache.chunks, *self._cache.placements]:
            job = self._cache.jobs.get(job_id)
            if job is None or job_id in self._converting:
                continue
            if not job.open and not job.assignments:
                unread += [f"{CHUNKS}{job_id}/{n}" for n in self._cache.chunks.get(job_id, {})]
            if job.gang is None and job_id not in drafted:
                unread += [
                    f"{GANG_PLACEMENTS}{job_id}/{n}" for n in self._cache.placements.get(job_id, {})
                ]
        keys = list(dict.fromkeys(unread))[:MAX_CONVERSION_WRITES]
        return [
            ConditionalWrite(key, None, self._cache.version(key), WritePriority.PROGRESS)
            for key in keys
        ]
