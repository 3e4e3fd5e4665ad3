"""Scenarios of a rolling upgrade from an earlier version to this version."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import anyio

from dapplewick.storage.formats import CURRENT_FORMAT
from dapplewick.storage.keys import FORMAT
from standins import LOWERED_LIMITS, World, now
from support.scenarios import leader, run_script

Fault = Callable[[World], Coroutine[Any, Any, None]]


async def nothing(world: World) -> None:
    pass


async def dies_before_its_turn(world: World) -> None:
    await anyio.sleep(14)
    world.crash("n2")
    await anyio.sleep(2)
    world.start_controller("n2")  # still the earlier version


async def outage(world: World) -> None:
    await anyio.sleep(20)
    world.state.set_down(True)
    await anyio.sleep(14)
    world.state.set_down(False)


async def all_killed(world: World) -> None:
    await anyio.sleep(22)
    for name in world.names:
        world.crash(name)
    await anyio.sleep(1)
    for name in world.names:
        world.start_controller(name)


async def leaders_in_turn(world: World) -> None:
    """Each leader crashes in turn, so that both versions lead alternately."""
    for _ in range(5):
        await anyio.sleep(9)
        name = leader(world)
        world.crash(name)
        await anyio.sleep(0.3)
        world.start_controller(name)


async def cut(world: World) -> None:
    await anyio.sleep(18)
    name = leader(world)
    world.modes[(name, "state")] = "cut"
    world.cut_peers.add(name)
    await anyio.sleep(18)
    world.modes.clear()
    world.cut_peers.clear()


async def writes_come_late(world: World) -> None:
    """Transactions time out and are executed seconds later, after newer ones."""
    await anyio.sleep(12)
    world.late_writes = 0.15
    await anyio.sleep(35)
    world.late_writes = 0.0


async def leader_refused_alone(world: World) -> None:
    """The state service refuses the leader, and one second later all controllers."""
    await anyio.sleep(24)
    name = leader(world)
    world.modes[(name, "state")] = "refused"
    await anyio.sleep(1)
    world.state.set_down(True)
    await anyio.sleep(12)
    world.modes.clear()
    world.state.set_down(False)


FAULTS: list[Fault] = [
    nothing,
    dies_before_its_turn,
    outage,
    all_killed,
    leaders_in_turn,
    cut,
    writes_come_late,
    leader_refused_alone,
]


@dataclass
class RollingUpgradeResult:
    """The result of a rolling upgrade.

    Attributes:
        world: the scenario after its end.
        controllers_with_early_format: controllers that still ran the earlier version when a
            record of the new format existed; empty if the upgrade is correct.
    """

    world: World
    controllers_with_early_format: list[str] = field(default_factory=list)


def submit_large_arrays(world: World, first: int) -> None:
    """Submit arrays whose records exceed the lowered limit, and whose tasks end out of order."""
    for n in range(first, first + 2):
        each = [world.random.choice([1.0, 45.0]) for _ in range(420)]
        body = world.job(
            name_id=f"run-large{n}",
            pieces=420,
            cpus=0.25,
            ram_gb=0.5,
            true_s=5.0,
            true_each=each,
        )
        world.group.start_soon(world.user, body["name_id"], body, None)


def submit_services(world: World) -> None:
    """Submit three services; the last one is cancelled after 60 s."""
    for n in range(3):
        body = world.job(
            name_id=f"run-service{n}",
            shape="daemon",
            pieces=3,
            cpus=1.0,
            urgency="critical",
            scatter=n == 1,
            borrowed=False,
            expected_s=0.0,
        )
        world.group.start_soon(world.user, body["name_id"], body, 60.0 if n == 2 else None)


def lower_limits(world: World) -> None:
    """Apply the limits of `state.next` of the settings to the state service."""
    world.state.limits_lowered, world.state.max_writes_per_s = (
        True,
        float(LOWERED_LIMITS["write_rps"]),
    )


def run_rolling_upgrade(
    earlier: SimpleNamespace, fault: Fault, seed: int, *, lowered_after: float | None = None
) -> RollingUpgradeResult:
    """Upgrade all controllers from an earlier version one by one, with a fault meanwhile.

    Args:
        earlier: The modules of the earlier version.
        fault: The fault, which runs concurrently with the upgrade.
        seed: Seed of the scenario.
        lowered_after: Seconds until the limits of the state service are lowered; None: they are
            lowered when all controllers run this version.
    """
    world = World(seed)
    world.earlier_version, world.earlier_version_controllers = earlier, set(world.names)
    result = RollingUpgradeResult(world)

    async def lower_limits_later() -> None:
        assert lowered_after is not None
        await anyio.sleep(lowered_after)
        lower_limits(world)

    async def roll() -> None:
        await anyio.sleep(12)
        for name in world.names:
            await anyio.sleep(10)
            if FORMAT in world.state.keys:
                result.controllers_with_early_format.append(name)
            world.earlier_version_controllers.discard(name)
            world.crash(name)
            await anyio.sleep(world.random.choice([0.2, 3.0]))
            world.start_controller(name)

    async def script() -> None:
        await anyio.sleep(2)
        for n in range(16):
            body = world.random_job() | {"name_id": f"run-{n:06d}"}
            body["true_s"] *= 3.0
            world.group.start_soon(world.user, body["name_id"], body, 30.0 if n % 5 == 0 else None)
        submit_large_arrays(world, 2)
        async with anyio.create_task_group() as group:
            group.start_soon(roll)
            group.start_soon(fault, world)
            if lowered_after is not None:
                group.start_soon(lower_limits_later)
                submit_services(world)
        await anyio.sleep(world.random.uniform(5.0, 9.0))
        assert world.state.keys[FORMAT][0] == {"version": CURRENT_FORMAT}
        if lowered_after is None:
            submit_services(world)
            await anyio.sleep(world.random.uniform(0.0, 10.0))
            lower_limits(world)
        submit_large_arrays(world, 4)
        world.faults_ended_at = now()
        await anyio.sleep(110)

    run_script(world, 330.0, script)
    return result
