"""What the partition service is given of its controller."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from dapplewick.config import Settings, StateLimits
from dapplewick.controller.record_follower import RecordFollower
from dapplewick.controller.record_limits import RecordLimits
from dapplewick.coordination.identity import Identity
from dapplewick.coordination.leadership import Leadership
from dapplewick.core.estimates import Estimates
from dapplewick.core.leader.planner import LeaderPlanner
from dapplewick.storage.state_client import StateClient
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.transport.peer import PeerLink
from dapplewick.types import ControllerName, Seconds


@dataclass(eq=False, kw_only=True)
class PartitionHost:
    """Joins the collaborators of the partition service."""

    settings: Settings
    estimates: Estimates
    cache: WatchCache
    state: StateClient
    links: Mapping[ControllerName, PeerLink]
    now: Callable[[], Seconds]
    wall_time: Callable[[], Seconds]
    identity: Identity
    leadership: Leadership
    records: RecordFollower
    limits: RecordLimits

    @property
    def own_name(self) -> ControllerName:
        """This controller's name."""
        return self.identity.name

    @property
    def leader(self) -> LeaderPlanner | None:
        """The planner of the present term, if this process leads."""
        return self.leadership.planner

    def wake_leader(self, at_once: bool = False) -> None:
        """Ask for a planning pass; at once if work waits for it."""
        self.leadership.request_pass(at_once)

    def limits_now(self) -> StateLimits:
        """How large values and transactions may be."""
        return self.limits.current()

    def stored(self, key: str, value: object, version: int) -> None:
        """Take over a write of this process that is known to be done."""
        self.records.stored(key, value, version)
