"""Moves of machines between partitions, with what may fail on the way, in virtual time."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import pytest

from dapplewick.partitions import plan as plans
from dapplewick.storage.formats import PARTITIONS_FORMAT
from dapplewick.storage.keys import FORMAT, SHARDS
from dapplewick.types import shard_name
from standins import World, now, run_in_virtual_time
from support.partition_history import PartitionHistory

Script = Callable[[World], Coroutine[Any, Any, None]]

NIGHT = shard_name("a", "night")
DAY = shard_name("a", "day")

PLAN = plans.parse(
    "plan.star",
    """
shares = {
    "night": {"teams": ["red"], "rules": [{"types": ["c8"], "most": 0.0}]},
    "day": {"teams": ["blue"], "rules": [{"types": ["c8"], "most": 0.0}]},
}
hold_orders_s = 600
move_within_s = 40
""",
)
FIXED_PLAN = plans.parse(
    "plan.star",
    """
shares = {"night": {"teams": ["red"], "rules": [{"types": ["c8"], "least": 0.5, "most": 0.5}]}}
move_within_s = 40
""",
)


def new_world(seed: int, plan: plans.PartitionPlan = PLAN, count: int = 3) -> World:
    world = World(seed, count)
    world.partition_plan = plan
    return world


async def command(world: World, verb: str, **fields: Any) -> dict[str, Any]:
    """An operator's command, repeated until a controller has answered it finally."""
    for attempt in range(100):
        names = sorted(world.controllers)
        if names:
            controller = world.controllers[names[attempt % len(names)]]
            said = await controller.on_request({"kind": "shares", "verb": verb, **fields})
            if said is not None and said["status"] != 503:
                return said
        await anyio.sleep(1.0)
    raise AssertionError("no controller answered")


async def move(
    world: World, command_id: str, source: str, target: str, count: int
) -> dict[str, Any]:
    return await command(
        world, "move", id=command_id, zone="a", type="c8", source=source, target=target, count=count
    )


def pinned(world: World, name: str, pieces: int, seconds: float, **fields: Any) -> None:
    """A user's job in zone a on machines of type c8."""
    cancel_after = fields.pop("cancel_after", None)
    known = {"yard": "a", "builds": ["c8"], "borrowed": False, "true_s": seconds}
    body = world.job(name_id=name, pieces=pieces, **({"expected_s": seconds} | known | fields))
    world.group.start_soon(world.user, name, body, cancel_after)


async def until(reached: Callable[[], bool], within: float = 60.0) -> None:
    """Wait until something is so."""
    end = now() + within
    while not reached():
        assert now() < end, "not reached"
        await anyio.sleep(0.1)


def machines_of(world: World, shard: str) -> set[str]:
    """The machines that the stored records assign to a shard."""
    return {
        machine
        for key, (group, _, _) in world.state.keys.items()
        if key.startswith("dw/m/") and shard_name(group["zone"], group.get("share", "")) == shard
        for machine, text in group["machines"].items()
        if not text.startswith("d")
    }


async def partitions_begun(world: World) -> None:
    def begun() -> bool:
        record = world.state.keys.get(FORMAT)
        return record is not None and record[0]["version"] == PARTITIONS_FORMAT

    await until(begun)


async def busy_zone(world: World, tasks: int = 16, seconds: float = 12.0) -> None:
    """Machines come up for work in zone a: four tasks on each."""
    await partitions_begun(world)
    pinned(world, "run-000001", tasks, seconds, expected_s=200.0)
    await until(lambda: len(world.first_start) == tasks, 60.0)


def running(world: World) -> set[str]:
    """The tasks that run on machines."""
    return {name for _, name in world.on_machines()}


def play_moves(world: World, script: Script, length: float = 150.0) -> PartitionHistory:
    """Play a scenario; returns its history, which the checker has found valid."""

    async def main() -> None:
        async def run() -> None:
            await script(world)

        await world.play(length, run)

    run_in_virtual_time(main)
    history = PartitionHistory()
    assert history.check(world.state.log) == []
    assert world.violations == []
    return history


def test_idle_machines_move_at_once_and_work_starts_under_the_new_owner() -> None:
    world = new_world(1)
    seen: dict[str, Any] = {}

    async def script(world: World) -> None:
        await busy_zone(world, 16, 10.0)
        await until(lambda: world.told.get("run-000001") == "done", 60.0)
        seen["before"] = machines_of(world, "a")
        said = await move(world, "o-00000001", "", "night", 2)
        assert said["status"] == 200
        await until(lambda: len(machines_of(world, NIGHT)) == 2, 10.0)
        seen["after"] = machines_of(world, NIGHT)
        pinned(world, "run-000002", 2, 5.0, cpus=8.0)
        await until(lambda: world.told.get("run-000002") == "done", 30.0)

    history = play_moves(world, script)
    assert seen["after"] < seen["before"]
    assert len(history.handovers) >= 2
    assert NIGHT in {shard for _, _, _, shard in history.handovers}


def test_running_tasks_end_where_they_are_and_each_machine_goes_when_it_is_empty() -> None:
    world = new_world(2)
    went: list[float] = []

    async def script(world: World) -> None:
        await busy_zone(world, 16, 25.0)
        began = now()
        have = len(machines_of(world, "a"))
        assert (await move(world, "o-00000002", "", "night", have))["status"] == 200
        await until(lambda: len(machines_of(world, NIGHT)) == have, 40.0)
        went.append(now() - began)
        assert len(world.results) == 16
        said = await command(world, "show")
        assert [t["state"] for t in said["transfers"]] == ["complete"]

    play_moves(world, script)
    assert went[0] > 2.0  # nothing was stopped for it
    assert world.reruns == []
    assert max(world.starts_of.values()) == 1


def test_why_a_machine_has_not_moved_is_shown_to_operators() -> None:
    world = new_world(3)
    told: list[str] = []

    async def script(world: World) -> None:
        await busy_zone(world, 4, 60.0)
        await move(world, "o-00000003", "", "night", 1)
        await anyio.sleep(2.0)
        said = await command(world, "show")
        told.extend(said["transfers"][0]["waits_for"].values())

    play_moves(world, script, 60.0)
    assert len(told) == 1
    assert "4 tasks on it, expected to end in" in told[0]


def test_a_long_task_does_not_block_the_rest_and_what_is_late_is_met_from_others() -> None:
    world = new_world(4)

    async def script(world: World) -> None:
        await partitions_begun(world)
        pinned(world, "run-000001", 2, 400.0, cpus=8.0)
        await until(lambda: len(running(world)) == 2, 40.0)
        have = len(machines_of(world, "a"))
        await move(world, "o-00000004", "", "night", have)
        await until(lambda: len(machines_of(world, NIGHT)) == have - 2, 15.0)
        await anyio.sleep(28.0)
        # Another machine, soon empty: work that may not use the partition has it rented.
        pinned(world, "run-000002", 1, 20.0, cpus=8.0, crew="blue", borrowed=True)
        await until(lambda: len(machines_of(world, NIGHT)) == have - 1, 110.0)
        said = await command(world, "show")
        assert [t["state"] for t in said["transfers"][:1]] == ["overdue"]

    history = play_moves(world, script, 170.0)
    assert any("-again" in key for _, key, _, _ in world.state.log if key.startswith("dw/s/"))
    assert world.reruns == []
    assert len(history.handovers) >= 1


def test_there_and_back_within_a_minute_the_later_move_wins() -> None:
    world = new_world(5)

    async def script(world: World) -> None:
        await busy_zone(world, 24, 20.0)
        await move(world, "o-00000005", "", "night", 4)
        await anyio.sleep(6.0)
        await move(world, "o-00000006", "night", "", 4)
        await until(lambda: not machines_of(world, NIGHT), 60.0)
        await anyio.sleep(15.0)
        assert not machines_of(world, NIGHT)

    history = play_moves(world, script)
    assert history.open_transfers() == []


def test_on_to_a_third_owner_within_a_minute() -> None:
    world = new_world(6)

    async def script(world: World) -> None:
        await busy_zone(world, 16, 15.0)
        await move(world, "o-00000007", "", "night", 3)
        await anyio.sleep(2.0)
        assert (await move(world, "o-00000008", "night", "day", 3))["status"] == 200
        await until(lambda: len(machines_of(world, DAY)) == 3, 60.0)
        assert not machines_of(world, NIGHT)

    history = play_moves(world, script)
    each = {machine for _, machine, _, shard in history.handovers if shard == DAY}
    assert len(each) == 3


def test_a_later_move_from_the_same_partition_takes_machines_over() -> None:
    world = new_world(7)

    async def script(world: World) -> None:
        await busy_zone(world, 8, 30.0)
        have = len(machines_of(world, "a"))
        assert (await move(world, "o-00000009", "", "night", have))["status"] == 200
        await anyio.sleep(3.0)
        left = len(machines_of(world, "a"))
        assert left >= 2  # busy for as long as the work runs
        assert (await move(world, "o-0000000a", "", "day", left))["status"] == 200
        await until(lambda: len(machines_of(world, DAY)) == left, 100.0)
        assert len(machines_of(world, NIGHT)) == have - left

    play_moves(world, script)


def test_a_cancelled_move_gives_its_machines_back_to_work() -> None:
    world = new_world(8)

    async def script(world: World) -> None:
        await busy_zone(world, 8, 20.0)
        await move(world, "o-0000000b", "", "night", 2)
        await anyio.sleep(1.0)
        said = await command(world, "cancel", id="o-0000000b")
        assert said["state"] == "cancelled"
        assert (await command(world, "cancel", id="o-0000000b"))["status"] == 409
        await anyio.sleep(30.0)
        pinned(world, "run-000002", 8, 4.0)
        await until(lambda: world.told.get("run-000002") == "done", 30.0)
        assert not machines_of(world, NIGHT)

    play_moves(world, script)


def test_the_plan_moves_half_of_the_machines_and_keeps_to_it() -> None:
    world = new_world(9, FIXED_PLAN)

    async def script(world: World) -> None:
        await busy_zone(world, 32, 8.0)
        await until(lambda: len(machines_of(world, NIGHT)) >= 2, 60.0)

    history = play_moves(world, script, 60.0)
    moves = [h for h in history.handovers if h[2] == "a"]
    assert len(moves) >= 2


def test_work_that_no_partition_serves_may_use_idle_room_after_a_while() -> None:
    """No job waits beside room that fits it, whoever the room is kept for."""
    world = new_world(10)
    started: list[float] = []

    async def script(world: World) -> None:
        await busy_zone(world, 8, 5.0)
        await until(lambda: world.told.get("run-000001") == "done")
        have = len(machines_of(world, "a"))
        await move(world, "o-0000000c", "", "night", have)
        await until(lambda: len(machines_of(world, NIGHT)) == have, 20.0)
        world.modes = {(n, "cloud"): "refused" for n in world.names}  # nothing new is rented
        handed_in = now()
        pinned(world, "run-000002", 2, 5.0, crew="blue")
        await until(lambda: "run-000002/0" in world.first_start, 80.0)
        started.append(now() - handed_in)

    play_moves(world, script, 150.0)
    assert 25.0 < started[0] < 75.0


# Failures on the way


async def crash(world: World, name: str, pause: float = 3.0) -> None:
    world.crash(name)
    await anyio.sleep(pause)
    world.start_controller(name)


def owner(world: World, shard: str) -> str:
    record = world.state.keys.get(SHARDS + shard)
    return str(record[0]["owner"]) if record is not None else ""


def who(world: World, role: str) -> str:
    """The controller that plays a role in a move now."""
    shard = {"giver": "a", "receiver": str(NIGHT)}.get(role)
    if shard is None:
        record = world.state.keys.get("dw/leader")
        return str(record[0]["node"]) if record is not None else world.names[0]
    return owner(world, shard) or world.names[0]


async def inject_fault(world: World, kind: str, names: list[str]) -> None:
    """What happens to these controllers, and its end."""
    async with anyio.create_task_group() as group:
        for name in dict.fromkeys(names):
            if kind == "crash":
                group.start_soon(crash, world, name)
            elif kind == "blink":
                group.start_soon(crash, world, name, 0.1)
            elif kind == "hang":
                group.start_soon(world.stand_still, name, 17.0)
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


def play_trouble(seed: int, kind: str, roles: list[str], after: float) -> None:
    """A move of machines of which some are busy, with a fault at one of its steps; in the end
    the plan's wish is met, all work is done, and nothing has run twice."""
    world = new_world(seed)

    async def script(world: World) -> None:
        await busy_zone(world, 16, 8.0)
        pinned(world, "run-000002", 12, 9.0)
        pinned(world, "run-000003", 3, 9.0, shape="group", cpus=4.0)
        await move(world, "o-0000000d", "", "night", 3)
        await anyio.sleep(after)
        await inject_fault(world, kind, [who(world, role) for role in roles])
        world.calm_at = now()
        pinned(world, "run-000004", 6, 4.0)
        await until(
            lambda: all(world.told.get(f"run-00000{n}") == "done" for n in (1, 2, 3, 4)), 110.0
        )

    history = play_moves(world, script, 220.0)
    assert history.open_transfers() == []


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("roles", ROLES, ids="+".join)
def test_any_controller_may_fail_while_machines_move(kind: str, roles: list[str]) -> None:
    number = KINDS.index(kind) * len(ROLES) + ROLES.index(roles)
    after = list(STEPS.values())[number % len(STEPS)]
    play_trouble(100 + number, kind, roles, after)


# Faults of the services and of machines on the way


async def state_down(world: World) -> None:
    world.state.set_down(True)
    await anyio.sleep(60.0)
    world.state.set_down(False)


async def answers_lost(world: World) -> None:
    """Writes are carried out and only their answers lost."""
    world.lost_answers = 0.3
    await anyio.sleep(25.0)
    world.lost_answers = 0.0


async def writes_late(world: World) -> None:
    world.late_writes = 0.3
    await anyio.sleep(25.0)
    world.late_writes = 0.0


async def late_heartbeats(world: World) -> None:
    """Copies of heartbeats that name the former holder, up to three leases late."""
    world.copies = 0.3
    await anyio.sleep(40.0)
    world.copies = 0.0


async def machine_hangs(world: World) -> None:
    """A machine that is being drained hangs, one for less and one for more than its lease."""
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
    """Machines of the giving partition are gone without notice; new ones come up in mid-move."""
    for machine in sorted(machines_of(world, "a"))[:2]:
        world.remove_machine(machine)
    pinned(world, "run-000005", 12, 5.0)
    await anyio.sleep(20.0)


async def unreachable_workers(world: World) -> None:
    """Machines whose heartbeats arrive but that no answer reaches."""
    unreachable = [
        world.workers[m] for m in sorted(machines_of(world, "a"))[:2] if m in world.workers
    ]
    for worker in unreachable:
        worker.unreachable = True
    await anyio.sleep(30.0)
    for worker in unreachable:
        worker.unreachable = False


async def all_killed(world: World) -> None:
    for name in list(world.names):
        world.crash(name)
    await anyio.sleep(1.0)
    for name in list(world.names):
        world.start_controller(name)


async def leaders_in_turn(world: World) -> None:
    for _ in range(4):
        await crash(world, who(world, "leader"), 0.3)
        await anyio.sleep(7.0)


async def giver_cut_from_workers(world: World) -> None:
    """The giving shard gets another owner for a reason of its own."""
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
    """In the end every move has ended, all work is done, and nothing was counted twice. With a
    second move a minute is not over before the machines are sent on to a third holder."""
    world = new_world(300 + WORLD_FAULTS.index(fault))

    async def script(world: World) -> None:
        await busy_zone(world, 16, 8.0)
        pinned(world, "run-000002", 12, 9.0)
        pinned(world, "run-000003", 3, 9.0, shape="group", cpus=4.0)
        await move(world, "o-0000000e", "", "night", 3)
        await anyio.sleep(2.5)
        async with anyio.create_task_group() as group:
            group.start_soon(fault, world)
            if second:
                await anyio.sleep(5.0)
                await move(world, "o-0000000f", "night", "day", 1)
        world.calm_at = now()
        pinned(world, "run-000004", 6, 4.0)
        await until(
            lambda: all(world.told.get(f"run-00000{n}") == "done" for n in (1, 2, 3, 4)), 120.0
        )
        await anyio.sleep(45.0)

    history = play_moves(world, script, 330.0)
    assert history.open_transfers() == []


def test_a_reserved_gang_is_released_when_its_machine_is_drained() -> None:
    world = new_world(31)

    async def script(world: World) -> None:
        await busy_zone(world, 8, 20.0)
        pinned(world, "run-000002", 2, 5.0, shape="group", cpus=8.0)
        await anyio.sleep(3.0)
        have = len(machines_of(world, "a"))
        await move(world, "o-00000010", "", "night", have - 1)
        await until(lambda: world.told.get("run-000002") == "done", 90.0)

    history = play_moves(world, script)
    assert history.open_transfers() == []


def test_services_move_first_and_are_served_meanwhile() -> None:
    world = new_world(32)
    before: list[float] = []

    async def script(world: World) -> None:
        await partitions_begun(world)
        service = {"shape": "daemon", "urgency": "critical", "expected_s": 0.0, "cpus": 1.0}
        pinned(world, "run-000001", 2, 0.0, **service)
        pinned(world, "run-000002", 4, 30.0, cpus=8.0)
        await until(lambda: len(running(world)) >= 6, 60.0)
        await until(lambda: world.told.get("run-000002") == "done", 60.0)
        with_replicas = {w.name for w, n in world.on_machines() if n.startswith("run-000001")}
        have = len(machines_of(world, "a"))
        await move(world, "o-00000011", "", "night", have - 1)
        await until(lambda: len(machines_of(world, NIGHT)) >= have - 1, 60.0)
        left = machines_of(world, "a")
        assert {w.name for w, n in world.on_machines() if n.startswith("run-000001")} == left
        before.append(len(with_replicas - left))
        await anyio.sleep(5.0)

    play_moves(world, script, 170.0)
    assert sum(world.served.values()) > 60.0


def test_cancel_submit_and_end_in_the_same_moment_as_a_move() -> None:
    for seed in (41, 42, 43):
        world = new_world(seed)

        async def script(world: World) -> None:
            await busy_zone(world, 8, 10.0)
            pinned(world, "run-000002", 8, 40.0, cancel_after=6.0)
            await anyio.sleep(5.9 + 0.05 * world.random.random())
            pinned(world, "run-000003", 8, 4.0)
            await move(world, "o-00000012", "", "night", 2)
            await until(lambda: world.told.get("run-000003") == "done", 60.0)
            await until(lambda: world.told.get("run-000002") == "withdrawn", 20.0)
            world.calm_at = now()
            await anyio.sleep(45.0)

        history = play_moves(world, script, 160.0)
        assert history.open_transfers() == []


def test_limits_of_teams_hold_over_all_partitions() -> None:
    """Blue may use 24 CPUs in all, in the zone's shard and in its partition together."""
    world = new_world(33)
    most: list[float] = []

    async def watch(world: World) -> None:
        while True:
            used = [world.jobs[n.partition("/")[0]]["cpus"] for _, n in world.on_machines()]
            most.append(sum(used))
            await anyio.sleep(0.25)

    async def script(world: World) -> None:
        await partitions_begun(world)
        world.group.start_soon(watch, world)
        for n in range(6):
            pinned(world, f"run-00000{n}", 8, 9.0, crew="blue")
        await until(lambda: len(machines_of(world, "a")) >= 2, 30.0)
        await move(world, "o-00000013", "", "day", 1)
        await until(lambda: {"done"} == set(world.told.values()) and len(world.told) == 6, 150.0)

    play_moves(world, script, 200.0)
    assert 16.0 <= max(most) <= 24.0


BAD_COMMANDS: list[tuple[dict[str, Any], str]] = [
    ({"count": 99}, "count: the zone itself has"),
    ({"count": 0}, "count: a number from 1"),
    ({"count": "2"}, "count: a number from 1"),
    ({"zone": "x"}, "zone: unknown zone 'x'"),
    ({"type": "x9"}, "type: unknown type 'x9'"),
    ({"source": "x"}, "source: unknown share 'x'"),
    ({"target": "x"}, "target: unknown share 'x'"),
    ({"target": ""}, "target: the same share as source"),
    ({"id": "mine"}, "id: must be o-"),
    ({"zone": None}, "zone: a text is needed"),
]


def test_bad_commands_and_plans_are_refused() -> None:
    world = new_world(34)
    good = {
        "id": "o-000000aa",
        "zone": "a",
        "type": "c8",
        "count": 1,
        "source": "",
        "target": "night",
    }

    async def script(world: World) -> None:
        await busy_zone(world, 4, 5.0)
        for fields, complaint in BAD_COMMANDS:
            said = await command(world, "move", **(good | fields))
            assert said["status"] == 400, said
            assert complaint in said["error"], said
            assert "\n" not in said["error"]
        assert (await command(world, "cancel", id="o-nothing"))["status"] == 404
        assert (await command(world, "dance"))["status"] == 400
        before = (await command(world, "show"))["plan"]
        for plan, complaint in (
            (7, "Expected `object`"),
            ({"shares": {"x": {"teams": ["nobody"], "rules": [{"types": ["c8"]}]}}}, "'nobody'"),
            ({"shares": {"x": {"teams": ["red"], "rules": [{"types": ["c9"]}]}}}, "type 'c9'"),
            ({"shares": {"x" * 20_000: {}}}, "larger than a value"),
        ):
            said = await command(world, "plan", plan=plan)
            assert said["status"] == 400, said
            assert complaint in said["error"], said
        assert (await command(world, "show"))["plan"] == before

    play_moves(world, script, 80.0)


def test_a_stored_plan_is_in_force_at_every_leader_until_it_is_reset() -> None:
    world = new_world(35)
    rules = [{"types": ["c8"], "least": 0.5}]
    plan = {"shares": {"x": {"teams": ["red"], "rules": rules}}}

    async def partitions_now(world: World) -> set[str]:
        return set((await command(world, "show"))["plan"].get("shares", {}))

    async def script(world: World) -> None:
        await busy_zone(world, 8, 30.0)
        assert (await command(world, "plan", plan=plan))["status"] == 200
        await anyio.sleep(2.0)
        assert await partitions_now(world) == {"x"}
        await crash(world, who(world, "leader"))
        await anyio.sleep(10.0)
        assert await partitions_now(world) == {"x"}
        await until(lambda: bool(machines_of(world, shard_name("a", "x"))), 40.0)
        assert (await command(world, "plan"))["status"] == 200
        await anyio.sleep(2.0)
        assert await partitions_now(world) == {"night", "day"}
        await until(lambda: not machines_of(world, shard_name("a", "x")), 60.0)

    play_moves(world, script)


def test_malformed_records_are_refused_and_end_nothing() -> None:
    world = new_world(36)

    async def script(world: World) -> None:
        await busy_zone(world, 4, 8.0)
        good: dict[str, Any] = {
            "generation": 1,
            "source": "a",
            "target": "a/~night",
            "type": "c8",
            "count": 1,
            "state": "draining",
            "at": 0.0,
            "until": 1e9,
        }
        bad_fields: list[dict[str, Any]] = [
            {"state": "lost"},
            {"count": 0},
            {"count": "x"},
            {"target": "a"},
            {"moved": -1},
            {"draining": ["m"] * 2},
            {"draining": [f"m{n}" for n in range(61)]},
            {"source": 4},
        ]
        for number, bad in enumerate(bad_fields):
            world.state.ledger += 1
            key, value = f"dw/s/bad{number}", good | bad
            world.state.keys[key] = (value, world.state.ledger, None)
            world.state.log.append((world.state.ledger, key, value, False))
        world.state.ledger += 1
        world.state.keys["dw/shares"] = ({"shares": 7}, world.state.ledger, None)
        world.state.log.append((world.state.ledger, "dw/shares", {"shares": 7}, False))
        await anyio.sleep(5.0)
        assert (await command(world, "show"))["transfers"] == []
        await move(world, "o-00000014", "", "night", 1)
        await until(lambda: len(machines_of(world, NIGHT)) == 1, 60.0)
        # They are no transfers: the checker of histories is not shown them.
        world.state.log = [e for e in world.state.log if not e[1].startswith("dw/s/bad")]

    play_moves(world, script, 110.0)


@pytest.mark.parametrize("seed", range(6))
def test_random_moves_and_faults(seed: int) -> None:
    """Any moves, with any of the faults above, one after the other."""
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
                await inject_fault(world, kind, [who(world, role) for role in roles])

    async def script(world: World) -> None:
        await partitions_begun(world)
        for n in range(12):
            body = world.random_job() | {"name_id": f"run-1{n:05d}"}
            cancel = 20.0 if n % 4 == 0 else None
            world.group.start_soon(world.user, body["name_id"], body, cancel)
        pinned(world, "run-000001", 20, 12.0)
        async with anyio.create_task_group() as group:
            group.start_soon(moves, world)
            group.start_soon(faults, world)
        world.calm_at = now()
        await anyio.sleep(100.0)

    history = play_moves(world, script, 420.0)
    assert history.open_transfers() == []
    assert set(world.told.values()) <= {"done", "withdrawn"}
    assert len(world.told) >= 13
