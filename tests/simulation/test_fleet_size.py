"""No fixed limit prevents a deployment of 4,000 machines; larger ones are limited by speed."""

from __future__ import annotations

import anyio
import cbor2

from dapplewick.protocol import peers
from dapplewick.storage.formats import CURRENT_FORMAT
from dapplewick.storage.keys import FORMAT, MACHINES
from dapplewick.transport.peer import MAX_FRAME_BYTES
from standins import World
from support.scenarios import run_script
from support.shard_bench import busy_shard

MACHINE_COUNT = 4000
MACHINES_PER_RECORD = 150  # as in the records that the leader writes


def add_running_machines(world: World) -> None:
    """Add machines that an earlier leader provisioned: all running, half of them in each zone."""
    state = world.state
    state.ledger += 1
    state.keys[FORMAT] = ({"version": CURRENT_FORMAT}, state.ledger, None)
    for first in range(0, MACHINE_COUNT, MACHINES_PER_RECORD):
        names = [
            f"vm-{n:06d}" for n in range(first, min(MACHINE_COUNT, first + MACHINES_PER_RECORD))
        ]
        zone = world.zones[first // MACHINES_PER_RECORD % len(world.zones)]
        value = {"type": "c8", "zone": zone, "spot": False, "machines": dict.fromkeys(names, "u")}
        state.ledger += 1
        state.keys[f"{MACHINES}r-0-{first}"] = (value, state.ledger, None)
        for name in names:
            world.new_machine(name, "c8", zone, False)
    world.cloud.next_name = MACHINE_COUNT


def test_four_thousand_machines_are_served_through_a_change_of_leader() -> None:
    """An array and a gang complete and a job is cancelled, across a crash of the leader."""
    world = World(seed=5)
    array = world.job(name_id="run-000001", pieces=300, cpus=8.0, image_gb=0.0, true_s=3.0)
    gang = world.job(name_id="run-000002", shape="group", pieces=20, image_gb=0.0, true_s=4.0)
    endless = world.job(name_id="run-000003", pieces=100, image_gb=0.0, true_s=500.0)

    async def script() -> None:
        world.boot_s = (0.1, 0.5)
        add_running_machines(world)
        await anyio.sleep(2.0)
        for job, cancel_after in ((endless, 8.0), (gang, None), (array, None)):
            world.group.start_soon(world.user, job["name_id"], job, cancel_after)
        await anyio.sleep(4.0)
        leader = next(
            name for name, controller in world.controllers.items() if controller.leader is not None
        )
        world.crash(leader)
        await anyio.sleep(3.0)
        world.start_controller(leader)

    run_script(world, 22.0, script)
    assert world.violations == []
    assert world.reported_stages == {
        "run-000001": "done",
        "run-000002": "done",
        "run-000003": "withdrawn",
    }
    assert not any(name.startswith("run-000003/") for _, name in world.on_machines_or_fetching())
    assert len(world.workers) >= MACHINE_COUNT


def test_the_status_of_a_shard_of_four_thousand_machines_fits_into_a_frame() -> None:
    """A shard whose status exceeds the frame limit would stay without contact to the leader.

    The estimate assumes long names and 100 tasks on each machine, as many as the largest machines
    run.
    """
    bench = busy_shard(40)
    frame_bytes = len(cbor2.dumps(peers.encode(bench.scheduler.status(3.0))))
    tasks = sum(len(machine.task_attempts) for machine in bench.scheduler.machines.values())
    bytes_per_task = frame_bytes / tasks
    assert 100 * MACHINE_COUNT * bytes_per_task < MAX_FRAME_BYTES
