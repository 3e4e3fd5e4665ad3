"""The interface of the controller that the partition service requires."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

from dapplewick.config import Settings, StateLimits
from dapplewick.core.estimates import Estimates
from dapplewick.core.leader.observed_shard import ObservedShard
from dapplewick.storage.state_client import StateClient
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import ControllerName, Seconds, ShardName


class LeaderTerm(Protocol):
    """One term of leadership; terms are distinguished by object identity."""

    @property
    def shards(self) -> Mapping[ShardName, ObservedShard]:
        """The shards' state, as their owners reported it to the leader."""


class PeerClient(Protocol):
    """Sends requests to another controller."""

    async def request(self, message: dict[str, Any], timeout_s: Seconds) -> dict[str, Any] | None:
        """Send a request and return the answer, or None if none arrives in time."""


class PartitionHost(Protocol):
    """The controller that runs the partition service."""

    @property
    def own_name(self) -> ControllerName:
        """The controller's name."""

    @property
    def settings(self) -> Settings:
        """The platform's settings."""

    @property
    def cache(self) -> WatchCache:
        """The cached records of the state service."""

    @property
    def state(self) -> StateClient:
        """The client of the state service."""

    @property
    def estimates(self) -> Estimates:
        """The estimates of run times."""

    @property
    def links(self) -> Mapping[ControllerName, PeerClient]:
        """The connections to the other controllers."""

    @property
    def leader(self) -> LeaderTerm | None:
        """The controller's term of leadership; None while it does not lead."""

    def now(self) -> Seconds:
        """Time of the monotonic clock, in seconds."""

    def wall_time(self) -> Seconds:
        """Unix time, in seconds."""

    def limits_now(self) -> StateLimits:
        """The current size limits of values and transactions of the state service."""

    def apply_stored_write(self, key: str, value: object, version: int) -> None:
        """Apply a confirmed write of this controller to the cached records."""

    def wake_leader(self, at_once: bool = False) -> None:
        """Request a planning pass of the leader, soon or at once."""
