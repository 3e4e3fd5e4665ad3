"""Drafts of transfers between partitions in a pass of the leader, and the writes of the drafts.

A draft is a transfer record that the pass has changed and that is not stored yet. Drafts that must
be written atomically have the same transaction group.
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

# The lowest limit that the state service may set on the operations of a transaction.
MAX_GROUPED_DRAFTS = 4

# The origins of a transfer: the plan, an operator, or the retry of an operator's overdue transfer.
ORIGIN_PLAN, ORIGIN_OPERATOR, ORIGIN_RETRY = "plan", "operator", "again"


class TransferCommand(NamedTuple):
    """An operator's move or cancellation, to be drafted in the next pass."""

    transfer: TransferId
    record: TransferRecord | None  # None: cancel the transfer


class TransferDrafts:
    """The stored transfers, overlaid with the drafts of the present pass."""

    def __init__(self, cache: WatchCache) -> None:
        self._cache = cache
        self._newest_generation = 0
        self._drafts: dict[TransferId, TransferRecord] = {}
        self._transaction_groups: dict[TransferId, str] = {}

    def begin_pass(self) -> None:
        """Clear the drafts of the previous pass, and find the newest stored generation."""
        self._drafts = {}
        self._transaction_groups = {}
        generations = [record.generation for record in self._cache.transfers.records.values()]
        self._newest_generation = max([self._newest_generation, *generations])

    @property
    def next_generation(self) -> int:
        """The generation of the next new transfer."""
        return self._newest_generation + 1

    def record(self, transfer: TransferId) -> TransferRecord | None:
        """A transfer's draft, else its stored record, else None."""
        return self._drafts.get(transfer) or self._cache.transfers.records.get(transfer)

    def records(self) -> dict[TransferId, TransferRecord]:
        """All transfers, including drafts."""
        return {**self._cache.transfers.records, **self._drafts}

    def open_records(self) -> dict[TransferId, TransferRecord]:
        """The transfers that have not ended, including drafts."""
        return {name: record for name, record in self.records().items() if record.open}

    def is_drafted(self, transfer: TransferId) -> bool:
        """Whether a transfer has a draft in this pass."""
        return transfer in self._drafts

    def update(self, transfer: TransferId, **fields: object) -> None:
        """Draft a change of some fields of a transfer."""
        record = self.record(transfer)
        assert record is not None
        self._drafts[transfer] = msgspec.structs.replace(record, **fields)

    def cancel(self, transfer: TransferId, reason: str) -> None:
        """Draft the cancellation of a transfer; machines already moved are not moved back."""
        self.update(transfer, state=CANCELLED, draining=[])
        log.info(
            "event=transfer_cancelled transfer=%s reason=%s", transfer, reason.replace(" ", "_")
        )

    def request(self, transfer: TransferId, record: TransferRecord) -> None:
        """Draft a new transfer.

        Earlier transfers of the same type in the opposite direction are cancelled, as many as fit
        into one transaction. Machines that they have not moved yet count as moved by the new one.
        """
        for name, other in self.open_records().items():
            opposite = (other.source, other.target) == (record.target, record.source)
            groupable = len(self._transaction_groups) < MAX_GROUPED_DRAFTS
            if opposite and other.type == record.type and groupable:
                self.cancel(name, "a later move the other way")
                # Written atomically: if only the new transfer were stored, the earlier one would
                # still move machines that the new one already counts as moved.
                self.group((name, transfer), f"request/{transfer}")
                returned = min(other.count - other.moved, record.count - record.moved)
                record = msgspec.structs.replace(record, moved=record.moved + returned)
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
        """Write the drafts of some transfers in one transaction."""
        self._transaction_groups.update(dict.fromkeys(transfers, group_name))

    def group_with_successor(self, transfer: TransferId, successor: TransferId) -> None:
        """Write a transfer and its successor in one transaction: the successor's, if it has one."""
        group_name = self._transaction_groups.setdefault(successor, f"again/{transfer}")
        self._transaction_groups[transfer] = group_name

    @property
    def has_groups(self) -> bool:
        """Whether any drafts of this pass have a transaction group."""
        return bool(self._transaction_groups)

    # Writes

    def writes(self) -> list[ConditionalWrite]:
        """The writes of all drafts, with those of one transaction group next to each other."""
        writes = [
            self.write(transfer, draft, self._transaction_groups.get(transfer, ""))
            for transfer, draft in self._drafts.items()
        ]
        writes.sort(key=lambda write: write.transaction_group)
        return writes

    def write(
        self, transfer: TransferId, record: TransferRecord, transaction_group_name: str = ""
    ) -> ConditionalWrite:
        """The write of one transfer, conditional on the stored version that this pass has read."""
        key = TRANSFERS + transfer
        return ConditionalWrite(
            key,
            msgspec.to_builtins(record),
            self._cache.version(key),
            WritePriority.NORMAL,
            transaction_group=transaction_group_name,
        )
