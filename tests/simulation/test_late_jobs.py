"""A job that can meet none of its objectives any more begins all the same, within four minutes.

Seen: on small quiet days with more accelerator work than accelerators, half of a class's largest
jobs did not begin within four minutes. Some of that class waited 11 to 15 minutes without a task,
while jobs submitted minutes after them began and ended.

How it came about: arrays are served by when they should be complete. A job that has missed its
last objective is due at infinity, behind all that can still be in time. While more work comes than
there is room for there always is such work, so the late job gets no slot at all.

Cause: starvation in the order of arrays (`ArrayOrder`). Nothing bounded the wait of late work.

Proof: in the leader's log such a job waits in each report of `work_waiting` for 690 s, and jobs of
its class and team that came later are done meanwhile. Without the first tasks of overdue jobs
(`ArrayOrder.overdue`) the tests below fail, and with them they pass.
"""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from standins import World, now
from support.scenarios import run_script_scenario, submit_jobs, unfinished_jobs

BEGIN_WITHIN_S = 240.0  # of the largest jobs
STREAM_S = 420.0  # for so long work comes that can still be in time, more than there is room for

# Up to the limits of the teams: five accelerators of one, 24 CPUs of the other.
ACCELERATORS = {"crew": "red", "accelerators": 1.0, "builds": ["g8"], "pieces": 3}
CPUS = {"crew": "blue", "cpus": 4.0, "pieces": 4}


async def stream(world: World, work: dict[str, Any]) -> None:
    """Jobs that can be in time, a fifth to a third more than may run at once."""
    end = now() + STREAM_S
    first = 100
    while now() < end:
        submit_jobs(world, 1, first=first, due_s=75.0, true_s=9.0, expected_s=9.0, **work)
        first += 1
        await anyio.sleep(4.5)


@pytest.mark.parametrize("work", [ACCELERATORS, CPUS], ids=["accelerators", "cpus"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_late_jobs_begin_beside_a_stream_of_work_that_can_be_in_time(
    work: dict[str, Any], seed: int
) -> None:
    async def script(world: World) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(stream, world, work)
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
