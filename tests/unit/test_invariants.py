"""Violations of run-time invariants are detected, logged once with their evidence, and counted."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

import standins
from dapplewick.core.estimates import Estimates
from dapplewick.core.invariants import Invariant, InvariantCounts
from dapplewick.core.leader.limit_audit import RELEASE_TIMEOUT_S
from dapplewick.core.leader.planner import LeaderPlanner
from dapplewick.core.leader.shard_contacts import MAX_REASSIGNMENT_PASSES, OWNER_CONTACT_TIMEOUT_S
from dapplewick.protocol.cloud import encode_machine_types
from dapplewick.storage.job_records import CANCELLED, JobRecord
from dapplewick.storage.keys import JOBS, TYPES
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import FencingToken
from support.shard_bench import KIND, shard_status, spec

PASS_INTERVAL_S = 1.0


def make_planner(invariants: InvariantCounts, job: JobRecord | None = None) -> LeaderPlanner:
    cache = WatchCache()
    cache.put(TYPES, encode_machine_types([KIND]), 1)
    cache.put("dw/p/a", {"owner": "n0", "boot": "x"}, 2)
    if job is not None:
        cache.put(JOBS + "run-1", job.dump(), 3)
    settings = standins.settings("n0")
    return LeaderPlanner(cache, settings, Estimates(), FencingToken(9), 0.0, invariants=invariants)


def run_passes(planner: LeaderPlanner, until_s: float, *, in_contact: bool) -> Iterator[float]:
    """Run planning passes one second apart, and yield the time of each.

    Args:
        planner: the planner to run.
        until_s: the time at which the passes end, in seconds.
        in_contact: whether a status of the shard is received before each pass.
    """
    at = 0.0
    while at < until_s:
        if in_contact:
            planner.receive_shard_status(at, shard_status({}, int(at) + 1, at))
        planner.plan(at, at)
        yield at
        at += PASS_INTERVAL_S


@pytest.mark.parametrize("heard", [True, False])
def test_a_shard_that_stays_without_owner_contact_is_a_violation(
    heard: bool, caplog: pytest.LogCaptureFixture
) -> None:
    invariants = InvariantCounts()
    violated_at = [
        at
        for at in run_passes(make_planner(invariants), 200.0, in_contact=heard)
        if invariants.violations.get(Invariant.SHARDS_IN_CONTACT)
    ]
    lines = [line for line in caplog.messages if "event=shard_left_unheard" in line]
    if heard:
        assert violated_at == []
        assert lines == []
    else:
        # The contact time-out, and then the number of passes that a reassignment may take.
        assert violated_at[0] == OWNER_CONTACT_TIMEOUT_S + MAX_REASSIGNMENT_PASSES + 1
        assert invariants.violations == {Invariant.SHARDS_IN_CONTACT: 1}
        assert len(lines) == 1
        assert "shard=a token=2 controller=n0" in lines[0]


@pytest.mark.parametrize("unreconciled", [0, 1])
def test_a_finished_job_that_keeps_its_share_of_a_limit_is_a_violation(
    unreconciled: int, caplog: pytest.LogCaptureFixture
) -> None:
    """It is no violation while an unreconciled machine may still run tasks of the job."""
    job = JobRecord(spec(2, 4.0, 10.0), 0.0)
    job.assignments = {"a": {0, 1}}
    job.stage = CANCELLED
    invariants = InvariantCounts()
    leader = make_planner(invariants, job)
    at = 0.0
    while at < 3 * RELEASE_TIMEOUT_S:
        status = shard_status({}, int(at) + 1, at)
        status.unreconciled = unreconciled
        leader.receive_shard_status(at, status)
        leader.plan(at, at)
        at += PASS_INTERVAL_S
    expected = {} if unreconciled else {Invariant.LIMITS_ARE_RELEASED: 1}
    assert invariants.violations == expected
    lines = [line for line in caplog.messages if "event=limit_not_given_back" in line]
    assert len(lines) == len(expected)
    assert all("job=run-1 team=red shards=a" in line for line in lines)
