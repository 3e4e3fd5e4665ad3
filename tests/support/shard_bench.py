"""A single shard for tests: its scheduler, its records, and workers that execute commands."""

from __future__ import annotations

import math
import sys
from collections.abc import Callable, Set
from typing import Any

import standins
from dapplewick.core.estimates import Estimates
from dapplewick.core.leader.planner import LeaderPlanner
from dapplewick.core.shard.scheduler import ShardScheduler
from dapplewick.protocol import peers
from dapplewick.protocol.cloud import MachineType, encode_machine_types
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.protocol.peers import JobStatus, MachineStatus, ShardStatus
from dapplewick.protocol.workers import Command, Heartbeat, TaskStatus
from dapplewick.storage.job_records import GangPlacement, JobRecord
from dapplewick.storage.keys import JOBS, MACHINES, TYPES
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.tuning import Tuning
from dapplewick.types import (
    Attempt,
    FencingToken,
    JobId,
    MachineId,
    Seconds,
    ShardName,
    TaskRef,
    TypeName,
    zone_of,
)

TOKEN = FencingToken(50)
ZONE = ShardName("a")
IN_ZONE = zone_of(ZONE)
KIND = MachineType(name="k", cpus=4.0, gpus=0.0, ram_gb=64.0, zones=["a"])


def spec(
    task_count: int,
    cpus: float,
    estimated_run_s: float,
    is_gang: bool = False,
    job_class: str = "x",
) -> JobSpec:
    return JobSpec(
        job_class=job_class,
        team="red",
        is_gang=is_gang,
        priority=1,
        task_count=task_count,
        cpus=cpus,
        gpus=0.0,
        ram_gb=1.0,
        image="img",
        image_gb=1.0,
        estimated_run_s=estimated_run_s,
    )


def group(name: str) -> dict[str, object]:
    """The record of a group with one running machine."""
    return {"type": "k", "zone": "a", "spot": False, "machines": {name: "u"}}


def machine_status(
    free: tuple[float, float, float], ends: list[Any] | None = None
) -> dict[str, Any]:
    """The encoded status of a machine that is usable and in contact."""
    return {
        "free": free,
        "ends": ends or [],
        "queued": 0,
        "usable": True,
        "heard": True,
        "leaving": False,
        "faulty": False,
        "images": [],
    }


def shard_status(machines: dict[str, Any], number: int = 1, at: Seconds = 1.0) -> ShardStatus:
    """The first status of shard a with these machines, decoded as the leader receives it."""
    message = {
        "zone": "a",
        "token": 2,
        "number": number,
        "base": 0,
        "at": at,
        "seen": 500,
        "machines": machines,
        "jobs": {},
        "gangs": {},
        "silent": {},
        "idle": {},
        "heard_ago": 0.0,
        "clear": [],
        "estimates": {},
        "unheard": 0,
    }
    return peers.decode(message, ShardStatus)


class Bench:
    """A shard of machines with four CPUs, with its records and workers."""

    def __init__(self, machines: int, threshold: Seconds = 0.0) -> None:
        self.cache = WatchCache()
        self.version = 100
        self.put(TYPES, encode_machine_types([KIND]))
        self.names = [MachineId(f"vm-{i}") for i in range(machines)]
        for name in self.names:
            self.put(MACHINES + name, group(name))
        self.scheduler = ShardScheduler(
            ZONE, TOKEN, self.cache, Estimates(), 0.0, tuning=Tuning(threshold_s=threshold), seed=1
        )
        self.sequence = 0
        self.on: dict[MachineId, dict[TaskRef, Attempt]] = {n: {} for n in self.names}

    def put(self, key: str, value: object) -> None:
        self.version += 1
        self.cache.put(key, value, self.version)

    def assign(self, job: str, asked: JobSpec, at: Seconds) -> None:
        record = JobRecord(asked, at)
        record.assignments = {"a": set(range(asked.task_count))}
        self.put(JOBS + job, record.dump())
        self.scheduler.job_changed(at, JobId(job))

    def reservation(
        self, job: str, asked: JobSpec, placements: list[MachineId], at: Seconds
    ) -> None:
        record = JobRecord(asked, at)
        record.gang = GangPlacement(7, [("a", m) for m in placements])
        self.put(JOBS + job, record.dump())
        self.scheduler.job_changed(at, JobId(job))

    def gang_state(self, at: Seconds, job: str) -> str:
        """The state of a gang in the status that the leader receives."""
        status = self.scheduler.status(at).gangs[JobId(job)]
        assert status is not None
        return status.state

    def job_status(self, at: Seconds, job: str) -> JobStatus:
        """The status of a job's array tasks that the leader receives."""
        status = self.scheduler.status(at).jobs[JobId(job)]
        assert status is not None
        return status

    def machine_status(self, at: Seconds, name: MachineId) -> MachineStatus:
        """The status of a machine that the leader receives."""
        status = self.scheduler.status(at).machines[name]
        assert status is not None
        return status

    def heartbeat(
        self, name: MachineId, at: Seconds, done: Set[TaskRef] = frozenset()
    ) -> list[Command]:
        self.sequence += 1
        tasks = [
            TaskStatus(
                task,
                attempt,
                "exited" if task in done else "running",
                "done" if task in done else None,
                False,
            )
            for task, attempt in self.on[name].items()
        ]
        heartbeat = Heartbeat(
            name, TypeName("k"), IN_ZONE, False, 1, self.sequence, TOKEN, None, "", tasks
        )
        commands = self.scheduler.handle_heartbeat(at, heartbeat, True)
        for task in done:
            self.on[name].pop(task, None)
        for order in commands:
            if order.kind == "start":
                self.on[name][order.task] = order.attempt
        return commands

    def store(self, done: set[TaskRef], at: Seconds) -> None:
        """Store results as the leader does, which ends the assignments of these tasks."""
        for job in {t.job for t in done}:
            record = JobRecord.load(self.cache.jobs[job].dump(), 0)
            numbers = {int(t.task_index) for t in done if t.job == job}
            record.done |= numbers
            record.assignments = {"a": record.assigned("a") - numbers}
            self.put(JOBS + job, record.dump())
            self.scheduler.job_changed(at, job)


def starts(commands: list[Command]) -> list[TaskRef]:
    return [o.task for o in commands if o.kind == "start"]


class TooManyCallsError(AssertionError):
    """Some work made more function calls than its bound; it may never have ended."""


def calls(work: Callable[[], Any], limit: float = math.inf) -> int:
    """Count the function calls that some work makes.

    Raises:
        TooManyCallsError: The work made more calls than the limit, and was stopped.
    """
    count = 0

    def step(_frame: Any, event: str, _argument: Any) -> None:
        nonlocal count
        count += event in ("call", "c_call")
        if count > limit:
            sys.setprofile(None)
            raise TooManyCallsError(f"more than {limit} calls")

    sys.setprofile(step)
    try:
        work()
    finally:
        sys.setprofile(None)
    return count


def busy_shard(machines: int) -> Bench:
    """A shard with all machines full, queued array tasks and gangs with reserved slots."""
    bench = Bench(machines)
    for name in bench.names:
        bench.heartbeat(name, 0.0)
    for n in range(machines // 10):
        bench.assign(f"run-{n}", spec(50, 1.0, 30.0), 0.0)
    for _ in range(2):
        for name in bench.names:
            bench.heartbeat(name, 1.0)
        bench.scheduler.tick(1.0)
    for n in range(machines // 20):
        placements = bench.names[n * 10 : n * 10 + 5]
        bench.reservation(f"run-g{n}", spec(5, 4.0, 30.0, is_gang=True), placements, 1.5)
    bench.scheduler.tick(2.5)
    return bench


def leader_of(bench: Bench, now: float) -> LeaderPlanner:
    bench.cache.put("dw/p/a", {"owner": "n0", "boot": "x"}, int(bench.scheduler.token))
    return LeaderPlanner(bench.cache, standins.settings("n0"), Estimates(), FencingToken(9), now)
