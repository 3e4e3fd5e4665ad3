"""The order in which arrays and services are served."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from dapplewick.config import Objective
from dapplewick.core.estimates import Estimates
from dapplewick.core.leader.job_drafts import JobDrafts
from dapplewick.core.leader.quotas import TeamQuotas
from dapplewick.storage.job_records import JobRecord
from dapplewick.tuning import Tuning
from dapplewick.types import JobId, Seconds

UNAIMED_WAIT_S = 90.0  # work without objectives lets gangs with some go first for this long
# Users expect the largest jobs of a class to begin within four minutes. Of a job that has waited
# for half of that without a task one goes first: the rest of the time is for a slot to come free.
OVERDUE_S = 120.0


class PendingArray(NamedTuple):
    """An open array or service, and how many of its tasks are assigned to no shard."""

    job_id: JobId
    job: JobRecord
    unassigned: int


class DueTime(NamedTuple):
    """When a job should be complete; what has missed fewer objectives compares lower."""

    missed: int  # objectives that it can't reach any more
    at: Seconds


class ArrayOrder:
    """Sorts pending arrays by priority, guarantee, class weight, due time and age."""

    def __init__(
        self,
        drafts: JobDrafts,
        quotas: TeamQuotas,
        estimates: Estimates,
        objectives: Iterable[Objective],
        aimed_classes: frozenset[str],
        tuning: Tuning,
    ) -> None:
        self._drafts = drafts
        self._quotas = quotas
        self._estimates = estimates
        self._objectives = list(objectives)
        self._aimed_classes = aimed_classes
        self._class_weights = tuning.class_weights

    def pending(self, wall_time: Seconds) -> list[PendingArray]:
        """All open arrays and services, in the order in which they are served."""
        jobs = [
            (job_id, job)
            for job_id, job in self._drafts.live_jobs()
            if job.open and not job.spec.is_gang
        ]
        within = self._quotas.within_guarantee(jobs)
        pending = []
        for job_id, job in jobs:
            assigned = sum(len(tasks) for tasks in job.assignments.values())
            unassigned = job.spec.task_count - len(job.done) - assigned
            pending.append(PendingArray(job_id, job, unassigned))
        pending.sort(
            key=lambda array: (
                -array.job.spec.priority,
                array.job_id not in within,
                -self._class_weights.get(array.job.spec.job_class, 1.0),
                self._due(array.job, wall_time),
                array.job.submitted_at,
                array.job_id,
            )
        )
        return pending

    def behind_gangs(self, wall_time: Seconds, pending: list[PendingArray]) -> list[PendingArray]:
        """Without the work that has no objectives, while gangs wait that have some.

        Its tasks would take each slot before enough are idle for a gang.
        """
        gang_waits = any(
            job.spec.is_gang
            and job.open
            and job.gang is None
            and job.spec.job_class in self._aimed_classes
            for _, job in self._drafts.live_jobs()
        )
        if not gang_waits:
            return pending
        return [
            array
            for array in pending
            if array.job.spec.job_class in self._aimed_classes
            or array.job.spec.is_service
            or wall_time - array.job.submitted_at > UNAIMED_WAIT_S
        ]

    def overdue(self, wall_time: Seconds, pending: Iterable[PendingArray]) -> list[PendingArray]:
        """Arrays of which nothing has begun for too long, in the order in which they came.

        Work that can still be in time goes before late work, so that not all is late under load.
        While more comes than there is room for, late work would never begin.
        """
        overdue = [
            array
            for array in pending
            if not array.job.spec.is_service
            and array.unassigned == array.job.spec.task_count
            and wall_time - array.job.submitted_at > OVERDUE_S
        ]
        return sorted(
            overdue,
            key=lambda array: (
                -array.job.spec.priority,
                array.job.submitted_at,
                array.job_id,
            ),
        )

    def _due(self, job: JobRecord, wall_time: Seconds) -> DueTime:
        """The first of a job's objectives that it can still reach.

        Late work goes behind work that is still in time, or under load the most overdue would make
        everything late.
        """
        earliest = wall_time + self._estimates.run_time(job.spec)
        missed = 0
        for within_s in sorted(self._objective_times(job)):
            if job.submitted_at + within_s >= earliest:
                return DueTime(missed, job.submitted_at + within_s)
            missed += 1
        return DueTime(missed, float("inf"))

    def _objective_times(self, job: JobRecord) -> set[Seconds]:
        """Within which times after its submission the job should be complete."""
        spec = job.spec
        times_s = set() if spec.deadline_s is None else {spec.deadline_s}
        for objective in self._objectives:
            if objective.class_ != spec.job_class:
                continue
            if objective.kind == "deadline" and spec.deadline_s is not None:
                times_s.add(spec.deadline_s * objective.times)
            elif objective.kind == "finished" and objective.within_s is not None:
                times_s.add(objective.within_s)
        return times_s
