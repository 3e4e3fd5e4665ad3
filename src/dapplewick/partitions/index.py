"""An index of machines by shard and type, updated incrementally from changed records.

The cost of a rebalancing pass thus depends on the number of moving machines, not of all machines.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, KeysView
from typing import NamedTuple

from dapplewick.storage.keys import MACHINES
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import MachineId, ShardName


class ShardMachineType(NamedTuple):
    """A key of the index: a machine type in one shard."""

    shard: ShardName
    type: str


class MachineIndex:
    """The machines of each type in each shard, without terminating machines."""

    def __init__(self, cache: WatchCache) -> None:
        self._cache = cache
        self._machines: dict[ShardMachineType, dict[MachineId, None]] = {}
        self._shard_of: dict[MachineId, ShardName] = {}  # includes terminating machines
        self._shard_counts: Counter[ShardName] = Counter()
        self._kind_of: dict[MachineId, ShardMachineType] = {}
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
        kind = None
        if record is not None and not record.terminating:
            kind = ShardMachineType(record.shard, record.type)
        old = self._kind_of.get(machine)
        if old == kind:
            return
        if old is not None:
            del self._machines[old][machine]
            del self._kind_of[machine]
            if not self._machines[old]:
                del self._machines[old]
        if kind is not None:
            self._machines.setdefault(kind, {})[machine] = None
            self._kind_of[machine] = kind

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

    def counts(self) -> Iterator[tuple[ShardMachineType, int]]:
        """The number of machines of each type in each shard, without zero counts."""
        for kind, machines in self._machines.items():
            yield kind, len(machines)

    def count(self, shard: str, type_: str) -> int:
        """The number of machines of a type in a shard."""
        return len(self._machines.get(ShardMachineType(ShardName(shard), type_), ()))

    def machines(self, shard: str, type_: str) -> KeysView[MachineId]:
        """The machines of a type in a shard."""
        empty: dict[MachineId, None] = {}
        return self._machines.get(ShardMachineType(ShardName(shard), type_), empty).keys()
