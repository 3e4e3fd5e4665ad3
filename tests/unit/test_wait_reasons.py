"""Wait reasons: for each reason, a planning pass that leaves a job waiting for that reason."""

from __future__ import annotations

import logging
from collections.abc import Callable

import pytest
from msgspec.structs import replace

import standins
from dapplewick.core.estimates import Estimates
from dapplewick.core.leader.planner import LeaderPlanner
from dapplewick.core.leader.wait_reasons import (
    LONG_WAIT_S,
    REPORT_INTERVAL_S,
    WaitingGroup,
    WaitReason,
)
from dapplewick.protocol.cloud import encode_machine_types
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.protocol.peers import GANG_RESERVED, GangStatus
from dapplewick.storage.job_records import GangPlacement, JobRecord
from dapplewick.storage.keys import JOBS, PROVISIONING_REQUESTS, TYPES
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import FencingToken, JobId
from support.shard_bench import KIND, group, machine_status, shard_status, spec

JOB = JobId("run-1")
NOW = LONG_WAIT_S + REPORT_INTERVAL_S + 1.0
# The gang needs 28 CPUs, and the limit of team blue is 24.
BLUE_GANG = replace(spec(7, 4.0, 10.0, is_gang=True), team="blue")
ARRAY = spec(3, 4.0, 10.0)


def waiting_groups(
    job: JobRecord,
    idle: int = 0,
    status_age_s: float = 0.0,
    gang: GangStatus | None = None,
    machine_requested: bool = False,
) -> list[WaitingGroup]:
    """Run a planning pass with one job and two machines, and return the waiting groups.

    Args:
        job: the only job.
        idle: the number of idle machines; the others are busy.
        status_age_s: the age of the shard's status at the pass, in seconds.
        gang: the status of the job in the shard, if it is a gang that was placed.
        machine_requested: whether a further machine has been requested.
    """
    cache = WatchCache()
    cache.put(TYPES, encode_machine_types([KIND]), 1)
    cache.put("dw/p/a", {"owner": "n0", "boot": "x"}, 2)
    for n in range(2):
        cache.put(f"dw/m/vm-{n}", group(f"vm-{n}"), 10 + n)
    cache.put(JOBS + JOB, job.dump(), 100)
    if machine_requested:
        value = {"type": KIND.name, "zone": "a", "spot": False, "count": 1, "at": NOW}
        cache.put(PROVISIONING_REQUESTS + "r-1", value, 101)
    planner = LeaderPlanner(cache, standins.settings("n0"), Estimates(), FencingToken(9), 0.0)
    machines = {
        f"vm-{n}": machine_status((4.0, 0.0, 64.0))
        if n < idle
        else machine_status((0.0, 0.0, 63.0), [(NOW + 1000.0, 4.0, 0.0, 1.0, 99, "")])
        for n in range(2)
    }
    status = shard_status(machines, 1, NOW - status_age_s)
    status.gangs = {JOB: gang} if gang is not None else {}
    planner.receive_shard_status(NOW - status_age_s, status)
    planner.plan(NOW, NOW)
    return planner.wait_reasons.groups


def record(job_spec: JobSpec, **fields: object) -> JobRecord:
    job = JobRecord(job_spec, 0.0)
    for name, value in fields.items():
        setattr(job, name, value)
    return job


PLACED = GangPlacement(5, [("a", "vm-0")])


@pytest.mark.parametrize(
    ("groups", "reason"),
    [
        (lambda: waiting_groups(record(BLUE_GANG)), WaitReason.OVER_LIMIT),
        (lambda: waiting_groups(record(ARRAY, assignments={"a": {0}})), WaitReason.IN_SHARD_QUEUE),
        (
            lambda: waiting_groups(record(ARRAY), 2, status_age_s=7.0),
            WaitReason.SHARD_WITHOUT_CONTACT,
        ),
        (
            lambda: waiting_groups(
                record(spec(1, 4.0, 10.0, is_gang=True), gang=PLACED),
                gang=GangStatus(5, GANG_RESERVED, 9.0),
            ),
            WaitReason.RESERVED_SLOTS_BUSY,
        ),
        (
            lambda: waiting_groups(
                record(spec(2, 4.0, 10.0, is_gang=True)), machine_requested=True
            ),
            WaitReason.MACHINES_STARTING,
        ),
        (lambda: waiting_groups(record(spec(2, 4.0, 10.0, is_gang=True))), WaitReason.NO_SLOT),
    ],
    ids=lambda value: str(value) if isinstance(value, WaitReason) else "",
)
def test_a_job_that_waits_has_its_reason(
    groups: Callable[[], list[WaitingGroup]], reason: WaitReason
) -> None:
    found = groups()
    assert {group.name.split()[0] for group in found} == {"class", "team", "largest"}
    for waiting in found:
        assert waiting.reasons == {str(reason): 1}
        assert (waiting.jobs, waiting.oldest_s) == (1, NOW)


def test_a_job_below_the_wait_threshold_is_not_reported() -> None:
    assert waiting_groups(JobRecord(BLUE_GANG, NOW - LONG_WAIT_S + 1.0)) == []


def test_a_job_with_a_slot_is_not_reported(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.INFO):
        assert waiting_groups(record(spec(2, 4.0, 10.0, is_gang=True)), idle=2) == []
    assert "event=work_waiting" not in caplog.text


def test_the_log_names_groups_reasons_and_the_age_of_what_is_known(
    caplog: pytest.LogCaptureFixture,
) -> None:
    with caplog.at_level(logging.INFO):
        waiting_groups(record(BLUE_GANG), status_age_s=2.0)
    lines = [line for line in caplog.messages if line.startswith("event=work_waiting")]
    assert len(lines) == 1
    assert f"team/blue:{NOW:.0f}s:over_limit*1" in lines[0]
    # The age is 0, because it is counted from when the leader first saw the shard's owner.
    assert "status_age_s=a:0.0" in lines[0]
