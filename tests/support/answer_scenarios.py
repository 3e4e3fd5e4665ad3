"""Random scenarios in which many users poll short jobs at all controllers during faults.

`tests/tools/play_answers.py` runs a range of seeds; the test suite runs a few fixed seeds.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Coroutine
from typing import Any

import anyio

from dapplewick.storage.keys import LEADER
from dapplewick.transport.http import Request
from standins import World, now, run_in_virtual_time
from support.rolls import lower_limits
from support.scenarios import leader

POLL_WAIT_S, CHANGE_WAIT_S = 2.0, 5.0  # time-outs of users' polls, and of their other requests
LENGTH_S = 100.0
FAULTS_UNTIL_S = 80.0
CONTROLLERS = 4
LONG_ARRAYS = 0.05  # fraction of jobs

Fault = Callable[[World, str], Coroutine[Any, Any, None]]


def _leader_or(world: World, name: str) -> str:
    """The leader with probability 0.5 if there is one, else the given controller."""
    if LEADER not in world.state.keys or world.random.random() < 0.5:
        return name
    return leader(world)


async def _restart(world: World, name: str) -> None:
    name = _leader_or(world, name)
    world.crash(name)
    await anyio.sleep(world.random.choice([0.05, 0.3, 3.0]))
    world.start_controller(name)


async def _mode(world: World, name: str, mode: str) -> None:
    name = _leader_or(world, name)
    world.modes[(name, "state")] = mode
    await anyio.sleep(world.random.choice([0.3, 1.0, 3.0, 9.0]))
    world.modes.pop((name, "state"), None)


async def _refused(world: World, name: str) -> None:
    await _mode(world, name, "refused")


async def _cut(world: World, name: str) -> None:
    await _mode(world, name, "cut")


async def _held(world: World, name: str) -> None:
    await _mode(world, name, "held")


async def _lossy(world: World, name: str) -> None:
    await _mode(world, name, "lossy")


async def _cut_from_peers(world: World, name: str) -> None:
    world.cut_peers.add(name)
    await anyio.sleep(world.random.choice([1.0, 5.0]))
    world.cut_peers.discard(name)


async def _paused(world: World, name: str) -> None:
    await world.pause_controller(_leader_or(world, name), world.random.choice([0.4, 1.2, 3.0]))


async def _late_writes(world: World, _: str) -> None:
    world.late_writes = 0.3
    await anyio.sleep(world.random.uniform(2.0, 8.0))
    world.late_writes = 0.0


async def _lost_answers(world: World, _: str) -> None:
    world.lost_answers = 0.4
    await anyio.sleep(world.random.uniform(2.0, 8.0))
    world.lost_answers = 0.0


async def _slow_state(world: World, _: str) -> None:
    world.state_delay_factor = world.random.choice([20.0, 100.0, 400.0])
    await anyio.sleep(world.random.uniform(2.0, 6.0))
    world.state_delay_factor = 1.0


async def _outage(world: World, _: str) -> None:
    world.state.set_down(True)
    await anyio.sleep(world.random.uniform(1.0, 6.0))
    world.state.set_down(False)


FAULTS: list[Fault] = [
    _restart,
    _refused,
    _cut,
    _held,
    _lossy,
    _cut_from_peers,
    _paused,
    _late_writes,
    _lost_answers,
    _slow_state,
    _outage,
]


async def _faults(world: World) -> None:
    """Inject one fault after another; a scenario runs several of these sequences at once."""
    while now() < 1000.0 + FAULTS_UNTIL_S:
        await anyio.sleep(world.random.uniform(0.5, 5.0))
        await world.random.choice(FAULTS)(world, world.random.choice(world.names))


def _random_job(world: World, job_id: str) -> dict[str, Any]:
    """Draw a short array, a gang or a service, or rarely a long array."""
    rng = world.random
    if rng.random() < LONG_ARRAYS:
        # The record exceeds the lowered limit of a value, so it is stored in chunks.
        return world.job(name_id=job_id, pieces=400, cpus=0.1, ram_gb=0.1, true_s=2.0)
    shape = rng.choice(["sweep", "sweep", "sweep", "group", "daemon"])
    true_s = rng.choice([0.3, 1.0, 3.0, 8.0])
    return world.job(
        name_id=job_id,
        shape=shape,
        pieces=rng.randint(1, 4),
        cpus=6.0,
        ram_gb=6.0,
        image_gb=0.1,
        true_s=true_s,
        expected_s=0.0 if shape == "daemon" else true_s,
        urgency="critical" if shape == "daemon" else "standard",
    )


class JobUsers:
    """The users of one job: they submit and poll it, may cancel it, and repeat their requests."""

    def __init__(self, world: World, job_id: str) -> None:
        self.world = world
        self.job_id = job_id
        self.body = _random_job(world, job_id)
        world.jobs[job_id] = self.body
        raw = {k: v for k, v in self.body.items() if k != "true_s"}
        self.submission = Request("POST", "/v2/runs", json.dumps(raw).encode(), False)
        self.poll = Request("GET", f"/v2/runs/{job_id}", b"", False)
        self.cancellation = Request("POST", f"/v2/runs/{job_id}/abort", b"", False)
        self.cancels = self.body["shape"] == "daemon" or world.random.random() < 0.5

    async def ask(self, request: Request, name: str | None = None) -> tuple[int, Any]:
        name = name or self.world.random.choice(self.world.names)
        timeout_s = POLL_WAIT_S if request.method == "GET" else CHANGE_WAIT_S
        status, answer_body = await self.world.ask_controller(name, request, timeout_s)
        stage = answer_body.get("stage") if status in (200, 201) else None
        if status in (200, 201):
            self.world.accepted.add(self.job_id)
        if stage == "withdrawn":
            self.world.cancelled_at.setdefault(self.job_id, now())
        if stage in ("done", "withdrawn"):
            self.world.reported_stages[self.job_id] = stage
        if stage == "done" and any(
            f"{self.job_id}/{n}" not in self.world.completed_tasks
            for n in range(self.body["pieces"])
        ):
            self.world.violations.append(f"not_done {self.job_id}")
        return status, answer_body

    async def run(self) -> None:
        rng = self.world.random
        while (await self.ask(self.submission))[0] not in (200, 201):
            await anyio.sleep(rng.uniform(0.5, 1.5))
        async with anyio.create_task_group() as group:
            for _ in range(2):
                group.start_soon(self._poll_and_repeat)
            if self.cancels:
                group.start_soon(self._cancel, rng.choice([0.0, 0.05, 1.0, 3.0, 6.0, 15.0]))

    async def _cancel(self, after: float) -> None:
        await anyio.sleep(after)
        while (await self.ask(self.cancellation))[0] != 200:
            await anyio.sleep(self.world.random.uniform(0.3, 1.0))
        await self._ask_all_controllers()

    async def _poll_and_repeat(self) -> None:
        """Poll the job; repeat its submission, and its cancellation once it was requested."""
        rng = self.world.random
        while True:
            await anyio.sleep(rng.uniform(0.2, 4.0))
            requests = [self.poll, self.poll, self.submission]
            if self.world.history.jobs[self.job_id].cancel_requested:
                requests.append(self.cancellation)
            before = self.world.history.jobs[self.job_id].final
            await self.ask(rng.choice(requests))
            if self.world.history.jobs[self.job_id].final != before:
                await self._ask_all_controllers()

    async def _ask_all_controllers(self) -> None:
        """Poll the job and repeat its submission at all controllers concurrently."""
        async with anyio.create_task_group() as group:
            for name in self.world.names:
                group.start_soon(self.ask, self.poll, name)
                group.start_soon(self.ask, self.submission, name)


def run_answer_scenario(seed: int, jobs: int = 40) -> World:
    """Run a random scenario; the jobs need tens of machines."""
    world = World(seed, CONTROLLERS)
    world.boot_s = (0.5, 4.0)

    async def script() -> None:
        await anyio.sleep(3)
        if seed % 2:
            lower_limits(world)
        for _ in range(3):
            world.group.start_soon(_faults, world)
        for job_index in range(jobs):
            await anyio.sleep(world.random.uniform(0.0, 2 * (FAULTS_UNTIL_S - 10.0) / jobs))
            world.group.start_soon(JobUsers(world, f"run-{job_index:06d}").run)

    async def main() -> None:
        await world.run_scenario(LENGTH_S, script)

    run_in_virtual_time(main)
    return world
