"""The present resource demand of each partition's teams."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from dapplewick.config import Team
from dapplewick.core.estimates import Estimates
from dapplewick.partitions.plan import PartitionPlan
from dapplewick.storage.job_records import JobRecord
from dapplewick.types import NO_RESOURCES, Resources, Seconds

UNLIMITED = 1e12  # CPUs, accelerators or GB; above the capacity of any fleet
DUE_SOON_FACTOR = 2.0  # work due within this multiple of its run time is urgent


class PartitionDemand(NamedTuple):
    """The resources that a partition's work would use without any shortage.

    Attributes:
        urgent: the demand of work that is due soon or within its team's guarantee.
        other: the remaining demand.
    """

    urgent: Resources = NO_RESOURCES
    other: Resources = NO_RESOURCES

    @property
    def total(self) -> Resources:
        """The sum of urgent and other demand."""
        return self.urgent.plus(self.other)


class _TeamDemand:
    """The demand of one team, capped at the team's limit."""

    def __init__(self, team: Team) -> None:
        self._team = team
        self._remaining_guarantee = Resources(team.cpus, team.gpus, 0.0)
        self._remaining_limit = Resources(
            team.cpus_max or UNLIMITED, team.gpus_max or UNLIMITED, UNLIMITED
        )
        self.urgent = NO_RESOURCES
        self.other = NO_RESOURCES

    def add(self, job: JobRecord, *, due_soon: bool) -> None:
        """Add the demand of a job's unfinished tasks, as many as fit into the team's limit."""
        per_task = job.resources
        count = min(job.spec.task_count - job.done_count, per_task.fit_count(self._remaining_limit))
        if count <= 0:
            return
        demand = per_task.times(count)
        self._remaining_limit = self._remaining_limit.minus(demand)
        if due_soon or self._deduct_from_guarantee(demand):
            self.urgent = self.urgent.plus(demand)
        else:
            self.other = self.other.plus(demand)

    def _deduct_from_guarantee(self, demand: Resources) -> bool:
        """Deduct a demand from the remaining guarantee if it fits, and return whether it does.

        A demand with accelerators is compared with the guarantee by these alone, any other demand
        by its CPUs.
        """
        remaining = self._remaining_guarantee
        by_gpus = demand.gpus > 0 and demand.gpus <= remaining.gpus
        by_cpus = demand.gpus == 0 and 0 < demand.cpus <= remaining.cpus
        if by_gpus or by_cpus:
            self._remaining_guarantee = remaining.minus(demand)
        return by_gpus or by_cpus


def partition_demands(
    plan: PartitionPlan,
    teams: Iterable[Team],
    jobs: Iterable[JobRecord],
    estimates: Estimates,
    wall_time: Seconds,
) -> dict[str, PartitionDemand]:
    """The demand of each partition, from all open jobs.

    Older jobs have precedence within their team's guarantee and limit.

    Args:
        plan: the plan, which assigns teams to partitions.
        teams: the teams, with their guarantees and limits.
        jobs: all jobs; ended ones are ignored.
        estimates: the estimates of run times.
        wall_time: Unix time, in seconds.
    """
    team_demands = {team.name: _TeamDemand(team) for team in teams}
    for job in sorted((j for j in jobs if j.open), key=lambda j: j.submitted_at):
        team = team_demands.get(job.spec.team)
        if team is not None:
            team.add(job, due_soon=_is_due_soon(job, estimates, wall_time))
    demands = {}
    for name, partition in plan.partitions.items():
        urgent = other = NO_RESOURCES
        for team_name in partition.teams:
            if team_name in team_demands:
                urgent = urgent.plus(team_demands[team_name].urgent)
                other = other.plus(team_demands[team_name].other)
        demands[name] = PartitionDemand(urgent, other)
    return demands


def _is_due_soon(job: JobRecord, estimates: Estimates, wall_time: Seconds) -> bool:
    """Whether a job is due soon; a service always is, and other jobs without deadline never are."""
    if job.spec.deadline_s is None or job.spec.is_service:
        return job.spec.is_service
    return (
        job.submitted_at + job.spec.deadline_s
        < wall_time + DUE_SOON_FACTOR * estimates.run_time(job.spec)
    )
