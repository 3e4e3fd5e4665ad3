"""Detection of an isolated leader, which should step down so that another controller leads.

Leadership and presence depend only on the state service. A leader without contact to its peers and
to the workers of its own shards can neither plan nor serve, and yet it would keep all shards.
"""

from __future__ import annotations

from collections.abc import Set

from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NEVER_S, ControllerName, Seconds, ShardName

# Minimum time after which the same process steps down again. If several controllers are isolated,
# each of them leads in turn, and the cool-down limits the number of epochs that this uses.
STEP_DOWN_COOLDOWN_S = 60.0


class LeaderIsolation:
    """Decides when a leader steps down. One instance serves all terms of a process."""

    def __init__(self, cache: WatchCache, own_name: ControllerName) -> None:
        self._cache = cache
        self._own_name = own_name
        self._stepped_down_at = NEVER_S

    def has_no_peer_contact(self, unreachable_controllers: Set[ControllerName]) -> bool:
        """Whether other controllers are present, and all of them are unreachable."""
        others = self._cache.controllers.keys() - {self._own_name}
        return bool(others) and others <= unreachable_controllers

    def should_step_down(
        self,
        now: Seconds,
        unreachable_controllers: Set[ControllerName],
        populated_shards: Set[ShardName],
        shards_without_machine_contact: Set[ShardName],
    ) -> bool:
        """Whether this process, which leads, should step down so that another controller leads.

        Args:
            now: The monotonic clock, in seconds.
            unreachable_controllers: The present controllers that are unreachable from this one.
            populated_shards: The shards of this process that have machines. Only these show
                whether workers reach this process. Without any, the leader does not step down.
            shards_without_machine_contact: All shards whose owner has no contact with any of their
                machines.
        """
        return (
            now - self._stepped_down_at >= STEP_DOWN_COOLDOWN_S
            and self.has_no_peer_contact(unreachable_controllers)
            and bool(populated_shards)
            and populated_shards <= shards_without_machine_contact
        )

    def record_step_down(self, now: Seconds) -> None:
        """Record that this process has removed its leader's key, which starts the cool-down."""
        self._stepped_down_at = now
