"""Singles and small gangs beside gangs that wait for room."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from dapplewick.core.demand import AcceleratorDemand, GangDemand
from dapplewick.core.estimates import Estimates
from dapplewick.core.model import ONE_GROUP_TIMES, EndGroup, PartRooms, View, fit_behind
from dapplewick.core.part import PartCore
from dapplewick.protocol.wire import MachineType, Report, types_value
from dapplewick.storage.records import DONE, JOBS, MACHINES, TYPES, JobRecord, Mirror
from dapplewick.types import JobId, MachineId, Size, Token, TypeName, Zone
from test_four_points import spec

ZONE = Zone("a")
LARGE, SMALL = Size(16.0, 0.0, 64.0), Size(8.0, 0.0, 16.0)
GANG = spec(4, 15.0, 60.0, gang=True)
SINGLES = spec(40, 1.0, 60.0)


def records(gang_rank: int = 1) -> Mirror:
    """A gang that waits at the leader, and an array."""
    mirror = Mirror()
    kinds = [
        MachineType(name="large", cpus=16.0, ram=64.0, zones=["a"]),
        MachineType(name="small", cpus=8.0, ram=16.0, zones=["a"]),
    ]
    mirror.put(TYPES, types_value(kinds), 1)
    mirror.put("dw/p/a", {"owner": "n0", "boot": "x"}, 2)
    gang = JobRecord(replace(GANG, rank=gang_rank), 0.0)
    mirror.put(JOBS + "run-gang", gang.dump(), 3)
    array = JobRecord(SINGLES, 0.0)
    array.grants = {"a": set(range(SINGLES.tasks))}
    mirror.put(JOBS + "run-array", array.dump(), 4)
    return mirror


def demand(mirror: Mirror) -> GangDemand:
    made = GangDemand(mirror)
    made.update(0.0)
    return made


def view(name: str, size: Size) -> View:
    none_wanted = AcceleratorDemand(Mirror())
    return View(MachineId(name), TypeName(name), ZONE, False, size, size, [], 0, none_wanted)


@pytest.mark.parametrize(
    ("machines", "taken"),
    [
        # The gang's task leaves one CPU of the large machine.
        ({"large": LARGE, "small": SMALL}, 1 + 8),
        # Without a smaller machine the singles would have nowhere to go, and might starve.
        ({"large": LARGE}, 16),
    ],
)
def test_the_leader_keeps_slots_for_waiting_gangs_where_singles_have_smaller_machines(
    machines: dict[str, Size], taken: int
) -> None:
    mirror = records()
    rooms = PartRooms(ZONE, [view(name, size) for name, size in machines.items()])
    rooms.keep_for_gangs(demand(mirror), 1.0)
    assert rooms.take_most(SINGLES, SINGLES.tasks) == taken


def test_gangs_that_may_stop_singles_need_no_slots_kept() -> None:
    kept = demand(records(gang_rank=2))
    assert kept.kept_slots(True) == 0.0 and not kept.applies(SINGLES)


def launched(machines: dict[str, str]) -> dict[str, int]:
    """How many singles a part starts on each of its machines, which are of these types."""
    mirror = records()
    for n, (name, kind) in enumerate(machines.items()):
        value = {"type": kind, "zone": "a", "spot": False, "machines": {name: "u"}}
        mirror.put(MACHINES + name, value, 10 + n)
    core = PartCore(ZONE, Token(50), mirror, Estimates(), 0.0, seed=1)
    counts = dict.fromkeys(machines, 0)
    for turn in (1, 2):
        for name, kind in machines.items():
            report = Report(
                MachineId(name), TypeName(kind), ZONE, False, 1, turn, Token(50), None, "", []
            )
            orders = core.report(float(turn), report, may_launch=turn == 2)
            counts[name] += sum(order.op == "start" for order in orders)
        core.job_changed(float(turn), JobId("run-array"))
        core.tick(float(turn))
    return counts


def test_a_part_keeps_slots_for_waiting_gangs_where_singles_have_smaller_machines() -> None:
    assert launched({"vm-large": "large", "vm-small": "small"}) == {"vm-large": 1, "vm-small": 8}
    assert launched({"vm-large": "large"}) == {"vm-large": 16}


def test_a_gang_holds_behind_the_smallest_group_that_is_large_enough() -> None:
    """Small gangs took slots behind the largest, which then stood in pieces that no large gang
    could hold: under half of the largest began within four minutes."""
    sixteen = EndGroup(10.0, [view(f"a{n}", LARGE) for n in range(16)])
    eight = EndGroup(30.0, [view(f"b{n}", LARGE) for n in range(8)])
    two = EndGroup(5.0, [view(f"c{n}", LARGE) for n in range(2)])
    groups = [sixteen, eight, two]
    for count, expected in ((16, sixteen), (7, eight), (2, two)):
        assert fit_behind([], groups, count, 20.0) == expected.views[:count]
    # One that ends too late is no place to wait, however well it fits.
    late = EndGroup(20.0 * ONE_GROUP_TIMES + 1.0, eight.views)
    assert fit_behind([], [sixteen, late], 8, 20.0) == sixteen.views[:8]


def test_gangs_that_are_over_are_forgotten_and_those_that_live_are_counted_once() -> None:
    """However many live at once: a fixed number of them counted the oldest again and again."""
    mirror, made = Mirror(), GangDemand(Mirror())
    made.mirror = mirror
    made.update(0.0)
    for n in range(6000):
        mirror.put(f"{JOBS}run-{n}", JobRecord(GANG, 0.0).dump(), n + 1)
    made.update(1.0)
    counted = made._count
    made.update(1.0)
    assert made._count == counted and len(made._seen) == 6000
    for n in range(6000):
        over = JobRecord(GANG, 0.0)
        over.stage = DONE
        mirror.put(f"{JOBS}run-{n}", over.dump(), 6001 + n)
    made.update(2.0)
    assert not made._seen
