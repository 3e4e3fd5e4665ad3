"""A part that is kept for a gang which has waited too long.

The largest fitting gang goes first, but slots become idle a few at a time and smaller gangs fit
into each few: while there is more work than room the largest never fit. So in each pass the first
gang, in the order in which they are placed, that finds no room and has waited for long has one
part reserved: those after it, which are smaller or younger, go to the other parts.
"""

from __future__ import annotations

from dapplewick.core.leader.capacity import ShardCapacity
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.types import Seconds, ShardName

OVERDUE_S = 60.0  # a gang that found no room for so long may have a part reserved
HOPELESS_S = 240.0  # and one so late keeps no others waiting any more
MOST_S = 45.0  # a reservation under which no gang is placed in this time ends
PAUSE_S = 10.0  # and for this time there is none, so that nothing waits long beside idle slots


class ShardReservation:
    """At most one part, chosen anew in each pass."""

    def __init__(self) -> None:
        self._shard: ShardName | None = None  # in this pass
        self._last: ShardName | None = None  # in the pass before
        self._since: Seconds = 0.0  # when it was reserved first, or a gang was placed there
        self._paused_until: Seconds = 0.0

    def begin(self) -> None:
        """A new pass over the gangs that wait."""
        self._last, self._shard = self._shard, None

    def open_shards(self, shard_capacities: list[ShardCapacity]) -> list[ShardCapacity]:
        """The parts in which the next gang may be placed."""
        return [room for room in shard_capacities if room.shard != self._shard]

    def placed(self, wall: Seconds, shards: set[ShardName]) -> None:
        """A gang was placed in these parts."""
        if self._last in shards:
            self._since = wall

    def ask(
        self,
        wall: Seconds,
        spec: JobSpec,
        waited: Seconds,
        shard_capacities: list[ShardCapacity],
        limit: Seconds,
    ) -> None:
        """A gang found no room: reserve the part in which it will find some soonest, counting
        slots that become idle within `limit`."""
        if self._shard is not None or wall < self._paused_until:
            return
        if not OVERDUE_S <= waited < HOPELESS_S:
            return
        able = [room for room in shard_capacities if room.could_reserve(spec)]
        if not able:
            return
        shard = max(able, key=lambda room: room.held(spec, spec.placement_key, limit)).shard
        if shard != self._last:
            self._since = wall
        if wall - self._since >= MOST_S:
            self._paused_until = wall + PAUSE_S
            return
        self._shard = shard
