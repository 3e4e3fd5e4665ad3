"""Drafts of the records of machine groups, within what a value of the state service may hold.

Machines of one type in one zone are kept in one record, a group: a write for each change of each
machine would use up the state service's request budget.
"""

from __future__ import annotations

import logging
from collections.abc import Container, Iterable, Mapping
from typing import NamedTuple

import msgspec

from dapplewick.storage.conditional_write import ConditionalWrite
from dapplewick.storage.formats import CURRENT_FORMAT
from dapplewick.storage.keys import MACHINES
from dapplewick.storage.machine_records import BOOTING, MachineGroupRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.storage.write_priority import WritePriority
from dapplewick.types import MachineId, Seconds

log = logging.getLogger(__name__)

MOST_MACHINES = 150  # in a group, where a value may hold as many
GROUP_BYTES = 200  # of a record, beside its machines
STATE_BYTES = 18  # of each machine, beside its name
FLOOR_BYTES = 18  # of the floor of each, beside its name
SHORTEST_NAME = 10  # characters that are reckoned with for a machine of a group without any


class GroupKind(NamedTuple):
    """What all machines of a group have in common."""

    machine_type: str
    zone: str
    spot: bool
    partition: str = ""

    @classmethod
    def of(cls, group: MachineGroupRecord) -> GroupKind:
        """The kind of a recorded group."""
        return cls(group.type, group.zone, group.spot, group.partition)


class GroupDraft(NamedTuple):
    """A group's next record, and the most urgent of the reasons to write it."""

    group: MachineGroupRecord
    priority: WritePriority


class GroupLimits:
    """How many machines a group may have so that its record fits into a value."""

    def __init__(self, value_bytes: int) -> None:
        self._value_bytes = value_bytes

    def most_machines(self, machines: Iterable[str], with_floors: bool = False) -> int:
        """How many machines with names like these a record may hold, perhaps with floors."""
        longest = max((len(machine) for machine in machines), default=SHORTEST_NAME)
        each = longest + STATE_BYTES
        if with_floors:
            each += longest + FLOOR_BYTES
        return max(1, min(MOST_MACHINES, (self._value_bytes - GROUP_BYTES) // each))

    def is_oversized(self, group: MachineGroupRecord) -> bool:
        """Whether a group has more machines than the lower limit lets a value hold."""
        return len(group.machines) > self.most_machines(group.machines, bool(group.min_tokens))

    def pieces(self, group: MachineGroupRecord, machines: list[str]) -> list[MachineGroupRecord]:
        """These machines of a group, in as many groups as they need."""
        most = self.most_machines(machines, bool(group.min_tokens))
        return [
            _piece(group, machines[first : first + most]) for first in range(0, len(machines), most)
        ]


class GroupSplitter:
    """Splits groups that were written when a value could hold more, one in each pass.

    Where the pieces fit into one transaction, the group is split at once. A larger one can't be
    rewritten in part once the limit has fallen, so its machines are copied to new groups first; the
    group is removed when each of them is in a newer one. In between the newer record of a machine
    counts (`WatchCache`), so a change of leader on the way loses nothing.
    """

    def __init__(self, cache: WatchCache, limits: GroupLimits, txn_ops: int) -> None:
        self._cache = cache
        self._limits = limits
        self._txn_ops = txn_ops
        self._oversized: dict[str, tuple[MachineGroupRecord, bool]] = {}  # memo, by stored record
        self.name: str | None = None  # the group that is split in this pass

    def begin(self) -> None:
        """Choose the group that is split in this pass, if any is too large."""
        self.name = None
        if self._cache.format >= CURRENT_FORMAT:
            oversized = (name for name in self._cache.groups if self._is_oversized(name))
            self.name = next(oversized, None)

    def changes(self, drafts: Mapping[str, GroupDraft]) -> list[ConditionalWrite]:
        """The writes of this pass for the group that is split."""
        name = self.name
        if name is None:
            return []
        draft = drafts.get(name)
        stored = self._cache.groups[name]
        group = draft.group if draft is not None else stored
        pieces = self._limits.pieces(group, list(group.machines))
        if not pieces:
            return [self._removal(name)]
        if len(pieces) <= self._txn_ops:
            names = [name, *self._free_names(name, len(pieces) - 1, drafts)]
            return [
                self._put(piece_name, piece, transaction_group=name)
                for piece_name, piece in zip(names, pieces, strict=True)
            ]
        left = [m for m in stored.machines if self._cache.group_of.get(MachineId(m)) == name]
        if not left:
            log.info("event=machine_group_split group=%s", name)
            return [self._removal(name)]
        pieces = self._limits.pieces(stored, left)
        names = self._free_names(name, len(pieces), drafts)
        return [
            self._put(piece_name, piece) for piece_name, piece in zip(names, pieces, strict=True)
        ]

    def _is_oversized(self, name: str) -> bool:
        """Whether a stored group is too large. A pass asks of all of them, and few change."""
        group = self._cache.groups[name]
        known = self._oversized.get(name)
        if known is None or known[0] is not group:
            known = self._oversized[name] = (group, self._limits.is_oversized(group))
        return known[1]

    def _free_names(self, name: str, count: int, drafts: Container[str]) -> list[str]:
        return free_group_names(name, count, self._cache.groups, drafts)

    def _put(
        self, name: str, group: MachineGroupRecord, transaction_group: str = ""
    ) -> ConditionalWrite:
        key = MACHINES + name
        return ConditionalWrite(
            key,
            msgspec.to_builtins(group),
            self._cache.version(key),
            WritePriority.URGENT,
            transaction_group=transaction_group,
        )

    def _removal(self, name: str) -> ConditionalWrite:
        key = MACHINES + name
        return ConditionalWrite(key, None, self._cache.version(key), WritePriority.URGENT)


class MachineGroupDrafts:
    """What a pass has decided on the groups of machines, as writes."""

    def __init__(self, cache: WatchCache, value_bytes: int, txn_ops: int) -> None:
        self._cache = cache
        self._limits = GroupLimits(value_bytes)
        self._splitter = GroupSplitter(cache, self._limits, txn_ops)
        self._drafts: dict[str, GroupDraft] = {}
        # Drafted groups that are written in one transaction, and its name.
        self._transaction_groups: dict[str, str] = {}

    def begin(self) -> None:
        """Start a pass: forget the drafts, and choose the next oversized group to split."""
        self._drafts.clear()
        self._transaction_groups.clear()
        self._splitter.begin()

    def changes(self) -> list[ConditionalWrite]:
        """The writes for all drafts but the moved ones, and for the group that is being split."""
        changes = []
        for name, draft in self._drafts.items():
            if name == self._splitter.name or name in self._transaction_groups:
                continue
            if self._cache.format >= CURRENT_FORMAT and self._limits.is_oversized(draft.group):
                continue  # it is split in one of the next passes
            changes.append(self._change(name))
        return changes + self._splitter.changes(self._drafts)

    def moves(self, transaction_group: str) -> list[ConditionalWrite]:
        """The writes of the groups that are drafted together under this name, in one row."""
        return [
            self._change(name, transaction_group)
            for name, group in self._transaction_groups.items()
            if group == transaction_group
        ]

    def set_state(self, machine_id: MachineId, state: str, priority: WritePriority) -> None:
        """Draft the state of a machine."""
        self._edit(self._cache.group_of[machine_id], priority).machines[machine_id] = state

    def remove(self, machine_id: MachineId, priority: WritePriority) -> None:
        """Draft that a machine's group does not list it any more."""
        group = self._edit(self._cache.group_of[machine_id], priority)
        group.machines.pop(machine_id, None)
        group.min_tokens.pop(machine_id, None)

    def add(
        self,
        machines: list[MachineId],
        kind: GroupKind,
        wall_time: Seconds,
        name: str,
        priority: WritePriority,
    ) -> None:
        """Draft new machines: into a group of their kind that has space, else into a new one.

        Args:
            machines: The machines; they boot.
            kind: The kind of all of them.
            wall_time: When they were provisioned, by the wall clock.
            name: The name of a new group; others are derived of it if that is taken, or if the
                machines need several.
            priority: The rank of the writes.
        """
        most = self._limits.most_machines(machines)
        if len(machines) > most:
            for n, first in enumerate(range(0, len(machines), most)):
                some = machines[first : first + most]
                self.add(some, kind, wall_time, f"{name}.{n}" if n else name, priority)
            return
        states: dict[str, str] = dict.fromkeys(machines, f"{BOOTING}{wall_time:.0f}")
        known = self._group_with_space(kind, most - len(machines))
        if known is not None:
            self._edit(known, priority).machines.update(states)
            return
        if name in self._cache.groups or name in self._drafts:
            # Some machines of this provisioning request may be recorded already.
            (name,) = self._free_names(name, 1)
        group = MachineGroupRecord(
            type=kind.machine_type, zone=kind.zone, spot=kind.spot, machines=states
        )
        self._drafts[name] = GroupDraft(group, priority)

    def move(
        self, floors: Mapping[MachineId, int], partition: str, transaction_group: str
    ) -> list[MachineId]:
        """Draft that machines of one group go over to another partition.

        They leave their group and join one of that partition in the same transaction, so that at
        each revision each is in exactly one.

        Args:
            floors: The machines, each with the least fencing token for its worker from then on.
            partition: The partition that they go to.
            transaction_group: The name of the transaction, for `moves`.

        Returns:
            The machines that do: none if another draft of this pass is in the way, fewer if their
            new group is full.
        """
        name = self._cache.group_of[next(iter(floors))]
        group = self._cache.groups[name]
        # Another group that lists a machine would bring it back to where it came from.
        listed_once = all(self._cache.is_in_one_group(machine) for machine in floors)
        is_busy = name in self._drafts or name == self._splitter.name
        if is_busy or self._limits.is_oversized(group) or not listed_once:
            return []
        most = self._limits.most_machines(floors, with_floors=True)
        kind = GroupKind.of(group)._replace(partition=partition)
        target = self._group_with_space(kind, most - 1)
        if target is None:
            (target,) = self._free_names(name, 1)
            empty = MachineGroupRecord(group.type, group.zone, group.spot, {}, partition=partition)
            self._drafts[target] = GroupDraft(empty, WritePriority.NORMAL)
        elif target in self._drafts or target in (name, self._splitter.name):
            return []
        joined = self._edit(target, WritePriority.NORMAL)
        moved = list(floors)[: most - len(joined.machines)]
        for machine in moved:
            joined.machines[machine] = group.machines[machine]
            joined.min_tokens[machine] = floors[machine]
            group = group.without(machine)
        self._drafts[name] = GroupDraft(group, WritePriority.NORMAL)
        self._transaction_groups[name] = self._transaction_groups[target] = transaction_group
        return moved

    def _edit(self, name: str, priority: WritePriority) -> MachineGroupRecord:
        """The draft of a group, to be changed; it is written with at least this priority."""
        draft = self._drafts.get(name)
        if draft is None:
            old = self._cache.groups[name]
            copy = msgspec.structs.replace(
                old, machines=dict(old.machines), min_tokens=dict(old.min_tokens)
            )
            draft = GroupDraft(copy, priority)
        else:
            draft = GroupDraft(draft.group, min(priority, draft.priority))
        self._drafts[name] = draft
        return draft.group

    def _change(self, name: str, transaction_group: str = "") -> ConditionalWrite:
        """The write of a drafted group; one that has no machines left is removed."""
        group, priority = self._drafts[name]
        key = MACHINES + name
        # All writes of a transaction have the same rank, so that they stay in a row.
        return ConditionalWrite(
            key,
            msgspec.to_builtins(group) if group.machines else None,
            self._cache.version(key),
            WritePriority.NORMAL if transaction_group else priority,
            transaction_group=transaction_group,
        )

    def _group_with_space(self, kind: GroupKind, most: int) -> str | None:
        """A stored group of this kind that has no more than so many machines."""
        for name, group in self._cache.groups.items():
            if GroupKind.of(group) != kind:
                continue
            draft = self._drafts.get(name)
            if len(draft.group.machines if draft is not None else group.machines) <= most:
                return name
        return None

    def _free_names(self, name: str, count: int) -> list[str]:
        return free_group_names(name, count, self._cache.groups, self._drafts)


def free_group_names(
    name: str, count: int, groups: Container[str], drafts: Container[str]
) -> list[str]:
    """Unused names for groups beside this one, which neither a record nor a draft has."""
    names: list[str] = []
    number = 1
    while len(names) < count:
        candidate = f"{name}.{number}"
        if candidate not in groups and candidate not in drafts:
            names.append(candidate)
        number += 1
    return names


def _piece(group: MachineGroupRecord, machines: list[str]) -> MachineGroupRecord:
    """The part of a group's record that tells of these machines."""
    return msgspec.structs.replace(
        group,
        machines={m: group.machines[m] for m in machines},
        min_tokens={m: group.min_tokens[m] for m in machines if m in group.min_tokens},
    )
