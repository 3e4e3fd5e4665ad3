"""Faults of controllers, services, machines and zones, as scripts that run during a scenario."""

from __future__ import annotations

import anyio

from standins import Worker, World, zone_of
from support.scenarios import owners


async def quiet(world: World) -> None:
    pass


async def one_crash(world: World) -> None:
    await anyio.sleep(30)
    name = world.random.choice(world.names)
    world.crash(name)
    await anyio.sleep(3)
    world.start_controller(name)


async def all_crash(world: World) -> None:
    for delay_s in (25, 20):
        await anyio.sleep(delay_s)
        for name in world.names:
            world.crash(name)
        await anyio.sleep(world.random.choice([0.2, 3.0]))
        for name in world.names:
            world.start_controller(name)


async def roll(world: World) -> None:
    await anyio.sleep(15)
    for name in world.names:
        await anyio.sleep(12)
        world.crash(name)
        await anyio.sleep(world.random.choice([0.1, 4.0]))
        world.start_controller(name)


async def quick_restarts(world: World) -> None:
    for _ in range(12):
        await anyio.sleep(world.random.uniform(2.0, 9.0))
        name = world.random.choice(world.names)
        world.crash(name)
        await anyio.sleep(world.random.choice([0.05, 0.3]))
        world.start_controller(name)


async def refused_by_state(world: World) -> None:
    await anyio.sleep(25)
    owner = owners(world)[0]
    world.modes[(owner, "state")] = "refused"
    await anyio.sleep(40)
    del world.modes[(owner, "state")]


async def cut_from_state(world: World) -> None:
    await anyio.sleep(25)
    owner = owners(world)[-1]
    world.modes[(owner, "state")] = "cut"
    world.cut_peers.add(owner)
    await anyio.sleep(45)
    world.modes.clear()
    world.cut_peers.clear()


async def cut_from_workers(world: World) -> None:
    await anyio.sleep(25)
    world.cut_workers.add(owners(world)[0])
    await anyio.sleep(30)
    world.cut_workers.clear()


async def state_outage(world: World) -> None:
    await anyio.sleep(30)
    world.state.set_down(True)
    await anyio.sleep(20)
    world.state.set_down(False)


async def lost_answers(world: World) -> None:
    for name in world.names:
        world.modes[(name, "state")] = "lossy"
        world.modes[(name, "cloud")] = "lossy"
    await anyio.sleep(90)
    world.modes.clear()


async def cloud_outage(world: World) -> None:
    await anyio.sleep(15)
    world.cloud.down = True
    await anyio.sleep(30)
    world.cloud.down = False


async def end_hang(world: World, worker: Worker) -> None:
    await anyio.sleep(world.random.uniform(5, 40))
    worker.hanging = False


async def end_cut(world: World, worker: Worker) -> None:
    await anyio.sleep(world.random.uniform(5, 40))
    worker.cut = False


async def bad_machines(world: World) -> None:
    for _ in range(10):
        await anyio.sleep(10)
        if not world.workers:
            continue
        worker = world.workers[world.random.choice(sorted(world.workers))]
        fault = world.random.choice(["hang", "cut", "taken", "notice"])
        if fault == "taken":
            world.remove_machine(worker.name)
        elif fault == "notice":
            worker.spot_notice_s = 10.0
            worker.changed = True
        elif fault == "hang":
            worker.hanging = True
            world.group.start_soon(end_hang, world, worker)
        else:
            worker.cut = True
            world.group.start_soon(end_cut, world, worker)


async def unreachable_machines(world: World) -> None:
    await anyio.sleep(25)
    for _ in range(4):
        for name in sorted(world.workers)[:2]:
            world.workers[name].answers_lost = True
        await anyio.sleep(30)


async def late_copies(world: World) -> None:
    world.late_copy_fraction = 0.4
    await quick_restarts(world)
    await anyio.sleep(60)
    world.late_copy_fraction = 0.0


async def blinks(world: World) -> None:
    """Controllers, the leader among them, and machines fail for a fraction of a second.

    The outages are so short that an election may be under way when the leader restarts.
    """
    for _ in range(10):
        await anyio.sleep(world.random.uniform(3.0, 8.0))
        leader = world.state.keys.get("dw/leader")
        names = [leader[0]["node"]] if leader is not None else []
        names += [n for n in world.names if n not in names and world.random.random() < 0.4]
        for name in names:
            world.crash(name)
        for worker in [w for w in world.workers.values() if world.random.random() < 0.3]:
            worker.hanging = True
        await anyio.sleep(world.random.choice([0.03, 0.2, 0.6]))
        for name in names:
            world.start_controller(name)
        for worker in world.workers.values():
            worker.hanging = False


async def alone_with_its_workers(world: World) -> None:
    """The owner of a shard is partitioned from the state service and its peers, but not from
    its workers."""
    await anyio.sleep(25)
    owner = owners(world)[0]
    for service in ("state", "cloud"):
        world.modes[(owner, service)] = "cut"
    world.cut_peers.add(owner)
    world.late_copy_fraction = 0.2
    await anyio.sleep(50)
    world.modes.clear()
    world.cut_peers.clear()
    world.late_copy_fraction = 0.0


async def stands_still(world: World) -> None:
    """The leader and an owner are paused for longer than their leases, and resume with the state
    that they had."""
    await anyio.sleep(20)
    for length in (9.0, 25.0, 14.0):
        leader = world.state.keys.get("dw/leader")
        if leader is not None and length < 20:
            world.group.start_soon(world.pause_controller, leader[0]["node"], length)
        await anyio.sleep(world.random.uniform(0.0, 3.0))
        await world.pause_controller(owners(world)[-1], length)
        await anyio.sleep(world.random.uniform(4.0, 12.0))


async def all_end_in_an_outage(world: World) -> None:
    """All controllers crash at the end of an outage, two of them again one after the other, then
    all at once, and finally all but one."""
    await anyio.sleep(25)
    world.state.set_down(True)
    await anyio.sleep(15)
    for name in world.names:
        world.crash(name)
    world.state.set_down(False)
    await anyio.sleep(3)
    for name in world.names:
        world.start_controller(name)
    await anyio.sleep(20)
    for name in world.names[:2]:
        world.crash(name)
        await anyio.sleep(3)
        world.start_controller(name)
    for last in (0, 1):
        for name in world.names[last:]:
            world.crash(name)
        await anyio.sleep(world.random.choice([0.2, 3.0]))
        for name in world.names:
            world.start_controller(name)
        await anyio.sleep(20)


async def zone_cut(world: World) -> None:
    """A zone with its controllers and machines is partitioned for longer than a lease, and a
    controller of another zone restarts meanwhile. Delayed requests are delivered afterwards."""
    await anyio.sleep(25)
    zone = world.zones[-1]
    inside = [n for n in world.names if zone_of(n, world.zones) == zone]
    world.isolated_zone = zone
    for name in inside:
        for service in ("state", "cloud"):
            world.modes[(name, service)] = "held"
    world.cut_peers.update(inside)
    await anyio.sleep(8)
    other = next(n for n in world.names if n not in inside)
    world.crash(other)
    await anyio.sleep(3)
    world.start_controller(other)
    await anyio.sleep(25)
    world.modes.clear()
    world.cut_peers.clear()
    world.isolated_zone = ""


async def many_machines(world: World) -> None:
    """Half of the machines fail at once; later half of those present hang and then resume."""
    await anyio.sleep(20)
    for name in sorted(world.workers)[::2]:
        world.remove_machine(name)
    await anyio.sleep(30)
    hung = [w for _, w in sorted(world.workers.items())][::2]
    for worker in hung:
        worker.hanging = True
    await anyio.sleep(22)
    for worker in hung:
        worker.hanging = False


async def drawn(world: World) -> None:
    """Three faults at once, drawn by the seed."""
    faults = [
        one_crash,
        all_crash,
        roll,
        refused_by_state,
        cut_from_state,
        cut_from_workers,
        state_outage,
        cloud_outage,
        bad_machines,
        unreachable_machines,
        late_copies,
        blinks,
        stands_still,
        zone_cut,
        many_machines,
    ]
    async with anyio.create_task_group() as group:
        for fault in world.random.sample(faults, 3):
            group.start_soon(fault, world)


async def everything(world: World) -> None:
    faults = [one_crash, cut_from_state, lost_answers, bad_machines, cloud_outage]
    async with anyio.create_task_group() as group:
        for fault in faults:
            group.start_soon(fault, world)
