"""Mutations: if a guard is removed, the test of its failure fails or a scenario breaks its rule."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

import simulation.test_cancellations as cancellations
import simulation.test_failure_pairs as failure_pairs
import simulation.test_isolated_leader as isolated_leader
import simulation.test_late_jobs as late_jobs
import simulation.test_leadership as leadership
import simulation.test_requests as requests
import simulation.test_team_limits as team_limits
import simulation.test_unheard_shards as unheard_shards
from dapplewick.coordination.cancellation_exchange import CancellationExchange
from dapplewick.coordination.election import Election
from dapplewick.coordination.leader_isolation import LeaderIsolation
from dapplewick.core.leader.array_order import ArrayOrder
from dapplewick.core.leader.quotas import TeamQuotas
from dapplewick.core.shard.heartbeats import HeartbeatReconciler
from dapplewick.core.shard.scheduler import ShardScheduler
from dapplewick.storage.keys import LEADER
from support.mutations import (
    Patch,
    no_stop_of_cancelled_tasks,
    no_team_limit,
    no_wait_for_unheard_machines,
    unheard_shards_stay,
)
from support.scenarios import Script, run_script_scenario


def a_lie_about_what_is_known(patch: pytest.MonkeyPatch) -> None:
    """Each controller claims that it knows all cancellations confirmed until now."""
    patch.setattr(CancellationExchange, "complete_as_of", lambda _, at: at)


def a_new_term_under_the_old_epoch(patch: pytest.MonkeyPatch) -> None:
    """A leader whose key still exists continues under its epoch without rewriting the key."""

    async def keep_epoch(self: Election) -> Any:
        return self._records.cache.version(LEADER)

    patch.setattr(Election, "prepare_epoch", keep_epoch)


def stale_heartbeats_place_tasks(patch: pytest.MonkeyPatch) -> None:
    """Tasks in a heartbeat count as present, whichever token the heartbeat carries."""
    reconcile = HeartbeatReconciler.reconcile_tasks

    def record_all_present(
        self: HeartbeatReconciler, at: float, machine: Any, heartbeat: Any, current: bool, new: bool
    ) -> Any:
        commands = reconcile(self, at, machine, heartbeat, current, new)
        for item in heartbeat.tasks:
            if item.stage != "exited":
                self.record_present(machine, item)
        return commands

    patch.setattr(HeartbeatReconciler, "reconcile_tasks", record_all_present)


def refused_machines_are_silent(patch: pytest.MonkeyPatch) -> None:
    """Machines whose heartbeats are refused count as unreachable."""
    patch.setattr(ShardScheduler, "record_heartbeats_refused", lambda *_: None)


def starved_jobs_wait_on(patch: pytest.MonkeyPatch) -> None:
    """No machines are requested for a job that has waited without a task for long."""
    patch.setattr("dapplewick.core.leader.capacity_requests.STARVATION_S", 1e9)


def late_work_has_no_first_task(patch: pytest.MonkeyPatch) -> None:
    """Overdue arrays get no precedence for their first task."""
    patch.setattr(ArrayOrder, "overdue", lambda *_: [])


def isolated_leaders_lead_on(patch: pytest.MonkeyPatch) -> None:
    """A leader without contact to peers and workers does not step down."""
    patch.setattr(LeaderIsolation, "should_step_down", lambda *_: False)


def limits_are_not_withheld(patch: pytest.MonkeyPatch) -> None:
    """A team's limit is never reserved for a gang."""
    patch.setattr(TeamQuotas, "withhold", lambda *_: None)


def limits_are_withheld_for_a_minute(patch: pytest.MonkeyPatch) -> None:
    """A team's limit is reserved for a gang for at most 60 s at a time."""
    patch.setattr("dapplewick.core.leader.limit_reservations.MAX_WITHHELD_S", 60.0)


GUARDS: list[tuple[Patch, Callable[[], None]]] = [
    (
        a_lie_about_what_is_known,
        lambda: cancellations.test_a_confirmed_cancellation_is_enforced_through_refusal_and_outage(
            "both", True, False, 1
        ),
    ),
    (
        a_new_term_under_the_old_epoch,
        leadership.test_a_leader_that_finds_its_old_key_after_an_outage_begins_a_new_epoch,
    ),
    (
        a_new_term_under_the_old_epoch,
        leadership.test_nothing_is_planned_while_a_write_may_still_come,
    ),
    (
        stale_heartbeats_place_tasks,
        leadership.test_a_copy_that_a_new_owner_hears_first_does_not_start_a_task_twice,
    ),
    (refused_machines_are_silent, failure_pairs.test_a_long_outage_costs_no_machine),
    (
        starved_jobs_wait_on,
        requests.test_a_job_behind_others_that_run_on_and_on_gets_a_machine_of_its_own,
    ),
    (
        late_work_has_no_first_task,
        lambda: late_jobs.test_late_jobs_begin_during_a_stream_of_jobs_that_can_be_on_time(
            late_jobs.CPUS, 1
        ),
    ),
    (
        isolated_leaders_lead_on,
        lambda: isolated_leader.test_work_begins_while_the_leader_is_isolated(3, 1),
    ),
    (
        unheard_shards_stay,
        lambda: unheard_shards.test_jobs_begin_while_controllers_cannot_reach_one_another(
            unheard_shards.all_refuse_one_another, unheard_shards.BEGIN_WITHIN_S, 1
        ),
    ),
    (
        limits_are_not_withheld,
        lambda: (
            team_limits.test_a_gang_of_the_size_of_its_teams_limit_begins_beside_a_stream_of_small_work(
                "sweep", 1
            )
        ),
    ),
    (
        limits_are_withheld_for_a_minute,
        lambda: (
            team_limits.test_a_gang_of_the_size_of_its_teams_limit_begins_beside_tasks_of_more_than_a_minute(
                1
            )
        ),
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
    (no_wait_for_unheard_machines, failure_pairs.unreachable_with_long_tasks, "ran_twice"),
    (no_wait_for_unheard_machines, failure_pairs.zone_cut_and_calm, "ran_twice"),
    (no_wait_for_unheard_machines, failure_pairs.cut_leader_and_new_one, "ran_twice"),
    (no_stop_of_cancelled_tasks, failure_pairs.cut_leader_and_new_one, "ran_cancelled"),
    (no_team_limit, failure_pairs.overload, "quota"),
]


@pytest.mark.parametrize(
    ("patch", "script", "rule"), COMPOUND_FAILURE_GUARDS, ids=lambda c: getattr(c, "__name__", c)
)
def test_under_compound_failures_a_removed_guard_breaks_its_rule(
    patch: Patch, script: Script, rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    patch(monkeypatch)
    worlds = (run_script_scenario(script, seed, 420.0) for seed in (1, 2))
    assert any(b.startswith(rule) for world in worlds for b in world.violations)
