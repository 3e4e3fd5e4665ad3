"""Runs scenarios in virtual time, with actions of users and operators."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

import anyio

from dapplewick.transport.http import Request
from standins import World, now, run_in_virtual_time

Fault = Callable[[World], Coroutine[Any, Any, None]]


def owners(world: World) -> list[str]:
    """The controllers that own a shard now, or the first controller if none does."""
    return (
        sorted(n for n, controller in world.controllers.items() if controller.shard_schedulers)
        or world.names[:1]
    )


def run_fault_scenario(
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
        await world.run_scenario(length, script)

    run_in_virtual_time(main)
    return world


def run_script(
    world: World, length: float, script: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Run a scenario and a concurrent script in virtual time."""

    async def main() -> None:
        await world.run_scenario(length, script)

    run_in_virtual_time(main)


def submit_jobs(world: World, count: int, first: int = 0, **fields: object) -> None:
    """Submit `count` identical jobs, numbered from `first`."""
    for n in range(first, first + count):
        body = world.job(name_id=f"run-{n:06d}", **fields)
        world.group.start_soon(world.user, body["name_id"], body, None)


Script = Callable[[World], Coroutine[Any, Any, None]]


def leader(world: World) -> str:
    record = world.state.keys.get("dw/leader")
    return record[0]["node"] if record is not None else world.names[0]


async def call(
    world: World, name: str, method: str, job: str, verb: str = ""
) -> tuple[int, dict[str, Any]]:
    """Send a user's request to one controller."""
    path = f"/v2/runs/{job}" + (f"/{verb}" if verb else "")
    question = world.history.record_request(job, verb or "poll")
    answer = await world.controllers[name].handle(Request(method, path, b"", False))
    assert answer.status != 503 or answer.retry_after
    return answer.status, world.check_answer(question, name, answer)


async def cancel(world: World, name: str, jobs: list[str]) -> None:
    """Cancel jobs through one controller; a confirmed cancellation is recorded as final."""
    for job in jobs:
        status, answer_body = await call(world, name, "POST", job, "abort")
        if status == 200 and answer_body["stage"] == "withdrawn":
            world.reported_stages[job] = "withdrawn"
            world.cancelled_at.setdefault(job, now())


def unfinished_jobs(world: World) -> dict[str, str]:
    return {j: s for j, s in world.reported_stages.items() if s not in ("done", "withdrawn")}


def run_script_scenario(script: Script, seed: int, length: float, count: int = 3) -> World:
    world = World(seed, count)

    async def run() -> None:
        await script(world)

    run_script(world, length, run)
    return world
