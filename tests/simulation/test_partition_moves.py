"""Moves of machines between partitions, with running tasks, further moves and cancellations."""

from __future__ import annotations

from typing import Any

import anyio

from standins import World, now
from support.partition_moves import (
    DAY,
    FIXED_PLAN,
    NIGHT,
    command,
    fill_zone,
    machines_of,
    move,
    new_world,
    run_partition_scenario,
    running,
    submit_zone_job,
    wait_for_partitions,
    wait_until,
)


def test_idle_machines_move_at_once_and_work_starts_under_the_new_owner() -> None:
    world = new_world(1)
    seen: dict[str, Any] = {}

    async def script(world: World) -> None:
        await fill_zone(world, 16, 10.0)
        await wait_until(lambda: world.reported_stages.get("run-000001") == "done", 60.0)
        seen["before"] = machines_of(world, "a")
        answer = await move(world, "o-00000001", "", "night", 2)
        assert answer["status"] == 200
        await wait_until(lambda: len(machines_of(world, NIGHT)) == 2, 10.0)
        seen["after"] = machines_of(world, NIGHT)
        submit_zone_job(world, "run-000002", 2, 5.0, cpus=8.0)
        await wait_until(lambda: world.reported_stages.get("run-000002") == "done", 30.0)

    history = run_partition_scenario(world, script)
    assert seen["after"] < seen["before"]
    assert len(history.handovers) >= 2
    assert NIGHT in {shard for _, _, _, shard in history.handovers}


def test_running_tasks_end_where_they_are_and_each_machine_goes_when_it_is_empty() -> None:
    world = new_world(2)
    durations_s: list[float] = []

    async def script(world: World) -> None:
        await fill_zone(world, 16, 25.0)
        started_at = now()
        machine_count = len(machines_of(world, "a"))
        assert (await move(world, "o-00000002", "", "night", machine_count))["status"] == 200
        await wait_until(lambda: len(machines_of(world, NIGHT)) == machine_count, 40.0)
        durations_s.append(now() - started_at)
        assert len(world.completed_tasks) == 16
        answer = await command(world, "show")
        assert [t["state"] for t in answer["transfers"]] == ["complete"]

    run_partition_scenario(world, script)
    assert durations_s[0] > 2.0  # no task was stopped for the move
    assert world.restarted_after_done == []
    assert max(world.start_counts.values()) == 1


def test_why_a_machine_has_not_moved_is_shown_to_operators() -> None:
    world = new_world(3)
    wait_reasons: list[str] = []

    async def script(world: World) -> None:
        await fill_zone(world, 4, 60.0)
        await move(world, "o-00000003", "", "night", 1)
        await anyio.sleep(2.0)
        answer = await command(world, "show")
        wait_reasons.extend(answer["transfers"][0]["waits_for"].values())

    run_partition_scenario(world, script, 60.0)
    assert len(wait_reasons) == 1
    assert "4 tasks on it, expected to end in" in wait_reasons[0]


def test_a_long_task_blocks_no_other_machine_and_an_overdue_move_takes_another() -> None:
    world = new_world(4)

    async def script(world: World) -> None:
        await wait_for_partitions(world)
        submit_zone_job(world, "run-000001", 2, 400.0, cpus=8.0)
        await wait_until(lambda: len(running(world)) == 2, 40.0)
        machine_count = len(machines_of(world, "a"))
        await move(world, "o-00000004", "", "night", machine_count)
        await wait_until(lambda: len(machines_of(world, NIGHT)) == machine_count - 2, 15.0)
        await anyio.sleep(28.0)
        # A job that may not use the partition causes another machine to be provisioned. This one
        # is soon idle, and is moved instead of an overdue machine.
        submit_zone_job(world, "run-000002", 1, 20.0, cpus=8.0, crew="blue", borrowed=True)
        await wait_until(lambda: len(machines_of(world, NIGHT)) == machine_count - 1, 110.0)
        answer = await command(world, "show")
        assert [t["state"] for t in answer["transfers"][:1]] == ["overdue"]

    history = run_partition_scenario(world, script, 170.0)
    assert any("-again" in key for _, key, _, _ in world.state.log if key.startswith("dw/s/"))
    assert world.restarted_after_done == []
    assert len(history.handovers) >= 1


def test_of_opposite_moves_within_a_minute_the_later_takes_effect() -> None:
    world = new_world(5)

    async def script(world: World) -> None:
        await fill_zone(world, 24, 20.0)
        await move(world, "o-00000005", "", "night", 4)
        await anyio.sleep(6.0)
        await move(world, "o-00000006", "night", "", 4)
        await wait_until(lambda: not machines_of(world, NIGHT), 60.0)
        await anyio.sleep(15.0)
        assert not machines_of(world, NIGHT)

    history = run_partition_scenario(world, script)
    assert history.open_transfers() == []


def test_machines_move_on_to_a_third_owner_within_a_minute() -> None:
    world = new_world(6)

    async def script(world: World) -> None:
        await fill_zone(world, 16, 15.0)
        await move(world, "o-00000007", "", "night", 3)
        await anyio.sleep(2.0)
        assert (await move(world, "o-00000008", "night", "day", 3))["status"] == 200
        await wait_until(lambda: len(machines_of(world, DAY)) == 3, 60.0)
        assert not machines_of(world, NIGHT)

    history = run_partition_scenario(world, script)
    machines_moved_on = {machine for _, machine, _, shard in history.handovers if shard == DAY}
    assert len(machines_moved_on) == 3


def test_a_later_move_from_the_same_partition_takes_machines_over() -> None:
    world = new_world(7)

    async def script(world: World) -> None:
        await fill_zone(world, 8, 30.0)
        machine_count = len(machines_of(world, "a"))
        assert (await move(world, "o-00000009", "", "night", machine_count))["status"] == 200
        await anyio.sleep(3.0)
        remaining = len(machines_of(world, "a"))
        assert remaining >= 2  # machines with tasks stay until the tasks end
        assert (await move(world, "o-0000000a", "", "day", remaining))["status"] == 200
        await wait_until(lambda: len(machines_of(world, DAY)) == remaining, 100.0)
        assert len(machines_of(world, NIGHT)) == machine_count - remaining

    run_partition_scenario(world, script)


def test_a_cancelled_move_gives_its_machines_back_to_work() -> None:
    world = new_world(8)

    async def script(world: World) -> None:
        await fill_zone(world, 8, 20.0)
        await move(world, "o-0000000b", "", "night", 2)
        await anyio.sleep(1.0)
        answer = await command(world, "cancel", id="o-0000000b")
        assert answer["state"] == "cancelled"
        assert (await command(world, "cancel", id="o-0000000b"))["status"] == 409
        await anyio.sleep(30.0)
        submit_zone_job(world, "run-000002", 8, 4.0)
        await wait_until(lambda: world.reported_stages.get("run-000002") == "done", 30.0)
        assert not machines_of(world, NIGHT)

    run_partition_scenario(world, script)


def test_the_plan_moves_half_of_the_machines_and_keeps_to_it() -> None:
    world = new_world(9, FIXED_PLAN)

    async def script(world: World) -> None:
        await fill_zone(world, 32, 8.0)
        await wait_until(lambda: len(machines_of(world, NIGHT)) >= 2, 60.0)

    history = run_partition_scenario(world, script, 60.0)
    moves = [h for h in history.handovers if h[2] == "a"]
    assert len(moves) >= 2


def test_work_that_no_partition_serves_may_use_idle_machines_after_a_delay() -> None:
    """No job waits for long while machines that fit it are idle, in whichever partition."""
    world = new_world(10)
    waits_s: list[float] = []

    async def script(world: World) -> None:
        await fill_zone(world, 8, 5.0)
        await wait_until(lambda: world.reported_stages.get("run-000001") == "done")
        machine_count = len(machines_of(world, "a"))
        await move(world, "o-0000000c", "", "night", machine_count)
        await wait_until(lambda: len(machines_of(world, NIGHT)) == machine_count, 20.0)
        world.modes = {(n, "cloud"): "refused" for n in world.names}  # prevents provisioning
        submitted_at = now()
        submit_zone_job(world, "run-000002", 2, 5.0, crew="blue")
        await wait_until(lambda: "run-000002/0" in world.first_start, 80.0)
        waits_s.append(now() - submitted_at)

    run_partition_scenario(world, script, 150.0)
    assert 25.0 < waits_s[0] < 75.0


def test_a_reserved_gang_is_released_when_its_machine_is_drained() -> None:
    world = new_world(31)

    async def script(world: World) -> None:
        await fill_zone(world, 8, 20.0)
        submit_zone_job(world, "run-000002", 2, 5.0, shape="group", cpus=8.0)
        await anyio.sleep(3.0)
        machine_count = len(machines_of(world, "a"))
        await move(world, "o-00000010", "", "night", machine_count - 1)
        await wait_until(lambda: world.reported_stages.get("run-000002") == "done", 90.0)

    history = run_partition_scenario(world, script)
    assert history.open_transfers() == []


def test_services_move_first_and_are_served_meanwhile() -> None:
    world = new_world(32)
    replicas_moved: list[float] = []

    async def script(world: World) -> None:
        await wait_for_partitions(world)
        service = {"shape": "daemon", "urgency": "critical", "expected_s": 0.0, "cpus": 1.0}
        submit_zone_job(world, "run-000001", 2, 0.0, **service)
        submit_zone_job(world, "run-000002", 4, 30.0, cpus=8.0)
        await wait_until(lambda: len(running(world)) >= 6, 60.0)
        await wait_until(lambda: world.reported_stages.get("run-000002") == "done", 60.0)
        with_replicas = {w.name for w, n in world.on_machines() if n.startswith("run-000001")}
        machine_count = len(machines_of(world, "a"))
        await move(world, "o-00000011", "", "night", machine_count - 1)
        await wait_until(lambda: len(machines_of(world, NIGHT)) >= machine_count - 1, 60.0)
        remaining = machines_of(world, "a")
        assert {w.name for w, n in world.on_machines() if n.startswith("run-000001")} == remaining
        replicas_moved.append(len(with_replicas - remaining))
        await anyio.sleep(5.0)

    run_partition_scenario(world, script, 170.0)
    assert sum(world.replica_run_s.values()) > 60.0


def test_cancel_submit_and_end_in_the_same_moment_as_a_move() -> None:
    for seed in (41, 42, 43):
        world = new_world(seed)

        async def script(world: World) -> None:
            await fill_zone(world, 8, 10.0)
            submit_zone_job(world, "run-000002", 8, 40.0, cancel_after=6.0)
            await anyio.sleep(5.9 + 0.05 * world.random.random())
            submit_zone_job(world, "run-000003", 8, 4.0)
            await move(world, "o-00000012", "", "night", 2)
            await wait_until(lambda: world.reported_stages.get("run-000003") == "done", 60.0)
            await wait_until(lambda: world.reported_stages.get("run-000002") == "withdrawn", 20.0)
            world.faults_ended_at = now()
            await anyio.sleep(45.0)

        history = run_partition_scenario(world, script, 160.0)
        assert history.open_transfers() == []
