"""Machines in the watch cache, derived from the records of their groups."""

from __future__ import annotations

from typing import Any

import msgspec

from dapplewick.storage.machine_records import MachineGroupRecord, MachineRecord
from dapplewick.types import MachineId


class MachineGroupTable:
    """All machine groups, and each machine as described by the newest group that lists it.

    Each machine whose record or group changes is appended to `changed_machines`.

    Attributes:
        groups: the groups' records, by name.
        machines: the machines' records.
        group_of: the newest group that lists each machine, whose record takes precedence.
    """

    def __init__(self, changed_machines: list[MachineId]) -> None:
        self.groups: dict[str, MachineGroupRecord] = {}
        self.machines: dict[MachineId, MachineRecord] = {}
        self.group_of: dict[MachineId, str] = {}
        self._groups_listing: dict[MachineId, set[str]] = {}
        self._versions: dict[str, int] = {}
        self._changed_machines = changed_machines

    def put(self, name: str, value: Any, version: int) -> None:
        """Store a group's record, and update its machines."""
        group = msgspec.convert(value, type=MachineGroupRecord)
        old = self.groups.pop(name, None)
        self.groups[name] = group
        self._versions[name] = version
        self._update(name, old, group)

    def remove(self, name: str) -> None:
        """Remove a group's record, and update its machines."""
        old = self.groups.pop(name, None)
        self._versions.pop(name, None)
        self._update(name, old, None)

    def is_in_one_group(self, machine: MachineId) -> bool:
        """Whether exactly one group lists a machine; two do while an oversized group is split."""
        return len(self._groups_listing.get(machine, ())) == 1

    def _update(
        self, name: str, old: MachineGroupRecord | None, new: MachineGroupRecord | None
    ) -> None:
        """Update the machines after a group's record was changed or removed.

        While an oversized group is split, a machine may be listed by two groups. The newer record
        takes precedence, independent of the order in which the records are read.
        """
        before = old.machines if old is not None else {}
        after = new.machines if new is not None else {}
        is_moved = (
            old is not None
            and new is not None
            and (old.partition, old.min_tokens) != (new.partition, new.min_tokens)
        )
        for text in {**before, **after}:
            machine = MachineId(text)
            is_same = before.get(text) == after.get(text) and not is_moved
            if is_same and self.group_of.get(machine) == name:
                continue
            listing = self._groups_listing.setdefault(machine, set())
            if text in after:
                listing.add(name)
            else:
                listing.discard(name)
            self._resolve(machine, listing)

    def _resolve(self, machine: MachineId, listing: set[str]) -> None:
        """Update a machine from the newest group that lists it."""
        record: MachineRecord | None = None
        if listing:
            newest = max(listing, key=self._versions.__getitem__)
            self.group_of[machine] = newest
            record = self.groups[newest].record(machine)
        else:
            del self._groups_listing[machine]
            self.group_of.pop(machine, None)
        if record == self.machines.get(machine):
            return
        if record is None:
            del self.machines[machine]
        else:
            self.machines[machine] = record
        self._changed_machines.append(machine)
