"""A shard is reassigned if its owner is present but has no contact with the leader.

While controllers refuse one another's connections, an owner can't send its status to the leader.
Its presence record stays, because only the state service is needed for that, so the shard would
keep its owner. Without a status, the leader gives the shard no work and neither provisions nor
deletes machines anywhere, so no job begins until connections work again. `ShardContacts` bounds
this wait.
"""

from __future__ import annotations

from collections.abc import Iterable

import anyio
import pytest

from standins import World, now
from support.scenarios import (
    Script,
    leader,
    owners,
    run_script_scenario,
    submit_jobs,
    unfinished_jobs,
)

CUT_AT_S = 25.0
CUT_S = 240.0
BEGIN_WITHIN_S = 60.0  # the limit for all jobs, also while controllers can't reach one another


def late_jobs(world: World, within_s: float) -> list[str]:
    """The jobs whose first task did not start within a time after they were accepted."""
    return [
        job
        for job in sorted(world.accepted)
        if world.first_start.get(f"{job}/0", 1e9) - world.accepted_at[job] > within_s
    ]


async def cut_off_from_peers(world: World, names: Iterable[str]) -> None:
    """Cut controllers off from their peers only, and submit jobs of every kind meanwhile."""
    await anyio.sleep(CUT_AT_S)
    world.cut_peers.update(names)
    await anyio.sleep(5)
    submit_jobs(world, 4, pieces=3, cpus=4.0, true_s=8.0)
    submit_jobs(world, 3, first=4, pieces=2, cpus=4.0, true_s=8.0, shape="group")
    submit_jobs(world, 2, first=7, pieces=2, accelerators=1.0, builds=["g8"], true_s=8.0)
    submit_jobs(world, 2, first=9, pieces=2, cpus=2.0, true_s=8.0, yard="b")
    await anyio.sleep(CUT_S)
    world.cut_peers.clear()
    world.faults_ended_at = now()


async def all_refuse_one_another(world: World) -> None:
    await cut_off_from_peers(world, world.names)


async def one_owner_is_refused(world: World) -> None:
    await anyio.sleep(5)
    other = next(name for name in owners(world) if name != leader(world))
    await cut_off_from_peers(world, [other])


async def leaders_end_meanwhile(world: World) -> None:
    """Crash the leader twice while all controllers refuse one another's connections.

    The next leader has had no contact with any owner.
    """
    async with anyio.create_task_group() as group:
        group.start_soon(cut_off_from_peers, world, world.names)
        for _ in range(2):
            await anyio.sleep(CUT_AT_S + 10)
            name = leader(world)
            world.crash(name)
            await anyio.sleep(3)
            world.start_controller(name)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("script", "within_s"),
    [
        (all_refuse_one_another, BEGIN_WITHIN_S),
        (one_owner_is_refused, BEGIN_WITHIN_S),
        # Each new leader waits for the owners' statuses again, and the second crash follows 38 s
        # after the first.
        (leaders_end_meanwhile, 2 * BEGIN_WITHIN_S),
    ],
)
def test_jobs_begin_while_controllers_cannot_reach_one_another(
    script: Script, within_s: float, seed: int
) -> None:
    world = run_script_scenario(script, seed, CUT_AT_S + CUT_S + 60.0)
    assert len(world.accepted) == 11
    assert late_jobs(world, within_s) == []
    assert unfinished_jobs(world) == {}
    assert world.violations == []
