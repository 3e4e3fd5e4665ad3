"""Drafts of job records: what a pass of the leader has decided and not yet written."""

from __future__ import annotations

from collections.abc import Iterator, KeysView
from typing import NamedTuple

from dapplewick.storage.job_records import JobRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.storage.write_priority import WritePriority
from dapplewick.types import JobId


class JobDraft(NamedTuple):
    """A job's next record, and the most urgent of the reasons to write it."""

    job: JobRecord
    priority: WritePriority


class JobDrafts:
    """The job records as this pass sees them: its drafts, else what is stored."""

    def __init__(self, cache: WatchCache) -> None:
        self._cache = cache
        self._drafts: dict[JobId, JobDraft] = {}

    def clear(self) -> None:
        """Forget all drafts; what was not written is found again."""
        self._drafts.clear()

    def edit(self, job_id: JobId, priority: WritePriority) -> JobRecord:
        """The draft of a job, to be changed; it is written with at least this priority."""
        draft = self._drafts.get(job_id)
        if draft is None:
            draft = JobDraft(self._cache.jobs[job_id].copy(), priority)
        else:
            draft = JobDraft(draft.job, min(priority, draft.priority))
        self._drafts[job_id] = draft
        return draft.job

    def current(self, job_id: JobId) -> JobRecord:
        """A job as it stands in this pass; not to be changed."""
        draft = self._drafts.get(job_id)
        return draft.job if draft is not None else self._cache.jobs[job_id]

    def live_jobs(self) -> Iterator[tuple[JobId, JobRecord]]:
        """All live jobs as they stand in this pass, in the order in which they came."""
        for job_id in self._cache.live_jobs:
            yield job_id, self.current(job_id)

    def job_ids(self) -> KeysView[JobId]:
        """The jobs that are drafted."""
        return self._drafts.keys()

    def items(self) -> Iterator[tuple[JobId, JobDraft]]:
        """All drafts, in the order in which they were begun."""
        yield from self._drafts.items()
