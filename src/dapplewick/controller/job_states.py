"""Job states for responses to users; every response takes a job's state from this module.

Reads by users must be monotonic across controllers: no controller may return an older state than
any controller has returned before. Two kinds of state satisfy this:

- A final state. Records change only by compare-and-swap on their versions, and no write replaces a
  job that is done or cancelled, so a final state stays valid at any age of the cache.
- Any other state, if the newest changes were requested after the user's request arrived. A
  controller returns only stored states, so these changes contain every state returned earlier.

The value that a request was about to write satisfies neither: its transaction may have been applied
although the response was lost, or rejected because the job exists. The job may have ended since.
"""

from __future__ import annotations

from typing import Protocol

from dapplewick.storage.errors import RequestRefusedError
from dapplewick.storage.job_records import JobRecord
from dapplewick.storage.keys import JOBS
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import JobId, Seconds

# Users wait 2 s for a response. An older read isn't used: it means that the process was suspended
# or short of processor time, and other controllers may have returned newer states since.
MAX_READ_AGE_S = 2.0


class UnreadableJobError(RequestRefusedError):
    """The newest record of a job can't be parsed: the job exists, but its state is unknown."""


class Records(Protocol):
    """A cache of the records that can be brought up to date."""

    cache: WatchCache

    def now(self) -> Seconds:
        """Return the time of the monotonic clock, in seconds."""
        ...

    async def wait_until_current(self) -> Seconds:
        """Wait until the cache holds all changes stored before this call.

        Returns:
            When the changes were requested, by the monotonic clock.

        Raises:
            RequestRefusedError: the changes could not be read.
        """
        ...


class JobStateReader:
    """Reads jobs for responses to users.

    Every read raises RequestRefusedError if it can't guarantee that its result is recent enough.
    """

    def __init__(self, records: Records) -> None:
        self._records = records

    async def read(self, job_id: JobId) -> JobRecord | None:
        """Return a job in its final state from the cache, or else its latest state.

        Returns:
            The job; None if it does not exist.
        """
        job = self._records.cache.jobs.get(job_id)
        if job is not None and not job.open:
            return job
        return await self.read_latest(job_id)

    async def read_latest(self, job_id: JobId, *, for_change: bool = False) -> JobRecord | None:
        """Return a job by a read that begins now; None if the job does not exist.

        The age of the read is not checked for a final state, nor with `for_change`: the write that
        follows such a read is conditional on the version that was read.
        """
        requested_at = await self._records.wait_until_current()
        job = self.cached(job_id)
        is_age_irrelevant = job is not None and (for_change or not job.open)
        if not is_age_irrelevant and self._records.now() - requested_at > MAX_READ_AGE_S:
            raise RequestRefusedError("the records were read too long ago")
        return job

    def cached(self, job_id: JobId) -> JobRecord | None:
        """Return a job from the cache; only valid right after a read or a write of the job.

        Raises:
            UnreadableJobError: the job's newest record can't be parsed.
        """
        if JOBS + job_id in self._records.cache.unreadable:
            raise UnreadableJobError(job_id)
        return self._records.cache.jobs.get(job_id)
