"""What is asserted at run time is noticed, logged once with its evidence, and counted."""

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

PASS_S = 1.0


def planner(invariants: InvariantCounts, job: JobRecord | None = None) -> LeaderPlanner:
    cache = WatchCache()
    cache.put(TYPES, encode_machine_types([KIND]), 1)
    cache.put("dw/p/a", {"owner": "n0", "boot": "x"}, 2)
    if job is not None:
        cache.put(JOBS + "run-1", job.dump(), 3)
    settings = standins.settings("n0")
    return LeaderPlanner(cache, settings, Estimates(), FencingToken(9), 0.0, invariants=invariants)


def passes(planner: LeaderPlanner, until_s: float, *, heard: bool) -> Iterator[float]:
    """Passes a second apart, before each of which the shard's status comes or does not."""
    at = 0.0
    while at < until_s:
        if heard:
            planner.receive_shard_status(at, shard_status({}, int(at) + 1, at))
        planner.plan(at, at)
        yield at
        at += PASS_S


@pytest.mark.parametrize("heard", [True, False])
def test_a_shard_that_stays_unheard_is_a_violation(
    heard: bool, caplog: pytest.LogCaptureFixture
) -> None:
    invariants = InvariantCounts()
    noticed = [
        at
        for at in passes(planner(invariants), 200.0, heard=heard)
        if invariants.violations.get(Invariant.SHARDS_IN_CONTACT)
    ]
    lines = [line for line in caplog.messages if "event=shard_left_unheard" in line]
    if heard:
        assert noticed == []
        assert lines == []
    else:
        # After the time in which it is moved, and the passes that a move may take.
        assert noticed[0] == OWNER_CONTACT_TIMEOUT_S + MAX_REASSIGNMENT_PASSES + 1
        assert invariants.violations == {Invariant.SHARDS_IN_CONTACT: 1}
        assert len(lines) == 1
        assert "shard=a token=2 controller=n0" in lines[0]


@pytest.mark.parametrize("unreconciled", [0, 1])
def test_a_job_that_is_over_and_keeps_its_limit_is_a_violation(
    unreconciled: int, caplog: pytest.LogCaptureFixture
) -> None:
    """Unless a machine is still waited for, on which its tasks may be."""
    job = JobRecord(spec(2, 4.0, 10.0), 0.0)
    job.assignments = {"a": {0, 1}}
    job.stage = CANCELLED
    invariants = InvariantCounts()
    leader = planner(invariants, job)
    at = 0.0
    while at < 3 * RELEASE_TIMEOUT_S:
        status = shard_status({}, int(at) + 1, at)
        status.unreconciled = unreconciled
        leader.receive_shard_status(at, status)
        leader.plan(at, at)
        at += PASS_S
    wanted = {} if unreconciled else {Invariant.LIMITS_ARE_RELEASED: 1}
    assert invariants.violations == wanted
    lines = [line for line in caplog.messages if "event=limit_not_given_back" in line]
    assert len(lines) == len(wanted)
    assert all("job=run-1 team=red shards=a" in line for line in lines)
