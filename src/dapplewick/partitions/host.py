"""What this package needs of the controller that it runs in."""

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
    """One term of leadership, known by its identity."""

    @property
    def shards(self) -> Mapping[ShardName, ObservedShard]:
        """What the shards' owners told the leader."""


class PeerRequests(Protocol):
    """A way to ask another controller."""

    async def ask(self, message: dict[str, Any], timeout_s: Seconds) -> dict[str, Any] | None:
        """Ask for something; None if no answer comes in time."""


class PartitionHost(Protocol):
    """A controller, as far as partitions are concerned with it."""

    @property
    def own_name(self) -> ControllerName:
        """The controller's name."""

    @property
    def settings(self) -> Settings:
        """The platform's settings."""

    @property
    def cache(self) -> WatchCache:
        """The records of the state service, as they are known."""

    @property
    def state(self) -> StateClient:
        """The state service."""

    @property
    def estimates(self) -> Estimates:
        """Estimates of run times."""

    @property
    def links(self) -> Mapping[ControllerName, PeerRequests]:
        """The ways to the other controllers."""

    @property
    def leader(self) -> LeaderTerm | None:
        """The controller's term of leadership; None while it does not lead."""

    def now(self) -> Seconds:
        """Time of the monotonic clock, in seconds."""

    def wall_time(self) -> Seconds:
        """Unix time, in seconds."""

    def limits_now(self) -> StateLimits:
        """How large values and transactions of the state service may be."""

    def stored(self, key: str, value: object, version: int) -> None:
        """Take note that a write of our own is known to be stored."""

    def wake_leader(self, at_once: bool = False) -> None:
        """Have the leader make a pass soon, or at once."""
