"""Moves of machines between partitions while controllers, services and machines fail."""

from __future__ import annotations

import anyio
import pytest

from standins import World, now
from support.partition_moves import (
    Script,
    controller_in_role,
    crash,
    fill_zone,
    machines_of,
    move,
    new_world,
    owner,
    run_partition_scenario,
    submit_zone_job,
    wait_for_partitions,
    wait_until,
)


async def inject_fault(world: World, kind: str, names: list[str]) -> None:
    """Inject a fault of one kind into some controllers, and end it after 17 s."""
    async with anyio.create_task_group() as group:
        for name in dict.fromkeys(names):
            if kind == "crash":
                group.start_soon(crash, world, name)
            elif kind == "blink":
                group.start_soon(crash, world, name, 0.1)
            elif kind == "hang":
                group.start_soon(world.pause_controller, name, 17.0)
            elif kind == "no state":
                world.modes[(name, "state")] = "refused"
            elif kind == "held state":
                world.modes[(name, "state")] = "held"
            elif kind == "no peers":
                world.cut_peers.add(name)
            elif kind == "no workers":
                world.cut_workers.add(name)
        await anyio.sleep(17.0)
    for name in names:
        world.modes.pop((name, "state"), None)
        world.cut_peers.discard(name)
        world.cut_workers.discard(name)


STEPS = {"requested": 0.3, "draining": 1.5, "half moved": 9.0, "moved": 16.0}
ROLES = [["leader"], ["giver"], ["receiver"], ["giver", "receiver"], ["leader", "giver"]]
KINDS = ["crash", "blink", "hang", "no state", "held state", "no peers", "no workers"]


def run_fault_scenario(seed: int, kind: str, roles: list[str], after: float) -> None:
    """Inject a fault at one step of a move of machines, some of which are busy.

    In the end, no transfer is open, all jobs are done, and no task has run twice.

    Args:
        seed: the seed of the world.
        kind: the kind of fault, one of `KINDS`.
        roles: the roles in the move of the controllers that fail.
        after: the delay of the fault after the command, in seconds.
    """
    world = new_world(seed)

    async def script(world: World) -> None:
        await fill_zone(world, 16, 8.0)
        submit_zone_job(world, "run-000002", 12, 9.0)
        submit_zone_job(world, "run-000003", 3, 9.0, shape="group", cpus=4.0)
        await move(world, "o-0000000d", "", "night", 3)
        await anyio.sleep(after)
        await inject_fault(world, kind, [controller_in_role(world, role) for role in roles])
        world.faults_ended_at = now()
        submit_zone_job(world, "run-000004", 6, 4.0)
        await wait_until(
            lambda: all(world.reported_stages.get(f"run-00000{n}") == "done" for n in (1, 2, 3, 4)),
            110.0,
        )

    history = run_partition_scenario(world, script, 220.0)
    assert history.open_transfers() == []


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("roles", ROLES, ids="+".join)
def test_any_controller_may_fail_while_machines_move(kind: str, roles: list[str]) -> None:
    number = KINDS.index(kind) * len(ROLES) + ROLES.index(roles)
    after = list(STEPS.values())[number % len(STEPS)]
    run_fault_scenario(100 + number, kind, roles, after)


# Faults of services and machines during a move


async def state_down(world: World) -> None:
    world.state.set_down(True)
    await anyio.sleep(60.0)
    world.state.set_down(False)


async def answers_lost(world: World) -> None:
    """Writes are committed, but the answers to some of them are lost."""
    world.lost_answers = 0.3
    await anyio.sleep(25.0)
    world.lost_answers = 0.0


async def writes_late(world: World) -> None:
    world.late_writes = 0.3
    await anyio.sleep(25.0)
    world.late_writes = 0.0


async def late_heartbeats(world: World) -> None:
    """Copies of heartbeats that name the previous owner arrive up to three leases late."""
    world.late_copy_fraction = 0.3
    await anyio.sleep(40.0)
    world.late_copy_fraction = 0.0


async def machine_hangs(world: World) -> None:
    """Two draining machines hang, the first for less and the second for more than its lease."""
    drained = [
        machine
        for key, (value, _, _) in world.state.keys.items()
        if key.startswith("dw/s/")
        for machine in value.get("draining", [])
    ]
    for number, machine in enumerate(drained[:2]):
        world.workers[machine].hanging = True
        await anyio.sleep(6.0 + 16.0 * number)
        if machine in world.workers:
            world.workers[machine].hanging = False


async def machine_taken(world: World) -> None:
    """Two machines of the source partition disappear, and others boot during the move."""
    for machine in sorted(machines_of(world, "a"))[:2]:
        world.remove_machine(machine)
    submit_zone_job(world, "run-000005", 12, 5.0)
    await anyio.sleep(20.0)


async def unreachable_workers(world: World) -> None:
    """The heartbeats of two machines arrive, but the answers do not reach the machines."""
    unreachable = [
        world.workers[m] for m in sorted(machines_of(world, "a"))[:2] if m in world.workers
    ]
    for worker in unreachable:
        worker.answers_lost = True
    await anyio.sleep(30.0)
    for worker in unreachable:
        worker.answers_lost = False


async def all_killed(world: World) -> None:
    for name in list(world.names):
        world.crash(name)
    await anyio.sleep(1.0)
    for name in list(world.names):
        world.start_controller(name)


async def leaders_in_turn(world: World) -> None:
    for _ in range(4):
        await crash(world, controller_in_role(world, "leader"), 0.3)
        await anyio.sleep(7.0)


async def giver_cut_from_workers(world: World) -> None:
    """The source shard gets another owner because workers don't reach the present one."""
    name = owner(world, "a")
    world.cut_workers.add(name)
    await anyio.sleep(30.0)
    world.cut_workers.discard(name)


WORLD_FAULTS: list[Script] = [
    state_down,
    answers_lost,
    writes_late,
    late_heartbeats,
    machine_hangs,
    machine_taken,
    unreachable_workers,
    all_killed,
    leaders_in_turn,
    giver_cut_from_workers,
]


@pytest.mark.parametrize("second", [False, True], ids=["one move", "moved on"])
@pytest.mark.parametrize("fault", WORLD_FAULTS, ids=lambda f: f.__name__)
def test_faults_of_services_and_machines_while_machines_move(fault: Script, second: bool) -> None:
    """In the end, no transfer is open, all jobs are done, and no machine was counted twice.

    With a second move, a machine is sent on to a third shard within a minute of the first move.
    """
    world = new_world(300 + WORLD_FAULTS.index(fault))

    async def script(world: World) -> None:
        await fill_zone(world, 16, 8.0)
        submit_zone_job(world, "run-000002", 12, 9.0)
        submit_zone_job(world, "run-000003", 3, 9.0, shape="group", cpus=4.0)
        await move(world, "o-0000000e", "", "night", 3)
        await anyio.sleep(2.5)
        async with anyio.create_task_group() as group:
            group.start_soon(fault, world)
            if second:
                await anyio.sleep(5.0)
                await move(world, "o-0000000f", "night", "day", 1)
        world.faults_ended_at = now()
        submit_zone_job(world, "run-000004", 6, 4.0)
        await wait_until(
            lambda: all(world.reported_stages.get(f"run-00000{n}") == "done" for n in (1, 2, 3, 4)),
            120.0,
        )
        await anyio.sleep(45.0)

    history = run_partition_scenario(world, script, 330.0)
    assert history.open_transfers() == []


@pytest.mark.parametrize("seed", range(6))
def test_random_moves_and_faults(seed: int) -> None:
    """Make random moves, with random faults from above one after the other."""
    world = new_world(400 + seed)

    async def moves(world: World) -> None:
        for number in range(8):
            await anyio.sleep(world.random.uniform(2.0, 14.0))
            source, target = world.random.sample(["", "night", "day"], 2)
            count = world.random.randint(1, 4)
            await move(world, f"o-00000{number:03d}", source, target, count)

    async def faults(world: World) -> None:
        for _ in range(4):
            await anyio.sleep(world.random.uniform(3.0, 12.0))
            if world.random.random() < 0.4:
                await world.random.choice(WORLD_FAULTS[1:])(world)
            else:
                roles = world.random.choice(ROLES)
                kind = world.random.choice(KINDS)
                await inject_fault(world, kind, [controller_in_role(world, role) for role in roles])

    async def script(world: World) -> None:
        await wait_for_partitions(world)
        for n in range(12):
            body = world.random_job() | {"name_id": f"run-1{n:05d}"}
            cancel = 20.0 if n % 4 == 0 else None
            world.group.start_soon(world.user, body["name_id"], body, cancel)
        submit_zone_job(world, "run-000001", 20, 12.0)
        async with anyio.create_task_group() as group:
            group.start_soon(moves, world)
            group.start_soon(faults, world)
        world.faults_ended_at = now()
        await anyio.sleep(100.0)

    history = run_partition_scenario(world, script, 420.0)
    assert history.open_transfers() == []
    assert set(world.reported_stages.values()) <= {"done", "withdrawn"}
    assert len(world.reported_stages) >= 13
