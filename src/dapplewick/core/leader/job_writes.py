"""Drafts of job records as writes that fit the limits of the state service.

A record that may outgrow a value is kept in several keys: an array's tasks in chunks, the placement
of a long gang in pieces. Which keys are written in which order decides what a leader that ends on
the way leaves behind; each step is harmless if the next never comes.
"""

from __future__ import annotations

import logging
from collections.abc import Collection, Iterator

import msgspec

from dapplewick.storage.conditional_write import ConditionalWrite, Precondition
from dapplewick.storage.encoding import encoded_size
from dapplewick.storage.formats import CURRENT_FORMAT
from dapplewick.storage.job_records import DONE, JobRecord, chunk_tasks
from dapplewick.storage.keys import CHUNKS, GANG_PLACEMENTS, JOBS
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.storage.write_priority import WritePriority
from dapplewick.types import JobId, Seconds

log = logging.getLogger(__name__)

PROGRESS_S = 1.0  # completed tasks of an unfinished job are stored at most this often
CHUNKS_AT_ONCE = 2.0  # a job of which more chunks changed stores its progress less often
MOST_CONVERTING = 2  # jobs whose records are cut into chunks at the same time
MOST_CONVERSION_WRITES = 6  # and writes for it in one pass
LONG_GANG_TASKS = 8  # placements of gangs with fewer tasks always fit into one value
PIECE_BYTES = 60  # of the value of a piece of a placement, beside its tasks


class JobWrites:
    """The writes for drafts of job records, within the lower of all limits."""

    def __init__(self, cache: WatchCache, shard_names: list[str], value_bytes: int) -> None:
        self._cache = cache
        self._shard_names = shard_names
        self._value_bytes = value_bytes
        self._converting: set[JobId] = set()  # jobs whose records are being cut in this pass
        self._outgrows: dict[JobId, bool] = {}  # memo
        self._fitting_attempts: dict[JobId, int] = {}  # whose placement fits into the record
        self._stored_at: dict[JobId, Seconds] = {}

    def written(self, now: Seconds, job_id: JobId) -> None:
        """Note that a key of this job is stored."""
        self._stored_at[job_id] = now

    def changes(
        self, now: Seconds, job_id: JobId, job: JobRecord, priority: WritePriority
    ) -> list[ConditionalWrite]:
        """The writes for a draft: of the record, or of the keys that it is kept in.

        Args:
            now: The steady clock.
            job_id: The job.
            job: Its draft; a long gang's placement is cut into pieces in it.
            priority: The rank of the writes.
        """
        old = self._cache.jobs[job_id]
        if job_id in self._converting and job.stage == old.stage:
            return []
        since_s = now - self._stored_at.get(job_id, 0.0)
        if job.chunk_size:
            return self._chunked_changes(since_s, job_id, job, old, priority)
        if priority == WritePriority.PROGRESS and since_s < PROGRESS_S:
            return []
        pieces = self._split_placement(job_id, job, priority)
        value = job.dump(self._value_bytes)
        if self._cache.format >= CURRENT_FORMAT and encoded_size(value) > self._value_bytes:
            return []  # it is cut first; what is not written is found again
        return [*pieces, ConditionalWrite(JOBS + job_id, value, job.main_version, priority)]

    def _chunked_changes(
        self,
        since_s: Seconds,
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
        pause_s = PROGRESS_S * max(1.0, len(changed) / CHUNKS_AT_ONCE)
        if priority == WritePriority.PROGRESS and since_s < pause_s:
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
        """The keys for a long gang's placement, written before the record that names their number.

        They name the attempt: what a leader that ended on the way left behind is not read.
        """
        gang = job.gang
        if gang is None or gang.placement_keys or self._cache.format < CURRENT_FORMAT:
            return []
        if encoded_size(job.dump()) <= self._value_bytes:
            return []
        longest = max(encoded_size(placement) + 1 for placement in gang.placements)
        most = max(1, (self._value_bytes - PIECE_BYTES) // longest)
        pieces = [gang.placements[i : i + most] for i in range(0, len(gang.placements), most)]
        job.gang = msgspec.structs.replace(gang, placement_keys=len(pieces))
        changes = []
        for number, placements in enumerate(pieces):
            key = f"{GANG_PLACEMENTS}{job_id}/{number}"
            value = {"attempt": gang.attempt, "places": [list(p) for p in placements]}
            changes.append(ConditionalWrite(key, value, self._cache.version(key), priority))
        return changes

    def oversized_placements(self) -> Iterator[JobId]:
        """Gangs whose placement was written into their own record when a value could hold more.

        They are to be written anew, with pieces. Guards against a cancellation that is refused
        for its size: it keeps the placement, since tasks may still be there, and once the limit
        has fallen it could not be written.
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

    def convert(self) -> list[ConditionalWrite]:
        """Cut arrays whose records may outgrow a value into chunks, a few writes at a time.

        They were written before chunks were known. First come the chunks, which nobody reads yet,
        and when all are as the record says, the record itself. Only the leader changes either, but
        for a cancellation, which makes the last write fail; meanwhile nothing else of the job is
        changed. Each of these writes is small, so this goes on also when the limit has fallen.
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
            changes += self._conversion(job_id, job, MOST_CONVERSION_WRITES - len(changes))
            if len(self._converting) >= MOST_CONVERTING or len(changes) >= MOST_CONVERSION_WRITES:
                break
        return changes

    def _conversion(self, job_id: JobId, job: JobRecord, most: int) -> list[ConditionalWrite]:
        """The next writes, at most so many, that cut one job's record into chunks."""
        target = job.copy()
        target.chunk_size = chunk_tasks(job.spec.task_count, self._shard_names, self._value_bytes)
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
        for number in differ[:most]:
            key = f"{CHUNKS}{job_id}/{number}"
            version = self._cache.version(key)
            changes.append(
                ConditionalWrite(key, wanted.get(number), version, WritePriority.LOW, unchanged)
            )
        return changes

    def _may_outgrow(self, job_id: JobId, job: JobRecord) -> bool:
        known = self._outgrows.get(job_id)
        if known is None:
            known = self._outgrows[job_id] = job.may_exceed(self._shard_names, self._value_bytes)
        return known

    def leftovers(self, drafted: Collection[JobId]) -> list[ConditionalWrite]:
        """The removal of keys of jobs that nothing reads any more."""
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
        keys = list(dict.fromkeys(unread))[:MOST_CONVERSION_WRITES]
        return [
            ConditionalWrite(key, None, self._cache.version(key), WritePriority.PROGRESS)
            for key in keys
        ]
