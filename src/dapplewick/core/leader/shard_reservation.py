"""A shard that is reserved for a gang which has waited too long.

The largest fitting gang goes first, but slots become idle a few at a time and smaller gangs fit
into each few: while there is more work than machines the largest never fit. So in each pass the
first gang, in the order in which they are placed, that finds no slots and has waited for long has
one shard reserved: those after it, which are smaller or younger, go to the other shards.
"""

from __future__ import annotations

from dapplewick.core.leader.shard_capacity import ShardCapacity
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.types import Seconds, ShardName

OVERDUE_S = 60.0  # a gang that found no slots for so long may have a shard reserved
MAX_OVERDUE_S = 240.0  # and one so late keeps no others waiting any more
MAX_RESERVATION_S = 45.0  # a reservation under which no gang is placed in this time ends
COOLDOWN_S = 10.0  # and for this time there is none, so that nothing waits long beside idle slots


class ShardReservation:
    """At most one shard, chosen anew in each pass."""

    def __init__(self) -> None:
        self._shard: ShardName | None = None  # in this pass
        self._last_shard: ShardName | None = None  # in the pass before
        self._since: Seconds = 0.0  # when it was reserved first, or a gang was placed there
        self._paused_until: Seconds = 0.0

    def begin(self) -> None:
        """Begin a new pass over the gangs that wait."""
        self._last_shard, self._shard = self._shard, None

    def open_shards(self, shard_capacities: list[ShardCapacity]) -> list[ShardCapacity]:
        """The shards in which the next gang may be placed."""
        return [capacity for capacity in shard_capacities if capacity.shard != self._shard]

    def record_placement(self, wall_time: Seconds, shards: set[ShardName]) -> None:
        """Note that a gang was placed in these shards: the reservation there helps."""
        if self._last_shard in shards:
            self._since = wall_time

    def request(
        self,
        wall_time: Seconds,
        spec: JobSpec,
        waited_s: Seconds,
        shard_capacities: list[ShardCapacity],
        limit_s: Seconds,
    ) -> None:
        """Reserve a shard for a gang that found no slots, if one may be reserved now.

        It is the one in which most slots become idle within `limit_s`.
        """
        if self._shard is not None or wall_time < self._paused_until:
            return
        if not OVERDUE_S <= waited_s < MAX_OVERDUE_S:
            return
        eligible = [capacity for capacity in shard_capacities if capacity.could_hold_all(spec)]
        if not eligible:
            return
        shard = max(eligible, key=lambda capacity: capacity.slots_within(spec, limit_s)).shard
        if shard != self._last_shard:
            self._since = wall_time
        if wall_time - self._since >= MAX_RESERVATION_S:
            self._paused_until = wall_time + COOLDOWN_S
            return
        self._shard = shard
