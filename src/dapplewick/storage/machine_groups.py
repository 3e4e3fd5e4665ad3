"""Machines as the watch cache reads them from the records of their groups."""

from __future__ import annotations

from typing import Any

import msgspec

from dapplewick.storage.machine_records import MachineGroupRecord, MachineRecord
from dapplewick.types import MachineId


class MachineGroups:
    """All machine groups, and what the newest group that lists a machine says of it.

    Attributes:
        groups: the groups' records, by name.
        machines: the machines.
        group_of: the group whose record counts for each machine.

    Each machine of which something changes is added to the list `changed_machines`.
    """

    def __init__(self, changed_machines: list[MachineId]) -> None:
        self.groups: dict[str, MachineGroupRecord] = {}
        self.machines: dict[MachineId, MachineRecord] = {}
        self.group_of: dict[MachineId, str] = {}
        self._groups_listing: dict[MachineId, set[str]] = {}
        self._versions: dict[str, int] = {}
        self._changed_machines = changed_machines

    def put(self, name: str, value: Any, version: int) -> None:
        """Take over a group's record."""
        group = msgspec.convert(value, type=MachineGroupRecord)
        old = self.groups.pop(name, None)
        self.groups[name] = group
        self._versions[name] = version
        self._update(name, old, group)

    def remove(self, name: str) -> None:
        """A group's record is gone."""
        old = self.groups.pop(name, None)
        self._versions.pop(name, None)
        self._update(name, old, None)

    def is_in_one_group(self, machine: MachineId) -> bool:
        """Whether just one group lists a machine: two do while an oversized one is copied."""
        return len(self._groups_listing.get(machine, ())) == 1

    def _update(
        self, name: str, old: MachineGroupRecord | None, new: MachineGroupRecord | None
    ) -> None:
        """Bring the machines up to date after a group's record has changed or is gone.

        A machine may be listed by two groups while an oversized one is copied: the newer record
        counts, in whatever order they are read.
        """
        before = old.machines if old is not None else {}
        after = new.machines if new is not None else {}
        moved = (
            old is not None
            and new is not None
            and (old.partition, old.min_tokens) != (new.partition, new.min_tokens)
        )
        for text in {**before, **after}:
            machine = MachineId(text)
            is_same = before.get(text) == after.get(text) and not moved
            if is_same and self.group_of.get(machine) == name:
                continue
            listing = self._groups_listing.setdefault(machine, set())
            if text in after:
                listing.add(name)
            else:
                listing.discard(name)
            self._resolve(machine, listing)

    def _resolve(self, machine: MachineId, listing: set[str]) -> None:
        """Take over what the newest group that lists a machine says of it."""
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
