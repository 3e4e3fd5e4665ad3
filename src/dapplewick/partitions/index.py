"""Machines by part and type, brought up to date by the records that changed.

A pass over shares looks at the machines that move, not at all that there are.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, KeysView
from typing import NamedTuple

from dapplewick.storage.keys import MACHINES
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import MachineId, ShardName


class Kind(NamedTuple):
    """Machines of a type that one part schedules."""

    shard: ShardName
    type: str


class MachineIndex:
    """Which machines each part has of each type; those that are to be deleted are left out."""

    def __init__(self, cache: WatchCache) -> None:
        self._cache = cache
        self._machines: dict[Kind, dict[MachineId, None]] = {}
        self._shard_of: dict[MachineId, ShardName] = {}  # of those to be deleted, too
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
        for name in changed:
            group = self._cache.groups.get(name)
            before = self._in_group.pop(name, set())
            after = {MachineId(m) for m in group.machines} if group is not None else set()
            if after:
                self._in_group[name] = after
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
        """Whether any machine is recorded in a part, also one that is to be deleted."""
        return self._in_shard[shard] > 0

    def kinds(self) -> Iterator[tuple[Kind, int]]:
        """Every kind of which there are machines, and how many."""
        for kind, machines in self._machines.items():
            yield kind, len(machines)

    def count(self, shard: str, type_: str) -> int:
        """How many machines of a type a part has."""
        return len(self._machines.get(Kind(ShardName(shard), type_), ()))

    def machines(self, shard: str, type_: str) -> KeysView[MachineId]:
        """The machines of a type that a part has."""
        empty: dict[MachineId, None] = {}
        return self._machines.get(Kind(ShardName(shard), type_), empty).keys()
