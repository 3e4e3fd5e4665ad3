"""Machines by shard and type, brought up to date by the records that changed.

A pass over partitions looks at the machines that move, not at all that there are.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, KeysView
from typing import NamedTuple

from dapplewick.storage.keys import MACHINES
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import MachineId, ShardName


class Kind(NamedTuple):
    """Machines of a type that one shard schedules."""

    shard: ShardName
    type: str


class MachineIndex:
    """Which machines each shard has of each type; terminating ones are left out."""

    def __init__(self, cache: WatchCache) -> None:
        self._cache = cache
        self._machines: dict[Kind, dict[MachineId, None]] = {}
        self._shard_of: dict[MachineId, ShardName] = {}  # of terminating ones, too
        self._in_shard: Counter[ShardName] = Counter()
        self._kind_of: dict[MachineId, Kind] = {}
        self._in_group: dict[str, set[MachineId]] = {}
        self._changed: dict[str, None] = dict.fromkeys(cache.groups)
        cache.listeners.append(self._on_key)

    def _on_key(self, key: str) -> None:
        if key.startswith(MACHINES):
            self._changed[key[len(MACHINES) :]] = None

    def refresh(self) -> None:
        """Take over the groups of machines that have changed."""
        changed, self._changed = self._changed, {}
        for group_name in changed:
            group = self._cache.groups.get(group_name)
            before = self._in_group.pop(group_name, set())
            after = {MachineId(m) for m in group.machines} if group is not None else set()
            if after:
                self._in_group[group_name] = after
            for machine in before | after:
                self._place(machine)

    def _place(self, machine: MachineId) -> None:
        record = self._cache.machines.get(machine)
        self._count(machine, record.shard if record is not None else None)
        kind = None
        if record is not None and not record.terminating:
            kind = Kind(record.shard, record.type)
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

    def _count(self, machine: MachineId, shard: ShardName | None) -> None:
        old = self._shard_of.pop(machine, None)
        if old is not None:
            self._in_shard[old] -= 1
        if shard is not None:
            self._shard_of[machine] = shard
            self._in_shard[shard] += 1

    def has_any(self, shard: ShardName) -> bool:
        """Whether any machine is recorded in a shard, also a terminating one."""
        return self._in_shard[shard] > 0

    def kinds(self) -> Iterator[tuple[Kind, int]]:
        """Every kind of which there are machines, and how many."""
        for kind, machines in self._machines.items():
            yield kind, len(machines)

    def count(self, shard: str, type_: str) -> int:
        """How many machines of a type a shard has."""
        return len(self._machines.get(Kind(ShardName(shard), type_), ()))

    def machines(self, shard: str, type_: str) -> KeysView[MachineId]:
        """The machines of a type that a shard has."""
        empty: dict[MachineId, None] = {}
        return self._machines.get(Kind(ShardName(shard), type_), empty).keys()
