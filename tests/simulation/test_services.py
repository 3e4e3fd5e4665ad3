"""Services: replicas that run until the job is cancelled, as array tasks that never end."""

from __future__ import annotations

import json
from collections.abc import Callable, Coroutine
from itertools import pairwise
from typing import Any

import anyio
import pytest
from msgspec.structs import replace

from dapplewick.core.leader.machine_lifecycle import MachineLifecycle, ReportGap
from dapplewick.core.leader.provisioner import Provisioner
from dapplewick.core.shard.preemption import Preemption
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
    asked = {"cpus": 1.0, "urgency": "critical", "expected_s": 0.0, "borrowed": False} | fields
    body = world.job(name_id=name, shape="daemon", **asked)
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
    """Replicas also end by themselves, each way, now and then; batch work runs beside them."""
    world = World(17)
    wanted = {"run-s1": 3, "run-s2": 4, "run-s3": 2}
    there: list[dict[str, int]] = []

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
        there.append({name: replicas_on(world, name) for name in wanted})

    run_script(world, 320.0, script)
    assert world.violations == []
    assert there == [wanted]
    assert unfinished_jobs(world) == dict.fromkeys(wanted, "running")
    assert world.reported_stages["run-s4"] == "withdrawn"
    assert replicas_on(world, "run-s4") == 0


def test_a_lost_machines_replicas_run_elsewhere_soon() -> None:
    world = World(3)
    back: list[float] = []

    async def script() -> None:
        await anyio.sleep(4)
        submit_service(world, "run-s1", pieces=2)
        submit_jobs(world, 4, pieces=8, cpus=1.0, true_s=200.0, expected_s=200.0, borrowed=False)
        await anyio.sleep(35)
        assert replicas_on(world, "run-s1") == 2
        lost = next(w for w, n in world.on_machines() if n.startswith("run-s1/"))
        lost.hanging = lost.cut = True
        begun = now()
        await anyio.sleep(0.5)
        while sum(not w.hanging and n.startswith("run-s1/") for w, n in world.on_machines()) < 2:
            await anyio.sleep(0.25)
        back.append(now() - begun)

    run_script(world, 100.0, script)
    assert world.violations == []
    # Half of a lease until it is deleted, then a heartbeat and the image: not a lease and more.
    assert back
    assert back[0] < WORKERS["lease_s"]


def test_services_are_answered_like_any_job_and_never_done() -> None:
    world = World(4)
    seen: list[Any] = []
    ran: set[str] = set()

    async def post(**fields: Any) -> int:
        body = world.job(shape="daemon", **({"name_id": "run-x", "expected_s": 0.0} | fields))
        world.jobs[body["name_id"]] = body
        raw = json.dumps({k: v for k, v in body.items() if k != "true_s"}).encode()
        return (
            await world.controllers["n0"].handle(Request("POST", "/v2/runs", raw, False))
        ).status

    async def script() -> None:
        await anyio.sleep(6)
        seen.append(await post(pieces=7, cpus=4.0, crew="blue"))  # 28 of 24 CPUs
        seen.append(await post(pieces=2, cpus=64.0))
        seen.append(await post(pieces=2, scatter=True, same_place=True))
        seen.append(await post(pieces=0))
        world.replica_ends = 0.15
        seen.append(await post(name_id="run-s", pieces=2))
        seen.append(await post(name_id="run-s", pieces=2))
        for _ in range(6):
            await anyio.sleep(10)
            status, said = await call(world, "n1", "GET", "run-s")
            seen.append((status, said["stage"] in ("queued", "running"), said["done"]))
            ran.add(said["stage"])
        seen.append((await call(world, "n2", "POST", "run-s", "abort"))[1]["stage"])
        world.cancelled_at["run-s"] = now()
        seen.append((await call(world, "n0", "GET", "run-s"))[1]["stage"])

    run_script(world, 85.0, script)
    assert world.violations == []
    assert seen[:6] == [422, 422, 422, 400, 201, 200]
    assert seen[6:12] == [(200, True, 0)] * 6
    assert seen[12:] == ["withdrawn", "withdrawn"]
    assert "running" in ran


# The design: a replica is an array task of its priority that is not expected to end


def ended(
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
    assert [o.kind for o in ended(bench, machine, task, cause, 40.0)] == ["forget"]
    bench.scheduler.tick(40.3)
    assert starts(bench.heartbeat(machine, 41.0)) == [task]
    assert bench.on[machine][task] != first
    assert bench.job_status(41.0, "run-1").done == []


def test_one_that_fails_everywhere_is_paused_for_longer_and_longer() -> None:
    bench = Bench(1)
    machine = bench.names[0]
    bench.heartbeat(machine, 0.0)
    bench.assign("run-1", service(1), 0.0)
    at, begun = 0.0, []
    task = TaskRef(JobId("run-1"), TaskIndex(0))
    while at < 200.0:
        at += 0.5
        bench.scheduler.machines[machine].failures.clear()  # it is not the machine's fault
        bench.scheduler.tick(at)
        if starts(bench.heartbeat(machine, at)):
            begun.append(at)
            ended(bench, machine, task, "error", at + 0.2)
    pauses = [b - a for a, b in pairwise(begun)]
    assert pauses[0] <= 1.0
    assert pauses == sorted(pauses)
    assert 30.0 < pauses[-1] <= 62.0


def test_a_replica_passes_no_gang_and_nothing_waits_behind_it() -> None:
    bench = Bench(1)
    machine = bench.names[0]
    bench.heartbeat(machine, 0.0)
    bench.assign("run-1", service(3), 0.0)
    assert len(starts(bench.heartbeat(machine, 1.0))) == 3
    bench.assign("run-2", spec(8, 1.0, 10.0), 2.0)
    bench.scheduler.tick(2.0)
    assert len(starts(bench.heartbeat(machine, 2.5))) == 1
    scheduler = bench.scheduler
    # One CPU is an array task's; the others' tasks wait behind it alone.
    assert all(not s.queue for s in scheduler.machines[machine].slots if s.holds_replica)
    # A gang held here waits for slots that are never free again.
    bench.reservation("run-3", spec(1, 2.0, 10.0, is_gang=True), [machine], 3.0)
    reservation = scheduler.reservations[JobId("run-3")]
    assert scheduler.backfill.remaining_wait(4.0, reservation) > 1e6
    # And a replica never passes it, however short its estimate of 0 looks.
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
    assert starts(bench.heartbeat(machine, 3.0)) == []  # they are still there
    for n, order in enumerate(commands):
        assert starts(ended(bench, machine, order.task, "halted", 3.5 + n / 10)) == []
    assert starts(bench.heartbeat(machine, 4.0)) == [TaskRef(JobId("run-2"), TaskIndex(0))]
    # Work of the same priority, and services, are not stopped.
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


def test_before_its_machine_goes_a_replica_moves_and_is_never_on_both() -> None:
    bench = Bench(2)
    first, second = bench.names
    for name in bench.names:
        bench.heartbeat(name, 0.0)
    bench.assign("run-1", service(1), 1.0)
    task = TaskRef(JobId("run-1"), TaskIndex(0))
    on = first if starts(bench.heartbeat(first, 1.5)) else second
    other = second if on == first else first
    if on == second or task not in bench.on[on]:
        assert starts(bench.heartbeat(on, 1.6)) == [task]

    def notice(at: float, left: float) -> list[Command]:
        bench.sequence += 1
        tasks = [TaskStatus(t, a, "running", None, False) for t, a in bench.on[on].items()]
        said = Heartbeat(
            on, TypeName("k"), IN_ZONE, False, 1, bench.sequence, TOKEN, left, "", tasks
        )
        return bench.scheduler.handle_heartbeat(at, said, True)

    bench.heartbeat(on, 2.0)
    bench.heartbeat(other, 2.0)
    assert [o.kind for o in notice(3.0, 12.0)] == ["stop"]
    bench.scheduler.tick(3.2)
    assert starts(bench.heartbeat(other, 3.5)) == []
    ended(bench, on, task, "halted", 4.0, 11.0)
    bench.scheduler.tick(4.2)
    assert starts(bench.heartbeat(other, 4.5)) == [task]


def test_a_dear_machine_is_not_kept_for_replicas_alone() -> None:
    bench = Bench(1)
    dear = MachineType(
        name="dear", cpus=64.0, gpus=8.0, ram_gb=512.0, hourly_price=20.0, zones=["a"]
    )
    cheap = MachineType(name="k", cpus=4.0, gpus=0.0, ram_gb=64.0, hourly_price=0.5, zones=["a"])
    bench.put(TYPES, encode_machine_types([cheap, dear]))
    large = MachineId("vm-large")
    value = {"type": "dear", "zone": "a", "spot": False, "machines": {large: "u"}}
    bench.put(MACHINES + "large", value)
    # The small one has the image, but no room at first.
    small = bench.names[0]
    bench.heartbeat(small, 0.0)
    bench.assign("run-0", replace(spec(1, 4.0, 10.0), priority=3), 0.0)
    (other,) = starts(bench.heartbeat(small, 0.1))
    bench.heartbeat(small, 0.2)
    bench.on[large] = {}

    def heartbeat(at: float) -> list[Command]:
        bench.sequence += 1
        tasks = [TaskStatus(t, a, "running", None, False) for t, a in bench.on[large].items()]
        said = Heartbeat(
            large, TypeName("dear"), IN_ZONE, False, 1, bench.sequence, TOKEN, None, "", tasks
        )
        commands = bench.scheduler.handle_heartbeat(at, said, True)
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


# Mutations: the checker can fail, and removed guards are detected


def services_count_as_done(patch: pytest.MonkeyPatch) -> None:
    load = JobRecord.load.__func__  # type: ignore[attr-defined]

    def forgetful(cls: type[JobRecord], value: Any, version: int) -> JobRecord:
        job: JobRecord = load(cls, value, version)
        job.spec = replace(job.spec, is_service=False)
        return job

    patch.setattr(JobRecord, "load", classmethod(forgetful))


def silent_machines_are_waited_for(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Machine, "has_replicas", lambda _: False)


def lower_work_is_not_stopped(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Preemption, "_preempt_for_replicas", lambda *_: None)


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


# How soon a silent machine's replicas may run elsewhere


def test_a_process_that_stood_still_takes_no_machine_for_silent() -> None:
    """Its heartbeats are still unread: all machines with replicas were deleted when it went on."""
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
    heard_nothing = bench.scheduler.status(at).machine_contact_gaps
    assert {machine.gap_s for machine in heard_nothing.values()} == {5.5}
    assert all(machine.urgent for machine in heard_nothing.values())
    bench.scheduler.tick(at + 5.0)
    assert bench.scheduler.status(at + 5.0).machine_contact_gaps == {}
    while at < 13.0:
        at += 0.25
        bench.scheduler.tick(at + 5.0)
    assert bench.scheduler.status(at + 5.0).machine_contact_gaps.keys() == set(bench.names)


@pytest.mark.parametrize(
    ("silence", "goes"),
    [
        (ReportGap(6.1, True, True), False),  # one answer was lost, perhaps
        (ReportGap(6.3, True, True), True),
        (ReportGap(6.3, False, True), False),
        (ReportGap(6.9, True, False), False),  # its owner may have lost the way to all of them
        (ReportGap(7.1, True, False), True),
        (ReportGap(14.9, False, True), False),
        (ReportGap(15.1, False, False), True),
    ],
)
def test_a_silent_machine_goes_sooner_where_replicas_wait_for_it(
    silence: ReportGap, goes: bool
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
