"""Scenarios with two or more faults at the same time, chosen or drawn at random.

`docs/compound-failures.md` lists the failures with the guard against each. The tests in
`test_removed_guards.py` check with some of these scenarios that a removed guard is detected.
"""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from standins import WORKERS, World, now
from support.faults import (
    all_crash,
    blinks,
    cut_from_state,
    late_copies,
    one_crash,
    refused_by_state,
    stands_still,
    state_outage,
    unreachable_machines,
    zone_cut,
)
from support.scenarios import (
    Script,
    cancel,
    leader,
    owners,
    run_fault_scenario,
    run_script_scenario,
    submit_jobs,
    unfinished_jobs,
)


async def all_away(world: World) -> None:
    """All controllers are down for 8 s longer than a worker's lease, and one restarts first."""
    await anyio.sleep(3)
    submit_jobs(world, 10, pieces=4, cpus=4.0, true_s=25.0)
    await anyio.sleep(20)
    for name in world.names:
        world.crash(name)
    await anyio.sleep(WORKERS["lease_s"] + 8.0)
    world.start_controller(world.names[-1])
    await anyio.sleep(0.4)
    for name in world.names:
        world.start_controller(name)
    world.faults_ended_at = now()


async def overload(world: World) -> None:
    """More work of all priorities than capacity, while the state service answers slowly."""
    world.cloud.unavailable_types = {("g8", True), ("c8", True)}
    world.state_delay_factor = 60.0
    await anyio.sleep(3)
    for n in range(24):
        body = world.job(
            name_id=f"run-{n:06d}",
            pieces=6,
            cpus=4.0,
            true_s=10.0,
            urgency=["urgent", "standard", "best_effort"][n % 3],
            shape="group" if n % 4 == 0 else "sweep",
            crew="blue",
        )
        world.group.start_soon(world.user, body["name_id"], body, 20.0 if n % 5 == 0 else None)
        await anyio.sleep(0.5)
    await anyio.sleep(60)
    world.state_delay_factor = 1.0
    world.faults_ended_at = now()


async def unreachable_with_long_tasks(world: World) -> None:
    """The leader and all owners restart while machines with long tasks are unreachable.

    Some machines send no heartbeats, others receive no answers to theirs.
    """
    await anyio.sleep(3)
    submit_jobs(world, 8, pieces=3, cpus=4.0, true_s=90.0)
    await anyio.sleep(22)
    names = sorted(world.workers)
    for n, name in enumerate(names):
        world.workers[name].cut = n % 3 == 0
        world.workers[name].answers_lost = n % 3 == 1
    for name in {leader(world), *owners(world)}:
        world.crash(name)
        await anyio.sleep(0.3)
        world.start_controller(name)
    await anyio.sleep(25)
    for worker in world.workers.values():
        worker.cut = worker.answers_lost = False
    world.faults_ended_at = now()


async def limit_and_cancellation(world: World) -> None:
    """The leader changes and a job is cancelled while a team is at its limit.

    Every second machine with the team's tasks sends no heartbeats meanwhile.
    """
    await anyio.sleep(3)
    submit_jobs(world, 8, pieces=4, cpus=4.0, true_s=40.0, crew="blue")
    await anyio.sleep(22)
    used = [n for _, n in world.on_machines()]
    assert len(used) == 6  # tasks of 4 CPUs, which use the team's limit of 24 CPUs
    for worker in [w for w, _ in world.on_machines()][::2]:
        worker.cut = True
    first = used[0].split("/")[0]
    world.crash(leader(world))
    await cancel(world, next(n for n in world.names if n in world.controllers), [first])
    await anyio.sleep(1)
    for name in world.names:
        world.start_controller(name)
    await anyio.sleep(30)
    for worker in world.workers.values():
        worker.cut = False
    world.faults_ended_at = now()


async def cut_leader_and_new_one(world: World) -> None:
    """The leader loses its connections to the state service, the cloud and its peers.

    Its connections to workers and users remain. An owner loses the same connections. Jobs are
    cancelled through the new leader meanwhile.
    """
    await anyio.sleep(3)
    submit_jobs(world, 10, pieces=3, cpus=4.0, true_s=110.0)
    await anyio.sleep(27)
    old = leader(world)
    owned = owners(world)[0]
    for name in {old, owned}:
        world.modes[(name, "state")] = world.modes[(name, "cloud")] = "cut"
        world.cut_peers.add(name)
    other = next(n for n in world.names if n not in (old, owned))
    for n in range(5):
        await anyio.sleep(2)
        await cancel(world, other, [f"run-{n:06d}"])
    await anyio.sleep(40)
    assert leader(world) == other
    world.modes.clear()
    world.cut_peers.clear()
    world.faults_ended_at = now()


async def mute_machines(world: World) -> None:
    """Half of the machines reach no controller for 24 s, which is longer than a lease, twice."""
    await anyio.sleep(3)
    submit_jobs(world, 10, pieces=4, cpus=4.0, true_s=30.0)
    for _ in range(2):
        await anyio.sleep(20)
        mute = [w for _, w in sorted(world.workers.items())][::2]
        for worker in mute:
            worker.cut = True
        await anyio.sleep(24)
        for worker in mute:
            worker.cut = False
    world.faults_ended_at = now()


async def bound_jobs_lose_machines(world: World) -> None:
    """All machines of a zone are removed, three times, while arrays and gangs are bound to it."""
    await anyio.sleep(3)
    for n in range(9):
        placements: list[dict[str, Any]] = [
            {"yard": "a"},
            {"same_place": True},
            {"same_place": True, "yard": "b"},
        ]
        place = placements[n % 3]
        body = world.job(
            name_id=f"run-{n:06d}",
            pieces=3,
            cpus=4.0,
            true_s=30.0,
            shape="group" if n % 2 else "sweep",
            **place,
        )
        world.group.start_soon(world.user, body["name_id"], body, None)
    for zone in ("a", "b", "a"):
        await anyio.sleep(20)
        for worker in [w for w in world.workers.values() if w.zone == zone]:
            world.remove_machine(worker.name)
    world.faults_ended_at = now()


async def long_outage(world: World) -> None:
    """The state service is down for longer than all leases, and no controller reaches its peers."""
    await anyio.sleep(3)
    submit_jobs(world, 8, pieces=4, cpus=4.0, true_s=70.0)
    await anyio.sleep(25)
    world.machines_before_outage = set(world.workers)  # type: ignore[attr-defined]
    world.cut_peers.update(world.names)
    world.state.set_down(True)
    await anyio.sleep(60)
    world.state.set_down(False)
    world.cut_peers.clear()
    world.faults_ended_at = now()
    await anyio.sleep(10)
    world.machines_after_outage = set(world.workers)  # type: ignore[attr-defined]


async def zone_cut_and_calm(world: World) -> None:
    submit_jobs(world, 10, pieces=4, cpus=4.0, true_s=40.0)
    await zone_cut(world)
    world.faults_ended_at = now()


COMPOUND_FAILURES = [
    all_away,
    overload,
    unreachable_with_long_tasks,
    limit_and_cancellation,
    cut_leader_and_new_one,
    mute_machines,
    bound_jobs_lose_machines,
    long_outage,
    zone_cut_and_calm,
]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("script", COMPOUND_FAILURES, ids=lambda f: f.__name__)
def test_under_compound_failures_rules_hold_and_all_is_served(script: Script, seed: int) -> None:
    world = run_script_scenario(script, seed, 420.0)
    assert world.violations == []
    assert unfinished_jobs(world) == {}
    assert len(world.reported_stages) == len(world.accepted) > 0


def test_a_long_outage_costs_no_machine() -> None:
    """No machine is terminated after a long outage.

    When the state service is available again, the last reports of all machines are so old that the
    machines would count as unreachable or idle.
    """
    world = run_script_scenario(long_outage, 3, 110.0)
    before, after = world.machines_before_outage, world.machines_after_outage  # type: ignore[attr-defined]
    assert len(before) > 3
    assert before <= after


async def late_writes(world: World) -> None:
    await anyio.sleep(20)
    world.late_writes = 0.3
    await anyio.sleep(60)
    world.late_writes = 0.0


async def slow_state(world: World) -> None:
    await anyio.sleep(25)
    world.state_delay_factor = 80.0
    await anyio.sleep(40)
    world.state_delay_factor = 1.0


async def mute(world: World) -> None:
    await anyio.sleep(22)
    for worker in list(world.workers.values())[::2]:
        worker.cut = True
    await anyio.sleep(22)
    for worker in world.workers.values():
        worker.cut = False


async def cancel_running(world: World) -> None:
    """Cancel four running jobs at once, while the machines with their tasks hang for 12 s."""
    await anyio.sleep(30)
    running = sorted({n.split("/")[0] for _, n in world.on_machines()} - world.cancelled_at.keys())
    hung = [w for w, n in world.on_machines() if n.split("/")[0] in running[:4]]
    await cancel(world, next(iter(sorted(world.controllers))), running[:4])
    for worker in hung:
        worker.hanging = True
    await anyio.sleep(12)
    for worker in hung:
        worker.hanging = False


RANDOM_FAULTS: list[Script] = [
    late_writes,
    slow_state,
    mute,
    cancel_running,
    all_crash,
    blinks,
    cut_from_state,
    unreachable_machines,
    late_copies,
    one_crash,
    refused_by_state,
    stands_still,
    state_outage,
    zone_cut,
]


@pytest.mark.parametrize("seed", range(41, 53))
def test_a_random_pair_of_faults_breaks_no_rule(seed: int) -> None:
    async def pair(world: World) -> None:
        async with anyio.create_task_group() as group:
            for fault in world.random.sample(RANDOM_FAULTS, 2):
                group.start_soon(fault, world)
        world.faults_ended_at = now()

    # The length suffices for the largest possible amount of accelerator work at its team's limit.
    world = run_fault_scenario(pair, seed, length=360.0, slow=2.5)
    assert world.violations == []
    assert unfinished_jobs(world) == {}
    assert len(world.accepted) == 14
