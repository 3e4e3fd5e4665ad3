"""Records of transfers of machines between the partitions of a zone.

A transfer lists the machines that it drains. Each machine is handed over separately once it is
proven to be empty: one transaction moves the machine to a group of the receiving partition and
removes it from the transfer.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from dapplewick.types import MachineId, TransferId

REQUESTED, DRAINING = "requested", "draining"
COMPLETE, CANCELLED, OVERDUE = "complete", "cancelled", "overdue"
STATES = (REQUESTED, DRAINING, COMPLETE, CANCELLED, OVERDUE)
MAX_DRAINING_MACHINES = 60  # of one transfer at the same time
MAX_TRANSFER_MACHINES = 100_000


class TransferRecord(msgspec.Struct, omit_defaults=True):
    """A transfer of machines from one shard to another in the same zone.

    Attributes:
        generation: orders the transfers of a zone; a later one has precedence.
        source: the shard that releases machines.
        target: the shard that receives them.
        type: the machines' type.
        count: the number of machines to transfer.
        state: one of `STATES`.
        requested_at: when the transfer was requested, in seconds since the Unix epoch.
        overdue_at: when an incomplete transfer ends as overdue, and the remaining machines are
            requested again; in seconds since the Unix epoch.
        moved: the number of machines transferred so far.
        draining: machines that get no new work until they are empty.
        origin: who requested the transfer: the plan or an operator.

    Raises:
        ValueError: a field is out of bounds; the message names the field.
    """

    generation: int
    source: str
    target: str
    type: str
    count: int
    state: str
    requested_at: float = msgspec.field(name="at")
    overdue_at: float = msgspec.field(name="until")
    moved: int = 0
    draining: list[str] = []
    origin: str = "plan"

    def __post_init__(self) -> None:
        if self.state not in STATES:
            raise ValueError(f"state: unknown: {self.state!r}")
        if self.source == self.target:
            raise ValueError("target: the same part as source")
        if not 0 < self.count <= MAX_TRANSFER_MACHINES:
            raise ValueError(f"count: must be from 1 to {MAX_TRANSFER_MACHINES}")
        if self.moved < 0 or len(self.draining) > MAX_DRAINING_MACHINES:
            raise ValueError("draining: more machines than a transfer may drain")
        if len(set(self.draining)) < len(self.draining):
            raise ValueError("draining: a machine is named twice")

    @property
    def open(self) -> bool:
        """Whether the transfer may still drain machines."""
        return self.state in (REQUESTED, DRAINING)

    @property
    def unselected_count(self) -> int:
        """The number of machines that remain to be selected."""
        return max(0, self.count - self.moved - len(self.draining))


class TransferTable:
    """All transfers, and the transfer for which each machine is drained."""

    def __init__(self) -> None:
        self._records: dict[TransferId, TransferRecord] = {}
        self._draining: dict[MachineId, TransferId] = {}

    def __bool__(self) -> bool:
        return bool(self._records)

    @property
    def records(self) -> Mapping[TransferId, TransferRecord]:
        """All transfers, by name."""
        return self._records

    def put(self, name: TransferId, record: TransferRecord) -> list[MachineId]:
        """Store a transfer.

        Returns:
            The machines that are or were drained for the transfer.
        """
        changed = self.remove(name)
        self._records[name] = record
        if record.open:
            drained = [MachineId(machine) for machine in record.draining]
            self._draining.update(dict.fromkeys(drained, name))
            changed += drained
        return list(dict.fromkeys(changed))

    def remove(self, name: TransferId) -> list[MachineId]:
        """Remove a transfer.

        Returns:
            The machines that were drained for the transfer.
        """
        record = self._records.pop(name, None)
        if record is None:
            return []
        machines = map(MachineId, record.draining)
        changed = [machine for machine in machines if self._draining.get(machine) == name]
        for machine in changed:
            del self._draining[machine]
        return changed

    def draining_transfer(self, machine: MachineId) -> TransferId | None:
        """The transfer that drains a machine; None if no transfer does."""
        return self._draining.get(machine)

    def draining_machines(self) -> Iterable[MachineId]:
        """All machines that are drained for a transfer."""
        return self._draining.keys()


class TransferKeyHandler:
    """Applies changes of the transfers' keys, and collects the affected machines."""

    def __init__(self, transfers: TransferTable, changed_machines: list[MachineId]) -> None:
        self._transfers = transfers
        self._changed_machines = changed_machines

    def put(self, name: str, value: Any, _version: int) -> None:
        """Decode and store a transfer's record."""
        record = msgspec.convert(value, type=TransferRecord)
        self._changed_machines += self._transfers.put(TransferId(name), record)

    def remove(self, name: str) -> None:
        """Remove a transfer's record."""
        self._changed_machines += self._transfers.remove(TransferId(name))
