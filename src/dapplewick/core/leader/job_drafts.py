"""Drafts of job records: changes that a planning pass of the leader has decided but not written."""

from __future__ import annotations

from collections.abc import Iterator, KeysView
from typing import NamedTuple

from dapplewick.storage.job_records import JobRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.storage.write_priority import WritePriority
from dapplewick.types import JobId


class JobDraft(NamedTuple):
    """A job's next record, and the highest priority of the reasons to write it."""

    job: JobRecord
    priority: WritePriority


class JobDrafts:
    """The job records in a planning pass: its drafts, or the stored record of other jobs."""

    def __init__(self, cache: WatchCache) -> None:
        self._cache = cache
        self._drafts: dict[JobId, JobDraft] = {}

    def clear(self) -> None:
        """Discard all drafts; the next pass derives again the changes that were not written."""
        self._drafts.clear()

    def edit(self, job_id: JobId, priority: WritePriority) -> JobRecord:
        """Return a job's draft for changes, to be written with at least this priority."""
        draft = self._drafts.get(job_id)
        if draft is None:
            draft = JobDraft(self._cache.jobs[job_id].copy(), priority)
        else:
            draft = JobDraft(draft.job, min(priority, draft.priority))
        self._drafts[job_id] = draft
        return draft.job

    def current(self, job_id: JobId) -> JobRecord:
        """Return a job with the changes of this pass; callers must not change it."""
        draft = self._drafts.get(job_id)
        return draft.job if draft is not None else self._cache.jobs[job_id]

    def live_jobs(self) -> Iterator[tuple[JobId, JobRecord]]:
        """Yield all live jobs with the changes of this pass, in order of arrival."""
        for job_id in self._cache.live_jobs:
            yield job_id, self.current(job_id)

    def job_ids(self) -> KeysView[JobId]:
        """Return the jobs that have a draft."""
        return self._drafts.keys()

    def items(self) -> Iterator[tuple[JobId, JobDraft]]:
        """Yield all drafts, in order of creation."""
        yield from self._drafts.items()
