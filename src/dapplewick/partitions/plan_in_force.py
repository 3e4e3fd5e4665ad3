"""The plan that this controller goes by: the one that operators stored, else its initial one."""

from __future__ import annotations

import logging

from dapplewick.config import Deployment
from dapplewick.partitions.plan import PartitionPlan, PlanError, convert, find_unknown_name
from dapplewick.storage.keys import PARTITION_PLAN
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NEVER_S, Seconds

log = logging.getLogger(__name__)

LOG_PAUSE_S = 60.0  # between two complaints of the same kind


class ComplaintLog:
    """Logs complaints, but not again and again."""

    def __init__(self) -> None:
        self._logged_at: dict[str, Seconds] = {}

    def complain(self, now: Seconds, event: str, reason: str) -> None:
        """Log a complaint, unless one of the same event was logged a moment ago."""
        if now - self._logged_at.get(event, NEVER_S) >= LOG_PAUSE_S:
            self._logged_at[event] = now
            log.error("event=%s reason=%r", event, reason)


class PlanInForce:
    """Follows the stored plan.

    Attributes:
        plan: the plan in force; without partitions where the controller started without a plan.
    """

    def __init__(
        self,
        initial: PartitionPlan | None,
        cache: WatchCache,
        deployment: Deployment,
        complaints: ComplaintLog,
    ) -> None:
        self.plan = initial or PartitionPlan()
        self._initial = initial
        self._cache = cache
        self._deployment = deployment
        self._complaints = complaints
        self._version = 0

    def refresh(self, now: Seconds) -> None:
        """Take over the plan that operators have stored; a bad one changes nothing."""
        if self._initial is None:
            return
        version = self._cache.version(PARTITION_PLAN)
        if version == self._version:
            return
        self._version = version
        try:
            plan = convert(self._cache.partition_plan) if version else self._initial
            complaint = self.find_unknown_name(plan)
        except PlanError as err:
            complaint = str(err)
        if complaint:
            self._complaints.complain(now, "stored_plan_refused", complaint)
            return
        self.plan = plan
        log.info("event=plan_adopted version=%d partitions=%s", version, ",".join(plan.partitions))

    def find_unknown_name(self, plan: PartitionPlan) -> str:
        """The first name in a plan that the deployment does not have; empty if there is none."""
        teams = (team.name for team in self._deployment.teams)
        return find_unknown_name(plan, teams, self._deployment.zones, self._cache.types or None)
