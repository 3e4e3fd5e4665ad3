"""Cancellations during refusals and outages of the state service, and at a job's completion."""

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

# Cancellations while the state service refuses some controllers, followed by an outage


def refusal_then_outage(who: str, lost: bool, hang: bool = False) -> Script:
    """The state service refuses some controllers, and then is down for longer than `cancel_s`.

    Another controller confirms cancellations before and during the refusal.

    Args:
        who: which controllers are refused: "leader", "owner" or "both".
        lost: whether all messages between controllers are lost.
        hang: whether the machines with cancelled tasks hang until 12 s after the outage began.
    """

    async def script(world: World) -> None:
        world.hung_tasks_end_with_lease = hang  # hung machines can't be deleted in the outage
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
            world.cut_peers.update(world.names)  # all messages between controllers are lost
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
        world.tasks_at_outage_end = len(world.on_machines())  # type: ignore[attr-defined]
        world.state.set_down(False)
        world.cut_peers.clear()
        world.faults_ended_at = now()

    return script


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("hang", [False, True], ids=["", "hang"])
@pytest.mark.parametrize("lost", [False, True], ids=["told", "lost"])
@pytest.mark.parametrize("who", ["leader", "owner", "both"])
def test_a_confirmed_cancellation_is_enforced_through_refusal_and_outage(
    who: str, lost: bool, hang: bool, seed: int
) -> None:
    world = run_script_scenario(refusal_then_outage(who, lost, hang), seed, 450.0)
    assert world.violations == []
    assert len(world.cancelled_at) == 7
    assert unfinished_jobs(world) == {}
    # Tasks of other jobs keep running only while the controllers can confirm to one another that
    # none has missed a cancellation.
    tasks: int = world.tasks_at_outage_end  # type: ignore[attr-defined]
    assert tasks == 0 if lost else tasks >= 8


def test_without_faults_nothing_starts_long_after_a_cancellation() -> None:
    async def script(world: World) -> None:
        await anyio.sleep(3)
        submit_jobs(world, 8, pieces=12, cpus=4.0, true_s=20.0)
        for job in range(6):
            await anyio.sleep(4)
            await cancel(world, world.names[job % 3], [f"run-{job:06d}"])

    world = run_script_scenario(script, 3, 200.0)
    assert world.violations == []
    assert unfinished_jobs(world) == {}
    # A task may be fetching its image when the cancellation is confirmed. The answer to the
    # machine's next heartbeat stops it.
    assert max(world.started_after_cancel.values(), default=0.0) < 5.0


@pytest.mark.parametrize("lost", [False, True], ids=["told", "lost"])
def test_in_an_outage_assigned_tasks_start_unless_a_cancellation_may_be_missing(
    lost: bool,
) -> None:
    world = World(12)
    started_tasks: list[int] = []

    async def script() -> None:
        await anyio.sleep(3)
        body = world.job(name_id="run-first", pieces=20, cpus=4.0, true_s=25.0, expected_s=25.0)
        world.group.start_soon(world.user, "run-first", body, None)
        await anyio.sleep(4)
        world.cloud.down = True  # the number of machines stays constant
        submit_jobs(world, 6, pieces=20, cpus=4.0, true_s=25.0, expected_s=25.0)
        await anyio.sleep(16)
        if lost:
            world.cut_peers.update(world.names)
        world.state.set_down(True)
        await anyio.sleep(10)
        started_tasks.append(world.starts)
        await anyio.sleep(16)
        started_tasks.append(world.starts)
        world.state.set_down(False)
        world.cut_peers.clear()
        world.cloud.down = False
        world.faults_ended_at = now()

    run_script(world, 200.0, script)
    assert world.violations == []
    assert unfinished_jobs(world) == {}
    assert started_tasks[0] > 4
    assert (started_tasks[1] == started_tasks[0]) is lost


# Messages about cancellations between controllers


class ExchangePair:
    """The cancellation exchanges of two controllers and the messages between them."""

    def __init__(self) -> None:
        self.caches = {name: WatchCache() for name in "ab"}
        self.exchanges = {
            "a": CancellationExchange("boot-a", ["b"], 2),  # type: ignore[list-item]
            "b": CancellationExchange("boot-b", ["a"], 2),  # type: ignore[list-item]
        }

    def send(self, at: float, sender: str, received_at: float, ready: bool = True) -> None:
        receiver = "b" if sender == "a" else "a"
        message = self.exchanges[sender].message(at, self.caches[sender], ready)
        self.exchanges[receiver].receive(
            received_at,
            receiver,  # type: ignore[arg-type]
            sender,  # type: ignore[arg-type]
            message,
            self.caches[receiver],
        )


def test_completeness_counts_from_the_acknowledged_request() -> None:
    pair = ExchangePair()
    assert pair.exchanges["a"].complete_as_of(100.0) < 0  # no message was received yet
    pair.send(100.0, "a", 103.0)
    assert pair.exchanges["a"].complete_as_of(104.0) < 0  # b has not answered the request yet
    pair.send(107.0, "b", 109.0)
    assert pair.exchanges["a"].complete_as_of(110.0) == 100.0
    pair.send(120.0, "b", 121.0)  # acknowledges the same request, so the time is unchanged
    assert pair.exchanges["a"].complete_as_of(122.0) == 100.0
    assert CancellationExchange("x", [], 1).complete_as_of(5.0) == 5.0  # a single controller
    assert CancellationExchange("x", [], 2).complete_as_of(5.0) < 0  # the peer has no address


def test_a_peer_that_is_not_ready_or_lists_too_little_confirms_nothing() -> None:
    pair = ExchangePair()
    pair.send(1.0, "a", 1.0)
    pair.send(2.0, "b", 2.0, ready=False)
    assert pair.exchanges["a"].complete_as_of(3.0) < 0
    # The list begins after the revision that a has read, so a cancellation may be missing from it.
    pair = ExchangePair()
    pair.caches["b"].revision = pair.caches["a"].revision = 50  # type: ignore[assignment]
    pair.send(1.0, "a", 1.0)
    pair.caches["a"].revision = 10  # type: ignore[assignment]
    pair.send(2.0, "b", 2.0)
    assert pair.exchanges["a"].complete_as_of(3.0) < 0
    # An answer to a request of an earlier incarnation is ignored.
    pair = ExchangePair()
    pair.send(1.0, "a", 1.0)
    pair.exchanges["a"] = CancellationExchange("boot-2", ["b"], 2)  # type: ignore[list-item]
    pair.send(2.0, "b", 2.0)
    assert pair.exchanges["a"].complete_as_of(3.0) < 0


def test_an_announced_cancellation_stays_until_its_record_is_read() -> None:
    bench = Bench(1)
    machine = bench.names[0]
    bench.heartbeat(machine, 0.0)
    bench.assign("run-1", spec(1, 1.0, 10.0), 0.0)
    assert len(bench.heartbeat(machine, 1.0)) == 1
    version = bench.cache.jobs["run-1"].version  # type: ignore[index]
    bench.cache.apply_announced_cancellation("run-1", version + 5)  # type: ignore[arg-type]
    bench.scheduler.job_changed(2.0, "run-1")  # type: ignore[arg-type]
    assert [o.kind for o in bench.heartbeat(machine, 2.0)] == ["stop"]
    # A record that is older than the announced cancellation changes nothing.
    old = bench.cache.jobs["run-1"].copy()  # type: ignore[index]
    old.stage = "open"
    bench.cache.put("dw/j/run-1", old.dump(), version + 1)
    assert not bench.cache.jobs["run-1"].open  # type: ignore[index]
    assert bench.cache.cancellations(version) == [(version + 5, "run-1")]
    assert bench.cache.cancellations(version + 5) == []


# Cancellation at completion


async def cancel_at_completion(world: World, job: str, final_stages: dict[str, set[str]]) -> None:
    """Poll a job at all controllers and cancel it, within 1.2 s after its last task has ended."""
    last = f"{job}/1"
    while last not in world.completed_tasks:
        await anyio.sleep(0.01)
    await anyio.sleep(world.random.uniform(0.0, 1.2))

    async def ask(name: str, method: str, verb: str) -> None:
        status, answer = await call(world, name, method, job, verb)
        assert status in (200, 503)
        if status == 200 and answer["stage"] in ("done", "withdrawn"):
            final_stages.setdefault(job, set()).add(answer["stage"])

    async with anyio.create_task_group() as group:
        for name in world.names:
            group.start_soon(ask, name, "GET", "")
        group.start_soon(ask, world.random.choice(world.names), "POST", "abort")
        group.start_soon(ask, world.random.choice(world.names), "POST", "abort")


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_cancellation_at_completion_has_one_final_answer_everywhere(seed: int) -> None:
    world = World(seed)
    final_stages: dict[str, set[str]] = {}

    async def script() -> None:
        await anyio.sleep(3)
        for n in range(12):
            body = world.job(name_id=f"run-{n:06d}", pieces=2, true_s=5.0 + n)
            world.cancelled_at[body["name_id"]] = 1e9  # its user may get either final stage
            world.group.start_soon(world.user, body["name_id"], body, None)
            world.group.start_soon(cancel_at_completion, world, body["name_id"], final_stages)
        await anyio.sleep(45)
        for name in world.names:
            world.crash(name)
        await anyio.sleep(0.2)
        for name in world.names:
            world.start_controller(name)
        await anyio.sleep(10)
        for job in sorted(world.accepted):
            for name in world.names:
                status, answer = await call(world, name, "GET", job)
                assert status == 200
                final_stages[job].add(answer["stage"])

    run_script(world, 70.0, script)
    assert world.violations == []
    assert len(final_stages) == 12
    assert all(len(stages) == 1 for stages in final_stages.values())
    assert {s for stages in final_stages.values() for s in stages} == {"done", "withdrawn"}
