"""Transfers between partitions as one pass of the leader drafts them, and the writes of the drafts.

A draft is a transfer record that the pass has changed and that is not stored yet. Drafts that hold
only together carry the name of a transaction group: all of them are written, or none.
"""

from __future__ import annotations

import logging
from typing import NamedTuple

import msgspec

from dapplewick.storage.conditional_write import ConditionalWrite
from dapplewick.storage.keys import TRANSFERS
from dapplewick.storage.transfers import CANCELLED, COMPLETE, TransferRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.storage.write_priority import WritePriority
from dapplewick.types import TransferId

log = logging.getLogger(__name__)

# The least number of operations that a transaction of the state service may be limited to.
MAX_GROUPED_DRAFTS = 4

# The origins of a transfer: the plan, an operator, or the rest of an operator's that was overdue.
PLAN, OPERATOR, AGAIN = "plan", "operator", "again"


class TransferCommand(NamedTuple):
    """An operator's move or cancellation, to be written in the next pass."""

    transfer: TransferId
    record: TransferRecord | None  # None: the transfer is to be cancelled


class TransferDrafts:
    """The transfers that are stored, with those that the present pass has changed over them."""

    def __init__(self, cache: WatchCache) -> None:
        self._cache = cache
        self._newest_generation = 0
        self._drafts: dict[TransferId, TransferRecord] = {}
        self._transaction_groups: dict[TransferId, str] = {}

    def begin_pass(self) -> None:
        """Forget the drafts of the last pass, and take note of the generations that are stored."""
        self._drafts = {}
        self._transaction_groups = {}
        generations = [record.generation for record in self._cache.transfers.records.values()]
        self._newest_generation = max([self._newest_generation, *generations])

    @property
    def coming_generation(self) -> int:
        """The generation that the next new transfer gets."""
        return self._newest_generation + 1

    def record(self, transfer: TransferId) -> TransferRecord | None:
        """A transfer's draft, else its stored record; None if there is neither."""
        return self._drafts.get(transfer) or self._cache.transfers.records.get(transfer)

    def records(self) -> dict[TransferId, TransferRecord]:
        """All transfers, those of this pass included."""
        return {**self._cache.transfers.records, **self._drafts}

    def open_records(self) -> dict[TransferId, TransferRecord]:
        """The transfers that have not ended, those of this pass included."""
        return {name: record for name, record in self.records().items() if record.open}

    def is_drafted(self, transfer: TransferId) -> bool:
        """Whether this pass has changed a transfer."""
        return transfer in self._drafts

    def update(self, transfer: TransferId, **fields: object) -> None:
        """Draft a transfer with some fields changed."""
        record = self.record(transfer)
        assert record is not None
        self._drafts[transfer] = msgspec.structs.replace(record, **fields)

    def cancel(self, transfer: TransferId, reason: str) -> None:
        """Draft the end of a transfer; machines that have moved stay where they are."""
        self.update(transfer, state=CANCELLED, draining=[])
        log.info(
            "event=transfer_cancelled transfer=%s reason=%s", transfer, reason.replace(" ", "_")
        )

    def request(self, transfer: TransferId, record: TransferRecord) -> None:
        """Draft a new transfer.

        It wins over an earlier one in the opposite direction, which ends: what that had not moved
        yet counts as moved back.
        """
        for name, other in self.open_records().items():
            opposite = (other.source, other.target) == (record.target, record.source)
            groupable = len(self._transaction_groups) < MAX_GROUPED_DRAFTS
            if opposite and other.type == record.type and groupable:
                self.cancel(name, "a later move the other way")
                # Both or neither: else what has not moved would be counted as moved back, and go.
                self.group((name, transfer), f"request/{transfer}")
                back = min(other.count - other.moved, record.count - record.moved)
                record = msgspec.structs.replace(record, moved=record.moved + back)
        if record.moved >= record.count:
            record = msgspec.structs.replace(record, state=COMPLETE)
        self._newest_generation += 1
        generation = self._newest_generation
        self._drafts[transfer] = msgspec.structs.replace(record, generation=generation)
        log.info(
            "event=transfer_requested transfer=%s generation=%d source=%s target=%s type=%s "
            "count=%d origin=%s",
            transfer,
            generation,
            record.source,
            record.target,
            record.type,
            record.count,
            record.origin,
        )

    # Transaction groups

    def group(self, transfers: tuple[TransferId, ...], group_name: str) -> None:
        """Have the drafts of some transfers written in one transaction."""
        self._transaction_groups.update(dict.fromkeys(transfers, group_name))

    def group_with_successor(self, transfer: TransferId, successor: TransferId) -> None:
        """Have a transfer written with its successor, in the successor's group if it has one."""
        group_name = self._transaction_groups.setdefault(successor, f"again/{transfer}")
        self._transaction_groups[transfer] = group_name

    @property
    def has_groups(self) -> bool:
        """Whether any drafts of this pass are written together."""
        return bool(self._transaction_groups)

    # Writes

    def writes(self) -> list[ConditionalWrite]:
        """The writes of all drafts; those of one transaction group stand in a row."""
        writes = [
            self.write(transfer, draft, self._transaction_groups.get(transfer, ""))
            for transfer, draft in self._drafts.items()
        ]
        writes.sort(key=lambda write: write.transaction_group)
        return writes

    def write(
        self, transfer: TransferId, record: TransferRecord, transaction_group_name: str = ""
    ) -> ConditionalWrite:
        """The write of one transfer, on condition that it is stored as this pass read it."""
        key = TRANSFERS + transfer
        return ConditionalWrite(
            key,
            msgspec.to_builtins(record),
            self._cache.version(key),
            WritePriority.NORMAL,
            transaction_group=transaction_group_name,
        )
