"""Teams' quotas: what each team uses, what its limit leaves, and what it is guaranteed."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from dapplewick.config import Team
from dapplewick.core.leader.job_drafts import JobDrafts
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.storage.job_records import JobRecord
from dapplewick.types import NO_RESOURCES, JobId, Resources

ROUNDING = 1e-6  # amounts are sums of floats, so limits are tested with this allowance


class _Withheld(NamedTuple):
    """A part of a team's limit that is kept for a gang of this priority."""

    resources: Resources
    priority: int


class TeamQuotas:
    """The teams' usage in this pass, against their limits and guarantees."""

    def __init__(self, teams: Iterable[Team], drafts: JobDrafts) -> None:
        self._teams = {team.name: team for team in teams}
        self._drafts = drafts
        self._usage: dict[str, Resources] = {}
        self._withheld: dict[str, _Withheld] = {}

    def recount(self) -> None:
        """Begin a pass: count what each team's tasks use or may still use."""
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
        """How many more tasks of this job its team's limit allows; 0 for an unknown team."""
        team, used = self._teams.get(spec.team), self._usage.get(spec.team)
        if team is None or used is None:
            return 0
        withheld = self._withheld.get(spec.team)
        if withheld is not None and spec.priority <= withheld.priority and not spec.is_service:
            used = used.plus(withheld.resources)
        most = spec.task_count
        for limit, have, each in (
            (team.cpus_max, used.cpus, spec.cpus),
            (team.gpus_max, used.gpus, spec.gpus),
        ):
            if limit > 0 and each > 0:
                most = min(most, int((limit - have + ROUNDING) / each))
        return max(0, most)

    def spend(self, spec: JobSpec, count: int) -> None:
        """Count tasks that were assigned in this pass."""
        self._usage[spec.team] = self._usage[spec.team].plus(spec.resources.times(count))

    def withhold(self, spec: JobSpec) -> None:
        """Keep the team's limit for all tasks of a gang, for the rest of this pass.

        Services and work of higher priority are not held up by it.
        """
        resources = spec.resources.times(spec.task_count)
        self._withheld[spec.team] = _Withheld(resources, spec.priority)

    def within_guarantee(self, jobs: Iterable[tuple[JobId, JobRecord]]) -> set[JobId]:
        """Jobs that fit into their team's guarantee together with its earlier unfinished ones."""
        used: dict[str, Resources] = {}
        within = set()
        for job_id, job in sorted(jobs, key=lambda j: (j[1].submitted_at, j[0])):
            spec = job.spec
            team = self._teams.get(spec.team)
            if team is None:
                continue
            left = spec.task_count - job.done_count
            total = used.get(team.name, NO_RESOURCES).plus(spec.resources.times(left))
            used[team.name] = total
            if _is_guaranteed(team, spec, total):
                within.add(job_id)
        return within


def _is_guaranteed(team: Team, spec: JobSpec, total: Resources) -> bool:
    """Whether this total is in the guarantee: of accelerators for work with some, else of CPUs."""
    if spec.gpus > 0:
        return total.gpus <= team.gpus + ROUNDING
    return spec.gpus == 0 and team.cpus > 0 and total.cpus <= team.cpus + ROUNDING
