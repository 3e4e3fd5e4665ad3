"""What the work of each partition's teams wants now."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from dapplewick.config import Team
from dapplewick.core.estimates import Estimates
from dapplewick.partitions.plan import PartitionPlan
from dapplewick.storage.job_records import JobRecord
from dapplewick.types import NO_RESOURCES, Resources, Seconds

UNLIMITED = 1e12  # CPUs, accelerators or GB: more than any fleet has
SOON_FACTOR = 2.0  # work that is due within this times its run time is pressing


class PartitionDemand(NamedTuple):
    """Room that a partition's work would use if it had it all.

    Pressing is what is due soon or is within its team's guarantee.
    """

    pressing: Resources = NO_RESOURCES
    other: Resources = NO_RESOURCES

    @property
    def total(self) -> Resources:
        """Pressing and other demand together."""
        return self.pressing.plus(self.other)


class _TeamDemand:
    """Sums for one team, kept within its limit."""

    def __init__(self, team: Team) -> None:
        self._team = team
        self._guaranteed_left = Resources(team.cpus, team.gpus, 0.0)
        self._limit_left = Resources(
            team.cpus_max or UNLIMITED, team.gpus_max or UNLIMITED, UNLIMITED
        )
        self.pressing = NO_RESOURCES
        self.other = NO_RESOURCES

    def add(self, job: JobRecord, *, due_soon: bool) -> None:
        """Count a job's unfinished tasks, as many as the team's limit has room for."""
        each = job.resources
        count = min(job.spec.task_count - job.done_count, each.fit_count(self._limit_left))
        if count <= 0:
            return
        wanted = each.times(count)
        self._limit_left = self._limit_left.minus(wanted)
        if due_soon or self._within_guarantee(wanted):
            self.pressing = self.pressing.plus(wanted)
        else:
            self.other = self.other.plus(wanted)

    def _within_guarantee(self, wanted: Resources) -> bool:
        left = self._guaranteed_left
        by_gpus = wanted.gpus > 0 and wanted.gpus <= left.gpus
        by_cpus = wanted.gpus == 0 and 0 < wanted.cpus <= left.cpus
        if by_gpus or by_cpus:
            self._guaranteed_left = left.minus(wanted)
        return by_gpus or by_cpus


def measure(
    plan: PartitionPlan,
    teams: Iterable[Team],
    jobs: Iterable[JobRecord],
    estimates: Estimates,
    wall_time: Seconds,
) -> dict[str, PartitionDemand]:
    """The demand of each partition, from all open jobs, the oldest first.

    Args:
        plan: says which teams a partition is for.
        teams: their guarantees and limits.
        jobs: all of them; those that have ended do not count.
        estimates: of run times.
        wall_time: Unix time, in seconds.
    """
    sums = {team.name: _TeamDemand(team) for team in teams}
    for job in sorted((j for j in jobs if j.open), key=lambda j: j.submitted_at):
        team = sums.get(job.spec.team)
        if team is not None:
            team.add(job, due_soon=_is_due_soon(job, estimates, wall_time))
    demands = {}
    for name, partition in plan.partitions.items():
        pressing = other = NO_RESOURCES
        for team_name in partition.teams:
            if team_name in sums:
                pressing = pressing.plus(sums[team_name].pressing)
                other = other.plus(sums[team_name].other)
        demands[name] = PartitionDemand(pressing, other)
    return demands


def _is_due_soon(job: JobRecord, estimates: Estimates, wall_time: Seconds) -> bool:
    if job.spec.deadline_s is None or job.spec.is_service:
        return job.spec.is_service
    return job.submitted_at + job.spec.deadline_s < wall_time + SOON_FACTOR * estimates.run_time(
        job.spec
    )
