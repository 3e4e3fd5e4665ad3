"""Partitions in clusters of mixed versions, and partitions that are disabled."""

from __future__ import annotations

import subprocess
import sys
from typing import Any

import anyio
import pytest
from msgspec import UNSET

from dapplewick.storage.formats import CURRENT_FORMAT, PARTITIONS_FORMAT
from dapplewick.storage.keys import FORMAT, SHARDS, TRANSFERS
from dapplewick.types import partition_of
from standins import World, now
from support import production
from support.partition_moves import (
    FIXED_PLAN,
    NIGHT,
    command,
    fill_zone,
    machines_of,
    move,
    new_world,
    run_partition_scenario,
    submit_zone_job,
    wait_for_partitions,
    wait_until,
)
from support.paths import ROOT


def partition_writes(world: World) -> list[str]:
    """Return the keys of all writes so far that only partitions cause."""
    written_keys = []
    for _, key, value, _ in world.state.log:
        if key.startswith(TRANSFERS) or (key.startswith(SHARDS) and partition_of(key)):
            written_keys.append(key)
        if isinstance(value, dict) and ("floors" in value or "share" in value):
            written_keys.append(key)
        if key == FORMAT and value["version"] > CURRENT_FORMAT:
            written_keys.append(key)
    return written_keys


@pytest.mark.parametrize("earlier", ["production", "the main before"])
def test_partitions_begin_once_all_controllers_understand_them(earlier: str) -> None:
    world = new_world(21, FIXED_PLAN)
    revision = production.commit() if earlier == "production" else production.PREVIOUS_MAIN
    world.earlier_version = production.load_commit(revision)
    world.earlier_version_controllers = set(world.names)
    writes_before_upgrade: list[list[str]] = []

    async def script(world: World) -> None:
        await anyio.sleep(3.0)
        submit_zone_job(world, "run-000001", 16, 25.0)
        for name in list(world.names):
            await anyio.sleep(9.0)
            writes_before_upgrade.append(partition_writes(world))
            world.earlier_version_controllers.discard(name)
            world.crash(name)
            await anyio.sleep(1.0)
            world.start_controller(name)
        await wait_for_partitions(world)
        submit_zone_job(world, "run-000002", 16, 12.0)
        await wait_until(lambda: bool(machines_of(world, NIGHT)), 60.0)
        world.faults_ended_at = now()
        await wait_until(lambda: {"done"} == set(world.reported_stages.values()), 90.0)

    run_partition_scenario(world, script, 240.0)
    assert writes_before_upgrade == [[], [], []]
    assert partition_writes(world)
    assert len(world.reported_stages) == 2


def test_partitions_stay_off_while_one_controller_has_them_disabled() -> None:
    world = new_world(22, FIXED_PLAN)
    world.without_partitions = {"n1"}
    writes_while_disabled: list[list[str]] = []

    async def script(world: World) -> None:
        await anyio.sleep(3.0)
        submit_zone_job(world, "run-000001", 16, 10.0)
        await anyio.sleep(45.0)
        writes_while_disabled.append(partition_writes(world))
        world.without_partitions = set()
        world.crash("n1")
        world.start_controller("n1")
        submit_zone_job(world, "run-000002", 16, 10.0)
        await wait_until(lambda: bool(machines_of(world, NIGHT)), 60.0)

    run_partition_scenario(world, script)
    assert writes_while_disabled == [[]]


@pytest.mark.parametrize("after", [0.5, 6.0, 25.0])
def test_switched_off_in_mid_move_all_machines_return_to_the_zones_shard(
    after: float,
) -> None:
    world = new_world(23)

    async def script(world: World) -> None:
        await fill_zone(world, 16, 15.0)
        submit_zone_job(world, "run-000002", 16, 15.0)
        assert (await move(world, "o-000000f1", "", "night", 3))["status"] == 200
        await anyio.sleep(after)
        world.partition_plan = None
        for name in list(world.names):
            world.crash(name)
            await anyio.sleep(2.0)
            world.start_controller(name)
            await anyio.sleep(4.0)
        await wait_until(lambda: not machines_of(world, NIGHT), 60.0)
        await wait_until(lambda: SHARDS + NIGHT not in world.state.keys, 20.0)
        submit_zone_job(world, "run-000003", 8, 4.0)
        world.faults_ended_at = now()
        await wait_until(lambda: {"done"} == set(world.reported_stages.values()), 90.0)

    history = run_partition_scenario(world, script, 260.0)
    assert history.open_transfers() == []
    assert not any(partition_of(shard) for shard in history.shards_in_assignments())
    assert len(world.reported_stages) == 3


def test_switched_off_nothing_of_partitions_is_written_sent_or_answered() -> None:
    world = World(24)
    responses: list[dict[str, Any]] = []

    async def script(world: World) -> None:
        await anyio.sleep(3.0)
        submit_zone_job(world, "run-000001", 8, 5.0)
        await anyio.sleep(20.0)
        responses.append(await command(world, "show"))
        for controller in world.controllers.values():
            for scheduler in controller.shard_schedulers.values():
                assert scheduler.status(now()).drained is UNSET

    run_partition_scenario(world, script, 60.0)
    assert partition_writes(world) == []
    assert responses[0]["status"] == 404
    assert world.state.keys[FORMAT][0] == {"version": CURRENT_FORMAT}
    assert CURRENT_FORMAT < PARTITIONS_FORMAT


def test_switched_off_nothing_of_partitions_is_loaded() -> None:
    text = (
        "import sys, dapplewick.controller.startup, dapplewick.cli.main\n"
        "from click.testing import CliRunner\n"
        "CliRunner().invoke(dapplewick.cli.main.main, ['--help'])\n"
        "names = ('dapplewick.partitions', 'dapplewick.cli.partitions', 'highspy', 'numpy')\n"
        "bad = [m for m in sys.modules if m.startswith(names)]\n"
        "sys.exit(', '.join(bad) or 0)"
    )
    process = subprocess.run(
        [sys.executable, "-c", text],
        env={"PYTHONPATH": str(ROOT / "src")},
        capture_output=True,
        text=True,
        check=False,
    )
    assert process.returncode == 0, process.stderr
