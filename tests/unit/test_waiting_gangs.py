"""Reservations for waiting gangs, and their effect on array tasks and smaller gangs."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

import standins
from dapplewick.core.demand import AcceleratorDemand, GangDemand
from dapplewick.core.estimates import Estimates
from dapplewick.core.leader.machine_capacity import MachineCapacity
from dapplewick.core.leader.planner import LeaderPlanner
from dapplewick.core.leader.shard_capacity import EndGroup, MachineSlots, ShardCapacity
from dapplewick.core.leader.shard_reservation import (
    COOLDOWN_S,
    MAX_OVERDUE_S,
    MAX_RESERVATION_S,
    OVERDUE_S,
    ShardReservation,
)
from dapplewick.core.leader.slot_selection import ONE_GROUP_LIMIT_FACTOR, fit_behind
from dapplewick.core.shard.scheduler import ShardScheduler
from dapplewick.protocol.cloud import MachineType, encode_machine_types
from dapplewick.protocol.workers import Heartbeat
from dapplewick.storage.job_records import DONE, JobRecord
from dapplewick.storage.keys import JOBS, MACHINES, TYPES
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import FencingToken, JobId, MachineId, Resources, ShardName, TypeName, zone_of
from support.shard_bench import KIND, group, machine_status, shard_status, spec

ZONE = ShardName("a")
IN_ZONE = zone_of(ZONE)
LARGE, SMALL = Resources(16.0, 0.0, 64.0), Resources(8.0, 0.0, 16.0)
GANG = spec(4, 15.0, 60.0, is_gang=True)
ARRAY_TASKS = spec(40, 1.0, 60.0)


def records(gang_rank: int = 1) -> WatchCache:
    """Return a cache with a gang that waits at the leader and an array assigned to the shard."""
    cache = WatchCache()
    kinds = [
        MachineType(name="large", cpus=16.0, ram_gb=64.0, zones=["a"]),
        MachineType(name="small", cpus=8.0, ram_gb=16.0, zones=["a"]),
    ]
    cache.put(TYPES, encode_machine_types(kinds), 1)
    cache.put("dw/p/a", {"owner": "n0", "boot": "x"}, 2)
    gang = JobRecord(replace(GANG, priority=gang_rank), 0.0)
    cache.put(JOBS + "run-gang", gang.dump(), 3)
    array = JobRecord(ARRAY_TASKS, 0.0)
    array.assignments = {"a": set(range(ARRAY_TASKS.task_count))}
    cache.put(JOBS + "run-array", array.dump(), 4)
    return cache


def demand(cache: WatchCache) -> GangDemand:
    gang_demand = GangDemand(cache)
    gang_demand.update(0.0)
    return gang_demand


def machine_capacity(name: str, size: Resources) -> MachineCapacity:
    no_accelerator_demand = AcceleratorDemand(WatchCache())
    return MachineCapacity(
        MachineId(name), TypeName(name), ZONE, False, size, size, [], 0, no_accelerator_demand
    )


@pytest.mark.parametrize(
    ("machines", "taken"),
    [
        # The slot reserved for a task of the gang leaves one CPU of the large machine.
        ({"large": LARGE, "small": SMALL}, 1 + 8),
        # Without a smaller machine no slot is reserved, because array tasks might starve.
        ({"large": LARGE}, 16),
    ],
)
def test_the_leader_reserves_slots_for_waiting_gangs_if_array_tasks_have_smaller_machines(
    machines: dict[str, Resources], taken: int
) -> None:
    cache = records()
    capacity = ShardCapacity(
        ZONE, [machine_capacity(name, size) for name, size in machines.items()]
    )
    capacity.reserve_idle_slots_for_gangs(demand(cache), 1.0)
    assert capacity.reserve_up_to(ARRAY_TASKS, ARRAY_TASKS.task_count) == taken


def test_no_slots_are_reserved_for_gangs_that_may_preempt_array_tasks() -> None:
    gang_demand = demand(records(gang_rank=2))
    assert gang_demand.reserved_slots(True) == 0.0
    assert not gang_demand.is_restricted(ARRAY_TASKS)


def started_tasks(machines: dict[str, str]) -> dict[str, int]:
    """Return how many array tasks a shard starts on each of its machines.

    Args:
        machines: the machine type of each machine, by machine name.
    """
    cache = records()
    for n, (name, kind) in enumerate(machines.items()):
        value = {"type": kind, "zone": "a", "spot": False, "machines": {name: "u"}}
        cache.put(MACHINES + name, value, 10 + n)
    scheduler = ShardScheduler(ZONE, FencingToken(50), cache, Estimates(), 0.0, seed=1)
    counts = dict.fromkeys(machines, 0)
    for heartbeat_number in (1, 2):
        for name, kind in machines.items():
            heartbeat = Heartbeat(
                MachineId(name),
                TypeName(kind),
                IN_ZONE,
                False,
                1,
                heartbeat_number,
                FencingToken(50),
                None,
                "",
                [],
            )
            commands = scheduler.handle_heartbeat(
                float(heartbeat_number), heartbeat, may_launch=heartbeat_number == 2
            )
            counts[name] += sum(command.kind == "start" for command in commands)
        scheduler.job_changed(float(heartbeat_number), JobId("run-array"))
        scheduler.tick(float(heartbeat_number))
    return counts


def test_a_shard_reserves_slots_for_waiting_gangs_if_array_tasks_have_smaller_machines() -> None:
    assert started_tasks({"vm-large": "large", "vm-small": "small"}) == {
        "vm-large": 1,
        "vm-small": 8,
    }
    assert started_tasks({"vm-large": "large"}) == {"vm-large": 16}


def test_a_gang_reserves_behind_the_smallest_group_that_is_large_enough() -> None:
    """Guards against the fragmentation of the slots that large gangs free.

    When small gangs reserved slots behind the largest running gangs, no large gang found enough
    slots together: under half of the largest gangs started within four minutes.
    """

    def group(wait_s: float, size: int) -> EndGroup:
        slots = [MachineSlots(machine_capacity(f"vm{n}", LARGE), 1) for n in range(size)]
        return EndGroup(wait_s, size, slots)

    sixteen, eight, two = group(10.0, 16), group(30.0, 8), group(5.0, 2)
    groups = [sixteen, eight, two]
    for count, expected in ((16, sixteen), (7, eight), (2, two)):
        capacities = [slots.capacity for slots in expected.machines[:count]]
        assert fit_behind([], groups, count, 20.0) == capacities
    # A group that ends too late is not chosen, even if its size fits best.
    late = eight._replace(wait_s=20.0 * ONE_GROUP_LIMIT_FACTOR + 1.0)
    capacities = [slots.capacity for slots in sixteen.machines[:8]]
    assert fit_behind([], [sixteen, late], 8, 20.0) == capacities


def two_shards(machines: int) -> list[ShardCapacity]:
    return [
        ShardCapacity(
            ShardName(zone), [machine_capacity(f"{zone}{n}", LARGE) for n in range(machines)]
        )
        for zone in ("a", "b")
    ]


def test_one_shard_is_reserved_for_an_overdue_gang_for_a_bounded_time() -> None:
    shard_capacities, reservation = two_shards(8), ShardReservation()
    gang = spec(6, 15.0, 60.0, is_gang=True)

    def open_after_two_requests(
        wall_time: float, waited: float, candidates: list[ShardCapacity] = shard_capacities
    ) -> int:
        """Request twice in a new pass; return how many shards remain open to the next gangs."""
        reservation.begin()
        # Before the first request of the pass, all shards are open.
        assert reservation.open_shards(shard_capacities) == shard_capacities
        reservation.request(wall_time, gang, waited, candidates, 20.0)
        # The second request has no effect, because at most one shard is reserved.
        reservation.request(wall_time, gang, OVERDUE_S, candidates[::-1], 20.0)
        return len(reservation.open_shards(shard_capacities))

    def open_after_request(
        wall_time: float, waited: float, candidates: list[ShardCapacity] = shard_capacities
    ) -> int:
        reservation.begin()
        reservation.request(wall_time, gang, waited, candidates, 20.0)
        return len(reservation.open_shards(shard_capacities))

    assert open_after_request(0.0, OVERDUE_S - 1.0) == 2
    # A gang that has waited for this long no longer holds up other gangs.
    assert open_after_request(0.0, MAX_OVERDUE_S) == 2
    # No shard could hold the whole gang.
    assert open_after_request(0.0, OVERDUE_S, two_shards(5)) == 2
    assert open_after_two_requests(0.0, OVERDUE_S) == 1
    # The placement of a gang in the shard extends the reservation. Without one it ends, and during
    # a cool-down there is no reservation, so that other gangs can use the idle slots.
    assert open_after_two_requests(MAX_RESERVATION_S - 1.0, OVERDUE_S) == 1
    reservation.begin()
    reservation.record_placement(MAX_RESERVATION_S, {ShardName("a")})
    reservation.request(MAX_RESERVATION_S, gang, OVERDUE_S, shard_capacities, 20.0)
    assert open_after_two_requests(2 * MAX_RESERVATION_S - 1.0, OVERDUE_S) == 1
    assert open_after_two_requests(2 * MAX_RESERVATION_S, OVERDUE_S) == 2
    assert open_after_two_requests(2 * MAX_RESERVATION_S + COOLDOWN_S - 0.1, OVERDUE_S) == 2
    assert open_after_two_requests(2 * MAX_RESERVATION_S + COOLDOWN_S, OVERDUE_S) == 1


@pytest.mark.parametrize(
    ("waited", "placed"), [(5.0, [{"run-small0"}, {"run-small1"}]), (95.0, [set(), set()])]
)
def test_slots_that_become_idle_two_at_a_time_are_reserved_until_an_overdue_gang_fits(
    waited: float, placed: list[set[str]]
) -> None:
    """Planning passes of the leader, with a large gang of six slots and small gangs of two."""
    cache = WatchCache()
    cache.put(TYPES, encode_machine_types([KIND]), 1)
    cache.put("dw/p/a", {"owner": "n0", "boot": "x"}, 2)
    scheduler = LeaderPlanner(cache, standins.settings("n0"), Estimates(), FencingToken(9), 0.0)
    for n in range(6):
        cache.put(f"dw/m/vm-{n}", group(f"vm-{n}"), 10 + n)
    gangs = {"run-big": (6, 0.0), "run-small0": (2, waited), "run-small1": (2, waited)}
    for n, (job, (tasks, at)) in enumerate(gangs.items()):
        record = JobRecord(spec(tasks, 4.0, 10.0, is_gang=True), at)
        cache.put(JOBS + job, record.dump(), 100 + n)

    def run_pass(number: int, idle: int) -> set[str]:
        """Run a pass with `idle` idle machines, store its placements, return the placed gangs."""
        now = waited + number
        busy = [(now + 1000.0, 4.0, 0.0, 1.0, 1, "")]
        machines = {
            f"vm-{n}": machine_status((4.0, 0.0, 64.0))
            if n < idle
            else machine_status((0.0, 0.0, 63.0), busy)
            for n in range(6)
        }
        status = shard_status(machines, number, now)
        scheduler.receive_shard_status(now, status)
        placed_jobs = set()
        for change in scheduler.plan(now, now):
            if change.key.startswith(JOBS) and change.value.get("gang"):
                placed_jobs.add(change.key.removeprefix(JOBS))
                cache.put(change.key, change.value, 200 + number)
        return placed_jobs

    # A gang that is placed in the first pass keeps its two machines busy in the second.
    steps = [run_pass(1, 2), run_pass(2, 2 if placed[0] else 4)]
    assert steps == placed
    if not placed[0]:
        assert run_pass(3, 6) == {"run-big"}


def test_finished_gangs_are_dropped_and_live_gangs_are_counted_once() -> None:
    """Guards against repeated counts of the oldest gangs.

    They occurred when only a fixed number of gangs was remembered and more were live.
    """
    cache, gang_demand = WatchCache(), GangDemand(WatchCache())
    gang_demand.cache = cache
    gang_demand.update(0.0)
    for n in range(6000):
        cache.put(f"{JOBS}run-{n}", JobRecord(GANG, 0.0).dump(), n + 1)
    gang_demand.update(1.0)
    counted = gang_demand._decayed_arrivals
    gang_demand.update(1.0)
    assert gang_demand._decayed_arrivals == counted
    assert len(gang_demand._counted_gangs) == 6000
    for n in range(6000):
        finished = JobRecord(GANG, 0.0)
        finished.stage = DONE
        cache.put(f"{JOBS}run-{n}", finished.dump(), 6001 + n)
    gang_demand.update(2.0)
    assert not gang_demand._counted_gangs
