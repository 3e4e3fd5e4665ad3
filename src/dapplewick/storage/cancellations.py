"""Cancellations of jobs, ordered by version, and those known only from messages of peers."""

from __future__ import annotations

from bisect import bisect_right, insort

from dapplewick.types import JobId

_AFTER_ALL_JOBS = "\U0010ffff"  # sorts after the id of every job


class CancellationIndex:
    """Every cancellation that a controller knows, from records or from peers."""

    def __init__(self) -> None:
        self._by_version: list[tuple[int, JobId]] = []
        # By job, the newest cancellation that peers have announced. The watch cache may not have
        # read the job's record of this version yet.
        self._announced: dict[JobId, int] = {}

    def since(self, revision: int) -> list[tuple[int, JobId]]:
        """List every cancellation newer than a revision, each with its version."""
        return self._by_version[bisect_right(self._by_version, (revision, _AFTER_ALL_JOBS)) :]

    def add(self, job_id: JobId, version: int) -> None:
        """Add a job that is cancelled as of this version of its record."""
        insort(self._by_version, (version, job_id))

    def record_announced(self, job_id: JobId, version: int) -> bool:
        """Record a cancellation announced by a peer.

        Returns:
            False if the same or a newer cancellation of the job was already announced.
        """
        if self._announced.get(job_id, 0) >= version:
            return False
        self._announced[job_id] = version
        return True

    def is_announced_after(self, job_id: JobId, version: int) -> bool:
        """Whether a peer announced a cancellation that is newer than this version of the record.

        If not, the record contains the job's current stage, and the announcement is dropped.
        """
        if self._announced.get(job_id, 0) > version:
            return True
        self._announced.pop(job_id, None)
        return False
