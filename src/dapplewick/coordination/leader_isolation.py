"""Whether a leader hears nobody, and should let another controller lead.

Leading needs the state service alone, and so does presence. A leader that hears neither its peers
nor the workers of its own shards can neither plan nor serve, and yet it would keep all shards.
"""

from __future__ import annotations

from collections.abc import Set

from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NEVER_S, ControllerName, Seconds, ShardName

# Between two times that one process steps down: where several controllers hear nobody, each leads
# in turn, and few epochs are to be spent on that.
STEP_DOWN_COOLDOWN_S = 60.0


class LeaderIsolation:
    """Decides when a leader steps down, over all terms of one process."""

    def __init__(self, cache: WatchCache, own_name: ControllerName) -> None:
        self._cache = cache
        self._own_name = own_name
        self._stepped_down_at = NEVER_S

    def has_no_peer_contact(self, unreachable_controllers: Set[ControllerName]) -> bool:
        """Whether other controllers are present, and none of them is heard."""
        others = self._cache.controllers.keys() - {self._own_name}
        return bool(others) and others <= unreachable_controllers

    def should_step_down(
        self,
        now: Seconds,
        unreachable_controllers: Set[ControllerName],
        populated_shards: Set[ShardName],
        unreachable_shards: Set[ShardName],
    ) -> bool:
        """Whether this process, which leads, should let another controller lead.

        Args:
            now: The steady clock.
            unreachable_controllers: The present controllers that this one does not hear.
            populated_shards: The shards of this process that have machines. Only they tell whether
                workers reach it: without any it can't know, and leads on.
            unreachable_shards: All shards whose owner hears none of its machines.
        """
        return (
            now - self._stepped_down_at >= STEP_DOWN_COOLDOWN_S
            and self.has_no_peer_contact(unreachable_controllers)
            and bool(populated_shards)
            and populated_shards <= unreachable_shards
        )

    def record_step_down(self, now: Seconds) -> None:
        """Note that this process has given up the leader's key."""
        self._stepped_down_at = now
