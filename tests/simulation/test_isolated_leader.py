"""A leader that hears neither its peers nor any worker gives way to a controller that does.

Seen: in going through what the leader acts on, and then in these scenarios: work that comes while a
leader is cut off from its peers and from the workers, though not from the state service, begins in
the first half minute or, from 1 of 13 jobs to all of them, only when the cut is over.

How it came about: such a leader keeps its key, since that needs the state service alone. It moves
no shard to a controller that it does not hear, and so keeps its own, whose workers do not reach it.
After 30 s it takes over all other shards as unheard, and can serve none of them either.

Cause: leadership rested on reaching the state service, though a leader that hears nobody can
neither plan nor serve.

Proof: in the log `shard_assigned` names the cut leader with `reason=unheard` for the other shards,
`machine_terminating reason=silent` follows for each of their machines, and then machines that never
come up. The tests fail without the step down of an isolated leader (`LeaderIsolation`), and pass
with it.
"""

from __future__ import annotations

import anyio
import pytest

from standins import World, now
from support.scenarios import leader, run_script_scenario, submit_jobs, unfinished_jobs

CUT_AT_S = 25.0
CUT_S = 300.0
BEGIN_WITHIN_S = 240.0  # of a class's largest jobs, and so of every job here


def submit_all_kinds(world: World, first: int) -> None:
    """Jobs of every kind: arrays with and without accelerators, bound to a zone, and gangs."""
    submit_jobs(world, 4, first=first, pieces=3, cpus=4.0, true_s=8.0)
    submit_jobs(world, 3, first=first + 4, pieces=2, cpus=4.0, true_s=8.0, shape="group")
    submit_jobs(world, 2, first=first + 7, pieces=2, accelerators=1.0, builds=["g8"], true_s=8.0)
    submit_jobs(world, 2, first=first + 9, pieces=2, cpus=2.0, true_s=8.0, yard="a")
    submit_jobs(world, 2, first=first + 11, pieces=2, cpus=2.0, true_s=8.0, yard="b")


def late_jobs(world: World) -> dict[str, float]:
    """The jobs that did not begin in time, and how long they waited."""
    waits = {
        job: world.first_start.get(f"{job}/0", float("inf")) - world.accepted_at[job]
        for job in sorted(world.accepted)
    }
    return {job: round(wait, 1) for job, wait in waits.items() if wait > BEGIN_WITHIN_S}


async def leader_hears_nobody(world: World) -> None:
    """The leader is cut off from its peers and from all workers, and keeps the state service."""
    submit_all_kinds(world, 0)
    await anyio.sleep(CUT_AT_S)
    cut = leader(world)
    world.cut_peers.add(cut)
    world.cut_workers.add(cut)
    await anyio.sleep(5)
    submit_all_kinds(world, 20)
    await anyio.sleep(CUT_S - 5)
    world.cut_peers.clear()
    world.cut_workers.clear()
    world.faults_ended_at = now()


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("count", [2, 3, 4], ids=lambda count: f"{count} controllers")
def test_work_begins_while_the_leader_hears_nobody(count: int, seed: int) -> None:
    world = run_script_scenario(leader_hears_nobody, seed, CUT_AT_S + CUT_S + 200.0, count)
    assert len(world.accepted) == 26
    assert late_jobs(world) == {}
    assert unfinished_jobs(world) == {}
    assert world.violations == []
