"""The handover of drained machines: the proof that they are empty, and one transaction.

At each revision a machine is in exactly one partition. The transaction names the versions that the
proof rests on, so that it fails if either shard's owner, the transfer or a group has changed.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable

import msgspec

from dapplewick.core.leader.machine_lifecycle import MachineLifecycle
from dapplewick.core.leader.observed_shard import ObservedShard
from dapplewick.partitions.selection import MachineSelection
from dapplewick.partitions.timing import TransferStopwatch
from dapplewick.partitions.transfer_drafts import TransferDrafts
from dapplewick.storage.conditional_write import ConditionalWrite, Precondition
from dapplewick.storage.keys import SHARDS, TRANSFERS
from dapplewick.storage.transfers import COMPLETE, DRAINING, TransferRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import FencingToken, MachineId, Seconds, ShardName, TransferId, partition_of

log = logging.getLogger(__name__)

MAX_HANDED_OVER = 20  # machines in one transaction


class MachineHandover:
    """Hands machines of a transfer over to the receiving shard, once they are proven empty."""

    def __init__(
        self, cache: WatchCache, drafts: TransferDrafts, stopwatch: TransferStopwatch
    ) -> None:
        self._cache = cache
        self._drafts = drafts
        self._stopwatch = stopwatch

    def hand_over(
        self,
        now: Seconds,
        transfer: TransferId,
        selection: MachineSelection,
        shards: Iterable[ObservedShard],
        machine_lifecycle: MachineLifecycle,
    ) -> list[ConditionalWrite]:
        """Hand over machines that are proven empty.

        Returns:
            The writes of one transaction: the groups of both partitions and the transfer, with the
            fencing tokens of both shards as preconditions. Empty if nothing can go.
        """
        record = self._drafts.open_records()[transfer]
        empty = self._empty_machines(transfer, record, selection, shards)
        if not empty:
            return []
        group_name = f"transfer/{transfer}"
        moved = self._move(record, empty, machine_lifecycle, group_name)
        if not moved:
            return []
        changed = _with_moved(record, moved)
        self._stopwatch.note_handed_over(moved, now)
        log.info(
            "event=machines_transferred transfer=%s source=%s target=%s machines=%s state=%s",
            transfer,
            record.source,
            record.target,
            ",".join(moved),
            changed.state,
        )
        if changed.state == COMPLETE:
            self._stopwatch.note_complete(transfer, now)
        write = self._drafts.write(transfer, changed, group_name)
        write = write._replace(preconditions=self._owners_unchanged(record))
        return [*machine_lifecycle.moves(group_name), write]

    def _empty_machines(
        self,
        transfer: TransferId,
        record: TransferRecord,
        selection: MachineSelection,
        shards: Iterable[ObservedShard],
    ) -> list[MachineId]:
        """The machines of a transfer that are proven empty and that an owner waits for."""
        if self._drafts.is_drafted(transfer) or not record.draining:
            return []  # what is drafted is not stored: no owner has seen it
        if not self._owner_has_seen_transfer(transfer, ShardName(record.source), shards):
            return []
        if not self._cache.version(SHARDS + record.target):
            return []  # it has no owner yet
        return [m for m in map(MachineId, record.draining) if selection.is_empty(record, m)]

    def _owner_has_seen_transfer(
        self, transfer: TransferId, source: ShardName, shards: Iterable[ObservedShard]
    ) -> bool:
        """Whether the giving shard's owner has seen the transfer as it is stored.

        What it told before says nothing of what it has started since, as after a transfer was
        cancelled.
        """
        stored = self._cache.version(TRANSFERS + transfer)
        return any(shard.shard == source and shard.seen_revision >= stored for shard in shards)

    def _move(
        self,
        record: TransferRecord,
        empty: list[MachineId],
        machine_lifecycle: MachineLifecycle,
        group_name: str,
    ) -> list[MachineId]:
        """Draft the move of machines of one group, with a new least token for each worker."""
        group = self._cache.group_of[empty[0]]
        going = [m for m in empty if self._cache.group_of[m] == group][:MAX_HANDED_OVER]
        source_token = FencingToken(self._cache.version(SHARDS + record.source))
        floors = {m: self._cache.token_for(m, source_token) + 1 for m in going}
        return machine_lifecycle.move(floors, partition_of(record.target), group_name)

    def _owners_unchanged(self, record: TransferRecord) -> tuple[Precondition, ...]:
        """The conditions that both shards still have the owners that the proof rests on."""
        keys = (SHARDS + record.source, SHARDS + record.target)
        return tuple(Precondition(key, self._cache.version(key)) for key in keys)


def _with_moved(record: TransferRecord, moved: list[MachineId]) -> TransferRecord:
    """A transfer after some of its machines were handed over."""
    left = [machine for machine in record.draining if MachineId(machine) not in moved]
    count = record.moved + len(moved)
    state = COMPLETE if count >= record.count else DRAINING
    return msgspec.structs.replace(record, draining=left, moved=count, state=state)
