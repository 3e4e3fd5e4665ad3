"""A large gang starts although other work keeps its team at the team's limit.

As tasks end, the limit allows a few new tasks at a time, but a gang needs enough of the limit for
all its tasks at once. Unless the limit is reserved for the gang (`TeamQuotas.withhold`), smaller
gangs and array tasks of the team use it up in each planning pass, and the gang starves.
"""

from __future__ import annotations

import anyio
import pytest

from standins import World, now
from support.scenarios import Script, run_script_scenario, submit_jobs, unfinished_jobs

BEGIN_WITHIN_S = 240.0  # the limit for the largest jobs of a class
STREAM_S = 400.0  # how long small jobs are submitted that use up the team's limit


async def submit_stream(world: World, shape: str) -> None:
    """Submit small jobs of one team, more than its limit of 24 CPUs allows at the same time."""
    end = now() + STREAM_S
    first = 100
    while now() < end:
        submit_jobs(world, 2, first=first, pieces=2, cpus=4.0, crew="blue", shape=shape, true_s=9.0)
        first += 2
        await anyio.sleep(5.0)


def assert_the_gang_begins(stream: Script, seed: int, after_s: float, length_s: float) -> None:
    """Run a stream of small jobs and, `after_s` later, submit a gang of the size of the limit."""

    async def script(world: World) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(stream, world)
            await anyio.sleep(after_s)
            submit_jobs(world, 1, pieces=6, cpus=4.0, crew="blue", shape="group", true_s=8.0)
        world.faults_ended_at = now()

    world = run_script_scenario(script, seed, length_s)
    started_at = world.first_start.get("run-000000/0", float("inf"))
    assert started_at - world.accepted_at["run-000000"] < BEGIN_WITHIN_S
    assert unfinished_jobs(world) == {}
    assert world.violations == []


@pytest.mark.parametrize("shape", ["sweep", "group"])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_gang_of_the_size_of_its_teams_limit_begins_beside_a_stream_of_small_work(
    shape: str, seed: int
) -> None:
    async def submit_small_jobs(world: World) -> None:
        await submit_stream(world, shape)

    assert_the_gang_begins(submit_small_jobs, seed, after_s=40, length_s=STREAM_S + 320.0)


# Tasks of this length require that the limit is reserved for more than a minute. They all end
# within the 90 s for which other jobs of the team may wait while machines are free.
LONG_TASK_S = 75.0


async def submit_stream_of_long_tasks(world: World) -> None:
    """Submit jobs of one team, a fifth more than its limit of 24 CPUs allows at the same time."""
    end = now() + STREAM_S
    first = 100
    while now() < end:
        fields = {"crew": "blue", "true_s": LONG_TASK_S, "expected_s": LONG_TASK_S}
        submit_jobs(world, 2, first=first, pieces=2, cpus=4.0, **fields)
        first += 2
        await anyio.sleep(LONG_TASK_S * 2 / 3.6)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_gang_of_the_size_of_its_teams_limit_begins_beside_tasks_of_more_than_a_minute(
    seed: int,
) -> None:
    """The limit is reserved for longer than tasks of 75 s run.

    If it is reserved for only 60 s at a time, tasks that started just before are still running when
    the reservation ends. The unused limit then goes to the next small tasks, and the gang begins
    only when the stream ends.
    """
    assert_the_gang_begins(
        submit_stream_of_long_tasks, seed, after_s=40 + LONG_TASK_S, length_s=STREAM_S + 600.0
    )
