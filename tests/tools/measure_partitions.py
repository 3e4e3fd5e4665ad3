"""How long moves of machines between partitions take, and what the work there waits (simulated).

Not a test: `PYTHONPATH=src:tests target/ci/bin/python tests/tools/measure_partitions.py` plays each
move with the stand-ins in virtual time and prints a table for `docs/partitions.md`.
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
WITHIN_S = 300.0  # as by default; the tests' plan has less


class Measured(NamedTuple):
    """One play: how long the move took, and the median wait of tasks before and after it."""

    move_s: float
    wait_before_s: float
    wait_after_s: float


async def fleet_up(world: World, machines: int) -> None:
    """Machines that an earlier leader rented are up in zone a, three times as many as move."""
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
    # No more are rented, so that what moves is busy where there is work.
    world.modes = {(name, "cloud"): "refused" for name in world.names}


def median_wait(world: World, job: str) -> float:
    """How long the tasks of a job waited for their start."""
    at = world.accepted_at[job]
    return statistics.median(
        started - at for name, started in world.first_start.items() if name.startswith(job + "/")
    )


def play(machines: int, task_s: float, seed: int) -> Measured:
    world = new_world(seed, msgspec.structs.replace(PLAN, move_within_s=WITHIN_S))
    measured: list[Measured] = []

    async def script() -> None:
        await fleet_up(world, machines)
        job = 0
        if task_s:
            # Jobs one after the other keep all machines busy.
            async def load() -> None:
                nonlocal job
                while True:
                    job += 1
                    submit_zone_job(world, f"run-{job:06d}", 12 * machines + 2, task_s)
                    await anyio.sleep(task_s)

            world.group.start_soon(load)
            await anyio.sleep(max(12.0, 1.5 * task_s))
        began = now()
        await move(world, "o-00000001", "", "night", machines)
        with anyio.move_on_after(600.0):
            await wait_until(lambda: len(machines_of(world, NIGHT)) >= machines, 590.0)
        took = now() - began
        await anyio.sleep(max(15.0, 1.5 * task_s))
        waits = [0.0, 0.0]
        if task_s:
            waits = [median_wait(world, "run-000001"), median_wait(world, f"run-{job - 1:06d}")]
        measured.append(Measured(took, *waits))
        world.group.cancel_scope.cancel()

    async def main() -> None:
        await world.run_scenario(1200.0, script)

    run_in_virtual_time(main)
    assert world.violations == []
    return measured[0]


def main() -> None:
    logging.disable(logging.CRITICAL)
    print(
        "| machines that move | load | move (s), three seeds | wait before (s) | wait after (s) |"
    )
    print("| --- | --- | --- | --- | --- |")
    for machines in SIZES:
        for load, task_s in LOADS.items():
            plays = [play(machines, task_s, seed) for seed in SEEDS]
            moves = ", ".join(f"{p.move_s:.1f}" for p in plays)
            before = ", ".join(f"{p.wait_before_s:.1f}" for p in plays)
            after = ", ".join(f"{p.wait_after_s:.1f}" for p in plays)
            print(f"| {machines} | {load} | {moves} | {before} | {after} |")
            sys.stdout.flush()


if __name__ == "__main__":
    main()
