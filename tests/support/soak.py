"""Runs one soak test: a random schedule of faults on real controllers, and its checks."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any, NamedTuple

import anyio

from dapplewick import client
from dapplewick.core.leader.shard_contacts import OWNER_CONTACT_TIMEOUT_S
from dapplewick.errors import DapplewickError
from standins import WORKERS, now
from support.scenario_checks import final_check_failures
from support.soak_faults import FaultInjector
from support.soak_schedule import draw_schedule, end_of
from support.soak_users import SERVICE_JOB, SoakUsers, draw_jobs, fleet_job, service_job
from support.soak_world import SoakWorld

# Maximum time from the last fault until tasks start again: a presence lease of 5 s, the time until
# a shard without contact is moved, a worker lease until unreachable machines are deleted, 10 s to
# boot new machines, and 20 s for retries of calls, gangs and moves after their back-off.
RECOVERY_S = 5.0 + OWNER_CONTACT_TIMEOUT_S + float(WORKERS["lease_s"]) + 10.0 + 20.0
SETTLE_S = 1.0  # from the end of a fault until delayed messages are sent
WORK_TIME_FACTOR = 2.0  # tasks wait for heartbeats and images, and gangs for one another
TASK_OVERHEAD_S = 4.0


class SoakResult(NamedTuple):
    """The result of a soak run.

    Attributes:
        seed: seed of the schedule and the jobs.
        violations: the violations found; empty if the run passed.
        jobs: number of accepted jobs.
        max_machines: maximum number of machines at a time.
        finished_after_s: seconds from the last fault until all jobs had finished.
    """

    seed: int
    violations: list[str]
    jobs: int
    max_machines: int
    finished_after_s: float

    def line(self) -> str:
        """The result as one line of text."""
        verdict = "BROKEN" if self.violations else "ok"
        return (
            f"seed {self.seed}: {verdict}, {self.jobs} jobs, at most {self.max_machines} "
            f"machines, all over {self.finished_after_s:.0f} s after the last fault"
        )


class SoakOptions(NamedTuple):
    """The size of a run, and the program of its controllers."""

    machines: int = 0  # 0, or the size of an additional array that fills as many
    jobs: int = 40
    program: tuple[str, ...] = ()  # command in place of run.py


def remaining_work_s(world: SoakWorld) -> float:
    """Estimate how long the remaining work takes at the teams' limits."""
    longest_s = 0.0
    for team in world.teams:
        cpu_s = gpu_s = 0.0
        for job_id in world.accepted:
            body = world.jobs[job_id]
            if body["crew"] != team["name"] or body["shape"] == "daemon":
                continue
            unfinished = sum(
                f"{job_id}/{n}" not in world.completed_tasks for n in range(body["pieces"])
            )
            seconds = unfinished * (body["true_s"] + TASK_OVERHEAD_S)
            cpu_s += body["cpus"] * seconds
            gpu_s += body["accelerators"] * seconds
        for work_s, limit in ((cpu_s, team["cpus_max"]), (gpu_s, team["gpus_max"])):
            if limit > 0:
                longest_s = max(longest_s, work_s / limit)
    return longest_s


def unfinished_job_names(world: SoakWorld) -> list[str]:
    """Describe the accepted jobs that haven't finished, or whose replicas don't all run."""
    running = {name for _, name in world.on_machines()}
    unfinished = []
    for job_id in sorted(world.accepted):
        body = world.jobs[job_id]
        if body["shape"] == "daemon":
            finished = all(f"{job_id}/{n}" in running for n in range(body["pieces"]))
        else:
            finished = world.reported_stages.get(job_id) in ("done", "withdrawn")
        if not finished:
            unfinished.append(
                f"{job_id} ({body['bundle']}, {body['crew']}, {body['pieces']} tasks)"
            )
    return unfinished


class SoakRun:
    """Runs one seed; settings and logs are written to a folder."""

    def __init__(self, folder: Path, seed: int, options: SoakOptions) -> None:
        self.schedule = draw_schedule(seed)
        self._seed = seed
        self._options = options
        self._world = SoakWorld(folder, seed)
        if options.program:
            self._world.program = list(options.program)
        self._most_machines = 0
        self._finished_after_s = math.inf

    async def run(self) -> SoakResult:
        """Run to completion; all processes of the run have ended when it returns."""
        await self._world.run(self._script)
        return SoakResult(
            self._seed,
            self._violations(),
            len(self._world.accepted),
            self._most_machines,
            self._finished_after_s,
        )

    async def _script(self) -> None:
        world, users = self._world, SoakUsers(self._world, self._seed)
        jobs = draw_jobs(self._seed, self._options.jobs, world)
        jobs.insert(2, service_job(world))
        if self._options.machines:
            jobs.insert(0, fleet_job(world, self._options.machines))
        async with anyio.create_task_group() as group:
            group.start_soon(users.probe)
            group.start_soon(self._count_machines)
            async with anyio.create_task_group() as fault_group:
                group.start_soon(FaultInjector(world).run, self.schedule)
                fault_group.start_soon(anyio.sleep, end_of(self.schedule) + SETTLE_S)
                fault_group.start_soon(users.submit, jobs, end_of(self.schedule))
            world.faults_ended_at = now()
            await self._wait_until_finished()
            await self._collect_invariant_violations()
            group.cancel_scope.cancel()

    async def _count_machines(self) -> None:
        while True:
            self._most_machines = max(self._most_machines, len(self._world.workers))
            await anyio.sleep(1.0)

    async def _wait_until_finished(self) -> None:
        """Wait until all jobs have finished; add violations for those that exceed the limit."""
        world = self._world
        assert world.faults_ended_at is not None
        limit_s = RECOVERY_S + WORK_TIME_FACTOR * remaining_work_s(world)
        expected = self._options.jobs + 1 + bool(self._options.machines)
        while now() - world.faults_ended_at < limit_s:
            await anyio.sleep(1.0)
            if len(world.accepted) == expected and not unfinished_job_names(world):
                self._finished_after_s = now() - world.faults_ended_at
                return
        if len(world.accepted) < expected:
            world.violations.append(f"{expected - len(world.accepted)} jobs were not accepted")
        world.violations += [
            f"unserved after {limit_s:.0f} s: {job}" for job in unfinished_job_names(world)
        ]

    async def _collect_invariant_violations(self) -> None:
        """Fetch the invariant violations that each controller counted."""
        for name, port in self._world.peer_ports.items():
            try:
                status = await client.status(f"127.0.0.1:{port}")
            except (DapplewickError, OSError, TimeoutError) as err:
                self._world.violations.append(f"no status of {name}: {err!r}")
                continue
            for invariant, count in status.get("violations", {}).items():
                self._world.violations.append(f"{name} violated {invariant} {count} times")

    def _violations(self) -> list[str]:
        world = self._world
        found = [*dict.fromkeys(world.violations)]
        final_failures = [v for v in final_check_failures(world) if SERVICE_JOB not in v]
        return [*found, *final_failures, *self._logged_errors()]

    def _logged_errors(self) -> list[str]:
        """ERROR lines in the controllers' logs, each of which is a defect."""
        return [
            f"{name} logged {line[:300]}"
            for name in self._world.names
            for line in (self._world.folder / f"{name}.log").read_text().splitlines()
            if line.startswith("ERROR ")
        ]


def run_seed(folder: Path, seed: int, options: SoakOptions) -> SoakResult:
    """Run one seed; the caller removes the folder."""
    run = SoakRun(folder, seed, options)
    result: Any = anyio.run(run.run)
    assert isinstance(result, SoakResult)
    return result
