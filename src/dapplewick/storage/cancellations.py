"""Cancellations of jobs in the order of their versions, and those that only peers have told of."""

from __future__ import annotations

from bisect import bisect_right, insort

from dapplewick.types import JobId

_AFTER_ALL_JOBS = "\U0010ffff"  # sorts after the id of every job


class Cancellations:
    """Every cancellation that a controller knows of."""

    def __init__(self) -> None:
        self._by_version: list[tuple[int, JobId]] = []
        self._announced: dict[JobId, int] = {}  # by peers, before the records came here

    def since(self, revision: int) -> list[tuple[int, JobId]]:
        """Every cancellation that is newer than a revision, with its version."""
        return self._by_version[bisect_right(self._by_version, (revision, _AFTER_ALL_JOBS)) :]

    def add(self, job_id: JobId, version: int) -> None:
        """A job is cancelled as of a version of its record."""
        insort(self._by_version, (version, job_id))

    def announce(self, job_id: JobId, version: int) -> bool:
        """A peer tells of a cancellation; False if one as new was announced before."""
        if self._announced.get(job_id, 0) >= version:
            return False
        self._announced[job_id] = version
        return True

    def is_announced_after(self, job_id: JobId, version: int) -> bool:
        """Whether a peer told of a cancellation that is newer than this version of the record.

        If not, the record itself says how the job stands: the announcement is forgotten.
        """
        if self._announced.get(job_id, 0) > version:
            return True
        self._announced.pop(job_id, None)
        return False
