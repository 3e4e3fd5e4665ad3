"""Removes the records of ended transfers and of partitions' unused shards."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from dapplewick.partitions.balancing import blocks_plan
from dapplewick.partitions.index import MachineIndex
from dapplewick.partitions.plan import PartitionPlan
from dapplewick.partitions.transfer_drafts import TransferDrafts
from dapplewick.storage.conditional_write import ConditionalWrite
from dapplewick.storage.keys import SHARDS, TRANSFERS
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.storage.write_priority import WritePriority
from dapplewick.types import Seconds, ShardName, TransferId, partition_of

log = logging.getLogger(__name__)

ENDED_TRANSFER_RETENTION_S = 60.0  # `shares show` lists an ended transfer for this long


class RecordCleaner:
    """Selects the records of transfers and of partitions' shards to remove."""

    def __init__(self, cache: WatchCache, index: MachineIndex, drafts: TransferDrafts) -> None:
        self._cache = cache
        self._index = index
        self._drafts = drafts
        self._end_seen_at: dict[TransferId, Seconds] = {}  # when a pass first observed the end

    def transfer_removals(
        self, now: Seconds, wall_time: Seconds, plan: PartitionPlan
    ) -> list[ConditionalWrite]:
        """The removals of transfers past their retention period that no longer block the plan."""
        removals = []
        for transfer, record in self._cache.transfers.records.items():
            if record.open or self._drafts.is_drafted(transfer):
                continue
            if blocks_plan(plan, record, wall_time):
                continue
            if now - self._end_seen_at.setdefault(transfer, now) > ENDED_TRANSFER_RETENTION_S:
                removals.append(self._removal(TRANSFERS + transfer))
        return removals

    def shard_removals(self, required: Iterable[ShardName]) -> list[ConditionalWrite]:
        """The removals of partitions' shards that are not required and that no record refers to."""
        unused = {s for s in self._cache.shards if partition_of(s)}.difference(required)
        if not unused:
            return []
        unused -= {ShardName(r.target) for r in self._drafts.open_records().values()}
        unused = {shard for shard in unused if not self._index.has_any(shard)}
        for _, job in self._cache.iter_live_jobs():
            unused -= job.assignments.keys()
            if job.gang is not None:
                unused -= job.gang.shards()
        removals = []
        for shard in sorted(unused):
            log.info("event=partition_shard_removed shard=%s", shard)
            removals.append(self._removal(SHARDS + shard))
        return removals

    def _removal(self, key: str) -> ConditionalWrite:
        return ConditionalWrite(key, None, self._cache.version(key), WritePriority.LOW)
