"""Transfers of machines between the partitions of a zone, as the state service keeps them.

A transfer names the machines that it drains. Each is handed over by itself, once it is proven
empty: one transaction moves it to a group of the receiving partition and takes it off the transfer.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from dapplewick.types import MachineId, TransferId

REQUESTED, DRAINING = "requested", "draining"
COMPLETE, CANCELLED, OVERDUE = "complete", "cancelled", "overdue"
STATES = (REQUESTED, DRAINING, COMPLETE, CANCELLED, OVERDUE)
MAX_DRAINING_MACHINES = 60  # of one transfer that are drained at the same time
MAX_TRANSFER_MACHINES = 100_000


class TransferRecord(msgspec.Struct, omit_defaults=True):
    """One move of machines from a shard to another one of the same zone.

    Attributes:
        generation: orders the transfers of a zone: a later one wins over an earlier one.
        source: the shard that gives machines.
        target: the shard that receives them.
        type: their type.
        count: how many are to go over.
        state: one of `STATES`.
        requested_at: when it was requested, in seconds since the epoch.
        overdue_at: when it is overdue if it is not complete: it ends then, and what is
            missing is asked for anew; in seconds since the epoch.
        moved: how many have gone.
        draining: machines that get no new work until they are empty.
        origin: who asked for it: the plan, or an operator.

    Raises:
        ValueError: a field is out of bounds; the text names it.
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
        """Whether machines may still be drained for it."""
        return self.state in (REQUESTED, DRAINING)

    @property
    def missing(self) -> int:
        """How many more machines have to be found for it."""
        return max(0, self.count - self.moved - len(self.draining))


class Transfers:
    """All transfers that are known, and which machine is drained for which of them."""

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
        """Take over a record; gives the machines whose standing may have changed."""
        changed = self.remove(name)
        self._records[name] = record
        if record.open:
            drained = [MachineId(machine) for machine in record.draining]
            self._draining.update(dict.fromkeys(drained, name))
            changed += drained
        return list(dict.fromkeys(changed))

    def remove(self, name: TransferId) -> list[MachineId]:
        """A record is gone; gives the machines that it drained."""
        record = self._records.pop(name, None)
        if record is None:
            return []
        machines = map(MachineId, record.draining)
        changed = [machine for machine in machines if self._draining.get(machine) == name]
        for machine in changed:
            del self._draining[machine]
        return changed

    def draining_transfer(self, machine: MachineId) -> TransferId | None:
        """The transfer for which a machine gets no new work."""
        return self._draining.get(machine)

    def draining_machines(self) -> Iterable[MachineId]:
        """Every machine that gets no new work for a transfer."""
        return self._draining.keys()


class TransferKeys:
    """Takes over changes of the transfers' keys, and notes the machines that they concern."""

    def __init__(self, transfers: Transfers, changed_machines: list[MachineId]) -> None:
        self._transfers = transfers
        self._changed_machines = changed_machines

    def put(self, name: str, value: Any, _version: int) -> None:
        """Take over a transfer's record."""
        record = msgspec.convert(value, type=TransferRecord)
        self._changed_machines += self._transfers.put(TransferId(name), record)

    def remove(self, name: str) -> None:
        """A transfer's record is gone."""
        self._changed_machines += self._transfers.remove(TransferId(name))
