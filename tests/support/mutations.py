"""Mutations of the guards of the sources: what the checks must detect."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from dapplewick.controller.controller import Controller
from dapplewick.core.leader.planner import LeaderPlanner
from dapplewick.core.shard.scheduler import ShardScheduler
from dapplewick.types import Seconds

Patch = Callable[[pytest.MonkeyPatch], None]


def no_wait_for_unheard_machines(patch: pytest.MonkeyPatch) -> None:
    settle = ShardScheduler._release_unconfirmed

    def hasty(self: ShardScheduler, now: float) -> None:
        self.unreconciled.clear()
        settle(self, now)

    patch.setattr(ShardScheduler, "_release_unconfirmed", hasty)


def no_team_limit(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(LeaderPlanner, "_within_limit", lambda _, spec, __: spec.task_count)


def no_stop_of_cancelled_tasks(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ShardScheduler, "_stops", lambda *_: [])


def no_check_that_the_watch_cache_is_current(patch: pytest.MonkeyPatch) -> None:
    async def unchecked(self: Controller) -> Seconds:
        return self.now()

    patch.setattr(Controller, "current", unchecked)


def any_machine_will_do(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ShardScheduler, "allowed", lambda *_: True)
