"""Scenarios with one kind of fault, random faults or another layout; all rules are checked."""

from __future__ import annotations

import asyncio
import json

import anyio
import pytest

from dapplewick.transport.http import Request
from standins import World, now, run_in_virtual_time
from support.faults import (
    all_crash,
    all_end_in_an_outage,
    alone_with_its_workers,
    bad_machines,
    blinks,
    cloud_outage,
    cut_from_state,
    cut_from_workers,
    drawn,
    everything,
    late_copies,
    lost_answers,
    many_machines,
    one_crash,
    quick_restarts,
    quiet,
    refused_by_state,
    roll,
    stands_still,
    state_outage,
    unreachable_machines,
    zone_cut,
)
from support.scenarios import Fault, run_fault_scenario, run_script, submit_jobs

FAULTS = [
    quiet,
    one_crash,
    all_crash,
    roll,
    quick_restarts,
    refused_by_state,
    cut_from_state,
    cut_from_workers,
    state_outage,
    lost_answers,
    cloud_outage,
    bad_machines,
    everything,
    unreachable_machines,
    late_copies,
    blinks,
    alone_with_its_workers,
    stands_still,
    all_end_in_an_outage,
    zone_cut,
    many_machines,
]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("fault", FAULTS, ids=lambda f: f.__name__)
def test_rules_hold_and_service_comes_back(fault: Fault, seed: int) -> None:
    world = run_fault_scenario(fault, seed)
    assert world.violations == []
    assert len(world.accepted) == 14
    unfinished = {j: s for j, s in world.reported_stages.items() if s not in ("done", "withdrawn")}
    assert unfinished == {}
    assert world.starts > 20


@pytest.mark.parametrize("seed", range(11, 21))
def test_rules_hold_under_random_faults(seed: int) -> None:
    world = run_fault_scenario(drawn, seed, length=300.0)
    assert world.violations == []
    assert {j for j, s in world.reported_stages.items() if s not in ("done", "withdrawn")} == set()


@pytest.mark.parametrize(
    ("count", "zones", "lacking"),
    [
        (3, ["a"], "c8"),
        (2, ["a", "b", "c", "d", "e"], "c8"),  # some zones have no controller
        (5, ["a", "b", "c"], "g8"),
        (1, ["a", "b"], ""),
    ],
)
def test_rules_hold_in_other_layouts(count: int, zones: list[str], lacking: str) -> None:
    """Vary the numbers of controllers and zones.

    In all layouts but that with one controller, the cloud has no spot machines of one type.
    """
    for seed in (31, 32):
        world = World(seed, count, zones)
        world.cloud.unavailable_types = {(lacking, True)}
        run_fault_scenario(
            quick_restarts if seed == 31 else bad_machines, seed, length=300.0, world=world
        )
        assert world.violations == []
        assert {
            j: s for j, s in world.reported_stages.items() if s not in ("done", "withdrawn")
        } == {}


def test_a_scenario_is_deterministic() -> None:
    first, second = run_fault_scenario(all_crash, 3), run_fault_scenario(all_crash, 3)
    assert (first.starts, first.reported_stages) == (second.starts, second.reported_stages)


def test_now_is_virtual() -> None:
    seen = []

    async def main() -> None:
        started_at = now()
        await anyio.sleep(3600)
        seen.append(now() - started_at)

    run_in_virtual_time(main)
    assert 3600 <= seen[0] < 3601


def test_users_of_a_controller_that_the_state_service_refuses_are_served_through_a_peer() -> None:
    world = World(6)
    answers: list[tuple[int, str]] = []

    async def script() -> None:
        await anyio.sleep(5)
        world.modes[("n0", "state")] = "refused"
        await anyio.sleep(1)
        body = world.job(name_id="run-000001", pieces=1) | {"crew": "blue"}
        world.jobs["run-000001"] = body
        raw = json.dumps({k: v for k, v in body.items() if k != "true_s"}).encode()
        controller = world.controllers["n0"]
        for method, path, data in [
            ("POST", "/v2/runs", raw),
            ("POST", "/v2/runs", raw),
            ("GET", "/v2/runs/run-000001", b""),
            ("GET", "/v2/runs/run-000002", b""),
            ("POST", "/v2/runs/run-000001/abort", b""),
        ]:
            answer = await controller.handle(Request(method, path, data, False))
            answers.append((answer.status, json.loads(answer.body).get("stage", "")))

    run_script(world, 8.0, script)
    assert [status for status, _ in answers] == [201, 200, 200, 404, 200]
    assert answers[-1][1] == "withdrawn"


def test_a_machine_that_receives_no_answers_gets_no_more_work_and_is_deleted() -> None:
    """Without a limit, start commands would be sent again with every heartbeat and never arrive."""
    world = World(8)
    seen: dict[str, object] = {}

    async def script() -> None:
        await anyio.sleep(3)
        submit_jobs(world, 2, pieces=16, true_s=15.0, cpus=4.0, crew="red")
        await anyio.sleep(20)
        seen["unreachable"] = sorted(world.workers)[0]
        world.workers[sorted(world.workers)[0]].answers_lost = True
        await anyio.sleep(45)
        seen["kept"] = seen["unreachable"] in world.workers

    run_script(world, 100.0, script)
    assert world.violations == []
    assert seen["kept"] is False
    assert set(world.reported_stages.values()) == {"done"}


def test_a_shard_whose_owner_receives_no_heartbeats_gets_another_owner() -> None:
    """All machines of the shard would be deleted because of one controller's broken network."""
    world = World(7)
    seen: dict[str, object] = {}

    async def script() -> None:
        await anyio.sleep(3)
        submit_jobs(world, 3, pieces=12, true_s=60.0, cpus=4.0, crew="red")
        await anyio.sleep(27)
        controller = world.controllers["n0"]
        machine_counts = {
            z: sum(w.zone == z for w in world.workers.values()) for z in controller.cache.shards
        }
        zone = max(machine_counts, key=lambda z: machine_counts[z])
        owner = controller.cache.shards[zone].owner
        seen["before"] = (machine_counts[zone] >= 2, owner)
        machines = {w.name for w in world.workers.values() if w.zone == zone}
        world.cut_workers.add(owner)
        await anyio.sleep(25)
        seen["after"] = world.controllers["n0"].cache.shards[zone].owner
        seen["kept"] = len(machines & world.workers.keys()) / len(machines)

    run_script(world, 60.0, script)
    assert world.violations == []
    assert seen["before"][0]  # type: ignore[index]
    assert seen["after"] != seen["before"][1]  # type: ignore[index]
    assert seen["kept"] == 1.0


def test_after_a_restart_of_all_controllers_every_job_is_answered_soon() -> None:
    """Every controller answers polls of all jobs within 30 s after a restart of all controllers.

    A job counts as forgotten if no request about it is answered for 75 s.
    """
    world = World(9)
    answer_delays_s: dict[str, float] = {}

    async def script() -> None:
        await anyio.sleep(3)
        submit_jobs(world, 25, pieces=4, true_s=20.0, crew="red")
        await anyio.sleep(20)
        for name in world.names:
            world.crash(name)
        await anyio.sleep(0.2)
        for name in world.names:
            world.start_controller(name)
        restarted_at = now()
        for job in sorted(world.accepted):
            for controller in world.names:
                request = Request("GET", f"/v2/runs/{job}", b"", False)
                while (answer := await world.controllers[controller].handle(request)).status != 200:
                    assert answer.status == 503
                    assert answer.retry_after
                    await anyio.sleep(0.5)
                answer_delays_s[f"{job} {controller}"] = now() - restarted_at

    run_script(world, 90.0, script)
    assert world.violations == []
    assert len(world.accepted) == 25
    assert len(answer_delays_s) == 75
    assert max(answer_delays_s.values()) < 30.0


def test_an_overloaded_controller_answers_users_with_503() -> None:
    """Unless users are refused, overload grows with each request until workers' leases expire."""
    world = World(10)
    seen: list[list[int]] = []

    async def script() -> None:
        await anyio.sleep(5)
        controller = world.controllers["n0"]
        for overload_s in (0.0, 3.0, 0.0):
            controller.overload.lag_s = overload_s
            answers = [
                await controller.handle(Request(method, path, b"", False))
                for method, path in [("GET", "/healthz"), ("GET", "/v2/runs/run-000001")]
            ]
            seen.append([a.status for a in answers])
            assert all(a.retry_after for a in answers if a.status == 503)
        # A controller that was suspended detects this before it answers any request.
        loop = asyncio.get_running_loop()
        loop.at += 8.0  # type: ignore[attr-defined]
        await anyio.sleep(0.0)
        seen.append([(await controller.handle(Request("GET", "/healthz", b"", False))).status])

    run_script(world, 12.0, script)
    assert seen == [[200, 404], [503, 503], [200, 404], [503]]
