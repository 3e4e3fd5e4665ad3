"""More work than room, and a gang whose tasks take nothing: every controller hangs and ends."""

from __future__ import annotations

import asyncio
import itertools
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from world import BROKEN, HELD, NOT_RUN, World, job, main, trouble

MACHINES = 32  # "up to about 32 machines" (BRIEF)
FULL_WITHIN_S = 20.0
OBSERVED_S = 94.0
FORGOTTEN_S = 75.0  # "no question is answered for 75 s" (kit/more/hunt/LATER.md)
POLL_INTERVAL_S = 5.0


def running(world: World) -> int:
    """The number of tasks that machines run."""
    return sum(t.stage == "running" for w in world.workers.values() for t in w.tasks.values())


class Answers:
    """What the polls were answered: when with 200, and the newest stage of each job."""

    def __init__(self, began_at: float) -> None:
        self.times = [began_at]
        self.stages: dict[str, str] = {}

    def longest_gap_s(self) -> float:
        """The longest time without an answer."""
        times = [*self.times, time.monotonic()]
        return max(b - a for a, b in itertools.pairwise(times))


async def poll(world: World, name: str, jobs: list[str], answers: Answers) -> None:
    """Ask a controller about the jobs as a user does: about every 5 s, 2 s for an answer."""
    while True:
        for job_id in jobs:
            status, answer = await world.ask(name, "GET", f"/v2/runs/{job_id}", within_s=2.0)
            if status == 200:
                answers.times.append(time.monotonic())
                answers.stages[job_id] = answer["stage"]
        await asyncio.sleep(POLL_INTERVAL_S)


async def script(world: World) -> int:
    """Play the case."""
    world.capacity = MACHINES
    # `invoice-run`: "3 at the start", "arrays of around 46, up to 347 tasks", around 30 s.
    arrays = [f"run-00000{n}" for n in range(3)]
    for n, job_id in enumerate(arrays):
        world.run_times[job_id] = 30.0
        body = job(job_id, pieces=347 if trouble() else 46)
        if not await world.submit_until_accepted(world.names[n:] + world.names, body):
            world.log("NOT RUN", why="an array was not accepted")
            return NOT_RUN
    # With the trouble all machines are full; without it, most tasks run and there is room.
    expected = MACHINES * 16 if trouble() else 100
    until = time.monotonic() + FULL_WITHIN_S
    while running(world) < expected and time.monotonic() < until:
        await asyncio.sleep(0.2)
    await asyncio.sleep(2.0)
    world.log("arrays run", tasks=running(world), expected=expected)
    if running(world) < expected:
        return NOT_RUN
    gang = job(
        "run-000009",
        bundle="route-plan",
        crew="dispatch",
        shape="group",
        urgency="urgent",
        pieces=2,
        cpus=0.0,
        ram_gb=0.0,
    )
    if not await world.submit_until_accepted(world.names, gang):
        world.log("NOT RUN", why="the gang was not accepted")
        return NOT_RUN
    answers = Answers(time.monotonic())
    until = time.monotonic() + OBSERVED_S
    ids = [*arrays, "run-000009"]
    polls = [asyncio.create_task(poll(world, n, ids, answers)) for n in world.names]
    while time.monotonic() < until and len(world.ends) < len(world.names):
        if len(answers.stages) == len(ids) and set(answers.stages.values()) == {"done"}:
            break
        await asyncio.sleep(0.5)
    await asyncio.sleep(2.0)
    for task in polls:
        task.cancel()
    silent_s = answers.longest_gap_s()
    world.log(
        "end",
        stages=answers.stages,
        ends=world.ends,
        longest_without_an_answer_s=round(silent_s),
        lost_tasks=world.lost_tasks,
    )
    for end in world.ends:
        world.break_rule(f"a controller ended: {end}")
    if silent_s >= FORGOTTEN_S:
        world.break_rule(f"no question about any job was answered for {silent_s:.0f} s")
    return BROKEN if world.broken else HELD


main(script)
