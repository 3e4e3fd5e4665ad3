"""Which controller owns which shard."""

from __future__ import annotations

from collections.abc import Set
from enum import StrEnum
from typing import NamedTuple

from dapplewick.storage.controller_records import ShardRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import NEVER_S, ControllerName, Seconds, ShardName, partition_of, zone_of

REASSIGNMENT_PAUSE_S = 20.0  # a shard changes hands for silent workers at most this often
STEADY_S = 20.0  # a controller that came back gets a shard again after this time
EMPTY_STEADY_S = 1.0  # and sooner one without machines, which loses nothing by a new owner
LEADING_LOAD = 1  # leading is as much work as a shard


class AssignmentReason(StrEnum):
    """Why a shard gets a new owner."""

    NO_OWNER = "no_owner"  # or its owner's incarnation is not present
    MACHINES_UNREACHABLE = "unreachable"  # its owner hears none of its machines
    OWNER_UNREACHABLE = "unheard"  # the leader does not hear its owner
    UNEVEN = "uneven"  # its owner has much more to do than another controller


class ShardAssignment(NamedTuple):
    """A shard's new owner."""

    shard: ShardName
    record: ShardRecord
    reason: AssignmentReason


class OwnerReachability(NamedTuple):
    """Reachability of the shard owners, beyond their presence records, as the leader sees it.

    Attributes:
        shards_without_machine_contact: shards whose owner has no contact with any of their
            machines. The fault may lie between this owner and the machines, in which case another
            controller can reach them.
        shards_without_owner_contact: shards whose owner is present, but from which the leader has
            received nothing for too long.
        unreachable_controllers: present controllers from which the leader currently receives
            nothing. They are assigned no shard, because the leader would not reach its owner.
    """

    shards_without_machine_contact: Set[ShardName]
    shards_without_owner_contact: Set[ShardName]
    unreachable_controllers: Set[ControllerName]


class ShardAssigner:
    """The leader's choice of owners; a shard changes hands only for a reason.

    Attributes:
        partition_shards: the shards of partitions that are to be there.
    """

    def __init__(self, cache: WatchCache, zones: list[str], own_name: ControllerName) -> None:
        self._cache = cache
        self._zones = [ShardName(zone) for zone in zones]
        self.partition_shards: list[ShardName] = []
        self._own_name = own_name
        self._uneven_since: Seconds | None = None
        self._moved_at: dict[ShardName, Seconds] = {}

    def shards(self) -> list[ShardName]:
        """List every shard that has or needs an owner: of the zones, and of their partitions."""
        partitions = [shard for shard in self._cache.shards if partition_of(shard)]
        return list(dict.fromkeys([*self._zones, *self.partition_shards, *partitions]))

    def changes(self, now: Seconds, view: OwnerReachability) -> list[ShardAssignment]:
        """Choose the shards that get a new owner now.

        Args:
            now: the steady clock of this process, in seconds.
            view: what is known of the present owners.
        """
        load: dict[ControllerName, int] = dict.fromkeys(self._cache.controllers, 0)
        if self._own_name in load:
            load[self._own_name] = LEADING_LOAD
        orphans: list[ShardName] = []
        for name in self.shards():
            owner = self._present_owner(name)
            if owner is None:
                orphans.append(name)
            else:
                load[owner] += 1
        eligible = load.keys() - view.unreachable_controllers or load.keys()
        if orphans:
            return self._assign_orphans(orphans, load, eligible)
        return (
            self._reassign(
                now,
                load,
                eligible,
                view.shards_without_machine_contact,
                AssignmentReason.MACHINES_UNREACHABLE,
            )
            or self._reassign(
                now,
                load,
                eligible,
                view.shards_without_owner_contact,
                AssignmentReason.OWNER_UNREACHABLE,
            )
            or self._even_out(now, load, eligible)
        )

    def _present_owner(self, name: ShardName) -> ControllerName | None:
        """The owner of a shard, if the incarnation that got it is still there."""
        shard = self._cache.shards.get(name)
        if shard is None:
            return None
        owner = ControllerName(shard.owner)
        controller = self._cache.controllers.get(owner)
        # A controller that was started again knows nothing of its earlier incarnation: its
        # shard is assigned anew, under a new token.
        is_present = controller is not None and controller.incarnation == shard.incarnation
        return owner if is_present else None

    def _assign_orphans(
        self,
        orphans: list[ShardName],
        load: dict[ControllerName, int],
        eligible: Set[ControllerName],
    ) -> list[ShardAssignment]:
        """Give each shard without an owner to the controller that is preferred for it."""
        assigned: list[ShardAssignment] = []
        if not load:
            return assigned  # there is nobody to own them
        for name in orphans:
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
        """Move one of these shards to another controller, if it was not moved just now."""
        for name in sorted(shards & self._cache.shards.keys()):
            others = eligible - {ControllerName(self._cache.shards[name].owner)}
            if others and now - self._moved_at.get(name, NEVER_S) >= REASSIGNMENT_PAUSE_S:
                self._moved_at[name] = now
                owner = min(others, key=lambda n: self._preference(n, name, load))
                return [self._assignment(name, owner, reason)]
        return []

    def _preference(
        self, controller: ControllerName, shard: ShardName, load: dict[ControllerName, int]
    ) -> tuple[object, ...]:
        """Sort owners: least loaded first, preferably not the leader, preferably in the zone."""
        return (
            load[controller],
            controller == self._own_name,
            self._cache.controllers[controller].zone != zone_of(shard),
            controller,
        )

    def _even_out(
        self, now: Seconds, load: dict[ControllerName, int], eligible: Set[ControllerName]
    ) -> list[ShardAssignment]:
        """Move one shard from the most to the least loaded, once that was so for a while."""
        if not load or max(load.values()) - min(load[name] for name in eligible) < 2:
            self._uneven_since = None
            return []
        if self._uneven_since is None:
            self._uneven_since = now
        most = max(load, key=lambda n: (load[n], n))
        owned = [p for p in self.shards() if self._cache.shards[p].owner == most]
        if not owned:
            return []
        shard = owned[-1]
        full = any(m.up and m.shard == shard for m in self._cache.machines.values())
        if now - self._uneven_since < (STEADY_S if full else EMPTY_STEADY_S):
            return []
        self._uneven_since = None
        least = min(eligible, key=lambda n: self._preference(n, shard, load))
        return [self._assignment(shard, least, AssignmentReason.UNEVEN)]
