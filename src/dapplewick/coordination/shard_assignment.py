"""Which controller owns which part."""

from __future__ import annotations

from dapplewick.storage.controller_records import ShardRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import ControllerName, Seconds, ShardName, partition_of, zone_of

REASSIGNMENT_PAUSE_S = 20.0  # a part changes hands for silent workers at most this often
STEADY_S = 20.0  # a controller that came back gets a part again after this time
EMPTY_STEADY_S = 1.0  # and sooner one without machines, which loses nothing by a new owner
LEADING = 1  # leading is as much work as a part


class ShardAssigner:
    """The leader's choice of owners; a part changes hands only for a reason."""

    def __init__(self, cache: WatchCache, zones: list[str], own_name: ControllerName) -> None:
        self.cache = cache
        self._zones = [ShardName(zone) for zone in zones]
        self.wanted: list[ShardName] = []  # parts of shares that are to be there
        self.own_name = own_name
        self._uneven_since: Seconds | None = None
        self._moved_at: dict[ShardName, Seconds] = {}

    def shards(self) -> list[ShardName]:
        """Every part that has or needs an owner: the zones, and the shares of them."""
        partitions = [shard for shard in self.cache.shards if partition_of(shard)]
        return list(dict.fromkeys([*self._zones, *self.wanted, *partitions]))

    def changes(self, now: Seconds, unreachable: set[ShardName]) -> dict[ShardName, ShardRecord]:
        """The parts that get a new owner now. `unreachable` are those whose owner hears none of its
        machines: it may have lost the way to them alone, and another may hear them."""
        controllers = self.cache.controllers
        load: dict[ControllerName, int] = dict.fromkeys(controllers, 0)
        if self.own_name in load:
            load[self.own_name] = LEADING
        orphans: list[ShardName] = []
        for name in self.shards():
            shard = self.cache.shards.get(name)
            controller = controllers.get(ControllerName(shard.owner)) if shard is not None else None
            # A controller that was started again knows nothing of its earlier life: its part
            # is given out anew, under a new token.
            if shard is None or controller is None or controller.incarnation != shard.incarnation:
                orphans.append(name)
            else:
                load[ControllerName(shard.owner)] += 1
        out: dict[ShardName, ShardRecord] = {}
        for name in orphans:
            if not load:
                return out
            controller_name = min(load, key=lambda n: self._key(n, name, load))
            load[controller_name] += 1
            out[name] = ShardRecord(
                owner=controller_name, incarnation=controllers[controller_name].incarnation
            )
        if not out:
            out = self._reassign_unreachable(now, load, unreachable) or self._even_out(now, load)
        return out

    def _reassign_unreachable(
        self, now: Seconds, load: dict[ControllerName, int], unreachable: set[ShardName]
    ) -> dict[ShardName, ShardRecord]:
        for name in sorted(unreachable & self.cache.shards.keys()):
            owner = ControllerName(self.cache.shards[name].owner)
            others = {n: count for n, count in load.items() if n != owner}
            if others and now - self._moved_at.get(name, -1e9) >= REASSIGNMENT_PAUSE_S:
                self._moved_at[name] = now
                controller = min(others, key=lambda n: self._key(n, name, others))
                return {
                    name: ShardRecord(
                        owner=controller,
                        incarnation=self.cache.controllers[controller].incarnation,
                    )
                }
        return {}

    def _key(
        self, controller: ControllerName, shard: ShardName, load: dict[ControllerName, int]
    ) -> tuple[object, ...]:
        """The least loaded, preferably not the leader, preferably in the zone itself."""
        return (
            load[controller],
            controller == self.own_name,
            self.cache.controllers[controller].zone != zone_of(shard),
            controller,
        )

    def _even_out(
        self, now: Seconds, load: dict[ControllerName, int]
    ) -> dict[ShardName, ShardRecord]:
        if not load or max(load.values()) - min(load.values()) < 2:
            self._uneven_since = None
            return {}
        if self._uneven_since is None:
            self._uneven_since = now
        most = max(load, key=lambda n: (load[n], n))
        owned = [p for p in self.shards() if self.cache.shards[p].owner == most]
        if not owned:
            return {}
        shard = owned[-1]
        full = any(m.up and m.shard == shard for m in self.cache.machines.values())
        if now - self._uneven_since < (STEADY_S if full else EMPTY_STEADY_S):
            return {}
        self._uneven_since = None
        least = min(load, key=lambda n: self._key(n, shard, load))
        return {
            shard: ShardRecord(owner=least, incarnation=self.cache.controllers[least].incarnation)
        }
