"""What users may be told of a job: the one place from which answers take a job's state.

No controller may give an older answer than any has given before. Two kinds of knowledge are safe:

- A final state. Records are changed only by comparing versions, and nothing is ever written over
  a job that is done or cancelled, so it stays true however old the copy is.
- Anything else, if the newest changes were asked for after the user's question came: whatever was
  told by then is in the records, since a controller tells only what is stored.

What a request was about to write is no such knowledge: its transaction may have been carried out
without an answer, or refused because the job is known, and the job may be over by then.
"""

from __future__ import annotations

from typing import Protocol

from dapplewick.storage.errors import RequestRefusedError
from dapplewick.storage.job_records import JobRecord
from dapplewick.storage.keys import JOBS
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import JobId, Seconds

# Users wait 2 s for the answer to a question. What rests on an older read is not told any more:
# the process stood still or is short of processor time, and others have told newer things since.
MAX_READ_AGE_S = 2.0


class UnreadableJobError(RequestRefusedError):
    """The newest record of a job can't be parsed: it is known, and nothing can be said of it."""


class Records(Protocol):
    """A copy of the records that can be brought up to date."""

    cache: WatchCache

    def now(self) -> Seconds:
        """The steady clock."""
        ...

    async def current(self) -> Seconds:
        """Return once the copy is known to be as new as when this was called.

        Returns:
            When the changes were asked for, by the steady clock.

        Raises:
            RequestRefusedError: they could not be read.
        """
        ...


class JobStates:
    """Reads jobs for answers to users.

    Every read raises RequestRefusedError where it can't be sure of its answer.
    """

    def __init__(self, records: Records) -> None:
        self._records = records

    async def read(self, job_id: JobId) -> JobRecord | None:
        """A job as it stands; None if there is none."""
        job = self._records.cache.jobs.get(job_id)
        if job is not None and not job.open:
            return job
        return await self.read_latest(job_id)

    async def read_latest(self, job_id: JobId, *, for_change: bool = False) -> JobRecord | None:
        """A job as it stands by a read that begins now; None if there is none.

        The age of the read does not matter for a final state, nor for a job that is read to be
        changed: the write names the version that it replaces.
        """
        requested_at = await self._records.current()
        job = self.cached(job_id)
        is_age_irrelevant = job is not None and (for_change or not job.open)
        if not is_age_irrelevant and self._records.now() - requested_at > MAX_READ_AGE_S:
            raise RequestRefusedError("the records were read too long ago")
        return job

    def cached(self, job_id: JobId) -> JobRecord | None:
        """A job by what was read so far, where a read or a write of it has just ended."""
        if JOBS + job_id in self._records.cache.unreadable:
            raise UnreadableJobError(job_id)
        return self._records.cache.jobs.get(job_id)
