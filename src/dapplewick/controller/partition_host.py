"""The interface of a controller that its partition service uses."""

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
    """Gives the partition service access to components of its controller."""

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
        """The planner of the current leadership term; None if this process does not lead."""
        return self.leadership.planner

    def wake_leader(self, at_once: bool = False) -> None:
        """Request a planning pass; `at_once` skips the delay between passes."""
        self.leadership.request_pass(at_once)

    def limits_now(self) -> StateLimits:
        """Return the size limits of values and transactions that apply now."""
        return self.limits.current()

    def apply_stored_write(self, key: str, value: object, version: int) -> None:
        """Apply a stored write of this process to the watch cache."""
        self.records.apply_stored_write(key, value, version)
