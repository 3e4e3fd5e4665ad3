"""Pairs of faults: each is brought about, and the removal of its guard is detected.

`docs/meetings.md` has a row for each, with what guards against it.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import pytest

from dapplewick.controller.controller import Controller
from dapplewick.coordination.cancellation_exchange import CancellationWatch
from dapplewick.core.estimates import Estimates
from dapplewick.core.shard.scheduler import ShardScheduler
from dapplewick.protocol.workers import Heartbeat, TaskStatus
from dapplewick.storage.conditional_write import ConditionalWrite
from dapplewick.storage.keys import LEADER
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.transport.http import Request
from dapplewick.types import FencingToken, MachineId, TaskIndex, TaskRef, TypeName, zone_of
from simulation.test_mutations import (
    no_stop_of_cancelled_tasks,
    no_team_limit,
    no_wait_for_unheard_machines,
)
from simulation.test_scenarios import (
    all_crash,
    blinks,
    cut_from_state,
    late_copies,
    one_crash,
    owners,
    play,
    refused_by_state,
    run_script,
    stands_still,
    state_outage,
    submit_jobs,
    unreachable_machines,
    zone_cut,
)
from standins import WORKERS, World, now
from unit.test_scheduler_models import TOKEN, ZONE, Bench, spec, starts

Script = Callable[[World], Coroutine[Any, Any, None]]
Patch = Callable[[pytest.MonkeyPatch], None]


def leader(world: World) -> str:
    record = world.state.keys.get("dw/leader")
    return record[0]["node"] if record is not None else world.names[0]


async def call(
    world: World, name: str, method: str, job: str, verb: str = ""
) -> tuple[int, dict[str, Any]]:
    """A user's request to one controller."""
    path = f"/v2/runs/{job}" + (f"/{verb}" if verb else "")
    question = world.history.ask(job, verb or "poll")
    answer = await world.controllers[name].handle(Request(method, path, b"", False))
    assert answer.status != 503 or answer.retry_after
    return answer.status, world.note_answer(question, name, answer)


async def cancel(world: World, name: str, jobs: list[str]) -> None:
    """Cancel through one controller; what it confirms binds from then on."""
    for job in jobs:
        status, said = await call(world, name, "POST", job, "abort")
        if status == 200 and said["stage"] == "withdrawn":
            world.told[job] = "withdrawn"
            world.cancelled_at.setdefault(job, now())


def finished(world: World) -> dict[str, str]:
    return {j: s for j, s in world.told.items() if s not in ("done", "withdrawn")}


def play_scenario(script: Script, seed: int, length: float, count: int = 3) -> World:
    world = World(seed, count)

    async def run() -> None:
        await script(world)

    run_script(world, length, run)
    return world


# The gap, and the cancellations in the moment of a refusal


def gap(who: str, lost: bool, hang: bool = False) -> Script:
    """The state service refuses the leader or an owner alone; another controller confirms
    cancellations; then it is out for all for longer than `cancel_s`."""

    async def script(world: World) -> None:
        world.lease_ends_hung = hang  # no deletion can be recorded meanwhile
        await anyio.sleep(3)
        submit_jobs(world, 12, pieces=3, cpus=4.0, true_s=150.0, expected_s=150.0)
        await anyio.sleep(27)
        refused = {"leader": [leader(world)], "owner": owners(world)[:1]}.get(who, [])
        refused = refused or sorted({leader(world), *owners(world)[:1]})
        other = next(n for n in world.names if n not in refused)
        jobs = sorted(world.accepted)
        running = {n.split("/")[0] for _, n in world.on_machines()}
        assert len(running & set(jobs[:9])) > 4
        if lost:
            world.cut_peers.update(world.names)  # what controllers tell one another is lost
        await cancel(world, other, jobs[:2])
        for name in refused:
            world.modes[(name, "state")] = "refused"
        await cancel(world, other, jobs[2:5])
        if hang:
            for worker in [w for w, n in world.on_machines() if n.split("/")[0] in jobs[:5]]:
                worker.hanging = True
        await anyio.sleep(1.0)
        await cancel(world, other, jobs[5:7])
        await anyio.sleep(0.5)
        world.state.set_down(True)
        await anyio.sleep(12)
        for worker in world.workers.values():
            worker.hanging = False
        world.modes.clear()
        await anyio.sleep(WORKERS["cancel_s"] + 6.0)
        world.kept = len(world.on_machines())  # type: ignore[attr-defined]
        world.state.set_down(False)
        world.cut_peers.clear()
        world.calm_at = now()

    return script


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("hang", [False, True], ids=["", "hang"])
@pytest.mark.parametrize("lost", [False, True], ids=["told", "lost"])
@pytest.mark.parametrize("who", ["leader", "owner", "both"])
def test_a_confirmed_cancellation_binds_in_the_gap(
    who: str, lost: bool, hang: bool, seed: int
) -> None:
    world = play_scenario(gap(who, lost, hang), seed, 450.0)
    assert world.violations == []
    assert len(world.cancelled_at) == 7
    assert finished(world) == {}
    # Where the controllers can tell one another that none was missed, the others' work goes on.
    kept: int = world.kept  # type: ignore[attr-defined]
    assert kept == 0 if lost else kept >= 8


def test_a_quiet_controller_starts_nothing_long_after_a_cancellation() -> None:
    async def script(world: World) -> None:
        await anyio.sleep(3)
        submit_jobs(world, 8, pieces=12, cpus=4.0, true_s=20.0)
        for job in range(6):
            await anyio.sleep(4)
            await cancel(world, world.names[job % 3], [f"run-{job:06d}"])

    world = play_scenario(script, 3, 200.0)
    assert world.violations == []
    assert finished(world) == {}
    # An image may be on its way when the user is told; the next heartbeat's answer stops it.
    assert max(world.started_after_cancel.values(), default=0.0) < 5.0


@pytest.mark.parametrize("lost", [False, True], ids=["told", "lost"])
def test_in_an_outage_what_is_assigned_starts_unless_a_cancellation_may_be_missed(
    lost: bool,
) -> None:
    world = World(12)
    begun: list[int] = []

    async def script() -> None:
        await anyio.sleep(3)
        body = world.job(name_id="run-first", pieces=20, cpus=4.0, true_s=25.0, expected_s=25.0)
        world.group.start_soon(world.user, "run-first", body, None)
        await anyio.sleep(4)
        world.cloud.down = True  # no more machines than these
        submit_jobs(world, 6, pieces=20, cpus=4.0, true_s=25.0, expected_s=25.0)
        await anyio.sleep(16)
        if lost:
            world.cut_peers.update(world.names)
        world.state.set_down(True)
        await anyio.sleep(10)
        begun.append(world.starts)
        await anyio.sleep(16)
        begun.append(world.starts)
        world.state.set_down(False)
        world.cut_peers.clear()
        world.cloud.down = False
        world.calm_at = now()

    run_script(world, 200.0, script)
    assert world.violations == []
    assert finished(world) == {}
    assert begun[0] > 4
    assert (begun[1] == begun[0]) is lost


# What controllers say of cancellations


class Talk:
    """Two controllers' watches and the messages between them."""

    def __init__(self) -> None:
        self.caches = {name: WatchCache() for name in "ab"}
        self.watches = {
            "a": CancellationWatch("boot-a", ["b"], 2),  # type: ignore[list-item]
            "b": CancellationWatch("boot-b", ["a"], 2),  # type: ignore[list-item]
        }

    def tell(self, at: float, sender: str, heard_at: float, ready: bool = True) -> None:
        receiver = "b" if sender == "a" else "a"
        message = self.watches[sender].message(at, self.caches[sender], ready)
        self.watches[receiver].hear(heard_at, receiver, sender, message, self.caches[receiver])  # type: ignore[arg-type]


def test_the_age_of_what_is_known_counts_from_the_request() -> None:
    talk = Talk()
    assert talk.watches["a"].known_at(100.0) < 0  # nothing was ever heard
    talk.tell(100.0, "a", 103.0)
    assert talk.watches["a"].known_at(104.0) < 0  # asked, not answered
    talk.tell(107.0, "b", 109.0)
    assert talk.watches["a"].known_at(110.0) == 100.0
    talk.tell(120.0, "b", 121.0)  # an answer to the same question is no newer
    assert talk.watches["a"].known_at(122.0) == 100.0
    assert CancellationWatch("x", [], 1).known_at(5.0) == 5.0  # alone: it told all itself
    assert CancellationWatch("x", [], 2).known_at(5.0) < 0  # one that can't be asked


def test_who_has_not_read_the_records_or_lists_too_little_assures_nothing() -> None:
    talk = Talk()
    talk.tell(1.0, "a", 1.0)
    talk.tell(2.0, "b", 2.0, ready=False)
    assert talk.watches["a"].known_at(3.0) < 0
    # The list begins after what the other has read: one that it needs may be missing.
    talk = Talk()
    talk.caches["b"].revision = talk.caches["a"].revision = 50  # type: ignore[assignment]
    talk.tell(1.0, "a", 1.0)
    talk.caches["a"].revision = 10  # type: ignore[assignment]
    talk.tell(2.0, "b", 2.0)
    assert talk.watches["a"].known_at(3.0) < 0
    # A request of another incarnation is not this one's.
    talk = Talk()
    talk.tell(1.0, "a", 1.0)
    talk.watches["a"] = CancellationWatch("boot-2", ["b"], 2)  # type: ignore[list-item]
    talk.tell(2.0, "b", 2.0)
    assert talk.watches["a"].known_at(3.0) < 0


def test_what_a_peer_tells_stays_until_the_record_itself_comes() -> None:
    bench = Bench(1)
    machine = bench.names[0]
    bench.heartbeat(machine, 0.0)
    bench.assign("run-1", spec(1, 1.0, 10.0), 0.0)
    assert len(bench.heartbeat(machine, 1.0)) == 1
    version = bench.cache.jobs["run-1"].version  # type: ignore[index]
    bench.cache.told_cancelled("run-1", version + 5)  # type: ignore[arg-type]
    bench.scheduler.job_changed(2.0, "run-1")  # type: ignore[arg-type]
    assert [o.op for o in bench.heartbeat(machine, 2.0)] == ["stop"]
    # A record that is older than what the peer told changes nothing.
    old = bench.cache.jobs["run-1"].copy()  # type: ignore[index]
    old.stage = "open"
    bench.cache.put("dw/j/run-1", old.dump(), version + 1)
    assert not bench.cache.jobs["run-1"].open  # type: ignore[index]
    assert bench.cache.cancellations(version) == [(version + 5, "run-1")]
    assert bench.cache.cancellations(version + 5) == []


# Late and stale


def test_nothing_is_planned_while_a_write_may_still_come() -> None:
    """A write without an answer, and the writing anew of the leader's key lost as well: what
    was planned next counted without it, and a team passed its limit when it came."""
    world = World(4)
    lost: list[tuple[float, int]] = []

    def lose(_: str, body: dict[str, Any]) -> bool:
        keys = [op.get("write", "") for op in body.get("apply", [])]
        epoch = next((c["stamp"] for c in body.get("if", []) if c["key"] == LEADER), 0)
        assignments = any(k.startswith("dw/j/") for k in keys) and LEADER not in keys and epoch
        if len(lost) < 3 and assignments and not any(e == epoch for _, e in lost):
            lost.append((now(), epoch))
            return True
        again = LEADER in keys and bool(lost) and now() - lost[-1][0] < 4.0
        return again and world.random.random() < 0.7

    world.lose = lose

    async def script() -> None:
        await anyio.sleep(3)
        submit_jobs(world, 10, pieces=6, cpus=4.0, true_s=8.0, crew="blue")

    run_script(world, 200.0, script)
    assert len(lost) == 3
    assert world.violations == []
    assert finished(world) == {}
    for at, epoch in lost:
        after = [
            body
            for t, _, body in world.writes
            if t > at and {"key": LEADER, "stamp": epoch} in body.get("if", [])
        ]
        assert after
        assert all(op.get("write") == LEADER for body in after for op in body["apply"])


async def many_late_writes(world: World) -> None:
    world.late_writes = 0.25
    await anyio.sleep(3)
    submit_jobs(world, 14, pieces=5, cpus=4.0, true_s=8.0, crew="blue")
    for name in [*world.names, *world.names]:
        await anyio.sleep(11)
        world.crash(name)
        await anyio.sleep(world.random.choice([0.1, 3.0]))
        world.start_controller(name)
    world.late_writes = 0.0
    world.calm_at = now()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_late_writes_and_restarts_together(seed: int) -> None:
    world = play_scenario(many_late_writes, seed, 300.0)
    assert world.violations == []
    assert finished(world) == {}


def test_a_late_presence_record_of_an_earlier_incarnation_takes_no_controller_out() -> None:
    world = World(5)
    kept: list[dict[str, Any]] = []

    def lose(_: str, body: dict[str, Any]) -> bool:
        mine = any(op.get("write") == "dw/n/n2" for op in body.get("apply", []))
        if mine and not kept:
            kept.append(body)
            return True
        return False

    world.lose = lose
    seen: list[bool] = []

    async def script() -> None:
        await anyio.sleep(1.2)
        world.crash("n2")
        await anyio.sleep(0.1)
        world.start_controller("n2")
        for _ in range(40):
            await anyio.sleep(1.0)
            record = world.state.keys.get("dw/n/n2")
            seen.append(
                record is not None and record[0]["boot"] == world.controllers["n2"].incarnation
            )

    run_script(world, 45.0, script)
    assert kept
    assert all(seen[3:])


def test_a_lost_presence_record_is_written_again() -> None:
    world = World(6)

    async def script() -> None:
        await anyio.sleep(10)
        lease = world.state.keys["dw/n/n1"][2]
        world.state.keys["dw/n/n1"] = ({"boot": "earlier", "zone": "a"}, 10**6, lease)
        world.state.ledger = 10**6
        world.state.log.append((10**6, "dw/n/n1", {"boot": "earlier", "zone": "a"}, False))

    run_script(world, 25.0, script)
    assert world.state.keys["dw/n/n1"][0]["boot"] == world.controllers["n1"].incarnation


def test_a_copy_that_a_new_owner_hears_first_does_not_start_a_task_twice() -> None:
    """The task had moved under the old owner; the copy said where it was before."""
    bench = Bench(2)
    first, second = bench.names
    bench.assign("run-1", spec(1, 1.0, 100.0), 0.0)
    scheduler = ShardScheduler(ZONE, FencingToken(60), bench.cache, Estimates(), 2.0)
    task = TaskRef("run-1", TaskIndex(0))  # type: ignore[arg-type]

    def heartbeat(name: str, sequence: int, token: int, attempt: int, at: float) -> list[Any]:
        tasks = [TaskStatus(task, attempt, "running", None, False)] if attempt else []  # type: ignore[arg-type]
        machine, zone = MachineId(name), zone_of(ZONE)
        said = Heartbeat(
            machine, TypeName("k"), zone, False, 1, sequence, FencingToken(token), None, "", tasks
        )
        return scheduler.handle_heartbeat(at, said, True)

    copy_says = heartbeat(first, 5, TOKEN, 1, 3.0)
    assert copy_says == []  # neither stopped nor settled
    assert heartbeat(first, 9, 60, 0, 4.0) == []  # it is not there, and the other is not heard yet
    assert heartbeat(second, 7, TOKEN, 2, 5.0) == []
    assert heartbeat(second, 8, 60, 2, 6.0) == []
    for sequence in range(10, 14):
        scheduler.tick(float(sequence))
        assert starts(heartbeat(first, sequence, 60, 0, float(sequence))) == []
        assert heartbeat(second, sequence, 60, 2, float(sequence)) == []


@pytest.mark.parametrize("seed", [5, 6])
def test_delayed_and_copied_heartbeats_reach_new_owners(seed: int) -> None:
    async def script(world: World) -> None:
        await anyio.sleep(3)
        submit_jobs(world, 10, pieces=6, cpus=2.0, true_s=40.0)
        await late_copies(world)
        world.calm_at = now()

    world = play_scenario(script, seed, 360.0)
    assert world.copied > 100
    assert world.violations == []
    assert finished(world) == {}


# Changes of leader and owner


@pytest.mark.parametrize("outage", [False, True], ids=["", "outage"])
def test_leaders_change_ten_times_in_two_minutes(outage: bool) -> None:
    """Jobs of two and three tasks end far apart meanwhile, and keep their done tasks."""

    async def script(world: World) -> None:
        await anyio.sleep(3)
        each = [4.0, 60.0, 150.0]
        submit_jobs(world, 6, pieces=3, cpus=2.0, true_each=each, true_s=150.0, expected_s=40.0)
        await anyio.sleep(20)
        for n in range(10):
            await anyio.sleep(9)
            if outage and n % 3 == 1:
                world.state.set_down(True)
            name = leader(world)
            world.crash(name)
            await anyio.sleep(world.random.choice([0.05, 0.6, 2.0]))
            world.start_controller(name)
            if outage and n % 3 == 2:
                world.state.set_down(False)
        world.state.set_down(False)
        world.calm_at = now()

    world = play_scenario(script, 7, 460.0)
    assert world.violations == []
    assert finished(world) == {}
    assert len(world.accepted) == 6
    assert world.reruns == []


def test_a_leader_that_finds_its_old_key_after_an_outage_begins_a_new_epoch() -> None:
    """It numbered provisioning requests and attempts from one again, under its last epoch."""
    world = World(8)
    epochs: list[int] = []

    async def script() -> None:
        await anyio.sleep(3)
        submit_jobs(world, 4, pieces=12, cpus=4.0, true_s=30.0)
        for _ in range(3):
            await anyio.sleep(12)
            record = world.state.keys[LEADER]
            epochs.append(record[1])
            world.state.set_down(True)
            await anyio.sleep(11)
            world.state.set_down(False)
            await anyio.sleep(4)
            assert world.state.keys[LEADER][0]["node"] == record[0]["node"]
        epochs.append(world.state.keys[LEADER][1])

    run_script(world, 150.0, script)
    assert world.violations == []
    assert finished(world) == {}
    assert len(set(epochs)) == len(epochs)
    names = [
        op["write"]
        for _, _, body in world.writes
        for op in body.get("apply", [])
        if op.get("write", "").startswith("dw/b/")
    ]
    assert len(names) == len(set(names))


def test_a_write_is_made_under_the_epoch_that_was_planned_under() -> None:
    """Between two writes of a pass the watch cache may come to show another leader's key."""
    world = World(9)
    seen: list[bool] = []

    async def script() -> None:
        await anyio.sleep(5)
        name = leader(world)
        controller = world.controllers[name]
        epoch = controller.cache.version(LEADER)
        # Another leader's key, as the watch would bring it.
        controller.cache.put(LEADER, {"node": "n9", "boot": "other"}, epoch + 1000)
        await controller._write(FencingToken(epoch), [ConditionalWrite("dw/x", {}, 0, 0)])
        seen.append({"key": LEADER, "stamp": epoch} in world.writes[-1][2]["if"])

    run_script(world, 8.0, script)
    assert seen == [True]


async def all_away(world: World) -> None:
    """All controllers are gone for longer than a lease; one comes back first."""
    await anyio.sleep(3)
    submit_jobs(world, 10, pieces=4, cpus=4.0, true_s=25.0)
    await anyio.sleep(20)
    for name in world.names:
        world.crash(name)
    await anyio.sleep(WORKERS["lease_s"] + 8.0)
    world.start_controller(world.names[-1])
    await anyio.sleep(0.4)
    for name in world.names:
        world.start_controller(name)
    world.calm_at = now()


async def overload(world: World) -> None:
    """More work than room, urgent and not, while the state service answers slowly."""
    world.cloud.lacking = {("g8", True), ("c8", True)}
    world.slow = 60.0
    await anyio.sleep(3)
    for n in range(24):
        body = world.job(
            name_id=f"run-{n:06d}",
            pieces=6,
            cpus=4.0,
            true_s=10.0,
            urgency=["urgent", "standard", "best_effort"][n % 3],
            shape="group" if n % 4 == 0 else "sweep",
            crew="blue",
        )
        world.group.start_soon(world.user, body["name_id"], body, 20.0 if n % 5 == 0 else None)
        await anyio.sleep(0.5)
    await anyio.sleep(60)
    world.slow = 1.0
    world.calm_at = now()


async def unreachable_with_long_tasks(world: World) -> None:
    """The leader and an owner end while machines with long tasks can't be reached, or don't
    hear the new owner's answers."""
    await anyio.sleep(3)
    submit_jobs(world, 8, pieces=3, cpus=4.0, true_s=90.0)
    await anyio.sleep(22)
    names = sorted(world.workers)
    for n, name in enumerate(names):
        world.workers[name].cut = n % 3 == 0
        world.workers[name].unreachable = n % 3 == 1
    for name in {leader(world), *owners(world)}:
        world.crash(name)
        await anyio.sleep(0.3)
        world.start_controller(name)
    await anyio.sleep(25)
    for worker in world.workers.values():
        worker.cut = worker.unreachable = False
    world.calm_at = now()


async def limit_and_cancellation(world: World) -> None:
    """A team is at its limit when the leader changes, some of its machines can't be asked, and
    a cancellation falls into that spell."""
    await anyio.sleep(3)
    submit_jobs(world, 8, pieces=4, cpus=4.0, true_s=40.0, crew="blue")
    await anyio.sleep(22)
    used = [n for _, n in world.on_machines()]
    assert len(used) == 6  # 24 of 24 CPUs
    for worker in [w for w, _ in world.on_machines()][::2]:
        worker.cut = True
    first = used[0].split("/")[0]
    world.crash(leader(world))
    await cancel(world, next(n for n in world.names if n in world.controllers), [first])
    await anyio.sleep(1)
    for name in world.names:
        world.start_controller(name)
    await anyio.sleep(30)
    for worker in world.workers.values():
        worker.cut = False
    world.calm_at = now()


async def cut_leader_and_new_one(world: World) -> None:
    """The leader loses the state service and its peers, not workers and users; jobs are
    cancelled through the new one."""
    await anyio.sleep(3)
    submit_jobs(world, 10, pieces=3, cpus=4.0, true_s=110.0)
    await anyio.sleep(27)
    old = leader(world)
    owned = owners(world)[0]
    for name in {old, owned}:
        world.modes[(name, "state")] = world.modes[(name, "cloud")] = "cut"
        world.cut_peers.add(name)
    other = next(n for n in world.names if n not in (old, owned))
    for n in range(5):
        await anyio.sleep(2)
        await cancel(world, other, [f"run-{n:06d}"])
    await anyio.sleep(40)
    assert leader(world) == other
    world.modes.clear()
    world.cut_peers.clear()
    world.calm_at = now()


async def mute_machines(world: World) -> None:
    """Half of the machines reach no controller for longer than a lease, twice."""
    await anyio.sleep(3)
    submit_jobs(world, 10, pieces=4, cpus=4.0, true_s=30.0)
    for _ in range(2):
        await anyio.sleep(20)
        mute = [w for _, w in sorted(world.workers.items())][::2]
        for worker in mute:
            worker.cut = True
        await anyio.sleep(24)
        for worker in mute:
            worker.cut = False
    world.calm_at = now()


async def bound_jobs_lose_machines(world: World) -> None:
    """Jobs bound to one zone, arrays too, lose all machines of it."""
    await anyio.sleep(3)
    for n in range(9):
        placements: list[dict[str, Any]] = [
            {"yard": "a"},
            {"same_place": True},
            {"same_place": True, "yard": "b"},
        ]
        place = placements[n % 3]
        body = world.job(
            name_id=f"run-{n:06d}",
            pieces=3,
            cpus=4.0,
            true_s=30.0,
            shape="group" if n % 2 else "sweep",
            **place,
        )
        world.group.start_soon(world.user, body["name_id"], body, None)
    for zone in ("a", "b", "a"):
        await anyio.sleep(20)
        for worker in [w for w in world.workers.values() if w.zone == zone]:
            world.remove_machine(worker.name)
    world.calm_at = now()


async def long_outage(world: World) -> None:
    """Out for longer than all leases, while no controller can ask its peers."""
    await anyio.sleep(3)
    submit_jobs(world, 8, pieces=4, cpus=4.0, true_s=70.0)
    await anyio.sleep(25)
    world.before = set(world.workers)  # type: ignore[attr-defined]
    world.cut_peers.update(world.names)
    world.state.set_down(True)
    await anyio.sleep(60)
    world.state.set_down(False)
    world.cut_peers.clear()
    world.calm_at = now()
    await anyio.sleep(10)
    world.after = set(world.workers)  # type: ignore[attr-defined]


async def zone_cut_and_calm(world: World) -> None:
    submit_jobs(world, 10, pieces=4, cpus=4.0, true_s=40.0)
    await zone_cut(world)
    world.calm_at = now()


COMPOUND_FAILURES = [
    all_away,
    overload,
    unreachable_with_long_tasks,
    limit_and_cancellation,
    cut_leader_and_new_one,
    mute_machines,
    bound_jobs_lose_machines,
    long_outage,
    zone_cut_and_calm,
]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("script", COMPOUND_FAILURES, ids=lambda f: f.__name__)
def test_under_compound_failures_rules_hold_and_all_is_served(script: Script, seed: int) -> None:
    world = play_scenario(script, seed, 420.0)
    assert world.violations == []
    assert finished(world) == {}
    assert len(world.told) == len(world.accepted) > 0


def test_a_long_outage_costs_no_machine() -> None:
    """By their age alone all were silent or idle when the state service was back."""
    world = play_scenario(long_outage, 3, 110.0)
    before, after = world.before, world.after  # type: ignore[attr-defined]
    assert len(before) > 3
    assert before <= after


async def late_writes(world: World) -> None:
    await anyio.sleep(20)
    world.late_writes = 0.3
    await anyio.sleep(60)
    world.late_writes = 0.0


async def slow_state(world: World) -> None:
    await anyio.sleep(25)
    world.slow = 80.0
    await anyio.sleep(40)
    world.slow = 1.0


async def mute(world: World) -> None:
    await anyio.sleep(22)
    for worker in list(world.workers.values())[::2]:
        worker.cut = True
    await anyio.sleep(22)
    for worker in world.workers.values():
        worker.cut = False


async def cancel_running(world: World) -> None:
    """Users cancel what runs, within a moment, and some of its machines hang for a while."""
    await anyio.sleep(30)
    running = sorted({n.split("/")[0] for _, n in world.on_machines()} - world.cancelled_at.keys())
    hung = [w for w, n in world.on_machines() if n.split("/")[0] in running[:4]]
    await cancel(world, next(iter(sorted(world.controllers))), running[:4])
    for worker in hung:
        worker.hanging = True
    await anyio.sleep(12)
    for worker in hung:
        worker.hanging = False


DRAWN: list[Script] = [
    late_writes,
    slow_state,
    mute,
    cancel_running,
    all_crash,
    blinks,
    cut_from_state,
    unreachable_machines,
    late_copies,
    one_crash,
    refused_by_state,
    stands_still,
    state_outage,
    zone_cut,
]


@pytest.mark.parametrize("seed", range(41, 53))
def test_a_random_pair_of_faults_breaks_no_rule(seed: int) -> None:
    async def pair(world: World) -> None:
        async with anyio.create_task_group() as group:
            for fault in world.random.sample(DRAWN, 2):
                group.start_soon(fault, world)
        world.calm_at = now()

    # Long enough for the most work with accelerators that may be drawn, at its team's limit.
    world = play(pair, seed, length=360.0, slow=2.5)
    assert world.violations == []
    assert finished(world) == {}
    assert len(world.accepted) == 14


# Cancellation at completion


async def cancel_at_completion(world: World, job: str, final: dict[str, set[str]]) -> None:
    """Ask all controllers about a job, and cancel it, around the end of its last task."""
    last = f"{job}/1"
    while last not in world.results:
        await anyio.sleep(0.01)
    await anyio.sleep(world.random.uniform(0.0, 1.2))

    async def ask(name: str, method: str, verb: str) -> None:
        status, said = await call(world, name, method, job, verb)
        assert status in (200, 503)
        if status == 200 and said["stage"] in ("done", "withdrawn"):
            final.setdefault(job, set()).add(said["stage"])

    async with anyio.create_task_group() as group:
        for name in world.names:
            group.start_soon(ask, name, "GET", "")
        group.start_soon(ask, world.random.choice(world.names), "POST", "abort")
        group.start_soon(ask, world.random.choice(world.names), "POST", "abort")


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_cancellation_at_completion_has_one_final_answer_everywhere(seed: int) -> None:
    world = World(seed)
    final: dict[str, set[str]] = {}

    async def script() -> None:
        await anyio.sleep(3)
        for n in range(12):
            body = world.job(name_id=f"run-{n:06d}", pieces=2, true_s=5.0 + n)
            world.cancelled_at[body["name_id"]] = 1e9  # its user may be told either
            world.group.start_soon(world.user, body["name_id"], body, None)
            world.group.start_soon(cancel_at_completion, world, body["name_id"], final)
        await anyio.sleep(45)
        for name in world.names:
            world.crash(name)
        await anyio.sleep(0.2)
        for name in world.names:
            world.start_controller(name)
        await anyio.sleep(10)
        for job in sorted(world.accepted):
            for name in world.names:
                status, said = await call(world, name, "GET", job)
                assert status == 200
                final[job].add(said["stage"])

    run_script(world, 70.0, script)
    assert world.violations == []
    assert len(final) == 12
    assert all(len(stages) == 1 for stages in final.values())
    assert {s for stages in final.values() for s in stages} == {"done", "withdrawn"}


# Invalid requests


INVALID: list[tuple[dict[str, Any], int]] = [
    ({"cpus": 64.0}, 422),
    ({"crew": "green"}, 422),
    ({"yard": "z"}, 422),
    ({"builds": ["g9"]}, 422),
    ({"shape": "group", "pieces": 9, "cpus": 4.0, "crew": "blue"}, 422),
    ({"shape": "group", "pieces": 2, "scatter": True, "yard": "a"}, 422),
    ({"shape": "group", "pieces": 2, "scatter": True, "same_place": True}, 422),
    ({"shape": "other"}, 400),
    ({"pieces": 0}, 400),
    ({"cpus": "2"}, 400),
    ({"cpus": -1.0}, 400),
    ({"urgency": None}, 400),
    ({"scatter": 1}, 400),
]
FIELDS = [
    "name_id",
    "bundle",
    "crew",
    "shape",
    "urgency",
    "pieces",
    "cpus",
    "accelerators",
    "ram_gb",
    "kit",
    "image_gb",
    "same_place",
    "scatter",
    "borrowed",
    "expected_s",
    "fold_s",
    "press_s",
]


def test_invalid_requests_get_the_protocols_answer_also_in_an_outage() -> None:
    world = World(2)
    seen: list[str] = []

    async def submit(body: dict[str, Any]) -> int:
        raw = json.dumps({k: v for k, v in body.items() if k != "true_s"}).encode()
        begun = now()
        answer = await world.controllers["n1"].handle(Request("POST", "/v2/runs", raw, False))
        assert answer.status != 503 or (
            answer.retry_after and now() - begun < 0.5
        )  # one shared look
        return answer.status

    async def odd() -> None:
        for change, status in INVALID:
            got = await submit(world.job(name_id="run-odd", **change))
            if got != status:
                seen.append(f"{change} got {got}")
        for field in FIELDS:
            body = world.job(name_id="run-odd")
            del body[field]
            if (got := await submit(body)) != 400:
                seen.append(f"without {field} got {got}")

    async def script() -> None:
        await anyio.sleep(5)
        for name, true_s in (("run-done", 2.0), ("run-open", 900.0)):
            world.jobs[name] = world.job(name_id=name, true_s=true_s)
            assert await submit(world.jobs[name]) == 201
            await odd()
            await anyio.sleep(25)
        for outage in (False, True):
            world.state.set_down(outage)
            status = 503 if outage else 200
            assert await submit(world.jobs["run-open"]) == status
            assert await submit(world.jobs["run-done"]) == 200
            assert (await call(world, "n2", "POST", "run-done", "abort")) == (
                (503, {"error": "not available now"})
                if outage
                else (200, {"name_id": "run-done", "stage": "done"})
            )
            unknown = 503 if outage else 404
            assert (await call(world, "n0", "GET", "run-none"))[0] == unknown
            assert (await call(world, "n0", "POST", "run-none", "abort"))[0] == unknown
            assert await submit(world.job(name_id=f"run-new{outage}")) == (503 if outage else 201)
            await odd()

    world.jobs["run-newFalse"] = world.job(name_id="run-newFalse")
    run_script(world, 80.0, script)
    assert seen == []


def test_a_job_behind_others_that_run_on_and_on_gets_a_machine_of_its_own() -> None:
    """Slots that are taken counted as if they were free again soon, so none was rented."""
    world = World(3)
    begun: list[float] = []

    async def script() -> None:
        await anyio.sleep(3)
        submit_jobs(world, 1, pieces=12, true_s=900.0)
        await anyio.sleep(22)
        body = world.job(name_id="run-000009", pieces=2, cpus=8.0, true_s=5.0)
        world.group.start_soon(world.user, body["name_id"], body, None)
        at = now()
        while world.told.get("run-000009") != "done":
            await anyio.sleep(0.5)
        begun.append(now() - at)

    run_script(world, 180.0, script)
    assert begun
    assert begun[0] < 110.0


# Mutations: guards removed


def a_lie_about_what_is_known(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(CancellationWatch, "known_at", lambda _, at: at)


def a_new_term_under_the_old_epoch(patch: pytest.MonkeyPatch) -> None:
    async def settle(self: Controller) -> Any:
        return self.cache.version(LEADER)

    patch.setattr(Controller, "_settle_epoch", settle)


def stale_heartbeats_place_tasks(patch: pytest.MonkeyPatch) -> None:
    take = ShardScheduler._take_tasks

    def trusting(
        self: ShardScheduler, at: float, machine: Any, heartbeat: Any, settles: bool, new: bool
    ) -> Any:
        commands = take(self, at, machine, heartbeat, settles, new)
        for item in heartbeat.tasks:
            if item.stage != "exited":
                self._present(at, machine, item)
        return commands

    patch.setattr(ShardScheduler, "_take_tasks", trusting)


def refused_machines_are_silent(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ShardScheduler, "refuse", lambda *_: None)


def starved_jobs_wait_on(patch: pytest.MonkeyPatch) -> None:
    patch.setattr("dapplewick.core.leader.capacity_requests.STARVED_S", 1e9)


GUARDS: list[tuple[Patch, Callable[[], None]]] = [
    (
        a_lie_about_what_is_known,
        lambda: test_a_confirmed_cancellation_binds_in_the_gap("both", True, False, 1),
    ),
    (
        a_new_term_under_the_old_epoch,
        test_a_leader_that_finds_its_old_key_after_an_outage_begins_a_new_epoch,
    ),
    (a_new_term_under_the_old_epoch, test_nothing_is_planned_while_a_write_may_still_come),
    (
        stale_heartbeats_place_tasks,
        test_a_copy_that_a_new_owner_hears_first_does_not_start_a_task_twice,
    ),
    (refused_machines_are_silent, test_a_long_outage_costs_no_machine),
    (
        starved_jobs_wait_on,
        test_a_job_behind_others_that_run_on_and_on_gets_a_machine_of_its_own,
    ),
]


@pytest.mark.parametrize(("patch", "test"), GUARDS, ids=lambda c: getattr(c, "__name__", "_"))
def test_a_removed_guard_is_detected(
    patch: Patch, test: Callable[[], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    patch(monkeypatch)
    with pytest.raises(AssertionError):
        test()


COMPOUND_FAILURE_GUARDS: list[tuple[Patch, Script, str]] = [
    (no_wait_for_unheard_machines, unreachable_with_long_tasks, "ran_twice"),
    (no_wait_for_unheard_machines, zone_cut_and_calm, "ran_twice"),
    (no_wait_for_unheard_machines, cut_leader_and_new_one, "ran_twice"),
    (no_stop_of_cancelled_tasks, cut_leader_and_new_one, "ran_cancelled"),
    (no_team_limit, overload, "quota"),
]


@pytest.mark.parametrize(
    ("patch", "script", "rule"), COMPOUND_FAILURE_GUARDS, ids=lambda c: getattr(c, "__name__", c)
)
def test_under_compound_failures_a_removed_guard_breaks_its_rule(
    patch: Patch, script: Script, rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    patch(monkeypatch)
    worlds = (play_scenario(script, seed, 420.0) for seed in (1, 2))
    assert any(b.startswith(rule) for world in worlds for b in world.violations)
