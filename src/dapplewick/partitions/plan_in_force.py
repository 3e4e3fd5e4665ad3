"""The plan that this controller applies: the plan that operators stored, else its initial plan."""

from __future__ import annotations

import logging

from dapplewick.config import Deployment
from dapplewick.partitions.plan import PartitionPlan, PlanError, convert, find_unknown_name
from dapplewick.storage.keys import PARTITION_PLAN
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NEVER_S, Seconds

log = logging.getLogger(__name__)

LOG_INTERVAL_S = 60.0  # minimum interval between two errors with the same event


class RateLimitedErrorLog:
    """Logs errors, at a limited rate for each event."""

    def __init__(self) -> None:
        self._logged_at: dict[str, Seconds] = {}

    def log(self, now: Seconds, event: str, reason: str) -> None:
        """Log an error, unless one with the same event was logged within `LOG_INTERVAL_S`."""
        if now - self._logged_at.get(event, NEVER_S) >= LOG_INTERVAL_S:
            self._logged_at[event] = now
            log.error("event=%s reason=%r", event, reason)


class PlanInForce:
    """Tracks the stored plan.

    Attributes:
        plan: the plan in force; it has no partitions if the controller started without a plan.
    """

    def __init__(
        self,
        initial: PartitionPlan | None,
        cache: WatchCache,
        deployment: Deployment,
        error_log: RateLimitedErrorLog,
    ) -> None:
        self.plan = initial or PartitionPlan()
        self._initial = initial
        self._cache = cache
        self._deployment = deployment
        self._error_log = error_log
        self._version = 0

    def refresh(self, now: Seconds) -> None:
        """Adopt the stored plan if it has changed; an invalid plan is logged and ignored.

        A controller that started without a plan ignores all stored plans.
        """
        if self._initial is None:
            return
        version = self._cache.version(PARTITION_PLAN)
        if version == self._version:
            return
        self._version = version
        try:
            plan = convert(self._cache.partition_plan) if version else self._initial
            problem = self.find_unknown_name(plan)
        except PlanError as err:
            problem = str(err)
        if problem:
            self._error_log.log(now, "stored_plan_refused", problem)
            return
        self.plan = plan
        log.info("event=plan_adopted version=%d partitions=%s", version, ",".join(plan.partitions))

    def find_unknown_name(self, plan: PartitionPlan) -> str:
        """Describe the first name in a plan that the deployment lacks; empty if there is none."""
        teams = (team.name for team in self._deployment.teams)
        return find_unknown_name(plan, teams, self._deployment.zones, self._cache.types or None)
