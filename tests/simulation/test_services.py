"""Services: jobs whose replicas run as array tasks until the job is cancelled."""

from __future__ import annotations

import json
from collections.abc import Callable, Coroutine
from itertools import pairwise
from typing import Any

import anyio
import pytest
from msgspec.structs import replace

from dapplewick.core.leader.machine_lifecycle import HeartbeatGap, MachineLifecycle
from dapplewick.core.leader.provisioner import Provisioner
from dapplewick.core.shard.preemption import PreemptionSelector
from dapplewick.core.shard.state import Machine
from dapplewick.protocol.cloud import MachineType, encode_machine_types
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.protocol.workers import Command, Heartbeat, TaskStatus
from dapplewick.storage.job_records import JobRecord
from dapplewick.storage.keys import MACHINES, TYPES
from dapplewick.transport.http import Request
from dapplewick.types import JobId, MachineId, TaskIndex, TaskRef, TypeName
from standins import WORKERS, World, now
from support.faults import (
    all_crash,
    bad_machines,
    blinks,
    cut_from_state,
    late_copies,
    lost_answers,
    quick_restarts,
    refused_by_state,
    state_outage,
    unreachable_machines,
    zone_cut,
)
from support.scenarios import call, run_script, submit_jobs, unfinished_jobs
from support.shard_bench import IN_ZONE, TOKEN, Bench, spec, starts

Script = Callable[[World], Coroutine[Any, Any, None]]


def service(replicas: int, cpus: float = 1.0, priority: int = 3) -> JobSpec:
    return replace(spec(replicas, cpus, 0.0), is_service=True, priority=priority)


def submit_service(world: World, name: str, cancel: float | None = None, **fields: Any) -> None:
    job_fields = {"cpus": 1.0, "urgency": "critical", "expected_s": 0.0, "borrowed": False} | fields
    body = world.job(name_id=name, shape="daemon", **job_fields)
    world.group.start_soon(world.user, name, body, cancel)


def replicas_on(world: World, name: str) -> int:
    return sum(n.rpartition("/")[0] == name for _, n in world.on_machines())


# Under faults


FAULTS: list[Script] = [
    all_crash,
    bad_machines,
    blinks,
    cut_from_state,
    unreachable_machines,
    late_copies,
    lost_answers,
    quick_restarts,
    refused_by_state,
    state_outage,
    zone_cut,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda f: f.__name__)
def test_services_recover_from_every_fault(fault: Script) -> None:
    """Batch jobs run at the same time, and some replicas exit during the fault for any cause."""
    world = World(17)
    expected_replicas = {"run-s1": 3, "run-s2": 4, "run-s3": 2}
    replicas_at_end: list[dict[str, int]] = []

    async def script() -> None:
        await anyio.sleep(8)
        world.replica_ends = 0.01
        submit_service(world, "run-s1", pieces=3, scatter=True)
        submit_service(world, "run-s2", pieces=4, crew="blue")
        submit_service(world, "run-s3", pieces=2, same_place=True, urgency="standard")
        submit_service(world, "run-s4", cancel=70.0, pieces=2, yard="a")
        submit_jobs(world, 6, pieces=8, cpus=2.0, true_s=12.0)
        await fault(world)
        world.faults_ended_at = now()
        world.replica_ends = 0.0
        await anyio.sleep(75)
        replicas_at_end.append({name: replicas_on(world, name) for name in expected_replicas})

    run_script(world, 320.0, script)
    assert world.violations == []
    assert replicas_at_end == [expected_replicas]
    assert unfinished_jobs(world) == dict.fromkeys(expected_replicas, "running")
    assert world.reported_stages["run-s4"] == "withdrawn"
    assert replicas_on(world, "run-s4") == 0


def test_a_lost_machines_replicas_run_elsewhere_soon() -> None:
    world = World(3)
    recovery_times_s: list[float] = []

    async def script() -> None:
        await anyio.sleep(4)
        submit_service(world, "run-s1", pieces=2)
        submit_jobs(world, 4, pieces=8, cpus=1.0, true_s=200.0, expected_s=200.0, borrowed=False)
        await anyio.sleep(35)
        assert replicas_on(world, "run-s1") == 2
        lost = next(w for w, n in world.on_machines() if n.startswith("run-s1/"))
        lost.hanging = lost.cut = True
        lost_at = now()
        await anyio.sleep(0.5)
        while sum(not w.hanging and n.startswith("run-s1/") for w, n in world.on_machines()) < 2:
            await anyio.sleep(0.25)
        recovery_times_s.append(now() - lost_at)

    run_script(world, 100.0, script)
    assert world.violations == []
    # The machine is deleted after half of a lease. The replicas then start after a heartbeat and
    # the fetch of their image, and so sooner than after a whole lease.
    assert recovery_times_s
    assert recovery_times_s[0] < WORKERS["lease_s"]


def test_services_are_answered_like_any_job_and_never_done() -> None:
    world = World(4)
    seen: list[Any] = []
    stages: set[str] = set()

    async def post(**fields: Any) -> int:
        body = world.job(shape="daemon", **({"name_id": "run-x", "expected_s": 0.0} | fields))
        world.jobs[body["name_id"]] = body
        raw = json.dumps({k: v for k, v in body.items() if k != "true_s"}).encode()
        return (
            await world.controllers["n0"].handle(Request("POST", "/v2/runs", raw, False))
        ).status

    async def script() -> None:
        await anyio.sleep(6)
        # This needs 28 CPUs, but the team's limit is 24.
        seen.append(await post(pieces=7, cpus=4.0, crew="blue"))
        seen.append(await post(pieces=2, cpus=64.0))
        seen.append(await post(pieces=2, scatter=True, same_place=True))
        seen.append(await post(pieces=0))
        world.replica_ends = 0.15
        seen.append(await post(name_id="run-s", pieces=2))
        seen.append(await post(name_id="run-s", pieces=2))
        for _ in range(6):
            await anyio.sleep(10)
            status, answer = await call(world, "n1", "GET", "run-s")
            seen.append((status, answer["stage"] in ("queued", "running"), answer["done"]))
            stages.add(answer["stage"])
        seen.append((await call(world, "n2", "POST", "run-s", "abort"))[1]["stage"])
        world.cancelled_at["run-s"] = now()
        seen.append((await call(world, "n0", "GET", "run-s"))[1]["stage"])

    run_script(world, 85.0, script)
    assert world.violations == []
    assert seen[:6] == [422, 422, 422, 400, 201, 200]
    assert seen[6:12] == [(200, True, 0)] * 6
    assert seen[12:] == ["withdrawn", "withdrawn"]
    assert "running" in stages


# The scheduler treats a replica as an array task of its priority that never ends


def report_exit(
    bench: Bench,
    machine: MachineId,
    task: TaskRef,
    cause: str,
    at: float,
    notice: float | None = None,
) -> list[Command]:
    bench.sequence += 1
    attempt = bench.on[machine].pop(task)
    tasks = [TaskStatus(t, a, "running", None, False) for t, a in bench.on[machine].items()]
    tasks.append(TaskStatus(task, attempt, "exited", cause, False))
    heartbeat = Heartbeat(
        machine, TypeName("k"), IN_ZONE, False, 1, bench.sequence, TOKEN, notice, "", tasks
    )
    return bench.scheduler.handle_heartbeat(at, heartbeat, False)


@pytest.mark.parametrize("cause", ["done", "error", "full", "halted", "no_such"])
def test_a_replica_that_ends_runs_again_under_a_new_attempt(cause: str) -> None:
    bench = Bench(1)
    machine = bench.names[0]
    bench.heartbeat(machine, 0.0)
    bench.assign("run-1", service(1), 0.0)
    (task,) = starts(bench.heartbeat(machine, 1.0))
    first = bench.on[machine][task]
    bench.heartbeat(machine, 2.0)
    assert [o.kind for o in report_exit(bench, machine, task, cause, 40.0)] == ["forget"]
    bench.scheduler.tick(40.3)
    assert starts(bench.heartbeat(machine, 41.0)) == [task]
    assert bench.on[machine][task] != first
    assert bench.job_status(41.0, "run-1").done == []


def test_the_restart_delay_of_a_replica_that_always_fails_grows() -> None:
    bench = Bench(1)
    machine = bench.names[0]
    bench.heartbeat(machine, 0.0)
    bench.assign("run-1", service(1), 0.0)
    at, start_times = 0.0, []
    task = TaskRef(JobId("run-1"), TaskIndex(0))
    while at < 200.0:
        at += 0.5
        # The failures are removed so that the machine does not count as faulty.
        bench.scheduler.machines[machine].failures.clear()
        bench.scheduler.tick(at)
        if starts(bench.heartbeat(machine, at)):
            start_times.append(at)
            report_exit(bench, machine, task, "error", at + 0.2)
    delays_s = [b - a for a, b in pairwise(start_times)]
    assert delays_s[0] <= 1.0
    assert delays_s == sorted(delays_s)
    assert 30.0 < delays_s[-1] <= 62.0


def test_a_replica_is_not_backfilled_before_a_gang_and_no_task_is_queued_behind_it() -> None:
    bench = Bench(1)
    machine = bench.names[0]
    bench.heartbeat(machine, 0.0)
    bench.assign("run-1", service(3), 0.0)
    assert len(starts(bench.heartbeat(machine, 1.0))) == 3
    bench.assign("run-2", spec(8, 1.0, 10.0), 2.0)
    bench.scheduler.tick(2.0)
    assert len(starts(bench.heartbeat(machine, 2.5))) == 1
    scheduler = bench.scheduler
    # One slot runs a task of the array, and the array's other tasks are queued only for that slot.
    assert all(not s.queue for s in scheduler.machines[machine].slots if s.holds_replica)
    # A gang with a reservation on this machine waits for slots that never become free.
    bench.reservation("run-3", spec(1, 2.0, 10.0, is_gang=True), [machine], 3.0)
    reservation = scheduler.reservations[JobId("run-3")]
    assert scheduler.backfill.remaining_wait(4.0, reservation) > 1e6
    # A replica is never backfilled before the gang, although its run time estimate is 0.
    assert not scheduler.backfill.may_backfill(4.0, service(1), scheduler.machines[machine])
    assert scheduler.backfill.may_backfill(4.0, spec(1, 1.0, 10.0), scheduler.machines[machine])
    scheduler.estimates.learn("x", 0.0, 50.0)
    assert scheduler.estimates.dump() == {}


def test_critical_replicas_stop_lower_work_and_start_once_it_is_gone() -> None:
    bench = Bench(1)
    machine = bench.names[0]
    bench.heartbeat(machine, 0.0)
    bench.assign("run-1", spec(4, 1.0, 100.0), 0.0)
    assert len(starts(bench.heartbeat(machine, 1.0))) == 4
    bench.heartbeat(machine, 1.5)
    bench.assign("run-2", service(1, cpus=2.0), 2.0)
    commands = bench.heartbeat(machine, 2.5)
    assert [o.kind for o in commands] == ["stop", "stop"]
    assert starts(bench.heartbeat(machine, 3.0)) == []  # the stopped tasks have not exited yet
    for n, command in enumerate(commands):
        assert starts(report_exit(bench, machine, command.task, "halted", 3.5 + n / 10)) == []
    assert starts(bench.heartbeat(machine, 4.0)) == [TaskRef(JobId("run-2"), TaskIndex(0))]
    # Neither tasks of the same priority nor replicas are stopped.
    bench.assign("run-3", service(1, cpus=3.0), 5.0)
    bench.scheduler.tick(5.0)
    assert all(o.kind != "stop" or o.task.job == "run-1" for o in bench.heartbeat(machine, 5.5))
    bench.assign("run-4", service(1, cpus=2.0, priority=1), 6.0)
    bench.scheduler.tick(6.0)
    assert not [o for o in bench.heartbeat(machine, 6.5) if o.kind == "stop"]


def test_replicas_are_spread_over_machines() -> None:
    bench = Bench(4)
    for name in bench.names:
        bench.heartbeat(name, 0.0)
    bench.assign("run-1", service(4), 1.0)
    bench.scheduler.tick(1.0)
    assert [len(starts(bench.heartbeat(name, 1.5))) for name in bench.names] == [1, 1, 1, 1]


def test_a_replica_moves_before_its_machine_is_reclaimed_and_is_never_on_both() -> None:
    bench = Bench(2)
    first, second = bench.names
    for name in bench.names:
        bench.heartbeat(name, 0.0)
    bench.assign("run-1", service(1), 1.0)
    task = TaskRef(JobId("run-1"), TaskIndex(0))
    holder = first if starts(bench.heartbeat(first, 1.5)) else second
    other = second if holder == first else first
    if holder == second or task not in bench.on[holder]:
        assert starts(bench.heartbeat(holder, 1.6)) == [task]

    def heartbeat_with_notice(at: float, remaining_s: float) -> list[Command]:
        bench.sequence += 1
        tasks = [TaskStatus(t, a, "running", None, False) for t, a in bench.on[holder].items()]
        message = Heartbeat(
            holder, TypeName("k"), IN_ZONE, False, 1, bench.sequence, TOKEN, remaining_s, "", tasks
        )
        return bench.scheduler.handle_heartbeat(at, message, True)

    bench.heartbeat(holder, 2.0)
    bench.heartbeat(other, 2.0)
    assert [o.kind for o in heartbeat_with_notice(3.0, 12.0)] == ["stop"]
    bench.scheduler.tick(3.2)
    assert starts(bench.heartbeat(other, 3.5)) == []
    report_exit(bench, holder, task, "halted", 4.0, 11.0)
    bench.scheduler.tick(4.2)
    assert starts(bench.heartbeat(other, 4.5)) == [task]


def test_an_expensive_machine_is_not_kept_for_replicas_alone() -> None:
    bench = Bench(1)
    expensive = MachineType(
        name="dear", cpus=64.0, gpus=8.0, ram_gb=512.0, hourly_price=20.0, zones=["a"]
    )
    cheap = MachineType(name="k", cpus=4.0, gpus=0.0, ram_gb=64.0, hourly_price=0.5, zones=["a"])
    bench.put(TYPES, encode_machine_types([cheap, expensive]))
    large = MachineId("vm-large")
    value = {"type": "dear", "zone": "a", "spot": False, "machines": {large: "u"}}
    bench.put(MACHINES + "large", value)
    # The small machine has the image, but no free slots at first.
    small = bench.names[0]
    bench.heartbeat(small, 0.0)
    bench.assign("run-0", replace(spec(1, 4.0, 10.0), priority=3), 0.0)
    (other,) = starts(bench.heartbeat(small, 0.1))
    bench.heartbeat(small, 0.2)
    bench.on[large] = {}

    def heartbeat(at: float) -> list[Command]:
        bench.sequence += 1
        tasks = [TaskStatus(t, a, "running", None, False) for t, a in bench.on[large].items()]
        message = Heartbeat(
            large, TypeName("dear"), IN_ZONE, False, 1, bench.sequence, TOKEN, None, "", tasks
        )
        commands = bench.scheduler.handle_heartbeat(at, message, True)
        bench.on[large] |= {o.task: o.attempt for o in commands if o.kind == "start"}
        return commands

    heartbeat(0.0)
    bench.assign("run-1", service(1), 0.5)
    assert len(starts(heartbeat(1.0))) == 1
    stopped = 0.0
    for step in range(1, 60):
        at = 1.0 + 2.0 * step
        bench.heartbeat(small, at, {other} if step == 5 else set())
        if step == 5:
            bench.store({other}, at)
        bench.scheduler.tick(at)
        if any(o.kind == "stop" for o in heartbeat(at + 0.5)):
            stopped = at
            break
    assert 60.0 < stopped < 110.0
    assert bench.machine_status(stopped, large).leaving is True


# Mutations: removed guards are detected


def services_count_as_done(patch: pytest.MonkeyPatch) -> None:
    """Controllers read the records of services as those of batch jobs, which can complete."""
    load = JobRecord.load.__func__  # type: ignore[attr-defined]

    def load_as_batch_job(cls: type[JobRecord], value: Any, version: int) -> JobRecord:
        job: JobRecord = load(cls, value, version)
        job.spec = replace(job.spec, is_service=False)
        return job

    patch.setattr(JobRecord, "load", classmethod(load_as_batch_job))


def silent_machines_are_waited_for(patch: pytest.MonkeyPatch) -> None:
    """Unreachable machines with replicas are not deleted sooner than others."""
    patch.setattr(Machine, "has_replicas", lambda _: False)


def lower_work_is_not_stopped(patch: pytest.MonkeyPatch) -> None:
    """Tasks of lower priority are not preempted for replicas."""
    patch.setattr(PreemptionSelector, "_preempt_for_replicas", lambda *_: None)


GUARDS: list[tuple[Callable[[pytest.MonkeyPatch], None], Callable[[], None]]] = [
    (services_count_as_done, test_services_are_answered_like_any_job_and_never_done),
    (silent_machines_are_waited_for, test_a_lost_machines_replicas_run_elsewhere_soon),
    (lower_work_is_not_stopped, test_critical_replicas_stop_lower_work_and_start_once_it_is_gone),
]


@pytest.mark.parametrize(("patch", "test"), GUARDS, ids=lambda c: getattr(c, "__name__", "_"))
def test_a_removed_guard_of_services_is_detected(
    patch: Callable[[pytest.MonkeyPatch], None],
    test: Callable[[], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    patch(monkeypatch)
    with pytest.raises((AssertionError, BaseExceptionGroup)):
        test()


# How soon the replicas of an unreachable machine may run elsewhere


def test_a_resumed_process_reports_no_machine_as_unreachable() -> None:
    """Heartbeats that arrived during a suspension are still unread when the process resumes.

    If the machines counted as unreachable then, all machines with replicas would be deleted.
    """
    bench = Bench(2)
    for name in bench.names:
        bench.heartbeat(name, 0.0)
    bench.assign("run-s", service(2), 0.0)
    bench.scheduler.tick(0.5)
    for name in bench.names:
        bench.heartbeat(name, 0.5)
    assert all(bench.on[name] for name in bench.names)
    at = 0.5
    while at < 6.0:
        at += 0.25
        bench.scheduler.tick(at)
    contact_gaps = bench.scheduler.status(at).machine_contact_gaps
    assert {machine.gap_s for machine in contact_gaps.values()} == {5.5}
    assert all(machine.urgent for machine in contact_gaps.values())
    bench.scheduler.tick(at + 5.0)
    assert bench.scheduler.status(at + 5.0).machine_contact_gaps == {}
    while at < 13.0:
        at += 0.25
        bench.scheduler.tick(at + 5.0)
    assert bench.scheduler.status(at + 5.0).machine_contact_gaps.keys() == set(bench.names)


@pytest.mark.parametrize(
    ("silence", "goes"),
    [
        (HeartbeatGap(6.1, True, True), False),  # the answer to one heartbeat may have been lost
        (HeartbeatGap(6.3, True, True), True),
        (HeartbeatGap(6.3, False, True), False),
        (
            HeartbeatGap(6.9, True, False),
            False,
        ),  # the owner may have lost contact with all machines
        (HeartbeatGap(7.1, True, False), True),
        (HeartbeatGap(14.9, False, True), False),
        (HeartbeatGap(15.1, False, False), True),
    ],
)
def test_an_unreachable_machine_is_deleted_sooner_if_replicas_wait_for_it(
    silence: HeartbeatGap, goes: bool
) -> None:
    bench = Bench(1)
    name = bench.names[0]
    machine_lifecycle = MachineLifecycle(
        bench.cache, Provisioner(bench.cache, ["a"], 1), 14.0, 4.0, heartbeat_s=2.5
    )
    machine_lifecycle.begin()
    machine_lifecycle.review(100.0, 100.0, {}, {name: silence}, ["a"])
    states = [
        v["machines"][name] for c in machine_lifecycle.changes() if (v := c.value) is not None
    ]
    assert states == (["d"] if goes else [])
