"""Team quotas: each team's usage, remaining limit and guaranteed resources."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from dapplewick.config import Team
from dapplewick.core.leader.job_drafts import JobDrafts
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.storage.job_records import JobRecord
from dapplewick.types import NO_RESOURCES, JobId, Resources

ROUNDING_TOLERANCE = 1e-6  # for comparisons with sums of floats


class _WithheldQuota(NamedTuple):
    """A part of a team's limit that is reserved for a gang of this priority."""

    resources: Resources
    priority: int


class TeamQuotas:
    """Tracks the teams' usage in this pass against their limits and guarantees."""

    def __init__(self, teams: Iterable[Team], drafts: JobDrafts) -> None:
        self._teams = {team.name: team for team in teams}
        self._drafts = drafts
        self._usage: dict[str, Resources] = {}
        self._withheld: dict[str, _WithheldQuota] = {}

    def recount(self) -> None:
        """Begin a pass: sum the resources of each team's assigned tasks, started or not."""
        self._usage = dict.fromkeys(self._teams, NO_RESOURCES)
        self._withheld.clear()
        for _, job in self._drafts.live_jobs():
            count = sum(len(tasks) for tasks in job.assignments.values())
            if job.gang is not None:
                count += job.spec.task_count
            used = self._usage.get(job.spec.team)
            if used is not None and count:
                self._usage[job.spec.team] = used.plus(job.resources.times(count))

    def within_limit(self, spec: JobSpec) -> int:
        """Return how many more tasks of a job its team's limit allows; 0 for unknown teams."""
        team, used = self._teams.get(spec.team), self._usage.get(spec.team)
        if team is None or used is None:
            return 0
        withheld = self._withheld.get(spec.team)
        if withheld is not None and spec.priority <= withheld.priority and not spec.is_service:
            used = used.plus(withheld.resources)
        allowed = spec.task_count
        for limit, in_use, per_task in (
            (team.cpus_max, used.cpus, spec.cpus),
            (team.gpus_max, used.gpus, spec.gpus),
        ):
            if limit > 0 and per_task > 0:
                allowed = min(allowed, int((limit - in_use + ROUNDING_TOLERANCE) / per_task))
        return max(0, allowed)

    def charge(self, spec: JobSpec, count: int) -> None:
        """Add tasks that were assigned in this pass to their team's usage."""
        self._usage[spec.team] = self._usage[spec.team].plus(spec.resources.times(count))

    def withhold(self, spec: JobSpec) -> None:
        """Reserve the team's limit for all tasks of a gang until the end of this pass.

        The reservation does not apply to services and work of higher priority.
        """
        resources = spec.resources.times(spec.task_count)
        self._withheld[spec.team] = _WithheldQuota(resources, spec.priority)

    def within_guarantee(self, jobs: Iterable[tuple[JobId, JobRecord]]) -> set[JobId]:
        """Return the jobs that, with earlier unfinished jobs of the team, fit its guarantee."""
        used: dict[str, Resources] = {}
        within = set()
        for job_id, job in sorted(jobs, key=lambda j: (j[1].submitted_at, j[0])):
            spec = job.spec
            team = self._teams.get(spec.team)
            if team is None:
                continue
            unfinished = spec.task_count - job.done_count
            total = used.get(team.name, NO_RESOURCES).plus(spec.resources.times(unfinished))
            used[team.name] = total
            if _is_guaranteed(team, spec, total):
                within.add(job_id)
        return within


def _is_guaranteed(team: Team, spec: JobSpec, total: Resources) -> bool:
    """Return whether `total` fits the guarantee: accelerators if the work uses any, else CPUs."""
    if spec.gpus > 0:
        return total.gpus <= team.gpus + ROUNDING_TOLERANCE
    return spec.gpus == 0 and team.cpus > 0 and total.cpus <= team.cpus + ROUNDING_TOLERANCE
