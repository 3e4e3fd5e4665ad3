"""Operators' scripts, the command line, and the status that a controller reports."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import anyio
import pytest
from click.testing import CliRunner

from dapplewick import client, script
from dapplewick.cli.main import main
from dapplewick.cli.status_text import status_lines
from dapplewick.tuning import Tuning
from standins import World, run_in_virtual_time
from support.paths import ROOT
from support.real_world import RealWorld, until_healthy


def test_a_script_sets_what_it_names() -> None:
    text = "_base = 2\nthreshold_s = _base * 1.5\nidle_s = minutes(3)\nclass_weights = {'x': 4}\n"
    tuning = script.parse("a.star", text)
    assert (tuning.threshold_s, tuning.idle_s) == (3.0, 180.0)
    assert tuning.class_weights == {"x": 4.0}
    assert tuning.patience_s == Tuning().patience_s
    assert script.parse("a.star", "") == Tuning()


@pytest.mark.parametrize(
    ("text", "expected_error"),
    [
        ("threshold_s = ", "a.star:1"),
        ("\nthreshold_s = nowhere\n", "a.star:2"),
        ("x = 1\n", "a.star:1: unknown setting 'x'; the nearest known is"),
        ("treshold_s = 1\n", "nearest known is 'threshold_s'"),
        ("\nthreshold_s = -1\n", "a.star:2: threshold_s: must be from 0.0 to 600.0"),
        ("idle_s = 'long'\n", "a.star:1: idle_s: a number is needed"),
        ("class_weights = {'x': 1e9}\n", "class_weights['x']"),
        ("class_weights = [1]\n", "a dict of classes"),
        ("load('x.star', 'y')\n", "a.star:1"),
        ("open('/etc/passwd')\n", "a.star:1"),
        (
            "def f():\n  for a in range(100000):\n    for b in range(100000):\n      pass\nf()\n",
            "too many steps",
        ),
        ("def f():\n  f()\nf()\n", "a.star"),
    ],
)
def test_a_bad_script_is_rejected_with_its_location(text: str, expected_error: str) -> None:
    with pytest.raises(script.ScriptError) as caught:
        script.parse("a.star", text)
    assert expected_error in str(caught.value)
    assert "\n" not in str(caught.value)


def settings_file(folder: Path) -> Path:
    real_world = RealWorld(folder, 2)
    return real_world.files["n0"]


def test_check_says_what_is_wrong_and_what_is_set(tmp_path: Path) -> None:
    config = str(settings_file(tmp_path))
    run = CliRunner().invoke
    assert run(main, ["check", "--config", config]).exit_code == 0
    (tmp_path / "good.star").write_text("spend_cap = 40\n")
    good = run(main, ["check", "--config", config, "--script", str(tmp_path / "good.star")])
    assert good.exit_code == 0
    assert '"spend_cap": 40.0' in good.output
    (tmp_path / "bad.star").write_text("spend_kap = 40\n")
    bad = run(main, ["check", "--config", config, "--script", str(tmp_path / "bad.star")])
    assert bad.exit_code == 2
    assert "spend_cap" in bad.output
    missing = run(main, ["check", "--config", str(tmp_path / "none.json")])
    assert missing.exit_code == 2
    assert len(missing.output.strip().splitlines()) == 1
    assert run(main, ["--version"]).output.startswith("dapplewick, version")


@pytest.mark.parametrize(
    "arguments",
    [
        ["status", "--at", "127.0.0.1:1"],
        ["poll", "--at", "127.0.0.1:1", "run-1"],
        ["cancel", "--at", "nonsense", "run-1"],
    ],
)
def test_an_unreachable_controller_is_one_line(arguments: list[str]) -> None:
    process = subprocess.run(
        [sys.executable, "-m", "dapplewick", *arguments],
        capture_output=True,
        timeout=30,
        env=os.environ | {"PYTHONPATH": str(ROOT / "src")},
    )
    assert process.returncode == 1
    assert len(process.stderr.decode().strip().splitlines()) == 1


def test_a_bad_script_ends_the_start(tmp_path: Path) -> None:
    config = settings_file(tmp_path)
    (tmp_path / "bad.star").write_text("spend_kap = 40\n")
    process = subprocess.run(
        [sys.executable, str(ROOT / "run.py"), "--config", str(config)],
        capture_output=True,
        timeout=30,
        env=os.environ | {"DAPPLEWICK_SCRIPT": str(tmp_path / "bad.star")},
    )
    assert process.returncode == 2
    assert b"spend_cap" in process.stderr


def test_the_command_line_against_a_running_controller(world: RealWorld) -> None:
    results: dict[str, Any] = {}

    async def script_() -> None:
        await until_healthy(world)
        at = f"127.0.0.1:{world.client_ports['n0']}"
        peer = json.loads(world.files["n0"].read_text())["peer_listen"]
        body = world.job(name_id="run-000009", true_s=1.0, pieces=2)
        world.jobs["run-000009"] = body
        request_body = json.dumps({k: v for k, v in body.items() if k != "true_s"}).encode()
        while "stage" not in results:
            try:
                results.update(await client.submit(at, request_body))
            except client.ClientError:
                await anyio.sleep(0.5)  # the controller has not read the machine types yet
        with pytest.raises(client.ClientError, match="status 404"):
            await client.poll(at, "run-000010")
        assert (await client.poll(at, "run-000009"))["name_id"] == "run-000009"
        assert (await client.cancel(at, "run-000009"))["stage"] in ("withdrawn", "done")
        results["status"] = await client.status(peer)

    anyio.run(world.run, script_)
    status = results["status"]
    assert status["node"] == "n0"
    assert status["leader"] in ("n0", "n1")
    assert set(status["parts"]) == {"a", "b"}
    assert status["latencies_ms"]["submit"]["count"] >= 1
    assert any(line.startswith("leader n") for line in status_lines(status))


def test_status_is_read_only_and_serializable() -> None:
    world = World(4)
    statuses: list[dict[str, Any]] = []

    async def script_() -> None:
        await anyio.sleep(3)
        body = world.job(name_id="run-000001", pieces=6)
        async with anyio.create_task_group() as group:
            group.start_soon(world.user, "run-000001", body, None)
            service = world.job(name_id="run-service", shape="daemon", pieces=2, expected_s=0.0)
            group.start_soon(world.user, "run-service", service, None)
            await anyio.sleep(25)
            for controller in world.controllers.values():
                before = controller.cache.revision
                statuses.append(controller.status.describe())
                assert controller.cache.revision == before

    async def main_() -> None:
        await world.run_scenario(60.0, script_)

    run_in_virtual_time(main_)
    assert len(statuses) == 3
    assert any(status["owned"] for status in statuses)
    json.dumps(statuses)
    for status in statuses:
        lines = status_lines(status)
        assert "format 3  versions n0 3  n1 3  n2 3" in lines
        assert "service run-service  replicas 2  granted 2  running 2" in lines
        # The previous version does not report these fields.
        del status["versions"], status["format"], status["services"]
        assert len(status_lines(status)) == len(lines) - 2
