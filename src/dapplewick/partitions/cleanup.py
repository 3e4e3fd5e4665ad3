"""Removal of records that nothing needs any more: ended transfers, and shards of partitions."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from dapplewick.partitions.balancing import holds_off_plan
from dapplewick.partitions.index import MachineIndex
from dapplewick.partitions.plan import PartitionPlan
from dapplewick.partitions.transfer_drafts import TransferDrafts
from dapplewick.storage.conditional_write import ConditionalWrite
from dapplewick.storage.keys import SHARDS, TRANSFERS
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.storage.write_priority import WritePriority
from dapplewick.types import Seconds, ShardName, TransferId, partition_of

log = logging.getLogger(__name__)

KEEP_S = 60.0  # ended transfers are shown for so long


class RecordCleanup:
    """Says which records of transfers and of partitions' shards may go."""

    def __init__(self, cache: WatchCache, index: MachineIndex, drafts: TransferDrafts) -> None:
        self._cache = cache
        self._index = index
        self._drafts = drafts
        self._ended_at: dict[TransferId, Seconds] = {}

    def transfer_removals(
        self, now: Seconds, wall_time: Seconds, plan: PartitionPlan
    ) -> list[ConditionalWrite]:
        """The removal of transfers that ended a while ago and keep the plan from nothing."""
        removals = []
        for transfer, record in self._cache.transfers.records.items():
            if record.open or self._drafts.is_drafted(transfer):
                continue
            if holds_off_plan(plan, record, wall_time):
                continue
            if now - self._ended_at.setdefault(transfer, now) > KEEP_S:
                removals.append(self._removal(TRANSFERS + transfer))
        return removals

    def shard_removals(self, wanted: Iterable[ShardName]) -> list[ConditionalWrite]:
        """The removal of partitions' shards that are not wanted, and that no record names."""
        unwanted = {s for s in self._cache.shards if partition_of(s)}.difference(wanted)
        if not unwanted:
            return []
        unwanted -= {ShardName(r.target) for r in self._drafts.open_records().values()}
        unwanted = {shard for shard in unwanted if not self._index.has_any(shard)}
        for _, job in self._cache.iter_live_jobs():
            unwanted -= job.assignments.keys()
            if job.gang is not None:
                unwanted -= job.gang.shards()
        removals = []
        for shard in sorted(unwanted):
            log.info("event=partition_shard_removed shard=%s", shard)
            removals.append(self._removal(SHARDS + shard))
        return removals

    def _removal(self, key: str) -> ConditionalWrite:
        return ConditionalWrite(key, None, self._cache.version(key), WritePriority.LOW)
