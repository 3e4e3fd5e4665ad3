"""Assignment of shards to controllers by the leader."""

from __future__ import annotations

from collections.abc import Set
from enum import StrEnum
from typing import NamedTuple

from dapplewick.storage.controller_records import ShardRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NEVER_S, ControllerName, Seconds, ShardName, partition_of, zone_of

# Minimum time between two reassignments of the same shard because its machines or its owner are
# unreachable.
REASSIGNMENT_COOLDOWN_S = 20.0
# A shard is moved to balance the load only after the load has been uneven for this long, for
# example since a controller became present again.
REBALANCE_DELAY_S = 20.0
# The same for a shard without machines, whose reassignment costs nothing.
EMPTY_SHARD_REBALANCE_DELAY_S = 1.0
LEADER_LOAD_SHARDS = 1  # load of the leader's role, in shards


class AssignmentReason(StrEnum):
    """Why a shard gets a new owner.

    Attributes:
        NO_OWNER: the shard has no owner, or its owner's incarnation is not present.
        MACHINES_UNREACHABLE: the owner has no contact with any of the shard's machines.
        OWNER_UNREACHABLE: the leader has no contact with the owner.
        UNEVEN: the owner has much more load than another controller.
    """

    NO_OWNER = "no_owner"
    MACHINES_UNREACHABLE = "unreachable"
    OWNER_UNREACHABLE = "unheard"
    UNEVEN = "uneven"


class ShardAssignment(NamedTuple):
    """The assignment of a shard to a new owner."""

    shard: ShardName
    record: ShardRecord
    reason: AssignmentReason


class OwnerReachability(NamedTuple):
    """Reachability of the shard owners, beyond their presence records, as observed by the leader.

    Attributes:
        shards_without_machine_contact: shards whose owner has no contact with any of their
            machines. The fault may lie between this owner and the machines, in which case another
            controller can reach them.
        shards_without_owner_contact: shards whose owner is present, but from which the leader has
            received nothing for too long.
        unreachable_controllers: present controllers from which the leader currently receives
            nothing. They are assigned no shard, because the leader would have no contact with its
            owner.
    """

    shards_without_machine_contact: Set[ShardName]
    shards_without_owner_contact: Set[ShardName]
    unreachable_controllers: Set[ControllerName]


class ShardAssigner:
    """Chooses the owners of shards for the leader. Every reassignment has an `AssignmentReason`.

    Attributes:
        partition_shards: the shards of the partitions that must exist, in addition to those of the
            zones.
    """

    def __init__(self, cache: WatchCache, zones: list[str], own_name: ControllerName) -> None:
        self._cache = cache
        self._zones = [ShardName(zone) for zone in zones]
        self.partition_shards: list[ShardName] = []
        self._own_name = own_name
        self._imbalanced_since: Seconds | None = None
        self._reassigned_at: dict[ShardName, Seconds] = {}

    def shards(self) -> list[ShardName]:
        """List every shard that has or needs an owner, of the zones and of their partitions."""
        partitions = [shard for shard in self._cache.shards if partition_of(shard)]
        return list(dict.fromkeys([*self._zones, *self.partition_shards, *partitions]))

    def choose_assignments(
        self, now: Seconds, reachability: OwnerReachability
    ) -> list[ShardAssignment]:
        """Choose the shards that get a new owner now.

        Args:
            now: the monotonic clock of this process, in seconds.
            reachability: the reachability of the present owners.
        """
        load: dict[ControllerName, int] = dict.fromkeys(self._cache.controllers, 0)
        if self._own_name in load:
            load[self._own_name] = LEADER_LOAD_SHARDS
        unowned: list[ShardName] = []
        for name in self.shards():
            owner = self._present_owner(name)
            if owner is None:
                unowned.append(name)
            else:
                load[owner] += 1
        eligible = load.keys() - reachability.unreachable_controllers or load.keys()
        if unowned:
            return self._assign_unowned(unowned, load, eligible)
        return (
            self._reassign(
                now,
                load,
                eligible,
                reachability.shards_without_machine_contact,
                AssignmentReason.MACHINES_UNREACHABLE,
            )
            or self._reassign(
                now,
                load,
                eligible,
                reachability.shards_without_owner_contact,
                AssignmentReason.OWNER_UNREACHABLE,
            )
            or self._rebalance(now, load, eligible)
        )

    def _present_owner(self, name: ShardName) -> ControllerName | None:
        """The owner of a shard, if the incarnation that it was assigned to is still present."""
        shard = self._cache.shards.get(name)
        if shard is None:
            return None
        owner = ControllerName(shard.owner)
        controller = self._cache.controllers.get(owner)
        # A restarted controller has no state of its earlier incarnation. Its shard is reassigned
        # under a new fencing token.
        is_present = controller is not None and controller.incarnation == shard.incarnation
        return owner if is_present else None

    def _assign_unowned(
        self,
        unowned: list[ShardName],
        load: dict[ControllerName, int],
        eligible: Set[ControllerName],
    ) -> list[ShardAssignment]:
        """Assign each shard without an owner to the controller that is preferred for it."""
        assigned: list[ShardAssignment] = []
        if not load:
            return assigned  # no controller is present
        for name in unowned:
            owner = min(eligible, key=lambda n: self._preference(n, name, load))
            load[owner] += 1
            assigned.append(self._assignment(name, owner, AssignmentReason.NO_OWNER))
        return assigned

    def _assignment(
        self, shard: ShardName, owner: ControllerName, reason: AssignmentReason
    ) -> ShardAssignment:
        record = ShardRecord(owner, self._cache.controllers[owner].incarnation)
        return ShardAssignment(shard, record, reason)

    def _reassign(
        self,
        now: Seconds,
        load: dict[ControllerName, int],
        eligible: Set[ControllerName],
        shards: Set[ShardName],
        reason: AssignmentReason,
    ) -> list[ShardAssignment]:
        """Reassign the first of these shards that has another candidate and is not in cool-down."""
        for name in sorted(shards & self._cache.shards.keys()):
            others = eligible - {ControllerName(self._cache.shards[name].owner)}
            if others and now - self._reassigned_at.get(name, NEVER_S) >= REASSIGNMENT_COOLDOWN_S:
                self._reassigned_at[name] = now
                owner = min(others, key=lambda n: self._preference(n, name, load))
                return [self._assignment(name, owner, reason)]
        return []

    def _preference(
        self, controller: ControllerName, shard: ShardName, load: dict[ControllerName, int]
    ) -> tuple[object, ...]:
        """Sort key of owners: load, then not the leader, then in the shard's zone, then name."""
        return (
            load[controller],
            controller == self._own_name,
            self._cache.controllers[controller].zone != zone_of(shard),
            controller,
        )

    def _rebalance(
        self, now: Seconds, load: dict[ControllerName, int], eligible: Set[ControllerName]
    ) -> list[ShardAssignment]:
        """Move one shard from the most to the least loaded controller if the imbalance persists."""
        if not load or max(load.values()) - min(load[name] for name in eligible) < 2:
            self._imbalanced_since = None
            return []
        if self._imbalanced_since is None:
            self._imbalanced_since = now
        most_loaded = max(load, key=lambda n: (load[n], n))
        owned = [name for name in self.shards() if self._cache.shards[name].owner == most_loaded]
        if not owned:
            return []
        shard = owned[-1]
        has_machines = any(m.up and m.shard == shard for m in self._cache.machines.values())
        if now - self._imbalanced_since < (
            REBALANCE_DELAY_S if has_machines else EMPTY_SHARD_REBALANCE_DELAY_S
        ):
            return []
        self._imbalanced_since = None
        least_loaded = min(eligible, key=lambda n: self._preference(n, shard, load))
        return [self._assignment(shard, least_loaded, AssignmentReason.UNEVEN)]
