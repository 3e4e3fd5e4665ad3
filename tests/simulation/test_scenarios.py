"""Whole scenarios against the stand-ins: every rule is checked throughout."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import pytest

from dapplewick.transport.http import Request
from standins import Worker, World, now, run_in_virtual_time, zone_of

Fault = Callable[[World], Coroutine[Any, Any, None]]


def owners(world: World) -> list[str]:
    """The controllers that own a shard now; any one if none does."""
    return (
        sorted(n for n, controller in world.controllers.items() if controller.shard_schedulers)
        or world.names[:1]
    )


async def quiet(world: World) -> None:
    pass


async def one_crash(world: World) -> None:
    await anyio.sleep(30)
    name = world.random.choice(world.names)
    world.crash(name)
    await anyio.sleep(3)
    world.start_controller(name)


async def all_crash(world: World) -> None:
    for pause in (25, 20):
        await anyio.sleep(pause)
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
            world.workers[name].unreachable = True
        await anyio.sleep(30)


async def late_copies(world: World) -> None:
    world.copies = 0.4
    await quick_restarts(world)
    await anyio.sleep(60)
    world.copies = 0.0


async def blinks(world: World) -> None:
    """Processes and machines back in a split second, the leader in the middle of an election."""
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
    """A controller that owns a shard loses the state service and its peers, not its workers."""
    await anyio.sleep(25)
    owner = owners(world)[0]
    for service in ("state", "cloud"):
        world.modes[(owner, service)] = "cut"
    world.cut_peers.add(owner)
    world.copies = 0.2
    await anyio.sleep(50)
    world.modes.clear()
    world.cut_peers.clear()
    world.copies = 0.0


async def stands_still(world: World) -> None:
    """The leader, then an owner, stand still for longer than their leases, and go on with what
    they held."""
    await anyio.sleep(20)
    for length in (9.0, 25.0, 14.0):
        leader = world.state.keys.get("dw/leader")
        if leader is not None and length < 20:
            world.group.start_soon(world.stand_still, leader[0]["node"], length)
        await anyio.sleep(world.random.uniform(0.0, 3.0))
        await world.stand_still(owners(world)[-1], length)
        await anyio.sleep(world.random.uniform(4.0, 12.0))


async def all_end_in_an_outage(world: World) -> None:
    """All controllers end at the end of an outage, again while they are restarted one after
    the other, and all but one a third time."""
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
    """A zone, with its controllers and machines, is cut off for longer than a lease while a
    controller elsewhere ends; what was held is delivered when it is back."""
    await anyio.sleep(25)
    zone = world.zones[-1]
    inside = [n for n in world.names if zone_of(n, world.zones) == zone]
    world.cut_zone = zone
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
    world.cut_zone = ""


async def many_machines(world: World) -> None:
    """Many machines die in one moment; many hang in another and go on later."""
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
    """Several faults at once, as the seed has it."""
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


def play(
    fault: Fault,
    seed: int,
    jobs: int = 14,
    length: float = 240.0,
    slow: float = 1.0,
    world: World | None = None,
) -> World:
    world = world or World(seed)

    async def script() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(fault, world)
            await anyio.sleep(2)
            for n in range(jobs):
                await anyio.sleep(world.random.uniform(0.5, 6.0))
                body = world.random_job() | {"name_id": f"run-{n:06d}"}
                body["true_s"] *= slow
                cancel = world.random.uniform(3, 30) if world.random.random() < 0.25 else None
                group.start_soon(world.user, body["name_id"], body, cancel)

    async def main() -> None:
        await world.play(length, script)

    run_in_virtual_time(main)
    return world


def run_script(
    world: World, length: float, script: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Play a scenario with a script beside it, in virtual time."""

    async def main() -> None:
        await world.play(length, script)

    run_in_virtual_time(main)


def submit_jobs(world: World, count: int, first: int = 0, **fields: object) -> None:
    """Users submit jobs that are alike, from run-000000 on."""
    for n in range(first, first + count):
        body = world.job(name_id=f"run-{n:06d}", **fields)
        world.group.start_soon(world.user, body["name_id"], body, None)


FAULTS = [
    quiet,
    one_crash,
    all_crash,
    roll,
    quick_restarts,
    refused_by_state,
    cut_from_state,
    cut_from_workers,
    state_outage,
    lost_answers,
    cloud_outage,
    bad_machines,
    everything,
    unreachable_machines,
    late_copies,
    blinks,
    alone_with_its_workers,
    stands_still,
    all_end_in_an_outage,
    zone_cut,
    many_machines,
]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("fault", FAULTS, ids=lambda f: f.__name__)
def test_rules_hold_and_service_comes_back(fault: Fault, seed: int) -> None:
    world = play(fault, seed)
    assert world.violations == []
    assert len(world.accepted) == 14
    unfinished = {j: s for j, s in world.told.items() if s not in ("done", "withdrawn")}
    assert unfinished == {}
    assert world.starts > 20


@pytest.mark.parametrize("seed", range(11, 21))
def test_rules_hold_under_random_faults(seed: int) -> None:
    world = play(drawn, seed, length=300.0)
    assert world.violations == []
    assert {j for j, s in world.told.items() if s not in ("done", "withdrawn")} == set()


@pytest.mark.parametrize(
    ("count", "zones", "lacking"),
    [
        (3, ["a"], "c8"),
        (2, ["a", "b", "c", "d", "e"], "c8"),  # zones without a controller
        (5, ["a", "b", "c"], "g8"),
        (1, ["a", "b"], ""),
    ],
)
def test_rules_hold_in_other_layouts(count: int, zones: list[str], lacking: str) -> None:
    """One zone, many more than controllers, controllers to spare, a single one; and a type of
    which the cloud has nothing that may be taken away."""
    for seed in (31, 32):
        world = World(seed, count, zones)
        world.cloud.lacking = {(lacking, True)}
        play(quick_restarts if seed == 31 else bad_machines, seed, length=300.0, world=world)
        assert world.violations == []
        assert {j: s for j, s in world.told.items() if s not in ("done", "withdrawn")} == {}


def test_the_same_scenario_twice_is_the_same() -> None:
    first, second = play(all_crash, 3), play(all_crash, 3)
    assert (first.starts, first.told) == (second.starts, second.told)


def test_now_is_virtual() -> None:
    seen = []

    async def main() -> None:
        begun = now()
        await anyio.sleep(3600)
        seen.append(now() - begun)

    run_in_virtual_time(main)
    assert 3600 <= seen[0] < 3601


def test_users_of_a_controller_that_the_state_service_refuses_are_served_through_a_peer() -> None:
    world = World(6)
    answers: list[tuple[int, str]] = []

    async def script() -> None:
        await anyio.sleep(5)
        world.modes[("n0", "state")] = "refused"
        await anyio.sleep(1)
        body = world.job(name_id="run-000001", pieces=1) | {"crew": "blue"}
        world.jobs["run-000001"] = body
        raw = json.dumps({k: v for k, v in body.items() if k != "true_s"}).encode()
        controller = world.controllers["n0"]
        for method, path, data in [
            ("POST", "/v2/runs", raw),
            ("POST", "/v2/runs", raw),
            ("GET", "/v2/runs/run-000001", b""),
            ("GET", "/v2/runs/run-000002", b""),
            ("POST", "/v2/runs/run-000001/abort", b""),
        ]:
            answer = await controller.handle(Request(method, path, data, False))
            answers.append((answer.status, json.loads(answer.body).get("stage", "")))

    run_script(world, 8.0, script)
    assert [status for status, _ in answers] == [201, 200, 200, 404, 200]
    assert answers[-1][1] == "withdrawn"


def test_a_machine_that_hears_nothing_gets_no_more_work_and_is_returned() -> None:
    """What was started there was sent again with every heartbeat, and never ran."""
    world = World(8)
    seen: dict[str, object] = {}

    async def script() -> None:
        await anyio.sleep(3)
        submit_jobs(world, 2, pieces=16, true_s=15.0, cpus=4.0, crew="red")
        await anyio.sleep(20)
        seen["deaf"] = sorted(world.workers)[0]
        world.workers[sorted(world.workers)[0]].unreachable = True
        await anyio.sleep(45)
        seen["kept"] = seen["deaf"] in world.workers

    run_script(world, 100.0, script)
    assert world.violations == []
    assert seen["kept"] is False
    assert set(world.told.values()) == {"done"}


def test_a_shard_whose_owner_hears_no_worker_gets_another_owner() -> None:
    """Its machines were all deleted as silent, for one controller's broken network."""
    world = World(7)
    seen: dict[str, object] = {}

    async def script() -> None:
        await anyio.sleep(3)
        submit_jobs(world, 3, pieces=12, true_s=60.0, cpus=4.0, crew="red")
        await anyio.sleep(27)
        controller = world.controllers["n0"]
        heard = {
            z: sum(w.zone == z for w in world.workers.values()) for z in controller.cache.shards
        }
        zone = max(heard, key=lambda z: heard[z])
        owner = controller.cache.shards[zone].owner
        seen["before"] = (heard[zone] >= 2, owner)
        machines = {w.name for w in world.workers.values() if w.zone == zone}
        world.cut_workers.add(owner)
        await anyio.sleep(25)
        seen["after"] = world.controllers["n0"].cache.shards[zone].owner
        seen["kept"] = len(machines & world.workers.keys()) / len(machines)

    run_script(world, 60.0, script)
    assert world.violations == []
    assert seen["before"][0]  # type: ignore[index]
    assert seen["after"] != seen["before"][1]  # type: ignore[index]
    assert seen["kept"] == 1.0


def test_after_all_controllers_returned_at_once_every_job_is_answered_soon() -> None:
    """A job about which no question is answered for 75 s counts as forgotten."""
    world = World(9)
    late: dict[str, float] = {}

    async def script() -> None:
        await anyio.sleep(3)
        submit_jobs(world, 25, pieces=4, true_s=20.0, crew="red")
        await anyio.sleep(20)
        for name in world.names:
            world.crash(name)
        await anyio.sleep(0.2)
        for name in world.names:
            world.start_controller(name)
        back = now()
        for job in sorted(world.accepted):
            for controller in world.names:
                request = Request("GET", f"/v2/runs/{job}", b"", False)
                while (answer := await world.controllers[controller].handle(request)).status != 200:
                    assert answer.status == 503
                    assert answer.retry_after
                    await anyio.sleep(0.5)
                late[f"{job} {controller}"] = now() - back

    run_script(world, 90.0, script)
    assert world.violations == []
    assert len(world.accepted) == 25
    assert len(late) == 75
    assert max(late.values()) < 30.0


def test_an_overloaded_controller_says_so_and_takes_nothing_from_users() -> None:
    """It fell further behind with each request, and workers' leases ran out meanwhile."""
    world = World(10)
    seen: list[list[int]] = []

    async def script() -> None:
        await anyio.sleep(5)
        controller = world.controllers["n0"]
        for overload_s in (0.0, 3.0, 0.0):
            controller._late = overload_s
            answers = [
                await controller.handle(Request(method, path, b"", False))
                for method, path in [("GET", "/healthz"), ("GET", "/v2/runs/run-000001")]
            ]
            seen.append([a.status for a in answers])
            assert all(a.retry_after for a in answers if a.status == 503)
        # A controller that stands still knows of it before it answers anything.
        loop = asyncio.get_running_loop()
        loop.at += 8.0  # type: ignore[attr-defined]
        await anyio.sleep(0.0)
        seen.append([(await controller.handle(Request("GET", "/healthz", b"", False))).status])

    run_script(world, 12.0, script)
    assert seen == [[200, 404], [503, 503], [200, 404], [503]]
