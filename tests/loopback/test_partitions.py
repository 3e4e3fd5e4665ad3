"""Partitions with real controllers on loopback: machines move to a partition and back."""

from __future__ import annotations

import json
import tempfile
from collections.abc import Iterator
from pathlib import Path

import anyio
import anyio.to_thread
import pytest
from click.testing import CliRunner

from dapplewick.cli.main import main
from standins import now
from support.partition_history import PartitionHistory
from support.partition_moves import (
    NIGHT,
    machines_of,
    owner,
    submit_zone_job,
    wait_for_partitions,
    wait_until,
)
from support.real_world import RealWorld

PLAN_TEXT = """
shares = {
    "night": {"teams": ["red"], "rules": [{"types": ["c8"], "most": 0.0}]},
}
"""


@pytest.fixture
def world() -> Iterator[RealWorld]:
    with tempfile.TemporaryDirectory() as folder:
        real_world = RealWorld(Path(folder), 3)
        plan = Path(folder) / "plan.star"
        plan.write_text(PLAN_TEXT)
        real_world.options = ["--shares", str(plan)]
        real_world.boot_s = (0.5, 1.0)
        yield real_world
        real_world.kill_all()


async def command(world: RealWorld, name: str, *arguments: str) -> str:
    """Run an operator's command, and retry while the cluster has no leader."""
    at = f"127.0.0.1:{world.peer_ports[name]}"
    for _ in range(20):
        result = await anyio.to_thread.run_sync(
            lambda: CliRunner().invoke(main, ["shares", arguments[0], "--at", at, *arguments[1:]])
        )
        if result.exit_code != 1:
            assert result.exit_code == 0, result.output
            return result.output
        await anyio.sleep(0.5)
    raise AssertionError(result.output)


def move(source: str, target: str, count: int, command_id: str) -> list[str]:
    return [
        "move",
        "--zone",
        "a",
        "--type",
        "c8",
        "--from",
        source,
        "--to",
        target,
        "--id",
        command_id,
        str(count),
    ]


def test_a_move_each_way_with_a_controller_ended_on_the_way(world: RealWorld) -> None:
    outputs: list[str] = []
    durations_s: dict[str, float] = {}

    async def script() -> None:
        with anyio.fail_after(110.0):
            await wait_for_partitions(world)
            submit_zone_job(world, "run-000001", 12, 9.0, expected_s=100.0)
            await wait_until(lambda: len(world.first_start) == 12, 40.0)
            machine_count = len(machines_of(world, "a"))
            started_at = now()
            await command(world, "n0", *move("-", "night", machine_count, "o-00000001"))
            outputs.append(await command(world, "n1", "show"))
            source_owner = owner(world, "a")
            world.crash(source_owner)  # kills only this controller's process
            await anyio.sleep(2.0)
            world.start_controller(source_owner)
            await wait_until(lambda: len(machines_of(world, NIGHT)) == machine_count, 60.0)
            durations_s["there"] = now() - started_at
            submit_zone_job(world, "run-000002", 8, 3.0)
            await wait_until(lambda: world.reported_stages.get("run-000002") == "done", 40.0)
            started_at = now()
            await command(world, "n2", *move("night", "-", machine_count, "o-00000002"))
            await wait_until(lambda: not machines_of(world, NIGHT), 40.0)
            durations_s["back"] = now() - started_at
            await wait_until(lambda: world.reported_stages.get("run-000001") == "done", 20.0)
            outputs.append(await command(world, "n0", "show", "--json"))

    async def run() -> None:
        await world.run(script)

    anyio.run(run)
    history = PartitionHistory()
    assert history.check(world.state.log) == []
    assert world.violations == []
    assert world.restarted_after_done == []
    assert max(world.start_counts.values()) == 1  # no running task was lost
    assert "share night  for red" in outputs[0]
    assert "(no share) to night  c8  " in outputs[0]
    assert [t["state"] for t in json.loads(outputs[1])["transfers"]] == ["complete", "complete"]
    assert durations_s["back"] < durations_s["there"] + 20.0
