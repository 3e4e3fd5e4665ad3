"""Array tasks and small gangs beside gangs that wait for room."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

import standins
from dapplewick.core.demand import AcceleratorDemand, GangDemand
from dapplewick.core.estimates import Estimates
from dapplewick.core.leader.machine_capacity import MachineCapacity
from dapplewick.core.leader.planner import LeaderPlanner
from dapplewick.core.leader.shard_capacity import EndGroup, ShardCapacity
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
    """A gang that waits at the leader, and an array."""
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
    made = GangDemand(cache)
    made.update(0.0)
    return made


def view(name: str, size: Resources) -> MachineCapacity:
    none_wanted = AcceleratorDemand(WatchCache())
    return MachineCapacity(
        MachineId(name), TypeName(name), ZONE, False, size, size, [], 0, none_wanted
    )


@pytest.mark.parametrize(
    ("machines", "taken"),
    [
        # The gang's task leaves one CPU of the large machine.
        ({"large": LARGE, "small": SMALL}, 1 + 8),
        # Without a smaller machine the array tasks would have nowhere to go, and might starve.
        ({"large": LARGE}, 16),
    ],
)
def test_the_leader_keeps_slots_for_waiting_gangs_where_array_tasks_have_smaller_machines(
    machines: dict[str, Resources], taken: int
) -> None:
    cache = records()
    rooms = ShardCapacity(ZONE, [view(name, size) for name, size in machines.items()])
    rooms.reserve_idle_slots_for_gangs(demand(cache), 1.0)
    assert rooms.reserve_up_to(ARRAY_TASKS, ARRAY_TASKS.task_count) == taken


def test_gangs_that_may_preempt_array_tasks_need_no_slots_kept() -> None:
    kept = demand(records(gang_rank=2))
    assert kept.reserved_slots(True) == 0.0
    assert not kept.is_restricted(ARRAY_TASKS)


def launched(machines: dict[str, str]) -> dict[str, int]:
    """How many array tasks a shard starts on each of its machines, which are of these types."""
    cache = records()
    for n, (name, kind) in enumerate(machines.items()):
        value = {"type": kind, "zone": "a", "spot": False, "machines": {name: "u"}}
        cache.put(MACHINES + name, value, 10 + n)
    scheduler = ShardScheduler(ZONE, FencingToken(50), cache, Estimates(), 0.0, seed=1)
    counts = dict.fromkeys(machines, 0)
    for turn in (1, 2):
        for name, kind in machines.items():
            heartbeat = Heartbeat(
                MachineId(name),
                TypeName(kind),
                IN_ZONE,
                False,
                1,
                turn,
                FencingToken(50),
                None,
                "",
                [],
            )
            commands = scheduler.handle_heartbeat(float(turn), heartbeat, may_launch=turn == 2)
            counts[name] += sum(order.kind == "start" for order in commands)
        scheduler.job_changed(float(turn), JobId("run-array"))
        scheduler.tick(float(turn))
    return counts


def test_a_shard_keeps_slots_for_waiting_gangs_where_array_tasks_have_smaller_machines() -> None:
    assert launched({"vm-large": "large", "vm-small": "small"}) == {"vm-large": 1, "vm-small": 8}
    assert launched({"vm-large": "large"}) == {"vm-large": 16}


def test_a_gang_reserves_behind_the_smallest_group_that_is_large_enough() -> None:
    """Small gangs took slots behind the largest, which then stood in pieces that no large gang
    could hold: under half of the largest began within four minutes."""
    sixteen = EndGroup(10.0, [view(f"a{n}", LARGE) for n in range(16)])
    eight = EndGroup(30.0, [view(f"b{n}", LARGE) for n in range(8)])
    two = EndGroup(5.0, [view(f"c{n}", LARGE) for n in range(2)])
    groups = [sixteen, eight, two]
    for count, expected in ((16, sixteen), (7, eight), (2, two)):
        assert fit_behind([], groups, count, 20.0) == expected.capacities[:count]
    # One that ends too late is no place to wait, however well it fits.
    late = EndGroup(20.0 * ONE_GROUP_LIMIT_FACTOR + 1.0, eight.capacities)
    assert fit_behind([], [sixteen, late], 8, 20.0) == sixteen.capacities[:8]


def two_shards(machines: int) -> list[ShardCapacity]:
    return [
        ShardCapacity(ShardName(zone), [view(f"{zone}{n}", LARGE) for n in range(machines)])
        for zone in ("a", "b")
    ]


def test_one_shard_is_reserved_for_an_overdue_gang_for_a_bounded_time() -> None:
    rooms, reservation = two_shards(8), ShardReservation()
    big = spec(6, 15.0, 60.0, is_gang=True)

    def open_after(wall_time: float, waited: float, of: list[ShardCapacity] = rooms) -> int:
        """How many shards are open to the gangs after one that found no room, in a new pass."""
        reservation.begin()
        assert reservation.open_shards(rooms) == rooms  # to the gangs before it, all
        reservation.request(wall_time, big, waited, of, 20.0)
        reservation.request(wall_time, big, OVERDUE_S, of[::-1], 20.0)  # one shard at a time
        return len(reservation.open_shards(rooms))

    def alone(wall_time: float, waited: float, of: list[ShardCapacity] = rooms) -> int:
        reservation.begin()
        reservation.request(wall_time, big, waited, of, 20.0)
        return len(reservation.open_shards(rooms))

    assert alone(0.0, OVERDUE_S - 1.0) == 2
    assert alone(0.0, MAX_OVERDUE_S) == 2  # so late that others go first
    assert alone(0.0, OVERDUE_S, two_shards(5)) == 2  # no shard will ever hold all of it
    assert open_after(0.0, OVERDUE_S) == 1
    # One that helps goes on; one that does not ends, and for a while there is none: idle slots
    # are not kept for ever.
    assert open_after(MAX_RESERVATION_S - 1.0, OVERDUE_S) == 1
    reservation.begin()
    reservation.record_placement(MAX_RESERVATION_S, {ShardName("a")})
    reservation.request(MAX_RESERVATION_S, big, OVERDUE_S, rooms, 20.0)
    assert open_after(2 * MAX_RESERVATION_S - 1.0, OVERDUE_S) == 1
    assert open_after(2 * MAX_RESERVATION_S, OVERDUE_S) == 2
    assert open_after(2 * MAX_RESERVATION_S + COOLDOWN_S - 0.1, OVERDUE_S) == 2
    assert open_after(2 * MAX_RESERVATION_S + COOLDOWN_S, OVERDUE_S) == 1


@pytest.mark.parametrize(
    ("waited", "placed"), [(5.0, [{"run-small0"}, {"run-small1"}]), (95.0, [set(), set()])]
)
def test_slots_that_become_idle_two_at_a_time_come_together_for_an_overdue_gang(
    waited: float, placed: list[set[str]]
) -> None:
    """Against the leader's real passes: the large gang needs six slots, small ones two."""
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

    def a_pass(number: int, idle: int) -> set[str]:
        """The gangs that get a place when so many machines are idle; it is written."""
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
        found = set()
        for change in scheduler.plan(now, now):
            if change.key.startswith(JOBS) and change.value.get("gang"):
                found.add(change.key.removeprefix(JOBS))
                cache.put(change.key, change.value, 200 + number)
        return found

    # What was placed in a pass keeps its two machines busy in the next.
    steps = [a_pass(1, 2), a_pass(2, 2 if placed[0] else 4)]
    assert steps == placed
    if not placed[0]:
        assert a_pass(3, 6) == {"run-big"}


def test_gangs_that_are_over_are_forgotten_and_those_that_live_are_counted_once() -> None:
    """However many live at once: a fixed number of them counted the oldest again and again."""
    cache, made = WatchCache(), GangDemand(WatchCache())
    made.cache = cache
    made.update(0.0)
    for n in range(6000):
        cache.put(f"{JOBS}run-{n}", JobRecord(GANG, 0.0).dump(), n + 1)
    made.update(1.0)
    counted = made._decayed_arrivals
    made.update(1.0)
    assert made._decayed_arrivals == counted
    assert len(made._seen) == 6000
    for n in range(6000):
        over = JobRecord(GANG, 0.0)
        over.stage = DONE
        cache.put(f"{JOBS}run-{n}", over.dump(), 6001 + n)
    made.update(2.0)
    assert not made._seen
