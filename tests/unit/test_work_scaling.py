"""Work is counted, not timed: what a heartbeat, a status and a pass cost as a deployment grows.

A count is the number of function calls that Python makes, which repeats exactly.
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
    # A slot with a queue, at both sizes: stealing looks at the jobs that wait.
    name, task = next(
        (m.id, slot.current)
        for m in reversed(bench.scheduler.machines.values())
        for slot in m.slots
        if slot.queue and slot.current in bench.on[m.id]
    )
    return calls(lambda: bench.heartbeat(name, 3.0, {task}))


def test_a_heartbeat_costs_what_its_machine_runs_not_what_the_shard_does() -> None:
    small, large = (heartbeat_cost(busy_shard(n)) for n in (40, 400))
    assert large < 1.5 * small + 50


def test_a_status_tells_only_what_changed_since_the_confirmed_one() -> None:
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


def test_a_lost_status_is_made_up_for_by_the_next() -> None:
    """Only a confirmed status is a base, so what a lost one told is told again."""
    bench = busy_shard(20)
    leader = leader_of(bench, 1.0)
    confirmed = leader.receive_shard_status(3.0, bench.scheduler.status(3.0))
    one, two = bench.names[-1], bench.names[-2]
    bench.heartbeat(one, 3.5, {next(iter(bench.on[one]))})
    bench.scheduler.status(3.6, confirmed)  # never arrives
    bench.heartbeat(two, 3.7, {next(iter(bench.on[two]))})
    leader.receive_shard_status(3.8, bench.scheduler.status(3.8, confirmed))
    shard = next(iter(leader.shards.values()))

    def rooms(machines: dict[Any, Any]) -> dict[Any, Any]:
        return {m: (body.free, len(body.ends)) for m, body in machines.items()}

    assert rooms(shard.machines) == rooms(bench.scheduler.status(3.8).machines)
    # A leader that has nothing can't use an incremental status, and says so.
    fresh = leader_of(bench, 4.0)
    assert fresh.receive_shard_status(4.0, bench.scheduler.status(4.0, confirmed)) == 0
    assert fresh.receive_shard_status(4.1, bench.scheduler.status(4.1)) > 0
    assert rooms(next(iter(fresh.shards.values())).machines) == rooms(shard.machines)


def test_a_pass_costs_little_more_for_each_gang_that_waits() -> None:
    """Gangs that are alike are looked at once: machines times gangs was the cost before."""

    def cost(machines: int, gangs: int) -> int:
        bench = busy_shard(machines)
        leader = leader_of(bench, 3.0)
        leader.receive_shard_status(3.0, bench.scheduler.status(3.0))
        for n in range(gangs):
            asked = JobRecord(spec(machines * 4, 4.0, 30.0, is_gang=True), 3.0)
            bench.put(f"dw/j/run-w{n}", asked.dump())
        leader.plan(3.0, 3.0)
        return calls(lambda: leader.plan(3.2, 3.2))

    few, many = cost(300, 5), cost(300, 50)
    assert (many - few) / 45 < 300


def test_a_group_of_machines_is_one_record_that_changes_machine_by_machine() -> None:
    """A write for each machine that came up used the whole budget for a minute at the start."""
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


def test_transactions_stay_within_what_the_state_service_takes() -> None:
    """Sixteen records of large arrays were more than a transaction holds, and were refused
    again with every pass."""
    limits = standins.settings("n0").deployment.state
    kb = 1024
    sizes = [5 * kb] * 40 + [int(limits.value_kb * kb) + 1] + [100] * 40
    cut = list(split_into_transactions(sizes, lambda size: size, limits))
    assert sum(len(batch) for batch in cut) == 80
    assert all(len(batch) <= limits.txn_ops and sum(batch) <= 48 * kb for batch in cut)


def test_the_largest_arrays_record_fits_with_scattered_done_tasks() -> None:
    asked = replace(spec(2000, 1.0, 30.0), job_class="b" * 60, image="i" * 60)
    record = JobRecord(asked, 1.0)
    record.done = set(range(0, 2000, 2))
    record.assignments = {"zone-a": set(range(1, 2000, 4)), "zone-b": set(range(3, 2000, 4))}
    assert len(msgspec.json.encode(record.dump())) < 16 * 1024


def test_a_reserved_gang_that_waits_on_preempts_array_tasks_of_lower_priority() -> None:
    """Its slots were chosen to be idle soon, by estimates that were too low: it waited for
    minutes while it could have had them at once."""
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
    waits = [placed(now) for now in (3.0, 4.0, 6.0, 8.0)]
    assert [w is not None and w.preempt for w in waits] == [False, False, False, True]
    assert waits[-1] is not None
    assert waits[-1].attempt == first.attempt
    stops = [o for name in bench.names for o in bench.heartbeat(name, 9.0) if o.kind == "stop"]
    assert len(stops) == 8


def test_rented_machines_are_written_before_their_provisioning_request_ends() -> None:
    """A pass that the write budget cut off in between lost sight of them."""
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
    """Long array tasks of which users expect nothing took each room before it was large enough
    for a gang: gangs waited 233 s at the median, those array tasks 78 s."""
    bench = Bench(2)
    for name in bench.names:
        bench.heartbeat(name, 0.0)
    told = standins.settings("n0")
    told.deployment.objectives = [Objective(kind="wait", class_="gangs", within_s=10.0)]
    bench.cache.put("dw/p/a", {"owner": "n0", "boot": "x"}, int(bench.scheduler.token))
    leader = LeaderPlanner(bench.cache, told, Estimates(), FencingToken(9), 0.0)
    waits = replace(spec(9, 4.0, 30.0, is_gang=True), job_class="gangs")
    bench.put("dw/j/run-g", JobRecord(waits, 0.0).dump())
    bench.put("dw/j/run-s", JobRecord(spec(2, 1.0, 100.0), 0.0).dump())

    def assigned(now: float) -> bool:
        leader.receive_shard_status(now, bench.scheduler.status(now))
        return any(c.key == "dw/j/run-s" for c in leader.plan(now, now))

    assert not assigned(10.0)
    assert assigned(100.0)


def test_gangs_wait_for_plain_machines_that_are_coming() -> None:
    """While a deployment starts, gangs of high priority took the machines with accelerators, which
    were up a few seconds sooner, and kept most accelerators idle for minutes."""
    kinds = [KIND, MachineType(name="g", cpus=4.0, gpus=2.0, ram_gb=64.0, zones=["a"])]
    bench = Bench(0)
    bench.put(TYPES, encode_machine_types(kinds))
    bench.put("dw/m/r-1", {"type": "g", "zone": "a", "spot": False, "machines": {"vm-1": "u"}})
    bench.put("dw/m/r-2", {"type": "k", "zone": "a", "spot": False, "machines": {"vm-2": "b9"}})
    bench.scheduler = ShardScheduler(ZONE, bench.scheduler.token, bench.cache, Estimates(), 0.0)
    said = Heartbeat(
        MachineId("vm-1"), TypeName("g"), IN_ZONE, False, 1, 1, bench.scheduler.token, None, "", []
    )
    bench.scheduler.handle_heartbeat(9.0, said, True)
    scans = replace(spec(9, 2.0, 30.0), gpus=1.0, types=["g"])
    bench.put("dw/j/run-s", JobRecord(scans, 9.0).dump())
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


def test_coming_back_costs_the_same_for_each_record_and_machine_at_any_size() -> None:
    """Reading all records back, rebuilding a shard, and the first heartbeat of each machine."""

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
        read = calls(lambda: cache.reload(items, 4))
        shard_schedulers: list[ShardScheduler] = []

        def rebuild() -> None:
            shard_schedulers.append(ShardScheduler(ZONE, FencingToken(5), cache, Estimates(), 0.0))

        rebuilt = calls(rebuild)

        def hear() -> None:
            for name in names:
                said = Heartbeat(
                    name, TypeName("k"), IN_ZONE, False, 1, 1, FencingToken(5), None, "", []
                )
                shard_schedulers[0].handle_heartbeat(1.0, said, True)

        heard = calls(hear)
        assert not shard_schedulers[0].unreconciled
        assert len(shard_schedulers[0].queues.unqueued) > 0
        return [count / size for count in (read, rebuilt, heard)]

    for small, large in zip(cost(100), cost(800), strict=True):
        assert large < 1.2 * small + 5
