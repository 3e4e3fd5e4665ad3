"""A leader that has lost contact with all peers and all workers steps down (`LeaderIsolation`).

Without the step-down, such a leader keeps its key, because only the state service is needed for
that. It assigns no shard to a controller that it has no contact with, and after 30 s it assigns
the other shards to itself. No worker reaches it, so it terminates their machines as unreachable and
provisions machines that never report. Of 13 jobs submitted meanwhile, between 1 and all then begin
only after the connections are restored.
"""

from __future__ import annotations

import anyio
import pytest

from standins import World, now
from support.scenarios import leader, run_script_scenario, submit_jobs, unfinished_jobs

CUT_AT_S = 25.0
CUT_S = 300.0
BEGIN_WITHIN_S = 240.0  # the limit for the largest jobs of a class, applied to all jobs here


def submit_all_kinds(world: World, first: int) -> None:
    """Submit 13 jobs: arrays with and without accelerators, arrays bound to a zone, and gangs."""
    submit_jobs(world, 4, first=first, pieces=3, cpus=4.0, true_s=8.0)
    submit_jobs(world, 3, first=first + 4, pieces=2, cpus=4.0, true_s=8.0, shape="group")
    submit_jobs(world, 2, first=first + 7, pieces=2, accelerators=1.0, builds=["g8"], true_s=8.0)
    submit_jobs(world, 2, first=first + 9, pieces=2, cpus=2.0, true_s=8.0, yard="a")
    submit_jobs(world, 2, first=first + 11, pieces=2, cpus=2.0, true_s=8.0, yard="b")


def late_jobs(world: World) -> dict[str, float]:
    """The jobs that began later than `BEGIN_WITHIN_S`, with their waiting times in seconds."""
    waits = {
        job: world.first_start.get(f"{job}/0", float("inf")) - world.accepted_at[job]
        for job in sorted(world.accepted)
    }
    return {job: round(wait, 1) for job, wait in waits.items() if wait > BEGIN_WITHIN_S}


async def isolate_leader(world: World) -> None:
    """Cut the leader off from its peers and all workers, but not from the state service."""
    submit_all_kinds(world, 0)
    await anyio.sleep(CUT_AT_S)
    isolated_leader = leader(world)
    world.cut_peers.add(isolated_leader)
    world.cut_workers.add(isolated_leader)
    await anyio.sleep(5)
    submit_all_kinds(world, 20)
    await anyio.sleep(CUT_S - 5)
    world.cut_peers.clear()
    world.cut_workers.clear()
    world.faults_ended_at = now()


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("count", [2, 3, 4], ids=lambda count: f"{count} controllers")
def test_work_begins_while_the_leader_is_isolated(count: int, seed: int) -> None:
    world = run_script_scenario(isolate_leader, seed, CUT_AT_S + CUT_S + 200.0, count)
    assert len(world.accepted) == 26
    assert late_jobs(world) == {}
    assert unfinished_jobs(world) == {}
    assert world.violations == []
