"""Helpers for scenarios with partitions: plans, operator commands and machine moves."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

import anyio

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
    """Send an operator's command until a controller answers with a status other than 503."""
    for attempt in range(100):
        names = sorted(world.controllers)
        if names:
            controller = world.controllers[names[attempt % len(names)]]
            answer = await controller.on_request({"kind": "shares", "verb": verb, **fields})
            if answer is not None and answer["status"] != 503:
                return answer
        await anyio.sleep(1.0)
    raise AssertionError("no controller answered")


async def move(
    world: World, command_id: str, source: str, target: str, count: int
) -> dict[str, Any]:
    return await command(
        world, "move", id=command_id, zone="a", type="c8", source=source, target=target, count=count
    )


def submit_zone_job(world: World, name: str, pieces: int, seconds: float, **fields: Any) -> None:
    """Submit a user's job that needs machines of type c8 in zone a."""
    cancel_after = fields.pop("cancel_after", None)
    zone_fields = {"yard": "a", "builds": ["c8"], "borrowed": False, "true_s": seconds}
    body = world.job(
        name_id=name, pieces=pieces, **({"expected_s": seconds} | zone_fields | fields)
    )
    world.group.start_soon(world.user, name, body, cancel_after)


async def wait_until(condition: Callable[[], bool], within: float = 60.0) -> None:
    """Poll a condition until it holds; fails after `within` seconds."""
    end = now() + within
    while not condition():
        assert now() < end, "condition not met in time"
        await anyio.sleep(0.1)


def machines_of(world: World, shard: str) -> set[str]:
    """The machines that the stored records assign to a shard."""
    return {
        machine
        for key, (group, _, _) in world.state.keys.items()
        if key.startswith("dw/m/") and shard_name(group["zone"], group.get("share", "")) == shard
        for machine, state in group["machines"].items()
        if not state.startswith("d")
    }


async def wait_for_partitions(world: World) -> None:
    def is_switched_on() -> bool:
        record = world.state.keys.get(FORMAT)
        return record is not None and record[0]["version"] == PARTITIONS_FORMAT

    await wait_until(is_switched_on)


async def fill_zone(world: World, tasks: int = 16, seconds: float = 12.0) -> None:
    """Submit work to zone a and wait until all of it has started, four tasks on each machine."""
    await wait_for_partitions(world)
    submit_zone_job(world, "run-000001", tasks, seconds, expected_s=200.0)
    await wait_until(lambda: len(world.first_start) == tasks, 60.0)


def running(world: World) -> set[str]:
    """The names of the tasks that are on machines."""
    return {name for _, name in world.on_machines()}


def run_partition_scenario(world: World, script: Script, length: float = 150.0) -> PartitionHistory:
    """Run a scenario, check its history and the users' rules, and return the history."""

    async def main() -> None:
        async def run() -> None:
            await script(world)

        await world.run_scenario(length, run)

    run_in_virtual_time(main)
    history = PartitionHistory()
    assert history.check(world.state.log) == []
    assert world.violations == []
    return history


async def crash(world: World, name: str, pause: float = 3.0) -> None:
    world.crash(name)
    await anyio.sleep(pause)
    world.start_controller(name)


def owner(world: World, shard: str) -> str:
    record = world.state.keys.get(SHARDS + shard)
    return str(record[0]["owner"]) if record is not None else ""


def controller_in_role(world: World, role: str) -> str:
    """The controller that has a role in a move now: giver, receiver or leader."""
    shard = {"giver": "a", "receiver": str(NIGHT)}.get(role)
    if shard is None:
        record = world.state.keys.get("dw/leader")
        return str(record[0]["node"]) if record is not None else world.names[0]
    return owner(world, shard) or world.names[0]
