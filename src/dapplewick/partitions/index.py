"""An index of machines by shard and type, updated incrementally from changed records.

The cost of a rebalancing pass thus depends on the number of moving machines, not on the number of
all machines.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, KeysView
from typing import NamedTuple

from dapplewick.storage.keys import MACHINES
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import MachineId, ShardName


class MachinePool(NamedTuple):
    """The machines of one type in one shard; a key of the index."""

    shard: ShardName
    type: str


class MachineIndex:
    """The machines of each type in each shard, without terminating machines."""

    def __init__(self, cache: WatchCache) -> None:
        self._cache = cache
        self._machines: dict[MachinePool, dict[MachineId, None]] = {}
        self._shard_of: dict[MachineId, ShardName] = {}  # includes terminating machines
        self._shard_counts: Counter[ShardName] = Counter()
        self._pool_of: dict[MachineId, MachinePool] = {}
        self._machines_of_group: dict[str, set[MachineId]] = {}
        self._changed: dict[str, None] = dict.fromkeys(cache.groups)
        cache.listeners.append(self._on_key_change)

    def _on_key_change(self, key: str) -> None:
        if key.startswith(MACHINES):
            self._changed[key[len(MACHINES) :]] = None

    def refresh(self) -> None:
        """Update the index from the machine groups that have changed."""
        changed, self._changed = self._changed, {}
        for group_name in changed:
            group = self._cache.groups.get(group_name)
            before = self._machines_of_group.pop(group_name, set())
            after = {MachineId(m) for m in group.machines} if group is not None else set()
            if after:
                self._machines_of_group[group_name] = after
            for machine in before | after:
                self._update_machine(machine)

    def _update_machine(self, machine: MachineId) -> None:
        record = self._cache.machines.get(machine)
        self._update_shard_count(machine, record.shard if record is not None else None)
        pool = None
        if record is not None and not record.terminating:
            pool = MachinePool(record.shard, record.type)
        old = self._pool_of.get(machine)
        if old == pool:
            return
        if old is not None:
            del self._machines[old][machine]
            del self._pool_of[machine]
            if not self._machines[old]:
                del self._machines[old]
        if pool is not None:
            self._machines.setdefault(pool, {})[machine] = None
            self._pool_of[machine] = pool

    def _update_shard_count(self, machine: MachineId, shard: ShardName | None) -> None:
        old = self._shard_of.pop(machine, None)
        if old is not None:
            self._shard_counts[old] -= 1
        if shard is not None:
            self._shard_of[machine] = shard
            self._shard_counts[shard] += 1

    def has_any(self, shard: ShardName) -> bool:
        """Whether any machine, including terminating ones, is recorded in a shard."""
        return self._shard_counts[shard] > 0

    def counts(self) -> Iterator[tuple[MachinePool, int]]:
        """The number of machines of each type in each shard, without zero counts."""
        for pool, machines in self._machines.items():
            yield pool, len(machines)

    def count(self, shard: str, type_: str) -> int:
        """The number of machines of a type in a shard."""
        return len(self._machines.get(MachinePool(ShardName(shard), type_), ()))

    def machines(self, shard: str, type_: str) -> KeysView[MachineId]:
        """The machines of a type in a shard."""
        empty: dict[MachineId, None] = {}
        return self._machines.get(MachinePool(ShardName(shard), type_), empty).keys()
