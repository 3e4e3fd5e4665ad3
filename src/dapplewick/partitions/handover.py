"""Handover of drained machines that are proven empty, in one transaction.

At each revision a machine is in exactly one partition. The transaction's preconditions are the
versions on which the proof depends, so the transaction fails if the owner of either shard, the
transfer or a machine group has changed.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable

import msgspec

from dapplewick.core.leader.machine_lifecycle import MachineLifecycle
from dapplewick.core.leader.observed_shard import ObservedShard
from dapplewick.partitions.selection import MachineSelector
from dapplewick.partitions.timing import TransferStopwatch
from dapplewick.partitions.transfer_drafts import TransferDrafts
from dapplewick.storage.conditional_write import ConditionalWrite, Precondition
from dapplewick.storage.keys import SHARDS, TRANSFERS
from dapplewick.storage.transfers import COMPLETE, DRAINING, TransferRecord
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import FencingToken, MachineId, Seconds, ShardName, TransferId, partition_of

log = logging.getLogger(__name__)

MAX_HANDOVER_MACHINES = 20  # in one transaction


class HandoverDrafter:
    """Drafts the handover of a transfer's machines to the target shard."""

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
        selector: MachineSelector,
        shards: Iterable[ObservedShard],
        machine_lifecycle: MachineLifecycle,
    ) -> list[ConditionalWrite]:
        """Draft the handover of machines of a transfer that are proven empty.

        Returns:
            The writes of one transaction: the machine groups of both partitions and the transfer,
            with the fencing tokens of both shards as preconditions. Empty if no machine can be
            handed over.
        """
        record = self._drafts.open_records()[transfer]
        empty = self._empty_machines(transfer, record, selector, shards)
        if not empty:
            return []
        group_name = f"transfer/{transfer}"
        moved = self._draft_move(record, empty, machine_lifecycle, group_name)
        if not moved:
            return []
        changed = _with_moved(record, moved)
        self._stopwatch.record_handovers(moved, now)
        log.info(
            "event=machines_transferred transfer=%s source=%s target=%s machines=%s state=%s",
            transfer,
            record.source,
            record.target,
            ",".join(moved),
            changed.state,
        )
        if changed.state == COMPLETE:
            self._stopwatch.record_completion(transfer, now)
        write = self._drafts.write(transfer, changed, group_name)
        write = write._replace(preconditions=self._owner_preconditions(record))
        return [*machine_lifecycle.moves(group_name), write]

    def _empty_machines(
        self,
        transfer: TransferId,
        record: TransferRecord,
        selector: MachineSelector,
        shards: Iterable[ObservedShard],
    ) -> list[MachineId]:
        """The machines of a transfer that are proven empty, if the target shard has an owner."""
        if self._drafts.is_drafted(transfer) or not record.draining:
            return []  # the draft is not stored yet, so no owner has read it
        if not self._owner_has_read_transfer(transfer, ShardName(record.source), shards):
            return []
        if not self._cache.version(SHARDS + record.target):
            return []  # the target shard has no owner yet
        return [m for m in map(MachineId, record.draining) if selector.is_empty(record, m)]

    def _owner_has_read_transfer(
        self, transfer: TransferId, source: ShardName, shards: Iterable[ObservedShard]
    ) -> bool:
        """Whether the source shard's owner has read the stored version of the transfer.

        An earlier status of the owner is no proof, because the owner may have started tasks on
        the machine since, for example after an earlier transfer of the machine was cancelled.
        """
        stored = self._cache.version(TRANSFERS + transfer)
        return any(shard.shard == source and shard.seen_revision >= stored for shard in shards)

    def _draft_move(
        self,
        record: TransferRecord,
        empty: list[MachineId],
        machine_lifecycle: MachineLifecycle,
        group_name: str,
    ) -> list[MachineId]:
        """Draft the move of some machines of one group, with a new minimum token for each worker.

        A transaction moves at most `MAX_HANDOVER_MACHINES`; later passes move the other machines.
        """
        group = self._cache.group_of[empty[0]]
        selected = [m for m in empty if self._cache.group_of[m] == group][:MAX_HANDOVER_MACHINES]
        source_token = FencingToken(self._cache.version(SHARDS + record.source))
        min_tokens = {m: self._cache.token_for(m, source_token) + 1 for m in selected}
        return machine_lifecycle.move(min_tokens, partition_of(record.target), group_name)

    def _owner_preconditions(self, record: TransferRecord) -> tuple[Precondition, ...]:
        """The preconditions that both shards still have the owners on which the proof depends."""
        keys = (SHARDS + record.source, SHARDS + record.target)
        return tuple(Precondition(key, self._cache.version(key)) for key in keys)


def _with_moved(record: TransferRecord, moved: list[MachineId]) -> TransferRecord:
    """The record of a transfer after the handover of some of its machines."""
    remaining = [machine for machine in record.draining if MachineId(machine) not in moved]
    count = record.moved + len(moved)
    state = COMPLETE if count >= record.count else DRAINING
    return msgspec.structs.replace(record, draining=remaining, moved=count, state=state)
