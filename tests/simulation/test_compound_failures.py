"""Compound failures, and checks that the removal of a guard against one of them is detected.

`docs/compound-failures.md` lists the failures with the guard against each.
"""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import pytest

import dapplewick
from dapplewick.core.shard.heartbeats import HeartbeatReconciler
from dapplewick.transport.http import Request
from dapplewick.transport.http_client import HttpClient
from standins import World, now
from support.mutations import (
    no_check_that_the_watch_cache_is_current,
    no_stop_of_cancelled_tasks,
    no_wait_for_unheard_machines,
)
from support.rolls import lower_limits
from support.scenario_checks import AnswerProbe, ask, final_check_failures
from support.scenarios import (
    cancel,
    leader,
    owners,
    run_script,
    run_script_scenario,
    submit_jobs,
    unfinished_jobs,
)

Patch = Callable[[pytest.MonkeyPatch], None]


def submission(world: World, name: str, **fields: Any) -> bytes:
    world.jobs[name] = world.job(name_id=name, **fields)
    return json.dumps({k: v for k, v in world.jobs[name].items() if k != "true_s"}).encode()


# Answers of committed transactions are lost, and users poll all controllers


async def probe_answers(world: World, lost_answers: float) -> AnswerProbe:
    """Submit and cancel jobs, and poll all controllers right after each answer.

    Submissions are repeated at other controllers.
    """
    probe = AnswerProbe(world)
    await anyio.sleep(4)
    world.lost_answers = lost_answers

    async def user(number: int) -> None:
        job_id = f"run-{number:06d}"
        body = submission(world, job_id, pieces=1, cpus=1.0, true_s=3.0)
        status = 0
        while status not in (200, 201):
            name = world.random.choice(world.names)
            status, _ = await probe.request(name, ask(body, job_id), job_id)
            await probe.poll_all(job_id)
            await anyio.sleep(0.3)
        world.accepted.add(job_id)
        world.accepted_at[job_id] = now()
        for n in range(60):
            await anyio.sleep(0.7)
            await probe.poll_all(job_id)
            name = world.random.choice(world.names)
            if n == 2 and number % 3 == 0:
                status, answer = await probe.request(name, ask(None, job_id, "abort"), job_id)
                if status == 200:
                    world.cancelled_at[job_id] = now()
                    world.reported_stages[job_id] = answer["stage"]
                await probe.poll_all(job_id)
            if n % 9 == 4:
                status, _ = await probe.request(name, ask(body, job_id), job_id)
                assert status in (0, 200, 503)

    async with anyio.create_task_group() as group:
        for number in range(18):
            group.start_soon(user, number)
            await anyio.sleep(1.5)
        group.start_soon(restart_leader_and_owner, world)
    return probe


async def restart_leader_and_owner(world: World) -> None:
    """Crash the leader and then an owner, three times, and restart each after 0.3 s."""
    for _ in range(3):
        await anyio.sleep(9)
        for name in dict.fromkeys([leader(world), *owners(world)[:1]]):
            world.crash(name)
            await anyio.sleep(0.3)
            world.start_controller(name)


def run_answer_probes(seed: int, lost_answers: float) -> AnswerProbe:
    probes: list[AnswerProbe] = []
    world = World(seed)

    async def script() -> None:
        probes.append(await probe_answers(world, lost_answers))

    run_script(world, 130.0, script)
    assert world.violations == []
    (probe,) = probes
    assert probe.answers > 1000
    assert set(probe.known.values()) == {2}
    return probe


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("lost_answers", [0.0, 0.25])
def test_no_controller_answers_something_older_than_another(seed: int, lost_answers: float) -> None:
    assert run_answer_probes(seed, lost_answers).violations == []


@pytest.mark.parametrize("seed", [1, 2])
def test_answers_from_a_stale_watch_cache_are_detected(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    no_check_that_the_watch_cache_is_current(monkeypatch)
    assert any("older_answer" in b for b in run_answer_probes(seed, 0.0).violations)


@pytest.mark.parametrize("seed", [1, 2])
def test_lost_answers_of_transactions_start_nothing_twice(seed: int) -> None:
    """Attempts and tokens stay unique although the outcome of many writes is unknown.

    Controllers crash meanwhile, so that leaders and owners change. The stand-in of a worker fails
    if an attempt or a token is repeated.
    """

    async def script(world: World) -> None:
        await anyio.sleep(3)
        submit_jobs(world, 8, pieces=5, cpus=2.0, true_s=14.0)
        for n in range(8, 12):
            body = world.job(name_id=f"run-{n:06d}", shape="group", pieces=3, true_s=20.0)
            world.group.start_soon(world.user, body["name_id"], body, 25.0 if n == 9 else None)
        world.lost_answers = 0.3
        for _ in range(5):
            await anyio.sleep(14)
            name = world.random.choice(world.names)
            world.crash(name)
            await anyio.sleep(0.3)
            world.start_controller(name)
        world.lost_answers = 0.0
        world.faults_ended_at = now()

    world = run_script_scenario(script, seed, 330.0)
    assert world.violations == []
    assert final_check_failures(world) == []
    assert unfinished_jobs(world) == {}
    assert len(world.accepted) == 12


# Heartbeats that are replayed to the next leader


async def heartbeats_replayed_to_new_leader(world: World) -> None:
    """Deliver copies of earlier heartbeats to all controllers right after a change of leader.

    Every third machine is unreachable meanwhile, so only the copies show its tasks.
    """
    await anyio.sleep(3)
    submit_jobs(world, 16, pieces=8, cpus=2.0, true_s=11.0)
    for _ in range(4):
        await anyio.sleep(8)
        copies: list[Request] = []
        world.recorded_heartbeats = copies
        await anyio.sleep(4)
        world.recorded_heartbeats = None
        await anyio.sleep(6)
        unreachable = [w for _, w in sorted(world.workers.items())][::3]
        for worker in unreachable:
            worker.cut = True
        for name in dict.fromkeys([leader(world), *owners(world)]):
            world.crash(name)
            await anyio.sleep(0.2)
            world.start_controller(name)
        for _ in range(30):
            await anyio.sleep(0.1)
            if any(controller.leader is not None for controller in world.controllers.values()):
                break
        await world.deliver(copies)
        await anyio.sleep(8)
        for worker in unreachable:
            worker.cut = False
    world.faults_ended_at = now()


@pytest.mark.parametrize("seed", [1, 2])
def test_heartbeats_replayed_to_a_new_leader_reconcile_nothing(
    seed: int, caplog: pytest.LogCaptureFixture
) -> None:
    world = run_script_scenario(heartbeats_replayed_to_new_leader, seed, 330.0)
    assert world.late_copies_delivered > 200
    assert "event=task_unexpected" not in caplog.text  # no task is found on another machine
    assert world.violations == []
    assert final_check_failures(world) == []
    assert unfinished_jobs(world) == {}


def reconcile_stale_heartbeats(patch: pytest.MonkeyPatch) -> None:
    """Reconcile a machine with every heartbeat, whichever token the heartbeat carries."""
    reconcile = HeartbeatReconciler.reconcile_tasks

    def reconcile_always(
        self: HeartbeatReconciler,
        at: float,
        machine: Any,
        heartbeat: Any,
        _is_current: bool,
        new: bool,
    ) -> Any:
        self.unreconciled.discard(machine.id)
        commands = reconcile(self, at, machine, heartbeat, True, new)
        self.requeue_if_all_reconciled(at)
        return commands

    patch.setattr(HeartbeatReconciler, "reconcile_tasks", reconcile_always)


def test_stale_heartbeats_that_reconcile_are_detected(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Owners requeue tasks that still run, and later receive heartbeats that show them."""
    reconcile_stale_heartbeats(monkeypatch)
    run_script_scenario(heartbeats_replayed_to_new_leader, 1, 330.0)
    assert "event=task_unexpected" in caplog.text


# Connections to workers


def test_no_command_is_sent_to_a_worker_directly(monkeypatch: pytest.MonkeyPatch) -> None:
    """A controller connects only to the state service, the cloud and its peers.

    A command that is sent directly could be delayed, arrive after a newer leader's command, or act
    for a deposed leader.
    """
    requested: set[tuple[str, str]] = set()
    start = World.start_controller

    def spy(world: World, name: str) -> None:
        start(world, name)
        controller = world.controllers[name]
        for wire, service in ((controller.state._http, "state"), (controller.cloud, "cloud")):
            send = wire.request

            async def request(
                method: str,
                target: str,
                body: bytes | None,
                timeout_s: float,
                send: Any = send,
                service: str = service,
            ) -> tuple[int, bytes]:
                requested.add((service, target.partition("?")[0].split("/")[1]))
                result: tuple[int, bytes] = await send(method, target, body, timeout_s)
                return result

            wire.request = request  # type: ignore[method-assign]

    monkeypatch.setattr(World, "start_controller", spy)
    run_script_scenario(heartbeats_replayed_to_new_leader, 1, 120.0)
    assert requested == {
        ("state", "keys"),
        ("state", "changes"),
        ("state", "multi"),
        ("state", "leases"),
        ("cloud", "catalog"),
        ("cloud", "hosts"),
    }
    package = Path(dapplewick.__file__).parent
    files_with_client = {
        str(path.relative_to(package))
        for path in package.rglob("*.py")
        if HttpClient.__name__ in path.read_text()
    }
    # No other module opens connections. `client.py` is the library for users and operators.
    assert files_with_client == {
        "client.py",
        "storage/state_client.py",
        "transport/http_client.py",
        "controller/controller.py",
    }


# Machines that boot quickly while writes are delayed and the leader crashes


async def fast_booting_machines(world: World) -> None:
    """Machines boot within 2 s while writes are delayed and leaders and owners crash."""
    world.boot_s = (0.1, 2.0)
    world.state_delay_factor = 60.0
    world.late_writes = 0.1
    await anyio.sleep(3)
    for n in range(16):
        submit_jobs(world, 1, first=n, pieces=4, cpus=2.0, true_s=12.0)
        await anyio.sleep(3)
        if n % 4 == 2:
            for name in dict.fromkeys([leader(world), *owners(world)[:1]]):
                world.crash(name)
                await anyio.sleep(0.4)
                world.start_controller(name)
    world.state_delay_factor, world.late_writes = 1.0, 0.0
    world.faults_ended_at = now()


@pytest.mark.parametrize("seed", [1, 2])
def test_fast_booting_machines_get_work_while_writes_lag(seed: int) -> None:
    world = run_script_scenario(fast_booting_machines, seed, 330.0)
    assert world.violations == []
    assert final_check_failures(world) == []
    assert unfinished_jobs(world) == {}


def test_requeuing_before_machines_are_reconciled_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    no_wait_for_unheard_machines(monkeypatch)
    worlds = (run_script_scenario(fast_booting_machines, seed, 330.0) for seed in range(1, 6))
    assert any(b.startswith("ran_twice") for world in worlds for b in world.violations)


# Many small jobs


def test_small_jobs_four_a_second_keep_pace_within_the_write_rate(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Submit single-task jobs for two minutes at the lower limits, and cancel a quarter of them."""
    caplog.set_level(logging.ERROR)
    world = World(5)
    accept_durations_s: list[float] = []
    job_durations_s: list[float] = []

    async def user(number: int) -> None:
        job_id = f"run-{number:06d}"
        body = submission(world, job_id, pieces=1, cpus=0.5, ram_gb=0.5, true_s=2.0)
        submitted_at, status = now(), 0
        while status not in (200, 201):
            status, _ = await world.ask("POST", "/v2/runs", body)
            if status not in (200, 201):
                await anyio.sleep(1.0)
        accept_durations_s.append(now() - submitted_at)
        world.accepted.add(job_id)
        world.accepted_at[job_id] = now()
        if number % 4 == 0:
            await anyio.sleep(0.6)
            status = 0
            while status != 200:
                status, answer = await world.ask("POST", f"/v2/runs/{job_id}/abort")
                await anyio.sleep(0.2 if status == 200 else 1.0)
            world._record_reported_stage(job_id, answer["stage"], True)
        while world.reported_stages.get(job_id) not in ("done", "withdrawn"):
            await anyio.sleep(3.0)
            status, answer = await world.ask("GET", f"/v2/runs/{job_id}")
            assert status != 404
            if status == 200:
                world._record_reported_stage(job_id, answer["stage"], job_id in world.cancelled_at)
        job_durations_s.append(now() - submitted_at)

    async def script() -> None:
        lower_limits(world)
        await anyio.sleep(3)
        for number in range(480):
            world.group.start_soon(user, number)
            await anyio.sleep(0.25)
        world.faults_ended_at = now()

    run_script(world, 190.0, script)
    assert world.violations == []
    assert final_check_failures(world) == []
    assert len(job_durations_s) == 480
    assert caplog.records == []
    assert sorted(accept_durations_s)[int(0.99 * len(accept_durations_s))] < 1.0
    assert sorted(job_durations_s)[int(0.95 * len(job_durations_s))] < 45.0
    assert world.state.rejected_counts[400] == 0
    assert world.state.rejected_counts[429] <= 5


# Cancellations while the owner of a shard changes and a team is at its limit


async def cancellations_during_owner_change(world: World) -> None:
    """Cancel jobs while an owner is down and some machines with their tasks don't respond."""
    await anyio.sleep(3)
    submit_jobs(world, 10, pieces=4, cpus=4.0, true_s=25.0, crew="blue")  # its limit is 24 CPUs
    submit_jobs(world, 8, first=10, pieces=3, cpus=2.0, true_s=90.0)
    for step in range(5):
        await anyio.sleep(16)
        owner = owners(world)[0]
        running_tasks = [(w, n.split("/")[0]) for w, n in world.on_machines()]
        running = sorted({j for _, j in running_tasks} - world.cancelled_at.keys())
        cancelled_jobs = [running[0], running[-1]]
        failing_workers = [w for w, j in running_tasks if j in cancelled_jobs][:2]
        for worker in failing_workers:
            worker.cut, worker.hanging = step % 2 == 0, step % 2 == 1
        world.crash(owner)
        for job_id in cancelled_jobs:
            name = next(
                n for n in world.names if n in world.controllers and world.controllers[n].ready
            )
            await cancel(world, name, [job_id])
            await anyio.sleep(0.3)
        world.start_controller(owner)
        await anyio.sleep(10)
        for worker in failing_workers:
            worker.cut = worker.hanging = False
    world.faults_ended_at = now()


@pytest.mark.parametrize("seed", [1, 2])
def test_cancellations_while_a_shard_changes_its_owner(seed: int) -> None:
    world = run_script_scenario(cancellations_during_owner_change, seed, 420.0)
    assert len(world.cancelled_at) > 6
    assert world.violations == []
    assert final_check_failures(world) == []
    assert unfinished_jobs(world) == {}


def test_cancelled_tasks_that_go_on_after_a_handover_are_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    no_stop_of_cancelled_tasks(monkeypatch)
    world = run_script_scenario(cancellations_during_owner_change, 1, 420.0)
    assert any(b.startswith("ran_cancelled") for b in world.violations)


# The checks of a scenario detect violations


def world_of_jobs(started: dict[str, float], pieces: int = 1) -> World:
    """A world with three jobs that were accepted at 0 s.

    Args:
        started: the time at which each task started.
        pieces: the number of tasks of each job.
    """
    world = World(1)
    for n in range(3):
        name = f"run-{n}"
        world.jobs[name] = world.job(name_id=name, pieces=pieces, job_class="x", crew="red")
        world.accepted.add(name)
        world.accepted_at[name] = 0.0
    world.first_start = started
    world.starts = len(started)
    return world


ALL_STARTED = {"run-0/0": 1.0, "run-1/0": 1.0, "run-2/0": 1.0}


@pytest.mark.parametrize(
    ("started", "violations"),
    [
        (ALL_STARTED, []),
        ({}, ["nothing_ran", "served class x", "served team red", "served largest x"]),
        ({"run-0/0": 1.0}, ["served class x", "served team red", "served largest x"]),
        (ALL_STARTED | {"run-2/0": 241.0}, ["late run-2"]),
    ],
)
def test_the_end_of_a_scenario_is_checked(started: dict[str, float], violations: list[str]) -> None:
    found = final_check_failures(world_of_jobs(started))
    assert [b for b in found if b in violations] == violations
    assert bool(found) == bool(violations)


def test_starts_after_a_confirmed_cancellation_are_counted() -> None:
    world = world_of_jobs(ALL_STARTED)
    world.started_after_cancel["run-0/0"] = 2.0  # within the limit for starts that were in flight
    world.started_after_cancel["run-1/0"] = 12.5
    assert final_check_failures(world) == ["started_after_cancel run-1/0 12.5"]


def test_a_stale_answer_is_detected() -> None:
    probe = AnswerProbe(World(1))
    for before, stage, violations in [
        (0, "unknown", 0),
        (0, "queued", 0),
        (1, "unknown", 1),
        (1, "done", 1),
        (2, "running", 2),
        (2, "done", 2),
    ]:
        probe.record_answer("run-1", before, stage)
        assert len(probe.violations) == violations
    assert probe.known == {"run-1": 2}
