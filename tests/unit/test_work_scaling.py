"""How the cost of a heartbeat, a status and a planning pass grows with the deployment.

The cost is measured as the number of Python function calls, which is reproducible unlike time.
"""

from __future__ import annotations

from typing import Any

import cbor2
import msgspec
from msgspec.structs import replace

import standins
from dapplewick.config import Objective
from dapplewick.core.estimates import Estimates
from dapplewick.core.leader.planner import LeaderPlanner
from dapplewick.core.shard.scheduler import ShardScheduler
from dapplewick.protocol import peers
from dapplewick.protocol.cloud import MachineType, encode_machine_types
from dapplewick.protocol.workers import Heartbeat
from dapplewick.storage.job_records import GangPlacement, JobRecord
from dapplewick.storage.keys import TYPES
from dapplewick.storage.transactions import split_into_transactions
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import FencingToken, JobId, MachineId, Revision, TypeName
from support.shard_bench import IN_ZONE, KIND, ZONE, Bench, busy_shard, calls, leader_of, spec


def heartbeat_cost(bench: Bench) -> int:
    # The slot has a queue at both sizes, because work stealing inspects the waiting jobs.
    name, task = next(
        (m.id, slot.current)
        for m in reversed(bench.scheduler.machines.values())
        for slot in m.slots
        if slot.queue and slot.current in bench.on[m.id]
    )
    return calls(lambda: bench.heartbeat(name, 3.0, {task}))


def test_the_cost_of_a_heartbeat_does_not_grow_with_the_shard() -> None:
    small, large = (heartbeat_cost(busy_shard(n)) for n in (40, 400))
    assert large < 1.5 * small + 50


def test_a_status_contains_only_changes_since_the_confirmed_one() -> None:
    def size(machines: int) -> tuple[int, int]:
        bench = busy_shard(machines)
        first = bench.scheduler.status(3.0)
        name = bench.names[-1]
        bench.heartbeat(name, 3.5, {next(iter(bench.on[name]))})
        second = bench.scheduler.status(4.0, first.number)
        assert set(second.machines) == {name}
        return len(cbor2.dumps(peers.encode(first))), len(cbor2.dumps(peers.encode(second)))

    (small_full, small), (large_full, large) = size(40), size(400)
    assert large_full > 5 * small_full
    assert large < small + 500


def test_the_changes_in_a_lost_status_are_sent_again_with_the_next() -> None:
    """A status is incremental to the last confirmed one, so it repeats the changes of lost ones."""
    bench = busy_shard(20)
    leader = leader_of(bench, 1.0)
    confirmed = leader.receive_shard_status(3.0, bench.scheduler.status(3.0))
    one, two = bench.names[-1], bench.names[-2]
    bench.heartbeat(one, 3.5, {next(iter(bench.on[one]))})
    bench.scheduler.status(3.6, confirmed)  # lost
    bench.heartbeat(two, 3.7, {next(iter(bench.on[two]))})
    leader.receive_shard_status(3.8, bench.scheduler.status(3.8, confirmed))
    shard = next(iter(leader.shards.values()))

    def free_and_ends(machines: dict[Any, Any]) -> dict[Any, Any]:
        return {m: (body.free, len(body.ends)) for m, body in machines.items()}

    assert free_and_ends(shard.machines) == free_and_ends(bench.scheduler.status(3.8).machines)
    # A leader without the base status rejects an incremental status by confirming number 0.
    fresh = leader_of(bench, 4.0)
    assert fresh.receive_shard_status(4.0, bench.scheduler.status(4.0, confirmed)) == 0
    assert fresh.receive_shard_status(4.1, bench.scheduler.status(4.1)) > 0
    assert free_and_ends(next(iter(fresh.shards.values())).machines) == free_and_ends(
        shard.machines
    )


def test_a_pass_costs_little_more_for_each_gang_that_waits() -> None:
    """Guards against a cost of machines times gangs: equal gangs are evaluated once per pass."""

    def cost(machines: int, gangs: int) -> int:
        bench = busy_shard(machines)
        leader = leader_of(bench, 3.0)
        leader.receive_shard_status(3.0, bench.scheduler.status(3.0))
        for n in range(gangs):
            gang = JobRecord(spec(machines * 4, 4.0, 30.0, is_gang=True), 3.0)
            bench.put(f"dw/j/run-w{n}", gang.dump())
        leader.plan(3.0, 3.0)
        return calls(lambda: leader.plan(3.2, 3.2))

    few, many = cost(300, 5), cost(300, 50)
    assert (many - few) / 45 < 300


def test_a_group_of_machines_is_one_record_that_changes_machine_by_machine() -> None:
    """Machines are stored in groups because of the write budget.

    With one write for each machine that finished booting, a starting deployment used the whole
    budget for a minute.
    """
    cache = WatchCache()
    cache.put(TYPES, encode_machine_types([KIND]), 1)
    group = {"type": "k", "zone": "a", "spot": False}
    cache.put("dw/m/r-1", group | {"machines": {"vm-1": "b100", "vm-2": "b101"}}, 2)
    assert cache.changed_machines == ["vm-1", "vm-2"]
    cache.changed_machines.clear()
    cache.put("dw/m/r-1", group | {"machines": {"vm-1": "u", "vm-2": "b101"}}, 3)
    assert cache.changed_machines == ["vm-1"]
    assert cache.machines[MachineId("vm-2")].provisioned_at == 101.0
    assert cache.machines[MachineId("vm-1")].up
    assert not cache.machines[MachineId("vm-2")].up
    cache.changed_machines.clear()
    cache.put("dw/m/r-1", group | {"machines": {"vm-2": "d"}}, 4)
    assert cache.changed_machines == ["vm-1", "vm-2"]
    assert "vm-1" not in cache.machines
    assert cache.machines[MachineId("vm-2")].terminating
    cache.remove("dw/m/r-1", 5)
    assert not cache.machines
    assert not cache.group_of


def test_transactions_stay_within_the_limits_of_the_state_service() -> None:
    """Guards against writes that are rejected with every pass.

    Sixteen records of large arrays exceeded the maximum size of a transaction.
    """
    limits = standins.settings("n0").deployment.state
    kb = 1024
    sizes = [5 * kb] * 40 + [int(limits.value_kb * kb) + 1] + [100] * 40
    batches = list(split_into_transactions(sizes, lambda size: size, limits))
    assert sum(len(batch) for batch in batches) == 80
    assert all(len(batch) <= limits.txn_ops and sum(batch) <= 48 * kb for batch in batches)


def test_the_largest_arrays_record_fits_with_scattered_done_tasks() -> None:
    job_spec = replace(spec(2000, 1.0, 30.0), job_class="b" * 60, image="i" * 60)
    record = JobRecord(job_spec, 1.0)
    record.done = set(range(0, 2000, 2))
    record.assignments = {"zone-a": set(range(1, 2000, 4)), "zone-b": set(range(3, 2000, 4))}
    assert len(msgspec.json.encode(record.dump())) < 16 * 1024


def test_a_reserved_gang_that_waits_on_preempts_array_tasks_of_lower_priority() -> None:
    """Guards against a gang that waits for minutes although it could preempt.

    Its slots were chosen because they were expected to become idle soon, but the run time estimates
    of their tasks were too low.
    """
    bench = Bench(2)
    for name in bench.names:
        bench.heartbeat(name, 0.0)
    bench.assign("run-s", spec(8, 1.0, 3.0), 0.0)
    bench.scheduler.tick(0.0)
    for _ in range(2):
        for name in bench.names:
            bench.heartbeat(name, 1.0)
    gang = replace(spec(2, 4.0, 30.0, is_gang=True), priority=2)
    bench.put("dw/j/run-g", JobRecord(gang, 1.0).dump())
    bench.scheduler.job_changed(1.0, JobId("run-g"))
    leader = leader_of(bench, 1.0)

    def placed(now: float) -> GangPlacement | None:
        bench.cache.revision = Revision(bench.version)
        leader.receive_shard_status(now, bench.scheduler.status(now))
        for change in leader.plan(now, now):
            if change.key == "dw/j/run-g":
                bench.put(change.key, change.value)
                bench.scheduler.job_changed(now, JobId("run-g"))
        return bench.cache.jobs[JobId("run-g")].gang

    first = placed(2.0)
    assert first is not None
    assert not first.preempt
    later_placements = [placed(now) for now in (3.0, 4.0, 6.0, 8.0)]
    assert [w is not None and w.preempt for w in later_placements] == [False, False, False, True]
    assert later_placements[-1] is not None
    assert later_placements[-1].attempt == first.attempt
    stops = [o for name in bench.names for o in bench.heartbeat(name, 9.0) if o.kind == "stop"]
    assert len(stops) == 8


def test_rented_machines_are_written_before_their_provisioning_request_ends() -> None:
    """Guards against lost machines if the write budget cuts off a pass between the two writes."""
    bench = Bench(0)
    provisioning_request = {"type": "k", "zone": "a", "spot": False, "count": 2, "at": 0.0}
    bench.put("dw/b/r-9-1", provisioning_request)
    leader = leader_of(bench, 1.0)
    leader.record_provisioning_response("r-9-1", [MachineId("vm-1"), MachineId("vm-2")])
    changes = leader.plan(2.0, 2.0)
    assert [c.key for c in changes] == ["dw/m/r-9-1", "dw/b/r-9-1"]
    assert set(changes[0].value["machines"]) == {"vm-1", "vm-2"}
    assert changes[1].value is None


def test_work_without_aims_lets_gangs_with_some_go_first_but_not_for_ever() -> None:
    """Gangs with a wait objective have precedence over work without one, for a bounded time.

    Long array tasks without an objective used free slots before there were enough for a gang: the
    median wait was 233 s for gangs and 78 s for those array tasks.
    """
    bench = Bench(2)
    for name in bench.names:
        bench.heartbeat(name, 0.0)
    settings = standins.settings("n0")
    settings.deployment.objectives = [Objective(kind="wait", class_="gangs", within_s=10.0)]
    bench.cache.put("dw/p/a", {"owner": "n0", "boot": "x"}, int(bench.scheduler.token))
    leader = LeaderPlanner(bench.cache, settings, Estimates(), FencingToken(9), 0.0)
    gang = replace(spec(9, 4.0, 30.0, is_gang=True), job_class="gangs")
    bench.put("dw/j/run-g", JobRecord(gang, 0.0).dump())
    bench.put("dw/j/run-s", JobRecord(spec(2, 1.0, 100.0), 0.0).dump())

    def assigned(now: float) -> bool:
        leader.receive_shard_status(now, bench.scheduler.status(now))
        return any(c.key == "dw/j/run-s" for c in leader.plan(now, now))

    assert not assigned(10.0)
    assert assigned(100.0)


def test_gangs_wait_for_plain_machines_that_are_coming() -> None:
    """Guards against gangs without accelerators on machines with accelerators.

    In a starting deployment, the machines with accelerators finished booting a few seconds earlier.
    Gangs of high priority used them and kept most accelerators idle for minutes.
    """
    kinds = [KIND, MachineType(name="g", cpus=4.0, gpus=2.0, ram_gb=64.0, zones=["a"])]
    bench = Bench(0)
    bench.put(TYPES, encode_machine_types(kinds))
    bench.put("dw/m/r-1", {"type": "g", "zone": "a", "spot": False, "machines": {"vm-1": "u"}})
    bench.put("dw/m/r-2", {"type": "k", "zone": "a", "spot": False, "machines": {"vm-2": "b9"}})
    bench.scheduler = ShardScheduler(ZONE, bench.scheduler.token, bench.cache, Estimates(), 0.0)
    heartbeat = Heartbeat(
        MachineId("vm-1"), TypeName("g"), IN_ZONE, False, 1, 1, bench.scheduler.token, None, "", []
    )
    bench.scheduler.handle_heartbeat(9.0, heartbeat, True)
    accelerator_job = replace(spec(9, 2.0, 30.0), gpus=1.0, types=["g"])
    bench.put("dw/j/run-s", JobRecord(accelerator_job, 9.0).dump())
    gang = replace(spec(1, 3.0, 30.0, is_gang=True), priority=2)
    bench.put("dw/j/run-g", JobRecord(gang, 9.0).dump())
    leader = leader_of(bench, 9.0)

    def placed(now: float) -> bool:
        bench.scheduler.tick(now)
        leader.receive_shard_status(now, bench.scheduler.status(now))
        return any(c.key == "dw/j/run-g" for c in leader.plan(now, now))

    assert not placed(10.0)
    bench.cache.remove("dw/m/r-2", 10_000)
    assert placed(11.0)


def test_the_recovery_cost_per_record_and_machine_is_the_same_at_any_size() -> None:
    """Recovery reads all records, rebuilds a shard, and handles a first heartbeat per machine."""

    def cost(size: int) -> list[float]:
        items: dict[str, tuple[Any, int]] = {TYPES: (encode_machine_types([KIND]), 1)}
        names = [MachineId(f"vm-{n:06d}") for n in range(size)]
        for n in range(0, size, 100):
            group = {"type": "k", "zone": "a", "spot": False}
            items[f"dw/m/r-{n}"] = (group | {"machines": dict.fromkeys(names[n : n + 100], "u")}, 2)
        for n in range(size):
            record = JobRecord(spec(8, 1.0, 30.0), 1.0)
            record.assignments = {"a": {0, 1, 2, 3}}
            items[f"dw/j/run-{n}"] = (record.dump(), 3)
        cache = WatchCache()
        reload_calls = calls(lambda: cache.reload(items, 4))
        shard_schedulers: list[ShardScheduler] = []

        def rebuild() -> None:
            shard_schedulers.append(ShardScheduler(ZONE, FencingToken(5), cache, Estimates(), 0.0))

        rebuild_calls = calls(rebuild)

        def send_heartbeats() -> None:
            for name in names:
                heartbeat = Heartbeat(
                    name, TypeName("k"), IN_ZONE, False, 1, 1, FencingToken(5), None, "", []
                )
                shard_schedulers[0].handle_heartbeat(1.0, heartbeat, True)

        heartbeat_calls = calls(send_heartbeats)
        assert not shard_schedulers[0].unreconciled
        assert len(shard_schedulers[0].queues.unqueued) > 0
        return [count / size for count in (reload_calls, rebuild_calls, heartbeat_calls)]

    for small, large in zip(cost(100), cost(800), strict=True):
        assert large < 1.2 * small + 5
