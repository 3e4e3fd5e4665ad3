"""Mutations that disable guards in the sources; the checks must detect each of them."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from dapplewick.controller.record_follower import RecordFollower
from dapplewick.core.leader.quotas import TeamQuotas
from dapplewick.core.leader.shard_contacts import ShardContacts
from dapplewick.core.shard.constraints import PlacementConstraints
from dapplewick.core.shard.heartbeats import HeartbeatReconciler
from dapplewick.core.shard.stops import TaskStopper
from dapplewick.types import Seconds

Patch = Callable[[pytest.MonkeyPatch], None]


def no_wait_for_unheard_machines(patch: pytest.MonkeyPatch) -> None:
    requeue = HeartbeatReconciler.requeue_if_all_reconciled

    def requeue_unconditionally(self: HeartbeatReconciler, now: float) -> None:
        self.unreconciled.clear()
        requeue(self, now)

    patch.setattr(HeartbeatReconciler, "requeue_if_all_reconciled", requeue_unconditionally)


def no_team_limit(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(TeamQuotas, "within_limit", lambda _, spec: spec.task_count)


def no_stop_of_cancelled_tasks(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(TaskStopper, "stop_commands", lambda *_: [])


def no_check_that_the_watch_cache_is_current(patch: pytest.MonkeyPatch) -> None:
    async def unchecked(self: RecordFollower) -> Seconds:
        return self.now()

    patch.setattr(RecordFollower, "wait_until_current", unchecked)


def any_machine_will_do(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(PlacementConstraints, "allow", lambda *_: True)


def unheard_shards_stay(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ShardContacts, "shards_without_contact", lambda *_: set())


# Guards whose removal a soak run must detect, by name.
SOAK_GUARDS: dict[str, Patch] = {
    "wait-for-unheard-machines": no_wait_for_unheard_machines,
    "stop-of-cancelled-tasks": no_stop_of_cancelled_tasks,
    "team-limit": no_team_limit,
    "move-of-unheard-shards": unheard_shards_stay,
}
