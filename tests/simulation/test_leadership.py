"""Changes of the leader and of shard owners, with delayed writes and heartbeats."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from dapplewick.core.estimates import Estimates
from dapplewick.core.shard.scheduler import ShardScheduler
from dapplewick.protocol.workers import Heartbeat, TaskStatus
from dapplewick.storage.conditional_write import ConditionalWrite
from dapplewick.storage.keys import LEADER
from dapplewick.storage.write_priority import WritePriority
from dapplewick.types import FencingToken, MachineId, TaskIndex, TaskRef, TypeName, zone_of
from standins import World, now
from support.faults import late_copies
from support.scenarios import leader, run_script, run_script_scenario, submit_jobs, unfinished_jobs
from support.shard_bench import TOKEN, ZONE, Bench, spec, starts

# Delayed writes and heartbeats


def test_nothing_is_planned_while_a_write_may_still_come() -> None:
    """The leader plans nothing while the outcome of a write is unknown.

    A write and then the rewriting of the leader's key get no answer. A plan that does not count the
    first write lets a team exceed its limit when that write is applied later.
    """
    world = World(4)
    lost: list[tuple[float, int]] = []

    def lose(_: str, body: dict[str, Any]) -> bool:
        keys = [op.get("write", "") for op in body.get("apply", [])]
        epoch = next((c["stamp"] for c in body.get("if", []) if c["key"] == LEADER), 0)
        assignments = any(k.startswith("dw/j/") for k in keys) and LEADER not in keys and epoch
        if len(lost) < 3 and assignments and not any(e == epoch for _, e in lost):
            lost.append((now(), epoch))
            return True
        rewrites_leader = LEADER in keys and bool(lost) and now() - lost[-1][0] < 4.0
        return rewrites_leader and world.random.random() < 0.7

    world.is_late_write = lose

    async def script() -> None:
        await anyio.sleep(3)
        submit_jobs(world, 10, pieces=6, cpus=4.0, true_s=8.0, crew="blue")

    run_script(world, 200.0, script)
    assert len(lost) == 3
    assert world.violations == []
    assert unfinished_jobs(world) == {}
    for at, epoch in lost:
        after = [
            body
            for t, _, body in world.writes
            if t > at and {"key": LEADER, "stamp": epoch} in body.get("if", [])
        ]
        assert after
        assert all(op.get("write") == LEADER for body in after for op in body["apply"])


async def many_late_writes(world: World) -> None:
    world.late_writes = 0.25
    await anyio.sleep(3)
    submit_jobs(world, 14, pieces=5, cpus=4.0, true_s=8.0, crew="blue")
    for name in [*world.names, *world.names]:
        await anyio.sleep(11)
        world.crash(name)
        await anyio.sleep(world.random.choice([0.1, 3.0]))
        world.start_controller(name)
    world.late_writes = 0.0
    world.faults_ended_at = now()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_late_writes_and_restarts_together(seed: int) -> None:
    world = run_script_scenario(many_late_writes, seed, 300.0)
    assert world.violations == []
    assert unfinished_jobs(world) == {}


def test_a_late_presence_record_of_an_earlier_incarnation_removes_no_controller() -> None:
    world = World(5)
    lost_writes: list[dict[str, Any]] = []

    def lose(_: str, body: dict[str, Any]) -> bool:
        writes_presence = any(op.get("write") == "dw/n/n2" for op in body.get("apply", []))
        if writes_presence and not lost_writes:
            lost_writes.append(body)
            return True
        return False

    world.is_late_write = lose
    seen: list[bool] = []

    async def script() -> None:
        await anyio.sleep(1.2)
        world.crash("n2")
        await anyio.sleep(0.1)
        world.start_controller("n2")
        for _ in range(40):
            await anyio.sleep(1.0)
            record = world.state.keys.get("dw/n/n2")
            seen.append(
                record is not None
                and record[0]["boot"] == world.controllers["n2"].identity.incarnation
            )

    run_script(world, 45.0, script)
    assert lost_writes
    assert all(seen[3:])


def test_a_lost_presence_record_is_written_again() -> None:
    world = World(6)

    async def script() -> None:
        await anyio.sleep(10)
        lease = world.state.keys["dw/n/n1"][2]
        world.state.keys["dw/n/n1"] = ({"boot": "earlier", "zone": "a"}, 10**6, lease)
        world.state.ledger = 10**6
        world.state.log.append((10**6, "dw/n/n1", {"boot": "earlier", "zone": "a"}, False))

    run_script(world, 25.0, script)
    assert world.state.keys["dw/n/n1"][0]["boot"] == world.controllers["n1"].identity.incarnation


def test_a_copy_that_a_new_owner_hears_first_does_not_start_a_task_twice() -> None:
    """A delayed heartbeat reports a task on a machine that the task has left since.

    The task was moved to another machine under the previous owner's token.
    """
    bench = Bench(2)
    first, second = bench.names
    bench.assign("run-1", spec(1, 1.0, 100.0), 0.0)
    scheduler = ShardScheduler(ZONE, FencingToken(60), bench.cache, Estimates(), 2.0)
    task = TaskRef("run-1", TaskIndex(0))  # type: ignore[arg-type]

    def heartbeat(name: str, sequence: int, token: int, attempt: int, at: float) -> list[Any]:
        tasks = [TaskStatus(task, attempt, "running", None, False)] if attempt else []  # type: ignore[arg-type]
        machine, zone = MachineId(name), zone_of(ZONE)
        message = Heartbeat(
            machine, TypeName("k"), zone, False, 1, sequence, FencingToken(token), None, "", tasks
        )
        return scheduler.handle_heartbeat(at, message, True)

    commands_for_copy = heartbeat(first, 5, TOKEN, 1, 3.0)
    assert commands_for_copy == []  # the copy neither stops the task nor reconciles it
    # The task is not on the first machine, and the second has not reported under the new token.
    assert heartbeat(first, 9, 60, 0, 4.0) == []
    assert heartbeat(second, 7, TOKEN, 2, 5.0) == []
    assert heartbeat(second, 8, 60, 2, 6.0) == []
    for sequence in range(10, 14):
        scheduler.tick(float(sequence))
        assert starts(heartbeat(first, sequence, 60, 0, float(sequence))) == []
        assert heartbeat(second, sequence, 60, 2, float(sequence)) == []


@pytest.mark.parametrize("seed", [5, 6])
def test_delayed_and_copied_heartbeats_reach_new_owners(seed: int) -> None:
    async def script(world: World) -> None:
        await anyio.sleep(3)
        submit_jobs(world, 10, pieces=6, cpus=2.0, true_s=40.0)
        await late_copies(world)
        world.faults_ended_at = now()

    world = run_script_scenario(script, seed, 360.0)
    assert world.late_copies_delivered > 100
    assert world.violations == []
    assert unfinished_jobs(world) == {}


# Changes of leader and owner


@pytest.mark.parametrize("outage", [False, True], ids=["", "outage"])
def test_leaders_change_ten_times_in_two_minutes(outage: bool) -> None:
    """No task runs again, although the tasks of each job end far apart."""

    async def script(world: World) -> None:
        await anyio.sleep(3)
        each = [4.0, 60.0, 150.0]
        submit_jobs(world, 6, pieces=3, cpus=2.0, true_each=each, true_s=150.0, expected_s=40.0)
        await anyio.sleep(20)
        for n in range(10):
            await anyio.sleep(9)
            if outage and n % 3 == 1:
                world.state.set_down(True)
            name = leader(world)
            world.crash(name)
            await anyio.sleep(world.random.choice([0.05, 0.6, 2.0]))
            world.start_controller(name)
            if outage and n % 3 == 2:
                world.state.set_down(False)
        world.state.set_down(False)
        world.faults_ended_at = now()

    world = run_script_scenario(script, 7, 460.0)
    assert world.violations == []
    assert unfinished_jobs(world) == {}
    assert len(world.accepted) == 6
    assert world.restarted_after_done == []


def test_a_leader_that_finds_its_old_key_after_an_outage_begins_a_new_epoch() -> None:
    """A leader that finds its old key after an outage must not continue under the old epoch.

    It would number provisioning requests and attempts from one again, and so reuse their names.
    """
    world = World(8)
    epochs: list[int] = []

    async def script() -> None:
        await anyio.sleep(3)
        submit_jobs(world, 4, pieces=12, cpus=4.0, true_s=30.0)
        for _ in range(3):
            await anyio.sleep(12)
            record = world.state.keys[LEADER]
            epochs.append(record[1])
            world.state.set_down(True)
            await anyio.sleep(11)
            world.state.set_down(False)
            await anyio.sleep(4)
            assert world.state.keys[LEADER][0]["node"] == record[0]["node"]
        epochs.append(world.state.keys[LEADER][1])

    run_script(world, 150.0, script)
    assert world.violations == []
    assert unfinished_jobs(world) == {}
    assert len(set(epochs)) == len(epochs)
    names = [
        op["write"]
        for _, _, body in world.writes
        for op in body.get("apply", [])
        if op.get("write", "").startswith("dw/b/")
    ]
    assert len(names) == len(set(names))


def test_a_write_is_made_under_the_epoch_that_was_planned_under() -> None:
    """The watch cache may receive another leader's key between two writes of a planning pass."""
    world = World(9)
    seen: list[bool] = []

    async def script() -> None:
        await anyio.sleep(5)
        name = leader(world)
        controller = world.controllers[name]
        epoch = controller.cache.version(LEADER)
        # The key of another leader, as if the watch had delivered it.
        controller.cache.put(LEADER, {"node": "n9", "boot": "other"}, epoch + 1000)
        await controller.election.write(
            FencingToken(epoch), [ConditionalWrite("dw/x", {}, 0, WritePriority.URGENT)]
        )
        seen.append({"key": LEADER, "stamp": epoch} in world.writes[-1][2]["if"])

    run_script(world, 8.0, script)
    assert seen == [True]
