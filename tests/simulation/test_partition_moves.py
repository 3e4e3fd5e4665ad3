"""Moves of machines between partitions, with what may fail on the way, in virtual time."""

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
        said = await move(world, "o-00000001", "", "night", 2)
        assert said["status"] == 200
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
    went: list[float] = []

    async def script(world: World) -> None:
        await fill_zone(world, 16, 25.0)
        began = now()
        have = len(machines_of(world, "a"))
        assert (await move(world, "o-00000002", "", "night", have))["status"] == 200
        await wait_until(lambda: len(machines_of(world, NIGHT)) == have, 40.0)
        went.append(now() - began)
        assert len(world.completed_tasks) == 16
        said = await command(world, "show")
        assert [t["state"] for t in said["transfers"]] == ["complete"]

    run_partition_scenario(world, script)
    assert went[0] > 2.0  # nothing was stopped for it
    assert world.restarted_after_done == []
    assert max(world.start_counts.values()) == 1


def test_why_a_machine_has_not_moved_is_shown_to_operators() -> None:
    world = new_world(3)
    told: list[str] = []

    async def script(world: World) -> None:
        await fill_zone(world, 4, 60.0)
        await move(world, "o-00000003", "", "night", 1)
        await anyio.sleep(2.0)
        said = await command(world, "show")
        told.extend(said["transfers"][0]["waits_for"].values())

    run_partition_scenario(world, script, 60.0)
    assert len(told) == 1
    assert "4 tasks on it, expected to end in" in told[0]


def test_a_long_task_does_not_block_the_rest_and_what_is_late_is_met_from_others() -> None:
    world = new_world(4)

    async def script(world: World) -> None:
        await wait_for_partitions(world)
        submit_zone_job(world, "run-000001", 2, 400.0, cpus=8.0)
        await wait_until(lambda: len(running(world)) == 2, 40.0)
        have = len(machines_of(world, "a"))
        await move(world, "o-00000004", "", "night", have)
        await wait_until(lambda: len(machines_of(world, NIGHT)) == have - 2, 15.0)
        await anyio.sleep(28.0)
        # Another machine, soon empty: work that may not use the partition has it rented.
        submit_zone_job(world, "run-000002", 1, 20.0, cpus=8.0, crew="blue", borrowed=True)
        await wait_until(lambda: len(machines_of(world, NIGHT)) == have - 1, 110.0)
        said = await command(world, "show")
        assert [t["state"] for t in said["transfers"][:1]] == ["overdue"]

    history = run_partition_scenario(world, script, 170.0)
    assert any("-again" in key for _, key, _, _ in world.state.log if key.startswith("dw/s/"))
    assert world.restarted_after_done == []
    assert len(history.handovers) >= 1


def test_there_and_back_within_a_minute_the_later_move_wins() -> None:
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


def test_on_to_a_third_owner_within_a_minute() -> None:
    world = new_world(6)

    async def script(world: World) -> None:
        await fill_zone(world, 16, 15.0)
        await move(world, "o-00000007", "", "night", 3)
        await anyio.sleep(2.0)
        assert (await move(world, "o-00000008", "night", "day", 3))["status"] == 200
        await wait_until(lambda: len(machines_of(world, DAY)) == 3, 60.0)
        assert not machines_of(world, NIGHT)

    history = run_partition_scenario(world, script)
    each = {machine for _, machine, _, shard in history.handovers if shard == DAY}
    assert len(each) == 3


def test_a_later_move_from_the_same_partition_takes_machines_over() -> None:
    world = new_world(7)

    async def script(world: World) -> None:
        await fill_zone(world, 8, 30.0)
        have = len(machines_of(world, "a"))
        assert (await move(world, "o-00000009", "", "night", have))["status"] == 200
        await anyio.sleep(3.0)
        left = len(machines_of(world, "a"))
        assert left >= 2  # busy for as long as the work runs
        assert (await move(world, "o-0000000a", "", "day", left))["status"] == 200
        await wait_until(lambda: len(machines_of(world, DAY)) == left, 100.0)
        assert len(machines_of(world, NIGHT)) == have - left

    run_partition_scenario(world, script)


def test_a_cancelled_move_gives_its_machines_back_to_work() -> None:
    world = new_world(8)

    async def script(world: World) -> None:
        await fill_zone(world, 8, 20.0)
        await move(world, "o-0000000b", "", "night", 2)
        await anyio.sleep(1.0)
        said = await command(world, "cancel", id="o-0000000b")
        assert said["state"] == "cancelled"
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


def test_work_that_no_partition_serves_may_use_idle_room_after_a_while() -> None:
    """No job waits beside room that fits it, whoever the room is kept for."""
    world = new_world(10)
    started: list[float] = []

    async def script(world: World) -> None:
        await fill_zone(world, 8, 5.0)
        await wait_until(lambda: world.reported_stages.get("run-000001") == "done")
        have = len(machines_of(world, "a"))
        await move(world, "o-0000000c", "", "night", have)
        await wait_until(lambda: len(machines_of(world, NIGHT)) == have, 20.0)
        world.modes = {(n, "cloud"): "refused" for n in world.names}  # nothing new is rented
        handed_in = now()
        submit_zone_job(world, "run-000002", 2, 5.0, crew="blue")
        await wait_until(lambda: "run-000002/0" in world.first_start, 80.0)
        started.append(now() - handed_in)

    run_partition_scenario(world, script, 150.0)
    assert 25.0 < started[0] < 75.0


def test_a_reserved_gang_is_released_when_its_machine_is_drained() -> None:
    world = new_world(31)

    async def script(world: World) -> None:
        await fill_zone(world, 8, 20.0)
        submit_zone_job(world, "run-000002", 2, 5.0, shape="group", cpus=8.0)
        await anyio.sleep(3.0)
        have = len(machines_of(world, "a"))
        await move(world, "o-00000010", "", "night", have - 1)
        await wait_until(lambda: world.reported_stages.get("run-000002") == "done", 90.0)

    history = run_partition_scenario(world, script)
    assert history.open_transfers() == []


def test_services_move_first_and_are_served_meanwhile() -> None:
    world = new_world(32)
    before: list[float] = []

    async def script(world: World) -> None:
        await wait_for_partitions(world)
        service = {"shape": "daemon", "urgency": "critical", "expected_s": 0.0, "cpus": 1.0}
        submit_zone_job(world, "run-000001", 2, 0.0, **service)
        submit_zone_job(world, "run-000002", 4, 30.0, cpus=8.0)
        await wait_until(lambda: len(running(world)) >= 6, 60.0)
        await wait_until(lambda: world.reported_stages.get("run-000002") == "done", 60.0)
        with_replicas = {w.name for w, n in world.on_machines() if n.startswith("run-000001")}
        have = len(machines_of(world, "a"))
        await move(world, "o-00000011", "", "night", have - 1)
        await wait_until(lambda: len(machines_of(world, NIGHT)) >= have - 1, 60.0)
        left = machines_of(world, "a")
        assert {w.name for w, n in world.on_machines() if n.startswith("run-000001")} == left
        before.append(len(with_replicas - left))
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
