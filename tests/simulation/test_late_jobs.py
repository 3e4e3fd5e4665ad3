"""A job that can no longer meet any of its objectives still begins within four minutes.

Arrays are served in the order of their due times. A job that has missed its last objective has no
due time and comes after all arrays that can still be on time. During overload, such arrays are
always present, so without the first tasks of overdue jobs (`ArrayOrder.overdue`) the late job
starves. In simulations with more accelerator work than accelerators, such jobs waited 11 to 15
minutes without a task, while jobs of their class and team that were submitted later completed.
"""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from standins import World, now
from support.scenarios import run_script_scenario, submit_jobs, unfinished_jobs

BEGIN_WITHIN_S = 240.0  # the limit for the largest jobs of a class
STREAM_S = 420.0  # how long jobs that can be on time are submitted at more than the capacity

# The limits of the teams are five accelerators for red and 24 CPUs for blue.
ACCELERATORS = {"crew": "red", "accelerators": 1.0, "builds": ["g8"], "pieces": 3}
CPUS = {"crew": "blue", "cpus": 4.0, "pieces": 4}


async def submit_stream(world: World, work: dict[str, Any]) -> None:
    """Submit jobs that can be on time, a fifth to a third more than the team's limit allows."""
    end = now() + STREAM_S
    first = 100
    while now() < end:
        submit_jobs(world, 1, first=first, due_s=75.0, true_s=9.0, expected_s=9.0, **work)
        first += 1
        await anyio.sleep(4.5)


@pytest.mark.parametrize("work", [ACCELERATORS, CPUS], ids=["accelerators", "cpus"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_late_jobs_begin_during_a_stream_of_jobs_that_can_be_on_time(
    work: dict[str, Any], seed: int
) -> None:
    async def script(world: World) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(submit_stream, world, work)
            await anyio.sleep(40)
            late = work | {"pieces": 9, "due_s": 5.0, "true_s": 9.0, "expected_s": 9.0}
            submit_jobs(world, 4, **late)
        world.faults_ended_at = now()

    world = run_script_scenario(script, seed, STREAM_S + 400.0)
    waits = {
        job: min(world.first_start.get(f"{job}/{i}", float("inf")) for i in range(9))
        - world.accepted_at[job]
        for job in (f"run-{n:06d}" for n in range(4))
    }
    assert {job: wait for job, wait in waits.items() if wait > BEGIN_WITHIN_S} == {}
    assert unfinished_jobs(world) == {}
    assert world.violations == []
