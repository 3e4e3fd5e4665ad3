"""The order in which pending arrays and services are served."""

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

NO_OBJECTIVE_YIELD_S = (
    90.0  # arrays without objectives yield to gangs with objectives for this time
)
# Users expect the largest jobs of a class to start within 240 s. An array that has waited for half
# of that time without a task has one task assigned before all others; the remaining 120 s allow for
# a slot to become idle.
OVERDUE_S = 120.0


class PendingArray(NamedTuple):
    """An open array or service, and how many of its tasks are not assigned to any shard."""

    job_id: JobId
    job: JobRecord
    unassigned: int


class DueTime(NamedTuple):
    """When a job should be complete; fewer missed objectives compare lower."""

    missed: int  # number of objectives that the job can no longer meet
    due_at: Seconds


class ArrayOrder:
    """Sorts pending arrays by priority, guarantee, class weight, due time and age."""

    def __init__(
        self,
        drafts: JobDrafts,
        quotas: TeamQuotas,
        estimates: Estimates,
        objectives: Iterable[Objective],
        classes_with_objectives: frozenset[str],
        tuning: Tuning,
    ) -> None:
        self._drafts = drafts
        self._quotas = quotas
        self._estimates = estimates
        self._objectives = list(objectives)
        self._classes_with_objectives = classes_with_objectives
        self._class_weights = tuning.class_weights

    def pending(self, wall_time: Seconds) -> list[PendingArray]:
        """Return all open arrays and services, in the order in which they are served."""
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
                self._due_time(array.job, wall_time),
                array.job.submitted_at,
                array.job_id,
            )
        )
        return pending

    def eligible(self, wall_time: Seconds, pending: list[PendingArray]) -> list[PendingArray]:
        """Return the work that may be assigned; arrays without objectives yield to waiting gangs.

        An array without objectives yields for `NO_OBJECTIVE_YIELD_S` while a gang with objectives
        waits. Otherwise its tasks would use each idle slot before enough slots are idle for the
        gang.
        """
        gang_waits = any(
            job.spec.is_gang
            and job.open
            and job.gang is None
            and job.spec.job_class in self._classes_with_objectives
            for _, job in self._drafts.live_jobs()
        )
        if not gang_waits:
            return pending
        return [
            array
            for array in pending
            if array.job.spec.job_class in self._classes_with_objectives
            or array.job.spec.is_service
            or wall_time - array.job.submitted_at > NO_OBJECTIVE_YIELD_S
        ]

    def overdue(self, wall_time: Seconds, pending: Iterable[PendingArray]) -> list[PendingArray]:
        """Return arrays that have waited too long without a task, by priority and age.

        Work that can still meet its objectives is served before late work, so that overload does
        not make all work late. Without this list, late work would never start while overload lasts.
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

    def _due_time(self, job: JobRecord, wall_time: Seconds) -> DueTime:
        """Return the due time of the first objective that the job can still meet.

        Late work follows work that is still in time. Otherwise, under overload, serving the most
        overdue work first would make all work late.
        """
        earliest = wall_time + self._estimates.run_time(job.spec)
        missed = 0
        for within_s in sorted(self._objective_times(job)):
            if job.submitted_at + within_s >= earliest:
                return DueTime(missed, job.submitted_at + within_s)
            missed += 1
        return DueTime(missed, float("inf"))

    def _objective_times(self, job: JobRecord) -> set[Seconds]:
        """Return the times after its submission within which the job should be complete."""
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
