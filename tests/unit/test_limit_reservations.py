"""A team's limit that is withheld for a gang: from whom, and for how long."""

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

PASS_S = 0.5
GANG = replace(spec(6, 4.0, 60.0, is_gang=True), team="red", priority=1)
SMALL = replace(spec(2, 4.0, 60.0), team="red", priority=1)


def quotas() -> TeamQuotas:
    teams = [Team(name="red", cpus_max=24.0), Team(name="blue", cpus_max=24.0)]
    made = TeamQuotas(teams, JobDrafts(WatchCache()))
    made.recount()
    return made


def test_only_work_of_the_team_that_is_not_above_the_gang_is_held_up() -> None:
    kept = quotas()
    kept.withhold(GANG)
    assert kept.within_limit(SMALL) == 0
    assert kept.within_limit(replace(SMALL, team="blue")) == 2
    assert kept.within_limit(replace(SMALL, priority=2)) == 2
    assert kept.within_limit(replace(SMALL, is_service=True)) == 2
    kept.recount()
    assert kept.within_limit(SMALL) == 2


def test_what_is_left_beside_the_gang_may_be_used() -> None:
    kept = quotas()
    kept.withhold(replace(GANG, task_count=5))
    assert kept.within_limit(SMALL) == 1


@pytest.mark.parametrize("waited_s", [OVERDUE_S - 0.1, OVERDUE_S])
def test_a_gang_asks_once_it_has_waited_long(waited_s: float) -> None:
    kept = quotas()
    reservations = LimitReservations(kept)
    reservations.begin()
    reservations.request(0.0, GANG, waited_s)
    assert kept.within_limit(SMALL) == (0 if waited_s >= OVERDUE_S else 2)


@pytest.mark.parametrize("gangs", [1, 3])
def test_other_work_is_held_up_for_a_bounded_time_and_then_for_a_while_not(gangs: int) -> None:
    """Whichever gang asks: a new one does not begin the time anew."""
    kept = quotas()
    reservations = LimitReservations(kept)
    open_passes: list[float] = []
    for number in range(1000):
        at = number * PASS_S
        kept.recount()
        reservations.begin()
        for size in range(gangs):
            asking = replace(GANG, task_count=6 + (number + size) % gangs)
            reservations.request(at, asking, 100.0)
        if kept.within_limit(SMALL) == 2:
            open_passes.append(at)
    gaps = [after - before for before, after in itertools.pairwise(open_passes)]
    assert max(gaps) <= MAX_WITHHELD_S + PASS_S
    starts = [a for a, gap in zip(open_passes, [1e9, *gaps], strict=False) if gap > PASS_S]
    # Each time for long enough that all of it may start.
    for start in starts[:-1]:
        assert (
            sum(start <= at < start + COOLDOWN_S for at in open_passes) >= COOLDOWN_S / PASS_S - 1
        )
    assert len(starts) > 3
