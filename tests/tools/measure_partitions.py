"""Measures simulated moves of machines between partitions, and the waits of tasks around them.

`PYTHONPATH=src:tests target/ci/bin/python tests/tools/measure_partitions.py` simulates each move
with the stand-ins in virtual time and prints the table in `docs/partitions.md`.
"""

from __future__ import annotations

import logging
import statistics
import sys
from typing import NamedTuple

import anyio
import msgspec

from dapplewick.storage.formats import PARTITIONS_FORMAT
from dapplewick.storage.keys import FORMAT, MACHINES
from standins import World, now, run_in_virtual_time
from support.partition_moves import (
    NIGHT,
    PLAN,
    machines_of,
    move,
    new_world,
    submit_zone_job,
    wait_until,
)

SIZES = (4, 16, 48)
LOADS = {"idle": 0.0, "tasks of 10 s": 10.0, "tasks of 60 s": 60.0}
SEEDS = (1, 2, 3)
MOVE_WITHIN_S = 300.0  # the default of `move_within_s`; the plan of the tests sets less


class MoveTiming(NamedTuple):
    """The duration of a move, and the median wait of tasks for their start before and after it."""

    move_s: float
    wait_before_s: float
    wait_after_s: float


async def start_fleet(world: World, machines: int) -> None:
    """Start three times as many machines in zone a as will move.

    The machine group is written to the state service directly, as if an earlier leader had
    provisioned it.
    """
    names = [f"vm-{n:06d}" for n in range(3 * machines)]
    value = {"type": "c8", "zone": "a", "spot": False, "machines": dict.fromkeys(names, "u")}
    world.state.ledger += 1
    world.state.keys[f"{MACHINES}r-0"] = (value, world.state.ledger, None)
    world.state.log.append((world.state.ledger, f"{MACHINES}r-0", value, False))
    world.boot_s = (0.1, 1.0)
    for name in names:
        world.new_machine(name, "c8", "a", False)
    world.cloud.next_name = len(names)
    await wait_until(
        lambda: world.state.keys.get(FORMAT, ({"version": 0},))[0]["version"] == PARTITIONS_FORMAT
    )
    await anyio.sleep(6.0)
    # The cloud refuses further machines, so that the moving ones stay busy in the runs with load.
    world.modes = {(name, "cloud"): "refused" for name in world.names}


def median_wait(world: World, job: str) -> float:
    """Return the median time in seconds from a job's acceptance to the first start of its tasks."""
    at = world.accepted_at[job]
    return statistics.median(
        started - at for name, started in world.first_start.items() if name.startswith(job + "/")
    )


def run_move(machines: int, task_s: float, seed: int) -> MoveTiming:
    world = new_world(seed, msgspec.structs.replace(PLAN, move_within_s=MOVE_WITHIN_S))
    results: list[MoveTiming] = []

    async def script() -> None:
        await start_fleet(world, machines)
        job = 0
        if task_s:
            # A new job each `task_s` seconds keeps all machines busy.
            async def load() -> None:
                nonlocal job
                while True:
                    job += 1
                    submit_zone_job(world, f"run-{job:06d}", 12 * machines + 2, task_s)
                    await anyio.sleep(task_s)

            world.group.start_soon(load)
            await anyio.sleep(max(12.0, 1.5 * task_s))
        started_at = now()
        await move(world, "o-00000001", "", "night", machines)
        with anyio.move_on_after(600.0):
            await wait_until(lambda: len(machines_of(world, NIGHT)) >= machines, 590.0)
        move_s = now() - started_at
        await anyio.sleep(max(15.0, 1.5 * task_s))
        waits = [0.0, 0.0]
        if task_s:
            waits = [median_wait(world, "run-000001"), median_wait(world, f"run-{job - 1:06d}")]
        results.append(MoveTiming(move_s, *waits))
        world.group.cancel_scope.cancel()

    async def main() -> None:
        await world.run_scenario(1200.0, script)

    run_in_virtual_time(main)
    assert world.violations == []
    return results[0]


def main() -> None:
    logging.disable(logging.CRITICAL)
    print(
        "| machines that move | load | move (s), three seeds | wait before (s) | wait after (s) |"
    )
    print("| --- | --- | --- | --- | --- |")
    for machines in SIZES:
        for load, task_s in LOADS.items():
            timings = [run_move(machines, task_s, seed) for seed in SEEDS]
            moves = ", ".join(f"{p.move_s:.1f}" for p in timings)
            before = ", ".join(f"{p.wait_before_s:.1f}" for p in timings)
            after = ", ".join(f"{p.wait_after_s:.1f}" for p in timings)
            print(f"| {machines} | {load} | {moves} | {before} | {after} |")
            sys.stdout.flush()


if __name__ == "__main__":
    main()
