"""Upgrades from the production version, and limits that the state service lowers afterwards."""

from __future__ import annotations

import json
import logging
import random
from collections.abc import Callable
from typing import Any

import anyio
import msgspec
import pytest

from dapplewick import config
from dapplewick.core.estimates import Estimates
from dapplewick.core.leader.job_writes import JobWriteBuilder
from dapplewick.core.leader.machine_lifecycle import MachineLifecycle
from dapplewick.core.leader.planner import LeaderPlanner
from dapplewick.storage.encoding import encoded_size
from dapplewick.storage.formats import CURRENT_FORMAT, FIRST_FORMAT
from dapplewick.storage.job_records import GangPlacement, JobRecord, chunk_capacity
from dapplewick.storage.keys import CHUNKS, CONTROLLERS, FORMAT, JOBS, MACHINES
from dapplewick.storage.ranges import unpack
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.transport.http import Request
from dapplewick.types import FencingToken, JobId
from standins import LOWERED_LIMITS, World, now, settings
from support import production
from support.faults import (
    cut_from_state,
    late_copies,
    lost_answers,
    quick_restarts,
    state_outage,
    zone_cut,
)
from support.paths import DATA
from support.rolls import (
    FAULTS,
    Fault,
    lower_limits,
    nothing,
    run_rolling_upgrade,
    submit_large_arrays,
)
from support.scenarios import cancel, leader, run_script, submit_jobs, unfinished_jobs
from support.shard_bench import Bench, spec

PRODUCTION = DATA / "production.json"


def stored_values(world: World) -> dict[str, tuple[Any, int]]:
    return {key: (value, version) for key, (value, version, _) in world.state.keys.items()}


# Records and messages of the production version


def test_what_production_wrote_is_read(caplog: pytest.LogCaptureFixture) -> None:
    """`tests/data/production.json` holds records and messages of the production version."""
    data = json.loads(PRODUCTION.read_text())
    assert data["commit"] == production.commit()
    cache = WatchCache()
    cache.reload({key: (value, version) for key, value, version in data["records"]}, 10**6)
    assert "record_malformed" not in caplog.text
    assert cache.format == FIRST_FORMAT
    assert cache.upgraded_controllers == set()
    assert len(cache.jobs) > 10
    assert len(cache.machines) > 3
    assert len(cache.shards) == 2
    assert any(job.assignments for job in cache.jobs.values())
    assert any(job.done for job in cache.jobs.values())
    assert any(job.gang for job in cache.jobs.values())
    world = World(1)

    async def script() -> None:
        await anyio.sleep(4)
        for message in data["messages"]:
            world.controllers["n0"].on_message(message)

    caplog.clear()
    run_script(world, 6.0, script)
    assert {m["kind"] for m in data["messages"]} == {"part", "have", "node"}
    assert not [r for r in caplog.records if r.levelno >= logging.ERROR]


def test_production_reads_what_is_written_before_the_format_is_raised(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """While one configured controller has not reported its format, only the old format is written.

    So the production version can read all records. A service, which needs the new format, is
    rejected.
    """
    world = World(2)
    world.earlier_version_controllers, world.earlier_version = {"n9"}, None
    world.names = ["n0", "n1"]  # the third configured controller never starts

    async def script() -> None:
        await anyio.sleep(3)
        submit_jobs(world, 8, pieces=40, cpus=2.0, true_s=6.0)
        for n in range(8, 12):
            body = world.job(name_id=f"run-{n:06d}", shape="group", pieces=3, true_s=9.0)
            world.group.start_soon(world.user, body["name_id"], body, 12.0 if n == 9 else None)
        answer = await world.controllers["n0"].handle(
            submission(world, "run-service", shape="daemon")
        )
        assert (answer.status, answer.retry_after) == (503, 5)

    run_script(world, 70.0, script)
    assert world.violations == []
    assert FORMAT not in world.state.keys
    production_version = production.load()
    old_cache, current_cache = production_version.WatchCache(), WatchCache()
    for cache in (old_cache, current_cache):
        cache.reload(stored_values(world), world.state.ledger)
    for event in world.state.log:
        assert event[1].startswith(
            ("dw/leader", "dw/types", "dw/n/", "dw/p/", "dw/m/", "dw/b/", JOBS)
        )
    assert "record_malformed" not in caplog.text
    assert old_cache.jobs.keys() == current_cache.jobs.keys()
    assert old_cache.machines.keys() == current_cache.machines.keys()
    for job_id, job in current_cache.jobs.items():
        assert old_cache.jobs[job_id].dump() == job.dump()
        assert "daemon" not in json.dumps(job.dump())
        assert not job.chunk_size


def submission(world: World, name: str, **fields: Any) -> Request:
    world.jobs[name] = world.job(name_id=name, expected_s=0.0, **fields)
    body = {k: v for k, v in world.jobs[name].items() if k != "true_s"}
    return Request("POST", "/v2/runs", json.dumps(body).encode(), False)


# The record format


def test_a_controller_of_unknown_format_counts_as_old() -> None:
    cache = WatchCache()
    assert cache.format == FIRST_FORMAT
    for version, (name, reported_format) in enumerate(
        [("a", CURRENT_FORMAT), ("b", None), ("b", CURRENT_FORMAT), ("a", None)], start=1
    ):
        value = {"boot": str(version), "zone": "z"} | (
            {"version": reported_format} if reported_format else {}
        )
        cache.put(CONTROLLERS + name, value, version)
    assert cache.upgraded_controllers == {"b"}  # "a" restarted without a format
    cache.put(FORMAT, {"version": CURRENT_FORMAT}, 9)
    cache.put(FORMAT, {"version": FIRST_FORMAT}, 10)
    cache.remove(FORMAT, 11)
    assert cache.format == CURRENT_FORMAT  # the format is never lowered


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("fault", FAULTS, ids=lambda f: f.__name__)
def test_rolling_upgrades_from_production(
    fault: Fault, seed: int, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    upgrade_run = run_rolling_upgrade(production.load(), fault, seed)
    world = upgrade_run.world
    assert upgrade_run.controllers_with_early_format == []
    assert world.violations == []
    expected_services = {f"run-service{n}" for n in range(2)}
    assert unfinished_jobs(world).keys() == expected_services
    assert set(unfinished_jobs(world).values()) == {"running"}
    assert world.reported_stages["run-service2"] == "withdrawn"
    largest = max(encoded_size(value) for value, _ in stored_values(world).values())
    assert largest <= float(LOWERED_LIMITS["value_kb"]) * 1024
    # Existing records were split into chunks, and new records are stored in chunks.
    assert "event=job_record_chunked" in caplog.text
    assert any(
        value.get("chunk")
        for key, (value, _) in stored_values(world).items()
        if key.startswith(JOBS)
    )


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "fault",
    [quick_restarts, late_copies, lost_answers, cut_from_state, state_outage, zone_cut],
    ids=lambda f: f.__name__,
)
def test_arrays_in_chunks_keep_the_rules_under_every_fault(fault: Fault, seed: int) -> None:
    """The state service has the lower limits from the start, so that arrays are stored in chunks.

    Assignments move between shards, tasks end in random order, and one job is cancelled.
    """
    world = World(seed)
    lower_limits(world)

    async def script() -> None:
        await anyio.sleep(3)
        for n in range(5):
            durations = [world.random.choice([0.5, 3.0, 12.0]) for _ in range(240)]
            body = world.job(
                name_id=f"run-{n:06d}",
                pieces=240,
                cpus=0.25,
                ram_gb=1.0,
                true_s=4.0,
                true_each=durations,
                scatter=n == 1,
                crew="blue" if n == 2 else "red",
                expected_s=4.0,
            )
            world.group.start_soon(world.user, body["name_id"], body, 40.0 if n == 3 else None)
        await fault(world)
        world.faults_ended_at = now()

    run_script(world, 330.0, script)
    assert world.violations == []
    assert unfinished_jobs(world) == {}
    assert len(world.reported_stages) == 5
    # The records of finished jobs still show that the jobs were stored in chunks.
    assert all(world.state.keys[f"{JOBS}run-{n:06d}"][0]["chunk"] for n in range(5))
    assert any(key.startswith(CHUNKS) for _, key, _, gone in world.state.log if not gone)
    # The chunks of finished jobs are removed.
    assert not any(key.startswith(CHUNKS) for key in world.state.keys)


@pytest.mark.parametrize("seed", range(1, 5))
def test_the_limits_may_fall_while_records_are_cut(seed: int) -> None:
    """The limits are lowered while the leader splits existing records into chunks.

    They are lowered at a random time after the format was raised: before, between or after the
    writes for a record. With odd seeds the leader also crashes shortly afterwards.
    """
    world = World(seed)
    world.earlier_version, world.earlier_version_controllers = production.load(), set(world.names)

    async def script() -> None:
        await anyio.sleep(2)
        submit_large_arrays(world, 0)
        submit_large_arrays(world, 2)
        await anyio.sleep(24)
        for name in world.names:
            world.earlier_version_controllers.discard(name)
            world.crash(name)
            world.start_controller(name)
            await anyio.sleep(3)
        while FORMAT not in world.state.keys:
            await anyio.sleep(0.05)
        await anyio.sleep(world.random.uniform(0.0, 2.5))
        lower_limits(world)
        if seed % 2:
            await anyio.sleep(world.random.uniform(0.0, 1.0))
            name = leader(world)
            world.crash(name)
            await anyio.sleep(0.5)
            world.start_controller(name)
        for _ in range(20):  # retried, as a new leader may reject requests at first
            await cancel(world, world.names[0], ["run-large1"])
            if "run-large1" in world.cancelled_at:
                break
            await anyio.sleep(1.0)
        world.faults_ended_at = now()

    run_script(world, 260.0, script)
    assert world.violations == []
    assert unfinished_jobs(world) == {}
    assert len(world.reported_stages) == 4
    assert "run-large1" in world.cancelled_at
    assert not any(key.startswith(CHUNKS) for key in world.state.keys)


# Records that span several keys


def random_job(tasks: int, seed: int) -> JobRecord:
    rng = random.Random(seed)
    job = JobRecord(spec(tasks, 1.0, 10.0), 0.0)
    for index in range(tasks):
        assignment = rng.choice(["done", "a", "b", ""])
        if assignment == "done":
            job.done.add(index)
        elif assignment:
            job.assignments.setdefault(assignment, set()).add(index)
    return job


@pytest.mark.parametrize("kb", [0.5, 1.0, 2.0])
def test_chunks_fit_in_the_worst_order_and_are_joined_in_any(kb: float) -> None:
    max_bytes = int(kb * 1024 * 0.92)
    for tasks, seed in ((300, 1), (2000, 2), (99_999, 3)):
        job = random_job(tasks, seed)
        job.chunk_size = chunk_capacity(tasks, ["a", "b"], max_bytes)
        values = job.chunk_values()
        assert max(encoded_size(v) for v in values.values()) <= max_bytes
        cache, keys = WatchCache(), [(JOBS + "run-1", job.dump())]
        keys += [(f"{CHUNKS}run-1/{n}", v) for n, v in values.items()]
        if tasks < 5000:
            random.Random(seed).shuffle(keys)
            for version, (key, value) in enumerate(keys, start=1):
                cache.put(key, value, version)
        else:
            cache.reload({k: (v, n) for n, (k, v) in enumerate(keys, start=1)}, 10**6)
        read_back = cache.jobs["run-1"]  # type: ignore[index]
        assert (read_back.done, read_back.assignments) == (job.done, job.assignments)
        assert read_back.version == len(keys)


def test_what_was_given_back_stays_so_until_its_own_chunk_changes() -> None:
    """A released task is not started again until its own chunk changes.

    The leader writes the chunks of a job one after the other. When the first write arrived, the
    shard started a released task of the second chunk again, although the leader was assigning that
    task to another shard.
    """
    bench = Bench(0)
    job = JobRecord(spec(4, 1.0, 10.0), 0.0)
    job.chunk_size = 2
    bench.put(JOBS + "run-1", job.dump())
    for number in (0, 1):
        bench.put(f"{CHUNKS}run-1/{number}", {"grants": {"a": f"{2 * number}"}})
    job_id = JobId("run-1")
    bench.scheduler.job_changed(0.0, job_id)
    bench.scheduler.tick(100.0)

    def released(at: float) -> list[int]:
        return sorted(bench.job_status(at, "run-1").released)

    assert released(100.0) == [0, 2]
    bench.put(f"{CHUNKS}run-1/0", {"grants": {"b": "0"}})
    bench.scheduler.job_changed(101.0, job_id)
    assert released(101.0) == [2]
    # The chunk of task 2 has changed and still assigns the task here, so it may start here again.
    bench.put(f"{CHUNKS}run-1/1", {"grants": {"a": "2", "b": "3"}})
    bench.scheduler.job_changed(102.0, job_id)
    assert released(102.0) == []


def test_an_oversized_cancelled_record_lists_at_least_all_assigned_tasks() -> None:
    job = random_job(2000, 4)
    job.stage = "cancelled"
    assert encoded_size(job.dump()) > 1800
    value = job.dump(1800)
    assert encoded_size(value) <= 1800
    for zone, tasks in job.assignments.items():
        assert tasks <= unpack(value["grants"][zone])


def test_the_placement_of_a_long_gang_from_before_the_upgrade_is_split() -> None:
    """A placement that exceeds the lower limit of a value is split into several keys.

    Otherwise the state service would reject the cancellation of the gang, which rewrites the whole
    record, until the gang has ended.
    """
    cache = WatchCache()
    cache.put(FORMAT, {"version": CURRENT_FORMAT}, 1)
    job = JobRecord(spec(60, 1.0, 10.0, is_gang=True), 0.0)
    placements = [("a", f"vm-{n:06d}") for n in range(60)]
    job.gang = GangPlacement(77, placements)
    cache.put(JOBS + "run-1", job.dump(), 2)
    max_bytes = int(float(LOWERED_LIMITS["value_kb"]) * 1024)
    assert encoded_size(job.dump()) > max_bytes
    leader = LeaderPlanner(cache, settings("n0"), Estimates(), FencingToken(1), 0.0)
    changes = leader.plan(1.0, 1.0)
    assert changes[-1].key == JOBS + "run-1"
    assert len(changes) > 2
    for version, change in enumerate(changes, start=3):
        assert encoded_size(change.value) <= max_bytes
        cache.put(change.key, change.value, version)
    read_back = cache.jobs[JobId("run-1")]
    assert read_back.gang is not None
    assert read_back.gang.placements == placements
    assert read_back.gang.attempt == 77
    cancelled = read_back.copy()
    cancelled.stage = "cancelled"
    assert encoded_size(cancelled.dump(max_bytes)) <= max_bytes
    assert leader.plan(2.0, 2.0) == []


def test_a_long_gangs_placement_is_joined_from_its_pieces_in_any_order() -> None:
    cache = WatchCache()
    job = JobRecord(spec(5, 1.0, 10.0, is_gang=True), 0.0)
    placements = [("a", f"vm-{n:06d}") for n in range(5)]
    job.gang = GangPlacement(77, placements, placement_keys=2)
    assert job.dump()["gang"]["places"] == []
    cache.put("dw/g/run-1/1", {"attempt": 77, "places": placements[3:]}, 1)
    cache.put(JOBS + "run-1", job.dump(), 3)
    cache.put("dw/g/run-1/0", {"attempt": 77, "places": placements[:3]}, 2)
    gang = cache.jobs["run-1"].gang  # type: ignore[index]
    assert gang is not None
    assert gang.placements == placements
    # A placement key of another attempt, left by a leader that crashed, is ignored.
    cache.put("dw/g/run-1/0", {"attempt": 76, "places": placements[:1]}, 4)
    gang = cache.jobs["run-1"].gang  # type: ignore[index]
    assert gang is not None
    assert gang.placements == placements[3:]


def test_a_group_of_machines_is_cut_at_once_and_none_is_lost() -> None:
    cache = WatchCache()
    cache.put(FORMAT, {"version": CURRENT_FORMAT}, 1)
    machines = {f"vm-{n:06d}": "u" if n % 3 else "b17" for n in range(150)}
    value = {"type": "c8", "zone": "a", "spot": False, "machines": machines}
    cache.put(MACHINES + "r-1", value, 2)
    before = dict(cache.machines)
    machine_lifecycle = MachineLifecycle(cache, None, 14.0, 4.0, 1884, 4)  # type: ignore[arg-type]
    machine_lifecycle.begin()
    changes = machine_lifecycle.changes()
    assert 1 < len(changes) <= 4
    assert len({c.transaction_group for c in changes}) == 1
    assert all(encoded_size(c.value) <= 1884 for c in changes)
    for change in changes:
        cache.put(change.key, change.value, 3)
    assert cache.machines == before
    machine_lifecycle.begin()
    assert machine_lifecycle.changes() == []


# Malformed and unknown input


@pytest.mark.parametrize(
    "key",
    ["dw/d/run-1", "dw/d/run-1/x", "dw/g/run-1/-1", "dw/format", "dw/t/c8", "dw/z/unknown", "dw/"],
)
def test_malformed_and_unknown_records_are_ignored(key: str) -> None:
    cache = WatchCache()
    job = JobRecord(spec(5, 1.0, 10.0), 0.0)
    cache.put(JOBS + "run-1", job.dump() | {"unknown": 1}, 1)
    values: list[Any] = [{}, [], None, 7, {"done": 5}, {"version": "x"}]
    for version, value in enumerate(values, start=2):
        cache.put(key, value, version)
        cache.remove(key, version)
    assert cache.jobs["run-1"].open  # type: ignore[index]
    assert cache.format == FIRST_FORMAT


@pytest.mark.parametrize(
    ("later", "expected_error"),
    [
        ({"value_kb": 0}, "deployment.state.next.value_kb"),
        ({"txn_ops": "4"}, "deployment.state.next.txn_ops"),
        ({"write_rps": -1.0}, "deployment.state.next.write_rps"),
        ([], "deployment.state.next"),
    ],
)
def test_malformed_later_limits_name_their_field(later: Any, expected_error: str) -> None:
    value = json.loads(msgspec.json.encode(settings("n0")))
    value["deployment"]["state"]["next"] = later
    with pytest.raises(config.SettingsError, match=expected_error):
        config.parse(json.dumps(value).encode())


@pytest.mark.parametrize("later", [None, {}, {"txn_ops": 3}, {"value_kb": 99.0, "new": 1}])
def test_later_limits_may_be_absent_or_partial(later: Any) -> None:
    value = json.loads(msgspec.json.encode(settings("n0")))
    value["deployment"]["state"]["next"] = later
    lowest = config.parse(json.dumps(value).encode()).deployment.state.lowest()
    assert lowest.txn_ops == (3 if later and "txn_ops" in later else 12)
    assert (lowest.value_kb, lowest.write_rps) == (16.0, 80.0)


# Mutations: safety checks removed


def the_format_is_raised_by_guess(patch: pytest.MonkeyPatch) -> None:
    original = LeaderPlanner._raise_format

    def raise_without_check(self: LeaderPlanner) -> Any:
        self._controller_names = set()
        return original(self)

    patch.setattr(LeaderPlanner, "_raise_format", raise_without_check)


def no_chunks(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(JobRecord, "may_exceed", lambda _, __, ___: False)
    patch.setattr(JobWriteBuilder, "conversion_writes", lambda _: [])


@pytest.mark.parametrize("patch", [the_format_is_raised_by_guess, no_chunks])
def test_a_removed_guard_of_the_upgrade_is_detected(
    patch: Callable[[pytest.MonkeyPatch], None],
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    patch(monkeypatch)
    # An assertion that fails inside the scenario is raised in a group.
    with pytest.raises((AssertionError, BaseExceptionGroup)):
        test_rolling_upgrades_from_production(nothing, 1, caplog)
