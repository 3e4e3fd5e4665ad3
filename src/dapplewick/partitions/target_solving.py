"""Runs the solver, which computes targets from the plan, the demand and the machines."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import anyio.to_thread

from dapplewick.partitions.demand import partition_demands
from dapplewick.partitions.host import PartitionHost
from dapplewick.partitions.index import MachineIndex
from dapplewick.partitions.plan import DAY_MINUTES
from dapplewick.partitions.plan_in_force import PlanInForce, RateLimitedErrorLog
from dapplewick.partitions.solver import Problem, Targets, solve
from dapplewick.partitions.targets import TargetsInForce, current_counts, supply
from dapplewick.storage.formats import PARTITIONS_FORMAT

log = logging.getLogger(__name__)

Solver = Callable[[Problem], Awaitable[Targets | None]]


async def solve_in_thread(problem: Problem) -> Targets | None:
    """Run the solver in a thread, so that it does not delay the handling of heartbeats."""
    return await anyio.to_thread.run_sync(solve, problem)


class TargetUpdater:
    """Solves the plan in force, and adopts the solution as the new targets."""

    def __init__(
        self,
        host: PartitionHost,
        index: MachineIndex,
        plan_in_force: PlanInForce,
        error_log: RateLimitedErrorLog,
        solver: Solver,
    ) -> None:
        self._host = host
        self._index = index
        self._plan_in_force = plan_in_force
        self._error_log = error_log
        self._solver = solver

    async def run_once(self, targets: TargetsInForce) -> None:
        """Solve the plan, adopt the solution, and wake the leader if the targets have changed.

        If the solver fails, the error is logged and the targets in force stay.
        """
        cache = self._host.cache
        if cache.format < PARTITIONS_FORMAT or not cache.types:
            return
        name_problem = self._plan_in_force.find_unknown_name(self._plan_in_force.plan)
        if name_problem:
            self._error_log.log(self._host.now(), "plan_names_unknown", name_problem)
            return
        problem = self._problem()
        try:
            solution = await self._solver(problem)
        except Exception as err:  # noqa: BLE001 - the solver library may raise any exception
            self._error_log.log(self._host.now(), "solver_failed", repr(err))
            solution = None
        if targets.adopt(problem, solution):
            log.info(
                "event=targets_adopted targets=%s",
                ",".join(f"{c.zone}/{c.partition}/{c.type}:{n}" for c, n in targets.items()),
            )
            self._host.wake_leader()

    def _problem(self) -> Problem:
        """The solver's input at the present time."""
        host, plan = self._host, self._plan_in_force.plan
        self._index.refresh()
        wall_time = host.wall_time()
        jobs = [job for _, job in host.cache.iter_live_jobs()]
        demand = partition_demands(
            plan, host.settings.deployment.teams, jobs, host.estimates, wall_time
        )
        minute = int(wall_time // 60) % DAY_MINUTES
        return Problem(
            plan, minute, supply(host.cache, self._index), demand, current_counts(self._index)
        )
