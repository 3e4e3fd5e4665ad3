"""Drafts of machine group records, within the value size limit of the state service.

A group is one record for many machines of one type in one zone. With a record per machine, the
writes for all changes would exceed the state service's request budget.
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

MAX_GROUP_MACHINES = 150  # per group; the value size limit may lower this
GROUP_OVERHEAD_BYTES = 200  # size of an encoded record without its machines
MACHINE_STATE_BYTES = 18  # size of a machine's encoded state, without its name
MIN_TOKEN_BYTES = 18  # size of a machine's encoded minimum token, without its name
DEFAULT_NAME_CHARS = 10  # assumed length of machine names where a group has no machines


class GroupKind(NamedTuple):
    """The properties that all machines of a group share."""

    machine_type: str
    zone: str
    spot: bool
    partition: str = ""

    @classmethod
    def of(cls, group: MachineGroupRecord) -> GroupKind:
        """The kind of a group record."""
        return cls(group.type, group.zone, group.spot, group.partition)


class GroupDraft(NamedTuple):
    """A group's new record, and the most urgent priority of its changes."""

    group: MachineGroupRecord
    priority: WritePriority


class GroupLimits:
    """Limits the number of machines in a group so that its record fits into a stored value."""

    def __init__(self, value_bytes: int) -> None:
        self._value_bytes = value_bytes

    def max_machines(self, machines: Iterable[str], with_min_tokens: bool = False) -> int:
        """The maximum number of machines in a record, given the longest of these names.

        Args:
            machines: The names of the machines.
            with_min_tokens: Whether the record also holds each machine's minimum fencing token.
        """
        longest_name = max((len(machine) for machine in machines), default=DEFAULT_NAME_CHARS)
        machine_bytes = longest_name + MACHINE_STATE_BYTES
        if with_min_tokens:
            machine_bytes += longest_name + MIN_TOKEN_BYTES
        return max(
            1, min(MAX_GROUP_MACHINES, (self._value_bytes - GROUP_OVERHEAD_BYTES) // machine_bytes)
        )

    def is_oversized(self, group: MachineGroupRecord) -> bool:
        """Whether a group has too many machines, as after the value size limit was lowered."""
        return len(group.machines) > self.max_machines(group.machines, bool(group.min_tokens))

    def split(self, group: MachineGroupRecord, machines: list[str]) -> list[MachineGroupRecord]:
        """Distribute these machines of a group over as many groups as needed."""
        max_machines = self.max_machines(machines, bool(group.min_tokens))
        return [
            _subset(group, machines[first : first + max_machines])
            for first in range(0, len(machines), max_machines)
        ]


class GroupSplitter:
    """Splits groups that were written under a higher value size limit, one group per pass.

    If the pieces fit into one transaction, the group is split atomically. A larger group cannot be
    rewritten with some of its machines removed, because the result would still exceed the lower
    limit. Its machines are therefore copied to new groups first, and the group is removed once each
    machine is in a newer group. Meanwhile `WatchCache` uses the newer record of a machine, so a
    change of leader in between loses no machine.

    Attributes:
        group_name: The group that is split in this pass; None if no group is too large.
    """

    def __init__(self, cache: WatchCache, limits: GroupLimits, txn_ops: int) -> None:
        self._cache = cache
        self._limits = limits
        self._txn_ops = txn_ops
        # Memoized results of `_is_oversized`, each with the record that was checked.
        self._oversized: dict[str, tuple[MachineGroupRecord, bool]] = {}
        self.group_name: str | None = None

    def begin(self) -> None:
        """Start a pass: choose the group to split, if any is too large."""
        self.group_name = None
        if self._cache.format >= CURRENT_FORMAT:
            oversized = (name for name in self._cache.groups if self._is_oversized(name))
            self.group_name = next(oversized, None)

    def changes(self, drafts: Mapping[str, GroupDraft]) -> list[ConditionalWrite]:
        """The writes of this pass for the group that is being split.

        Args:
            drafts: The drafted groups of this pass, by name.
        """
        name = self.group_name
        if name is None:
            return []
        draft = drafts.get(name)
        stored = self._cache.groups[name]
        group = draft.group if draft is not None else stored
        pieces = self._limits.split(group, list(group.machines))
        if not pieces:
            return [self._removal_write(name)]
        if len(pieces) <= self._txn_ops:
            names = [name, *self._free_names(name, len(pieces) - 1, drafts)]
            return [
                self._group_write(piece_name, piece, transaction_group=name)
                for piece_name, piece in zip(names, pieces, strict=True)
            ]
        remaining = [m for m in stored.machines if self._cache.group_of.get(MachineId(m)) == name]
        if not remaining:
            log.info("event=machine_group_split group=%s", name)
            return [self._removal_write(name)]
        pieces = self._limits.split(stored, remaining)
        names = self._free_names(name, len(pieces), drafts)
        return [
            self._group_write(piece_name, piece)
            for piece_name, piece in zip(names, pieces, strict=True)
        ]

    def _is_oversized(self, name: str) -> bool:
        """Whether a stored group is too large; memoized, as each pass checks all groups."""
        group = self._cache.groups[name]
        known = self._oversized.get(name)
        if known is None or known[0] is not group:
            known = self._oversized[name] = (group, self._limits.is_oversized(group))
        return known[1]

    def _free_names(self, name: str, count: int, drafts: Container[str]) -> list[str]:
        return free_group_names(name, count, self._cache.groups, drafts)

    def _group_write(
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

    def _removal_write(self, name: str) -> ConditionalWrite:
        key = MACHINES + name
        return ConditionalWrite(key, None, self._cache.version(key), WritePriority.URGENT)


class MachineGroupDrafts:
    """The changes to machine groups decided in a planning pass, and their writes."""

    def __init__(self, cache: WatchCache, value_bytes: int, txn_ops: int) -> None:
        self._cache = cache
        self._limits = GroupLimits(value_bytes)
        self._splitter = GroupSplitter(cache, self._limits, txn_ops)
        self._drafts: dict[str, GroupDraft] = {}
        # The transaction group of each drafted group that is written in a transaction.
        self._transaction_groups: dict[str, str] = {}

    def begin(self) -> None:
        """Start a pass: discard the drafts, and choose the next oversized group to split."""
        self._drafts.clear()
        self._transaction_groups.clear()
        self._splitter.begin()

    def changes(self) -> list[ConditionalWrite]:
        """The writes for all drafts except moves, and for the group that is being split."""
        changes = []
        for name, draft in self._drafts.items():
            if name == self._splitter.group_name or name in self._transaction_groups:
                continue
            if self._cache.format >= CURRENT_FORMAT and self._limits.is_oversized(draft.group):
                continue  # to be split in a later pass
            changes.append(self._draft_write(name))
        return changes + self._splitter.changes(self._drafts)

    def moves(self, transaction_group: str) -> list[ConditionalWrite]:
        """The consecutive writes of the drafts that belong to this transaction group."""
        return [
            self._draft_write(name, transaction_group)
            for name, group in self._transaction_groups.items()
            if group == transaction_group
        ]

    def set_state(self, machine_id: MachineId, state: str, priority: WritePriority) -> None:
        """Draft the state of a machine."""
        self._edit(self._cache.group_of[machine_id], priority).machines[machine_id] = state

    def remove(self, machine_id: MachineId, priority: WritePriority) -> None:
        """Draft the removal of a machine from its group."""
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
        """Draft new machines in a group of their kind that has space, or else in a new group.

        Args:
            machines: The machines, which are booting.
            kind: The kind of all these machines.
            wall_time: When the machines were provisioned, by the wall clock.
            name: The name of a new group. Other names are derived from it if it is in use or if
                the machines need several groups.
            priority: The priority of the writes.
        """
        max_machines = self._limits.max_machines(machines)
        if len(machines) > max_machines:
            for n, first in enumerate(range(0, len(machines), max_machines)):
                chunk = machines[first : first + max_machines]
                self.add(chunk, kind, wall_time, f"{name}.{n}" if n else name, priority)
            return
        states: dict[str, str] = dict.fromkeys(machines, f"{BOOTING}{wall_time:.0f}")
        known = self._group_with_space(kind, max_machines - len(machines))
        if known is not None:
            self._edit(known, priority).machines.update(states)
            return
        if name in self._cache.groups or name in self._drafts:
            # The name is in use if machines of the same provisioning request are already recorded.
            (name,) = self._free_names(name, 1)
        group = MachineGroupRecord(
            type=kind.machine_type, zone=kind.zone, spot=kind.spot, machines=states
        )
        self._drafts[name] = GroupDraft(group, priority)

    def move(
        self, min_tokens: Mapping[MachineId, int], partition: str, transaction_group: str
    ) -> list[MachineId]:
        """Draft the move of machines of one group to another partition.

        The machines leave their group and join a group of the partition in one transaction, so
        that each machine is in exactly one group at every revision.

        Args:
            min_tokens: The machines, each with the minimum fencing token that commands to its
                worker must carry after the move.
            partition: The partition to move the machines to.
            transaction_group: The name of the transaction, for `moves`.

        Returns:
            The machines that are moved: none if another draft of this pass changes one of the
            groups, and only some if the new group becomes full.
        """
        name = self._cache.group_of[next(iter(min_tokens))]
        group = self._cache.groups[name]
        # If another group also lists a machine, its record would undo the move.
        listed_once = all(self._cache.is_in_one_group(machine) for machine in min_tokens)
        is_busy = name in self._drafts or name == self._splitter.group_name
        if is_busy or self._limits.is_oversized(group) or not listed_once:
            return []
        max_machines = self._limits.max_machines(min_tokens, with_min_tokens=True)
        kind = GroupKind.of(group)._replace(partition=partition)
        target_name = self._group_with_space(kind, max_machines - 1)
        if target_name is None:
            (target_name,) = self._free_names(name, 1)
            empty = MachineGroupRecord(group.type, group.zone, group.spot, {}, partition=partition)
            self._drafts[target_name] = GroupDraft(empty, WritePriority.NORMAL)
        elif target_name in self._drafts or target_name in (name, self._splitter.group_name):
            return []
        target_group = self._edit(target_name, WritePriority.NORMAL)
        moved = list(min_tokens)[: max_machines - len(target_group.machines)]
        for machine in moved:
            target_group.machines[machine] = group.machines[machine]
            target_group.min_tokens[machine] = min_tokens[machine]
            group = group.without(machine)
        self._drafts[name] = GroupDraft(group, WritePriority.NORMAL)
        self._transaction_groups[name] = self._transaction_groups[target_name] = transaction_group
        return moved

    def _edit(self, name: str, priority: WritePriority) -> MachineGroupRecord:
        """The draft of a group for changes, which is written with at least this priority."""
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

    def _draft_write(self, name: str, transaction_group: str = "") -> ConditionalWrite:
        """The write of a drafted group, or its removal if the draft has no machines."""
        group, priority = self._drafts[name]
        key = MACHINES + name
        # All writes of a transaction have the same priority, so that they stay consecutive.
        return ConditionalWrite(
            key,
            msgspec.to_builtins(group) if group.machines else None,
            self._cache.version(key),
            WritePriority.NORMAL if transaction_group else priority,
            transaction_group=transaction_group,
        )

    def _group_with_space(self, kind: GroupKind, max_existing: int) -> str | None:
        """A stored group of this kind with at most `max_existing` machines, or None."""
        for name, group in self._cache.groups.items():
            if GroupKind.of(group) != kind:
                continue
            draft = self._drafts.get(name)
            if len(draft.group.machines if draft is not None else group.machines) <= max_existing:
                return name
        return None

    def _free_names(self, name: str, count: int) -> list[str]:
        return free_group_names(name, count, self._cache.groups, self._drafts)


def free_group_names(
    name: str, count: int, groups: Container[str], drafts: Container[str]
) -> list[str]:
    """New group names derived from this one that neither a record nor a draft uses."""
    names: list[str] = []
    suffix = 1
    while len(names) < count:
        candidate = f"{name}.{suffix}"
        if candidate not in groups and candidate not in drafts:
            names.append(candidate)
        suffix += 1
    return names


def _subset(group: MachineGroupRecord, machines: list[str]) -> MachineGroupRecord:
    """A group's record reduced to these machines."""
    return msgspec.structs.replace(
        group,
        machines={m: group.machines[m] for m in machines},
        min_tokens={m: group.min_tokens[m] for m in machines if m in group.min_tokens},
    )
