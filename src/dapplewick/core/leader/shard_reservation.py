"""Reservation of one shard for a gang that has waited too long.

Gangs are placed largest first. However, slots become idle a few at a time, and smaller gangs use
them: under sustained overload the largest gangs would never fit. Therefore one shard is reserved in
each pass for the first gang, in placement order, that has waited for long and finds no slots. The
gangs after it, which are smaller or younger, are placed in the other shards.
"""

from __future__ import annotations

from dapplewick.core.leader.shard_capacity import ShardCapacity
from dapplewick.protocol.job_spec import JobSpec
from dapplewick.types import Seconds, ShardName

OVERDUE_S = 60.0  # a gang that has waited for this long may have a shard reserved
MAX_OVERDUE_S = 240.0  # after this wait no shard is reserved, so that other gangs are not delayed
MAX_RESERVATION_S = 45.0  # a reservation ends after this time without a gang placed in the shard
COOLDOWN_S = 10.0  # no new reservation for this time, so that other gangs can use idle slots


class ShardReservation:
    """Reserves at most one shard, which is chosen again in each pass."""

    def __init__(self) -> None:
        self._shard: ShardName | None = None  # in this pass
        self._previous_shard: ShardName | None = None  # in the previous pass
        self._last_progress_at: Seconds = 0.0  # start of the reservation, or latest placement
        self._cooldown_until: Seconds = 0.0

    def begin(self) -> None:
        """Begin a new pass over the waiting gangs."""
        self._previous_shard, self._shard = self._shard, None

    def open_shards(self, shard_capacities: list[ShardCapacity]) -> list[ShardCapacity]:
        """Return the shards in which the next gang may be placed."""
        return [capacity for capacity in shard_capacities if capacity.shard != self._shard]

    def record_placement(self, wall_time: Seconds, shards: set[ShardName]) -> None:
        """Record that a gang was placed in these shards, which extends a reservation there."""
        if self._previous_shard in shards:
            self._last_progress_at = wall_time

    def request(
        self,
        wall_time: Seconds,
        spec: JobSpec,
        waited_s: Seconds,
        shard_capacities: list[ShardCapacity],
        limit_s: Seconds,
    ) -> None:
        """Reserve a shard for a gang that found no slots, if a reservation is allowed now.

        Chooses the shard in which the most slots become idle within `limit_s`.
        """
        if self._shard is not None or wall_time < self._cooldown_until:
            return
        if not OVERDUE_S <= waited_s < MAX_OVERDUE_S:
            return
        eligible = [capacity for capacity in shard_capacities if capacity.could_hold_all(spec)]
        if not eligible:
            return
        shard = max(eligible, key=lambda capacity: capacity.slots_within(spec, limit_s)).shard
        if shard != self._previous_shard:
            self._last_progress_at = wall_time
        if wall_time - self._last_progress_at >= MAX_RESERVATION_S:
            self._cooldown_until = wall_time + COOLDOWN_S
            return
        self._shard = shard
