"""Operator commands for partitions, stored plans, malformed records and team limits."""

from __future__ import annotations

from typing import Any

import anyio

from dapplewick.types import shard_name
from standins import World
from support.partition_moves import (
    NIGHT,
    command,
    controller_in_role,
    crash,
    fill_zone,
    machines_of,
    move,
    new_world,
    run_partition_scenario,
    submit_zone_job,
    wait_for_partitions,
    wait_until,
)


def test_limits_of_teams_hold_over_all_partitions() -> None:
    """Team blue uses at most 24 CPUs in total, in the zone's shard and its partition together."""
    world = new_world(33)
    cpus_used: list[float] = []

    async def sample_cpus(world: World) -> None:
        while True:
            task_cpus = [world.jobs[n.partition("/")[0]]["cpus"] for _, n in world.on_machines()]
            cpus_used.append(sum(task_cpus))
            await anyio.sleep(0.25)

    async def script(world: World) -> None:
        await wait_for_partitions(world)
        world.group.start_soon(sample_cpus, world)
        for n in range(6):
            submit_zone_job(world, f"run-00000{n}", 8, 9.0, crew="blue")
        await wait_until(lambda: len(machines_of(world, "a")) >= 2, 30.0)
        await move(world, "o-00000013", "", "day", 1)
        await wait_until(
            lambda: (
                {"done"} == set(world.reported_stages.values()) and len(world.reported_stages) == 6
            ),
            150.0,
        )

    run_partition_scenario(world, script, 200.0)
    assert 16.0 <= max(cpus_used) <= 24.0


BAD_COMMANDS: list[tuple[dict[str, Any], str]] = [
    ({"count": 99}, "count: the zone itself has"),
    ({"count": 0}, "count: a number from 1"),
    ({"count": "2"}, "count: a number from 1"),
    ({"zone": "x"}, "zone: unknown zone 'x'"),
    ({"type": "x9"}, "type: unknown type 'x9'"),
    ({"source": "x"}, "source: unknown share 'x'"),
    ({"target": "x"}, "target: unknown share 'x'"),
    ({"target": ""}, "target: the same share as source"),
    ({"id": "mine"}, "id: must be o-"),
    ({"zone": None}, "zone: a text is needed"),
]


def test_bad_commands_and_plans_are_refused() -> None:
    world = new_world(34)
    good = {
        "id": "o-000000aa",
        "zone": "a",
        "type": "c8",
        "count": 1,
        "source": "",
        "target": "night",
    }

    async def script(world: World) -> None:
        await fill_zone(world, 4, 5.0)
        for fields, problem in BAD_COMMANDS:
            answer = await command(world, "move", **(good | fields))
            assert answer["status"] == 400, answer
            assert problem in answer["error"], answer
            assert "\n" not in answer["error"]
        assert (await command(world, "cancel", id="o-nothing"))["status"] == 404
        assert (await command(world, "dance"))["status"] == 400
        before = (await command(world, "show"))["plan"]
        for plan, problem in (
            (7, "Expected `object`"),
            ({"shares": {"x": {"teams": ["nobody"], "rules": [{"types": ["c8"]}]}}}, "'nobody'"),
            ({"shares": {"x": {"teams": ["red"], "rules": [{"types": ["c9"]}]}}}, "type 'c9'"),
            ({"shares": {"x" * 20_000: {}}}, "larger than a value"),
        ):
            answer = await command(world, "plan", plan=plan)
            assert answer["status"] == 400, answer
            assert problem in answer["error"], answer
        assert (await command(world, "show"))["plan"] == before

    run_partition_scenario(world, script, 80.0)


def test_a_stored_plan_is_in_force_at_every_leader_until_it_is_reset() -> None:
    world = new_world(35)
    rules = [{"types": ["c8"], "least": 0.5}]
    plan = {"shares": {"x": {"teams": ["red"], "rules": rules}}}

    async def partitions_now(world: World) -> set[str]:
        return set((await command(world, "show"))["plan"].get("shares", {}))

    async def script(world: World) -> None:
        await fill_zone(world, 8, 30.0)
        assert (await command(world, "plan", plan=plan))["status"] == 200
        await anyio.sleep(2.0)
        assert await partitions_now(world) == {"x"}
        await crash(world, controller_in_role(world, "leader"))
        await anyio.sleep(10.0)
        assert await partitions_now(world) == {"x"}
        await wait_until(lambda: bool(machines_of(world, shard_name("a", "x"))), 40.0)
        assert (await command(world, "plan"))["status"] == 200
        await anyio.sleep(2.0)
        assert await partitions_now(world) == {"night", "day"}
        await wait_until(lambda: not machines_of(world, shard_name("a", "x")), 60.0)

    run_partition_scenario(world, script)


def test_malformed_records_are_refused_and_end_nothing() -> None:
    world = new_world(36)

    async def script(world: World) -> None:
        await fill_zone(world, 4, 8.0)
        good: dict[str, Any] = {
            "generation": 1,
            "source": "a",
            "target": "a/~night",
            "type": "c8",
            "count": 1,
            "state": "draining",
            "at": 0.0,
            "until": 1e9,
        }
        bad_fields: list[dict[str, Any]] = [
            {"state": "lost"},
            {"count": 0},
            {"count": "x"},
            {"target": "a"},
            {"moved": -1},
            {"draining": ["m"] * 2},
            {"draining": [f"m{n}" for n in range(61)]},
            {"source": 4},
        ]
        for number, bad in enumerate(bad_fields):
            world.state.ledger += 1
            key, value = f"dw/s/bad{number}", good | bad
            world.state.keys[key] = (value, world.state.ledger, None)
            world.state.log.append((world.state.ledger, key, value, False))
        world.state.ledger += 1
        world.state.keys["dw/shares"] = ({"shares": 7}, world.state.ledger, None)
        world.state.log.append((world.state.ledger, "dw/shares", {"shares": 7}, False))
        await anyio.sleep(5.0)
        assert (await command(world, "show"))["transfers"] == []
        await move(world, "o-00000014", "", "night", 1)
        await wait_until(lambda: len(machines_of(world, NIGHT)) == 1, 60.0)
        # The malformed records are not transfers, so they are hidden from the history checker.
        world.state.log = [e for e in world.state.log if not e[1].startswith("dw/s/bad")]

    run_partition_scenario(world, script, 110.0)
