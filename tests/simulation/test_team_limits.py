"""A large gang whose team is at its limit starts all the same.

Seen: the largest jobs of a class went unserved while smaller ones of the same team ran.

How it came about: a team at its limit gets room back a few tasks at a time, as its work ends. A
gang needs room for all its tasks at once. In each pass of the leader the gang was passed over, and
smaller gangs and array tasks of its team took what there was; so there never was enough.

Cause: starvation. Slots may be reserved for a gang that waits, but nothing kept its team's limit.

Proof: without `TeamQuotas.withhold` the tests below fail, and with it they pass.
"""

from __future__ import annotations

import anyio
import pytest

from standins import World, now
from support.scenarios import Script, run_script_scenario, submit_jobs, unfinished_jobs

BEGIN_WITHIN_S = 240.0  # of the largest jobs
STREAM_S = 400.0  # for so long small work of the same team comes, as much as its limit allows


async def stream(world: World, shape: str) -> None:
    """Small work of one team, more than its limit of 24 CPUs lets run at once."""
    end = now() + STREAM_S
    first = 100
    while now() < end:
        submit_jobs(world, 2, first=first, pieces=2, cpus=4.0, crew="blue", shape=shape, true_s=9.0)
        first += 2
        await anyio.sleep(5.0)


def assert_the_gang_begins(stream: Script, seed: int, after_s: float, length_s: float) -> None:
    """Play a stream of small work and, some time after it began, a gang of the limit's size."""

    async def script(world: World) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(stream, world)
            await anyio.sleep(after_s)
            submit_jobs(world, 1, pieces=6, cpus=4.0, crew="blue", shape="group", true_s=8.0)
        world.faults_ended_at = now()

    world = run_script_scenario(script, seed, length_s)
    begun = world.first_start.get("run-000000/0", float("inf"))
    assert begun - world.accepted_at["run-000000"] < BEGIN_WITHIN_S
    assert unfinished_jobs(world) == {}
    assert world.violations == []


@pytest.mark.parametrize("shape", ["sweep", "group"])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_gang_of_the_size_of_its_teams_limit_begins_beside_a_stream_of_small_work(
    shape: str, seed: int
) -> None:
    async def small_work(world: World) -> None:
        await stream(world, shape)

    assert_the_gang_begins(small_work, seed, after_s=40, length_s=STREAM_S + 320.0)


# Tasks for which the limit has to be withheld for longer than a minute, and that all end within the
# 90 s for which other work of the team may wait beside room.
LONG_TASK_S = 75.0


async def stream_of_long_tasks(world: World) -> None:
    """Small work of one team, a fifth more than its limit of 24 CPUs lets run at once."""
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
    """Seen: with tasks of 75 s such a gang began when the stream of small work ended.

    How it came about: the limit was withheld for 60 s at a time. Tasks that started last before
    that ran on beyond it, and then what was free of the limit went to the next small tasks.
    """
    assert_the_gang_begins(
        stream_of_long_tasks, seed, after_s=40 + LONG_TASK_S, length_s=STREAM_S + 600.0
    )
