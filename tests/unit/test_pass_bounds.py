"""The cost of planning and starting work whose tasks are of any size and number."""

from __future__ import annotations

import functools
import math

import pytest
from hypothesis import Phase, example, given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from dapplewick.core.shard.joining import MAX_INSPECTED_MACHINES
from dapplewick.core.shard.work_stealing import MAX_STOLEN_TASKS
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.protocol.users import MAX_TASKS
from dapplewick.storage.job_records import JobRecord
from dapplewick.storage.keys import JOBS
from dapplewick.types import JobId, MachineId
from support.shard_bench import Bench, busy_shard, calls, leader_of, spec, starts

MACHINES = 40
# A pass may make this many calls for each machine, and for each task of the job.
CALLS_PER_MACHINE, CALLS_PER_TASK = 400, 25
GANG_THAT_REQUIRES_NOTHING = replace(spec(2, 0.0, 150.0, is_gang=True), ram_gb=0.0)


def drawn_job(cpus: float, ram_gb: float, task_count: int, priority: int, shape: str) -> JobSpec:
    return replace(
        spec(task_count, cpus, 30.0, is_gang=shape == "gang"),
        ram_gb=ram_gb,
        priority=priority,
        is_service=shape == "service",
    )


# What users may ask for: nothing, less than any tolerance, small, usual, and all of a machine.
AMOUNTS = st.one_of(
    st.sampled_from([0.0, 5e-324, 1e-9, 1e-6, 1.0, 4.0]),
    st.floats(0.0, 4.0, allow_subnormal=False),
    st.floats(0.0, 0.01, allow_subnormal=False),
)
TASK_COUNTS = st.one_of(st.integers(1, 50), st.sampled_from([1000, MAX_TASKS]))
JOBS_OF_ANY_SIZE = st.builds(
    drawn_job,
    AMOUNTS,
    AMOUNTS,
    TASK_COUNTS,
    st.integers(0, 3),
    st.sampled_from(["array", "gang", "service"]),
)
ONLY_DRAW = settings(deadline=None, derandomize=True, phases=(Phase.explicit, Phase.generate))


def shard_with(job: JobSpec, full: bool = True) -> Bench:
    """A shard whose machines are all busy or all idle, and a job that is not planned yet."""
    bench = busy_shard(MACHINES) if full else Bench(MACHINES)
    if not full:
        for name in bench.names:
            bench.heartbeat(name, 2.5)
        bench.scheduler.tick(2.6)
    bench.put(JOBS + "run-new", JobRecord(job, 3.0).dump())
    return bench


def plan(bench: Bench, limit: float) -> None:
    """Run a pass of a new leader with a limit of calls, and apply what it wrote of the job."""
    leader = leader_of(bench, 3.0)
    leader.receive_shard_status(3.0, bench.scheduler.status(3.0))
    changes = []
    calls(lambda: changes.extend(leader.plan(3.0, 3.0)), limit)
    for change in changes:
        if "run-new" in change.key and change.value is not None:
            bench.put(change.key, change.value)
    bench.scheduler.job_changed(3.0, JobId("run-new"))


@pytest.mark.parametrize("priority", [1, 2])
def test_a_gang_that_requires_nothing_starts_while_all_machines_are_full(priority: int) -> None:
    """Guards against a pass without an end, which hung one leader after the other."""
    bench = shard_with(replace(GANG_THAT_REQUIRES_NOTHING, priority=priority))
    plan(bench, MACHINES * CALLS_PER_MACHINE)
    assert bench.cache.jobs[JobId("run-new")].gang is not None
    started = set()
    for at in range(4, 40):
        for name in bench.names:
            running = {task for task in bench.on[name] if task.job != "run-new"}
            started |= set(starts(bench.heartbeat(name, float(at), running)))
        bench.scheduler.tick(float(at))
    assert {task.task_index for task in started if task.job == "run-new"} == {0, 1}


@given(JOBS_OF_ANY_SIZE)
@settings(ONLY_DRAW, max_examples=60)
def test_a_pass_has_a_bound_for_tasks_of_any_size(job: JobSpec) -> None:
    """Guards against loops over slots: their number follows from amounts that users choose."""
    plan(shard_with(job), MACHINES * CALLS_PER_MACHINE + job.task_count * CALLS_PER_TASK)


# Calls that a tick or a heartbeat may make for each machine or task that it may inspect.
CALLS_PER_STEP = 30


@given(JOBS_OF_ANY_SIZE, st.booleans())
@example(drawn_job(1e-7, 0.0, MAX_TASKS, 2, "gang"), True)
@example(drawn_job(0.0, 0.0, MAX_TASKS, 1, "array"), False)
@example(drawn_job(0.0, 0.0, MAX_TASKS, 1, "service"), False)
@settings(ONLY_DRAW, max_examples=40)
def test_a_tick_and_a_heartbeat_have_a_bound_for_tasks_of_any_size(
    job: JobSpec, full: bool
) -> None:
    """Guards against costs of tasks times tasks in a shard, which no machine was answered for."""
    bench = shard_with(job, full)
    plan(bench, math.inf)
    limit = CALLS_PER_STEP * (MAX_INSPECTED_MACHINES + job.task_count)
    calls(lambda: bench.scheduler.tick(3.5), limit)
    limit = CALLS_PER_STEP * (MACHINES * MAX_STOLEN_TASKS + job.task_count)
    gang = bench.cache.jobs[JobId("run-new")].gang
    names = [MachineId(machine) for _, machine in gang.placements] if gang else bench.names
    for name in list(dict.fromkeys(names))[:3]:
        calls(functools.partial(bench.heartbeat, name, 4.0), limit)
