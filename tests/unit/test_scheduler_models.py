"""Scheduling rules of leader and shards, checked against simple models on generated inputs.

The points that the tests refer to are rules of S. D. Dimitriadou and H. D. Karatza, "Job Scheduling
in a Distributed System Using Backfilling with Inaccurate Runtime Computations", approach 2:

1. An array task joins an idle slot with an empty queue, else one where it passes the backfill test,
   else the shortest queue.
2. A gang is placed in the idle slots of one shard, else in its empty queues, else in idle slots of
   several shards, else it waits.
3. When queues become empty, the largest fitting gang is placed first, and the oldest among equals.
4. Backfilling: an array task may precede a reserved gang if its estimate is at most the remaining
   wait plus a threshold T.

Work stealing is an addition to these rules.
"""

from __future__ import annotations

import math

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

import standins
from dapplewick.core.estimates import Estimates
from dapplewick.core.leader.capacity_requests import CapacityRequest
from dapplewick.core.leader.machine_capacity import MachineCapacity
from dapplewick.core.leader.planner import LeaderPlanner
from dapplewick.core.leader.provisioner import Provisioner
from dapplewick.core.leader.shard_capacity import ShardCapacity
from dapplewick.core.leader.slot_selection import fit_all
from dapplewick.core.shard.scheduler import ShardScheduler
from dapplewick.core.shard.state import MAX_IMAGES
from dapplewick.protocol.cloud import MachineType, encode_machine_types
from dapplewick.protocol.peers import GangStatus
from dapplewick.protocol.workers import Command, Heartbeat, TaskStatus
from dapplewick.storage.job_records import CANCELLED, GangPlacement, JobRecord
from dapplewick.storage.keys import JOBS, MACHINES, TYPES
from dapplewick.storage.ranges import pack, unpack
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import (
    Attempt,
    FencingToken,
    JobId,
    MachineId,
    Resources,
    Seconds,
    TaskIndex,
    TaskRef,
    TypeName,
)
from support.shard_bench import (
    IN_ZONE,
    KIND,
    TOKEN,
    ZONE,
    Bench,
    group,
    machine_status,
    shard_status,
    spec,
    starts,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    running=st.lists(st.floats(1.0, 60.0), min_size=1, max_size=4),
    backfill=st.floats(0.5, 80.0),
    at=st.floats(0.0, 50.0),
    threshold=st.sampled_from([0.0, 5.0]),
)
def test_an_array_task_passes_a_reserved_gang_only_by_the_backfill_condition(
    running: list[float], backfill: float, at: float, threshold: float
) -> None:
    """Point four: backfill iff estimate <= remaining wait + T.

    Plain model: one-CPU array tasks with known ends run on the only machine, a four-CPU gang holds
    it, and the wait is until the last of them ends, at least zero.
    """
    bench = Bench(1, threshold)
    machine = bench.names[0]
    bench.heartbeat(machine, 0.0)
    for n, estimate in enumerate(running):
        bench.assign(f"run-s{n}", spec(1, 1.0, estimate), 0.0)
    # The remaining CPUs are used by an array task that ends at `at`, which frees reserved CPUs.
    rest = 4 - len(running)
    if rest:
        bench.assign("run-rest", spec(1, float(rest), 1000.0, job_class="rest"), 0.0)
    assert len(starts(bench.heartbeat(machine, 0.0))) == len(running) + bool(rest)
    bench.heartbeat(machine, 0.0)
    bench.reservation("run-g", spec(1, 4.0, 30.0, is_gang=True), [machine], 0.0)
    bench.assign("run-b", spec(1, 1.0, backfill), 0.0)
    freed = {TaskRef(JobId("run-rest"), TaskIndex(0))} if rest else set()
    commands = bench.heartbeat(machine, at, freed)
    wait = max(0.0, max(running) - at)
    passes = bool(rest) and backfill <= wait + threshold
    assert (TaskRef(JobId("run-b"), TaskIndex(0)) in starts(commands)) == passes


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    machines=st.integers(1, 4),
    jobs=st.lists(st.tuples(st.integers(1, 6), st.sampled_from([1.0, 2.0])), max_size=4),
    rounds=st.integers(1, 8),
)
def test_room_is_never_overfilled_and_never_idle_beside_waiting_array_tasks(
    machines: int, jobs: list[tuple[int, float]], rounds: int
) -> None:
    """Points one and stealing: a plain count of what each machine must be running.

    Whatever queue an array task joined, a machine that sends a heartbeat has no room left for
    any that still waits, and everything runs once, in the end.
    """
    bench = Bench(machines)
    for name in bench.names:
        bench.heartbeat(name, 0.0)
    sizes: dict[TaskRef, float] = {}
    for n, (tasks, cpus) in enumerate(jobs):
        bench.assign(f"run-{n}", spec(tasks, cpus, 10.0), 0.0)
        sizes |= {TaskRef(JobId(f"run-{n}"), TaskIndex(i)): cpus for i in range(tasks)}
    waiting = set(sizes)
    finished: set[TaskRef] = set()
    at = 0.0
    for _ in range(rounds * 40):
        if len(finished) == len(sizes):
            break
        for name in bench.names:
            at += 0.25
            done = set(bench.on[name]) if at > 5.0 else set()
            begun = starts(bench.heartbeat(name, at, done))
            finished |= done
            bench.store(done, at)
            assert set(begun) <= waiting
            waiting -= set(begun)
            used = sum(sizes[t] for t in bench.on[name])
            assert used <= KIND.cpus
            assigned = {
                t
                for m in bench.scheduler.machines.values()
                for s in m.slots
                if (t := s.current) is not None and m.id != name
            }
            room = KIND.cpus - used
            assert all(sizes[t] > room for t in waiting - assigned)
    if rounds == 8:
        assert finished == set(sizes)


def plain_largest_first(gangs: list[tuple[int, float]], idle: int) -> list[int]:
    """Place the largest fitting gang, the oldest among equals, until none fits."""
    left = dict(enumerate(gangs))
    order: list[int] = []
    while True:
        fitting = [n for n, (tasks, _) in left.items() if tasks <= idle]
        if not fitting:
            return order
        best = max(fitting, key=lambda n: (left[n][0], -left[n][1]))
        idle -= left.pop(best)[0]
        order.append(best)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    sizes=st.lists(st.integers(1, 5), min_size=1, max_size=6),
    idle=st.integers(0, 9),
)
def test_the_largest_fitting_gang_is_placed_first(sizes: list[int], idle: int) -> None:
    """Point three, against the leader's real pass."""
    cache = WatchCache()
    cache.put(TYPES, encode_machine_types([KIND]), 1)
    cache.put("dw/p/a", {"owner": "n0", "boot": "x"}, 2)
    scheduler = LeaderPlanner(cache, standins.settings("n0"), Estimates(), FencingToken(9), 0.0)
    machines = {}
    for n in range(idle):
        cache.put(f"dw/m/vm-{n}", group(f"vm-{n}"), 10 + n)
        machines[f"vm-{n}"] = machine_status((4.0, 0.0, 64.0))
    gangs = [(tasks, float(n)) for n, tasks in enumerate(sizes)]
    for n, (tasks, at) in enumerate(gangs):
        cache.put(f"dw/j/run-{n}", JobRecord(spec(tasks, 4.0, 10.0, True), at).dump(), 100 + n)
    scheduler.receive_shard_status(
        1.0,
        shard_status(machines),
    )
    placed = {
        int(change.key.rpartition("-")[2])
        for change in scheduler.plan(1.0, 1.0)
        if change.key.startswith(JOBS) and change.value.get("gang")
    }
    assert placed == set(plain_largest_first(gangs, idle))


def view(name: str, cpus: float) -> MachineCapacity:
    room = Resources(cpus, 0.0, 64.0)
    return MachineCapacity(MachineId(name), TypeName("k"), ZONE, False, room, room, [], 0)


@given(
    rooms=st.lists(st.integers(0, 8), max_size=6),
    cpus=st.integers(1, 4),
    count=st.integers(1, 8),
)
@settings(max_examples=100, deadline=None, derandomize=True)
def test_a_gang_fits_idle_slots_iff_a_plain_count_says_so(
    rooms: list[int], cpus: int, count: int
) -> None:
    """Point two, its first step."""
    capacities = [view(str(n), float(room)) for n, room in enumerate(rooms)]
    chosen = fit_all(capacities, spec(count, float(cpus), 1.0, True), count)
    assert (chosen is not None) == (sum(room // cpus for room in rooms) >= count)
    for v in chosen or []:
        v.reserve(Resources(float(cpus), 0.0, 1.0))
    assert all(v.free.cpus >= 0 for v in capacities)


@given(st.sets(st.integers(0, 300)))
def test_ranges_are_read_as_written(numbers: set[int]) -> None:
    assert unpack(pack(numbers)) == numbers


def test_demand_that_fits_running_machines_causes_no_machine_request() -> None:
    """Guards against machine requests without limit.

    They were made in each pass for a gang that fitted the running machines and could not start for
    another reason.
    """
    cache = WatchCache()
    cache.put(TYPES, encode_machine_types([KIND]), 1)
    provisioner = Provisioner(cache, ["a"], 1)
    gang = spec(2, 4.0, 10.0, True)
    capacity_requests = [CapacityRequest(gang, 2, True)]

    def capacities(*names: str) -> list[ShardCapacity]:
        return [ShardCapacity(ZONE, [view(name, 4.0) for name in names])]

    assert provisioner.scale_out(0.0, 0.0, capacity_requests, capacities("x", "y")) == ([], [])
    provisioning_requests, unmet = provisioner.scale_out(
        0.0, 0.0, capacity_requests, capacities("x")
    )
    assert [(b.type, b.count) for b in provisioning_requests] == [("k", 1)]
    assert unmet == []


def test_the_machines_requested_in_a_pass_follow_the_limit_of_cloud_calls() -> None:
    """The number of machines that a pass requests grows with the limit of cloud calls.

    A starting deployment lacks hundreds of machines. With a fixed number per pass, requesting them
    took half a minute.
    """
    cache = WatchCache()
    kinds = [
        MachineType(name=f"k{n}", cpus=4.0, ram_gb=64.0, hourly_price=1.0 + n, zones=["a", "b"])
        for n in range(4)
    ]
    capacity_request = CapacityRequest(spec(3000, 4.0, 30.0), 3000, False)
    for calls_per_pass, machines in ((0.3, 50), (1.0, 50), (4.0, 200), (100.0, 400)):
        provisioner = Provisioner(cache, ["a", "b"], 1, requests_per_pass=calls_per_pass)
        provisioner.set_catalog(kinds)
        provisioning_requests, _ = provisioner.scale_out(0.0, 0.0, [capacity_request], [])
        assert (
            sum(provisioning_request.count for provisioning_request in provisioning_requests)
            == machines
        )
        assert all(
            provisioning_request.count <= 50 for provisioning_request in provisioning_requests
        )


def test_estimates_follow_where_all_expected_run_times_are_too_low() -> None:
    estimates = Estimates()
    job_spec = spec(1, 1.0, 10.0)
    assert math.isclose(estimates.run_time(job_spec), 10.0)
    for _ in range(40):
        estimates.learn("x", 10.0, 20.0)
    assert 18.0 < estimates.run_time(job_spec) < 20.5
    estimates.learn("x", 10.0, 2000.0)
    assert estimates.run_time(job_spec) < 25.0


# Regression tests


def test_a_lost_forget_does_not_take_the_slot_of_a_task_assigned_anew() -> None:
    bench = Bench(1)
    machine = bench.names[0]
    bench.heartbeat(machine, 0.0)
    bench.assign("run-1", spec(1, 1.0, 10.0), 0.0)
    task = TaskRef(JobId("run-1"), TaskIndex(0))
    assert starts(bench.heartbeat(machine, 0.5)) == [task]

    def report_failure(at: Seconds) -> list[Command]:
        bench.sequence += 1
        item = TaskStatus(task, bench.on[machine][task], "exited", "full", False)
        heartbeat = Heartbeat(
            machine, TypeName("k"), IN_ZONE, False, 1, bench.sequence, TOKEN, None, "", [item]
        )
        return bench.scheduler.handle_heartbeat(at, heartbeat, False)

    assert [o.kind for o in report_failure(1.0)] == ["forget"]
    # The forget command was lost: the worker reports the exit again, after the task was reassigned.
    assert [o.kind for o in report_failure(1.5)] == ["forget"]
    del bench.on[machine][task]
    assert starts(bench.heartbeat(machine, 2.0)) == [task]


def test_a_task_assigned_again_is_no_longer_reported_as_released() -> None:
    bench = Bench(0)
    bench.assign("run-1", spec(1, 1.0, 10.0), 0.0)
    bench.scheduler.tick(100.0)
    assert bench.job_status(100.0, "run-1").released == [0]
    bench.assign("run-1", spec(1, 1.0, 10.0), 101.0)
    assert bench.job_status(101.0, "run-1").released == []


def test_a_new_owner_does_not_restart_tasks_that_may_run_on_an_unreconciled_machine() -> None:
    old = Bench(2)
    for name in old.names:
        old.heartbeat(name, 0.0)
    old.assign("run-1", spec(2, 4.0, 10.0), 0.0)
    assert len(starts(old.heartbeat(old.names[0], 1.0))) == 1
    scheduler = ShardScheduler(ZONE, FencingToken(60), old.cache, Estimates(), 2.0)

    def send_heartbeat(
        name: MachineId, sequence: int, token: int, on: dict[TaskRef, Attempt]
    ) -> list[Command]:
        tasks = [TaskStatus(t, a, "running", None, False) for t, a in on.items()]
        heartbeat = Heartbeat(
            name, TypeName("k"), IN_ZONE, False, 1, sequence, FencingToken(token), None, "", tasks
        )
        return scheduler.handle_heartbeat(3.0, heartbeat, True)

    # The second machine reports under the old token, then under the new one. Nothing may start on
    # it yet, because the first machine has not reported to the new owner.
    assert starts(send_heartbeat(old.names[1], 100, TOKEN, {})) == []
    assert starts(send_heartbeat(old.names[1], 101, 60, {})) == []
    assert starts(send_heartbeat(old.names[0], 102, 60, old.on[old.names[0]])) == []
    running = set(old.on[old.names[0]])
    begun = starts(send_heartbeat(old.names[1], 103, 60, {}))
    assert len(begun) == 1
    assert not running & set(begun)


def test_a_deleted_machine_counts_as_reconciled() -> None:
    old = Bench(2)
    old.assign("run-1", spec(1, 4.0, 10.0), 0.0)
    scheduler = ShardScheduler(ZONE, FencingToken(60), old.cache, Estimates(), 2.0)
    name, deleted = old.names
    heartbeat = Heartbeat(name, TypeName("k"), IN_ZONE, False, 1, 1, FencingToken(60), None, "", [])
    assert starts(scheduler.handle_heartbeat(3.0, heartbeat, True)) == []
    old.cache.remove(MACHINES + deleted, 10_000)
    scheduler.machine_changed(4.0, deleted)
    heartbeat = Heartbeat(name, TypeName("k"), IN_ZONE, False, 1, 2, FencingToken(60), None, "", [])
    assert len(starts(scheduler.handle_heartbeat(5.0, heartbeat, True))) == 1


def test_a_gang_cancelled_before_its_result_was_stored_is_cleared() -> None:
    bench = Bench(1)
    machine = bench.names[0]
    bench.heartbeat(machine, 0.0)
    bench.reservation("run-1", spec(1, 2.0, 10.0, is_gang=True), [machine], 0.0)
    (task,) = starts(bench.heartbeat(machine, 1.0))
    bench.heartbeat(machine, 2.0, {task})
    assert bench.gang_state(2.0, "run-1") == "done"
    record = JobRecord.load(bench.cache.jobs[JobId("run-1")].dump(), 0)
    record.stage = CANCELLED
    bench.put(JOBS + "run-1", record.dump())
    bench.scheduler.job_changed(3.0, JobId("run-1"))
    bench.heartbeat(machine, 3.0)
    assert bench.gang_state(3.0, "run-1") == "clear"


def test_a_machine_on_which_tasks_take_twice_as_long_gets_no_more_of_them() -> None:
    bench = Bench(4)
    slow = bench.names[2]
    for name in bench.names:
        bench.heartbeat(name, 0.0)
    at = 0.0
    for n in range(60):
        if bench.scheduler.machines[slow].slow:
            break
        bench.assign(f"run-{n}", spec(4, 4.0, 10.0), at)
        order = bench.names[n % 4 :] + bench.names[: n % 4]
        for name in order + order:
            bench.heartbeat(name, at)
        for name in order:
            run_time_s = 20.0 if name == slow else 10.0
            done = set(bench.on[name])
            bench.heartbeat(name, at + run_time_s, done)
            bench.store(done, at + run_time_s)
        at += 30.0
        bench.scheduler.tick(at)
    assert bench.scheduler.machines[slow].slow
    assert sum(m.slow for m in bench.scheduler.machines.values()) == 1
    assert bench.machine_status(at, slow).usable is False


def test_a_gang_taken_over_after_its_machine_was_deleted_is_placed_anew() -> None:
    """Guards against a gang that counts as started on a deleted machine.

    The machine was deleted before the new owner began, so the owner received no event of it.
    """
    old = Bench(2)
    record = JobRecord(spec(2, 2.0, 10.0, is_gang=True), 0.0)
    record.gang = GangPlacement(7, [("a", old.names[0]), ("a", old.names[1])])
    old.put(JOBS + "run-1", record.dump())
    old.cache.remove(MACHINES + old.names[0], 10_000)
    scheduler = ShardScheduler(ZONE, FencingToken(60), old.cache, Estimates(), 2.0)
    assert scheduler.status(3.0).gangs[JobId("run-1")] == GangStatus(7, "bad", 0.0)


def test_no_array_task_is_backfilled_before_a_gang_for_which_array_tasks_are_preempted() -> None:
    """Guards against a loop of backfill and preemption.

    A short array task was backfilled because of its estimate and preempted with the next
    heartbeat, thousands of times.
    """
    bench = Bench(2)
    for name in bench.names:
        bench.heartbeat(name, 0.0)
    bench.assign("run-long", spec(1, 4.0, 500.0), 0.0)
    bench.assign("run-s", spec(8, 1.0, 5.0), 0.0)
    bench.scheduler.tick(0.0)
    for name in bench.names:
        bench.heartbeat(name, 1.0)
    record = JobRecord(replace(spec(2, 4.0, 30.0, is_gang=True), priority=2), 1.0)
    record.gang = GangPlacement(7, [("a", m) for m in bench.names], preempt=True)
    bench.put(JOBS + "run-g", record.dump())
    bench.scheduler.job_changed(1.0, JobId("run-g"))
    short = next(n for n in bench.names if len(bench.on[n]) == 4)
    stops = [o.task for o in bench.heartbeat(short, 2.0) if o.kind == "stop"]
    assert len(stops) == 4
    halted = {t: bench.on[short].pop(t) for t in stops}
    bench.sequence += 1
    tasks = [TaskStatus(t, a, "exited", "halted", False) for t, a in halted.items()]
    heartbeat = Heartbeat(
        short, TypeName("k"), IN_ZONE, False, 1, bench.sequence, TOKEN, None, "", tasks
    )
    assert starts(bench.scheduler.handle_heartbeat(3.0, heartbeat, True)) == []


def test_among_equally_short_queues_an_array_task_joins_one_whose_machine_has_its_image() -> None:
    bench = Bench(6)
    for name in bench.names:
        bench.heartbeat(name, 0.0)
    for n, name in enumerate(bench.names):
        job_spec = replace(spec(1, 4.0, 30.0), image=f"img-{n}")
        bench.assign(f"run-{n}", job_spec, 0.0)
        bench.heartbeat(name, 1.0)
        bench.heartbeat(name, 1.5)
    bench.assign("run-w", replace(spec(1, 4.0, 30.0), image="img-4"), 2.0)
    bench.scheduler.tick(2.0)
    (queued,) = [m for m in bench.scheduler.machines.values() if any(s.queue for s in m.slots)]
    assert "img-4" in queued.images


def test_the_tasks_of_a_job_share_machines_that_fetch_its_image_and_fetches_are_spread() -> None:
    """Guards against unnecessary and slow image fetches.

    Tasks of a job that were queued together went to different machines, each of which fetched the
    image. Images that a machine fetches at the same time share its bandwidth.
    """
    bench = Bench(30)
    for name in bench.names:
        bench.heartbeat(name, 0.0)
    for n in range(5):
        bench.assign(f"run-{n}", replace(spec(3, 1.0, 30.0), image=f"img-{n}"), 0.0)
    bench.scheduler.tick(0.0)
    for name in bench.names:
        bench.heartbeat(name, 1.0)
    used = [m for m in bench.scheduler.machines.values() if m.task_attempts]
    assert [len(m.images) for m in used] == [1] * len(used)
    assert len(used) < 10
    # The number of images known per machine is bounded, and a new incarnation has none of them.
    first = used[0]
    for n in range(MAX_IMAGES + 5):
        bench.scheduler.images.add(first, f"more-{n}")
    assert len(first.images) == MAX_IMAGES
    bench.scheduler.images.clear(first)
    assert all(
        first.id not in bench.scheduler.images.machines_with(i)
        for i in ("more-60", "img-0", "img-1")
    )


def test_a_gang_reserved_on_a_machine_that_gets_no_more_work_is_placed_anew() -> None:
    """Guards against a gang that waits forever while its machines remain reserved."""
    for fault in ("unreachable", "slow"):
        bench = Bench(2)
        for name in bench.names:
            bench.heartbeat(name, 0.0)
        bench.reservation("run-g", spec(2, 4.0, 30.0, is_gang=True), bench.names, 1.0)
        assert bench.gang_state(1.0, "run-g") == "held"
        machine = bench.scheduler.machines[bench.names[0]]
        machine.unreachable, machine.slow = fault == "unreachable", fault == "slow"
        assert bench.gang_state(2.0, "run-g") == "bad"
