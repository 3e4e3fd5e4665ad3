"""Cancellations: while the state service refuses some, in an outage, and at completion."""

from __future__ import annotations

import anyio
import pytest

from dapplewick.coordination.cancellation_exchange import CancellationExchange
from dapplewick.storage.watch_cache import WatchCache
from standins import WORKERS, World, now
from support.scenarios import (
    Script,
    call,
    cancel,
    leader,
    owners,
    run_script,
    run_script_scenario,
    submit_jobs,
    unfinished_jobs,
)
from support.shard_bench import Bench, spec

# The gap, and the cancellations in the moment of a refusal


def gap(who: str, lost: bool, hang: bool = False) -> Script:
    """The state service refuses the leader or an owner alone; another controller confirms
    cancellations; then it is out for all for longer than `cancel_s`."""

    async def script(world: World) -> None:
        world.hung_tasks_end_with_lease = hang  # no deletion can be recorded meanwhile
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
        world.faults_ended_at = now()

    return script


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("hang", [False, True], ids=["", "hang"])
@pytest.mark.parametrize("lost", [False, True], ids=["told", "lost"])
@pytest.mark.parametrize("who", ["leader", "owner", "both"])
def test_a_confirmed_cancellation_binds_in_the_gap(
    who: str, lost: bool, hang: bool, seed: int
) -> None:
    world = run_script_scenario(gap(who, lost, hang), seed, 450.0)
    assert world.violations == []
    assert len(world.cancelled_at) == 7
    assert unfinished_jobs(world) == {}
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

    world = run_script_scenario(script, 3, 200.0)
    assert world.violations == []
    assert unfinished_jobs(world) == {}
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
        world.faults_ended_at = now()

    run_script(world, 200.0, script)
    assert world.violations == []
    assert unfinished_jobs(world) == {}
    assert begun[0] > 4
    assert (begun[1] == begun[0]) is lost


# What controllers say of cancellations


class Talk:
    """Two controllers' watches and the messages between them."""

    def __init__(self) -> None:
        self.caches = {name: WatchCache() for name in "ab"}
        self.watches = {
            "a": CancellationExchange("boot-a", ["b"], 2),  # type: ignore[list-item]
            "b": CancellationExchange("boot-b", ["a"], 2),  # type: ignore[list-item]
        }

    def tell(self, at: float, sender: str, heard_at: float, ready: bool = True) -> None:
        receiver = "b" if sender == "a" else "a"
        message = self.watches[sender].message(at, self.caches[sender], ready)
        self.watches[receiver].receive(heard_at, receiver, sender, message, self.caches[receiver])  # type: ignore[arg-type]


def test_the_age_of_what_is_known_counts_from_the_request() -> None:
    talk = Talk()
    assert talk.watches["a"].complete_as_of(100.0) < 0  # nothing was ever heard
    talk.tell(100.0, "a", 103.0)
    assert talk.watches["a"].complete_as_of(104.0) < 0  # asked, not answered
    talk.tell(107.0, "b", 109.0)
    assert talk.watches["a"].complete_as_of(110.0) == 100.0
    talk.tell(120.0, "b", 121.0)  # an answer to the same question is no newer
    assert talk.watches["a"].complete_as_of(122.0) == 100.0
    assert CancellationExchange("x", [], 1).complete_as_of(5.0) == 5.0  # alone: it told all itself
    assert CancellationExchange("x", [], 2).complete_as_of(5.0) < 0  # one that can't be asked


def test_who_has_not_read_the_records_or_lists_too_little_assures_nothing() -> None:
    talk = Talk()
    talk.tell(1.0, "a", 1.0)
    talk.tell(2.0, "b", 2.0, ready=False)
    assert talk.watches["a"].complete_as_of(3.0) < 0
    # The list begins after what the other has read: one that it needs may be missing.
    talk = Talk()
    talk.caches["b"].revision = talk.caches["a"].revision = 50  # type: ignore[assignment]
    talk.tell(1.0, "a", 1.0)
    talk.caches["a"].revision = 10  # type: ignore[assignment]
    talk.tell(2.0, "b", 2.0)
    assert talk.watches["a"].complete_as_of(3.0) < 0
    # A request of another incarnation is not this one's.
    talk = Talk()
    talk.tell(1.0, "a", 1.0)
    talk.watches["a"] = CancellationExchange("boot-2", ["b"], 2)  # type: ignore[list-item]
    talk.tell(2.0, "b", 2.0)
    assert talk.watches["a"].complete_as_of(3.0) < 0


def test_what_a_peer_tells_stays_until_the_record_itself_comes() -> None:
    bench = Bench(1)
    machine = bench.names[0]
    bench.heartbeat(machine, 0.0)
    bench.assign("run-1", spec(1, 1.0, 10.0), 0.0)
    assert len(bench.heartbeat(machine, 1.0)) == 1
    version = bench.cache.jobs["run-1"].version  # type: ignore[index]
    bench.cache.apply_announced_cancellation("run-1", version + 5)  # type: ignore[arg-type]
    bench.scheduler.job_changed(2.0, "run-1")  # type: ignore[arg-type]
    assert [o.kind for o in bench.heartbeat(machine, 2.0)] == ["stop"]
    # A record that is older than what the peer told changes nothing.
    old = bench.cache.jobs["run-1"].copy()  # type: ignore[index]
    old.stage = "open"
    bench.cache.put("dw/j/run-1", old.dump(), version + 1)
    assert not bench.cache.jobs["run-1"].open  # type: ignore[index]
    assert bench.cache.cancellations(version) == [(version + 5, "run-1")]
    assert bench.cache.cancellations(version + 5) == []


# Cancellation at completion


async def cancel_at_completion(world: World, job: str, final: dict[str, set[str]]) -> None:
    """Ask all controllers about a job, and cancel it, around the end of its last task."""
    last = f"{job}/1"
    while last not in world.completed_tasks:
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
