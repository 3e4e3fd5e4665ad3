"""Quota of a team that is withheld for a waiting gang: from which work, and for how long."""

from __future__ import annotations

import itertools

import pytest
from msgspec.structs import replace

from dapplewick.config import Team
from dapplewick.core.leader.job_drafts import JobDrafts
from dapplewick.core.leader.limit_reservations import MAX_WITHHELD_S, LimitReservations
from dapplewick.core.leader.quotas import TeamQuotas
from dapplewick.core.leader.shard_reservation import COOLDOWN_S, OVERDUE_S
from dapplewick.storage.watch_cache import WatchCache
from support.shard_bench import spec

PASS_INTERVAL_S = 0.5
GANG = replace(spec(6, 4.0, 60.0, is_gang=True), team="red", priority=1)
SMALL = replace(spec(2, 4.0, 60.0), team="red", priority=1)


def make_quotas() -> TeamQuotas:
    teams = [Team(name="red", cpus_max=24.0), Team(name="blue", cpus_max=24.0)]
    quotas = TeamQuotas(teams, JobDrafts(WatchCache()))
    quotas.recount()
    return quotas


def test_quota_is_withheld_only_from_work_of_the_team_without_higher_precedence() -> None:
    quotas = make_quotas()
    quotas.withhold(GANG)
    assert quotas.within_limit(SMALL) == 0
    assert quotas.within_limit(replace(SMALL, team="blue")) == 2
    assert quotas.within_limit(replace(SMALL, priority=2)) == 2
    assert quotas.within_limit(replace(SMALL, is_service=True)) == 2
    quotas.recount()
    assert quotas.within_limit(SMALL) == 2


def test_quota_beyond_what_the_gang_needs_remains_usable() -> None:
    quotas = make_quotas()
    quotas.withhold(replace(GANG, task_count=5))
    assert quotas.within_limit(SMALL) == 1


@pytest.mark.parametrize("waited_s", [OVERDUE_S - 0.1, OVERDUE_S])
def test_quota_is_withheld_once_a_gang_is_overdue(waited_s: float) -> None:
    quotas = make_quotas()
    reservations = LimitReservations(quotas)
    reservations.begin()
    reservations.request(0.0, GANG, waited_s)
    assert quotas.within_limit(SMALL) == (0 if waited_s >= OVERDUE_S else 2)


@pytest.mark.parametrize("gangs", [1, 3])
def test_quota_is_withheld_for_a_bounded_time_followed_by_a_cooldown(gangs: int) -> None:
    """The time limit holds per team: a request of another gang does not restart it."""
    quotas = make_quotas()
    reservations = LimitReservations(quotas)
    unrestricted_passes: list[float] = []
    for number in range(1000):
        at = number * PASS_INTERVAL_S
        quotas.recount()
        reservations.begin()
        for size in range(gangs):
            gang = replace(GANG, task_count=6 + (number + size) % gangs)
            reservations.request(at, gang, 100.0)
        if quotas.within_limit(SMALL) == 2:
            unrestricted_passes.append(at)
    gaps = [after - before for before, after in itertools.pairwise(unrestricted_passes)]
    assert max(gaps) <= MAX_WITHHELD_S + PASS_INTERVAL_S
    starts = [
        a
        for a, gap in zip(unrestricted_passes, [1e9, *gaps], strict=False)
        if gap > PASS_INTERVAL_S
    ]
    # Each cool-down is long enough for all of the other work to start.
    for start in starts[:-1]:
        assert (
            sum(start <= at < start + COOLDOWN_S for at in unrestricted_passes)
            >= COOLDOWN_S / PASS_INTERVAL_S - 1
        )
    assert len(starts) > 3
