"""Which machines go first when a partition gives some: idle ones, then those empty soonest."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Set
from typing import NamedTuple

from dapplewick.core.estimates import UNBOUNDED_RUN_S
from dapplewick.core.leader.observed_shard import ObservedShard
from dapplewick.partitions.index import MachineIndex
from dapplewick.protocol.peers import MachineStatus
from dapplewick.storage.machine_records import MachineRecord
from dapplewick.storage.transfers import (
    MAX_DRAINING_MACHINES,
    MAX_TRANSFER_MACHINES,
    TransferRecord,
)
from dapplewick.storage.watch_cache import WatchCache
from dapplewick.types import MachineId, Seconds, ShardName

MAX_NAMES_BYTES = 480  # of drained machines' names in a record: half of the smallest value limit
SAMPLE_SIZE = 200  # machines that are looked at, beside the idle ones
BUSY_FRACTION = 0.25  # of a shard's busy machines of a type that are drained at the same time
UNRECONCILED_WAIT_S = 30.0  # what a machine of which nothing is known yet counts as


class Candidate(NamedTuple):
    """A machine that could go, and when it is expected to be empty."""

    wait: Seconds
    machine: MachineId


class MachineSelection:
    """Chooses machines in one pass, from the records and from what the shards' owners told."""

    def __init__(
        self,
        now: Seconds,
        cache: WatchCache,
        index: MachineIndex,
        shards: Iterable[ObservedShard],
        placed: Set[MachineId],
    ) -> None:
        self._now = now
        self._cache = cache
        self._index = index
        self._shards = {shard.shard: shard for shard in shards}
        self._placed = placed  # by gangs: their tasks are there, or slots are held for them

    def choose(
        self,
        transfer: TransferRecord,
        avoid: Set[MachineId],
        taken: Set[MachineId],
        waited_for: Set[MachineId],
    ) -> list[MachineId]:
        """Choose more machines for a transfer to drain, those first that are empty soonest.

        Busy ones are drained a few at a time, since a drained machine takes no work until it is
        empty.

        Args:
            transfer: the transfer, which misses some machines.
            avoid: machines that were not empty in time a moment ago.
            taken: machines that some transfer drains in this pass.
            waited_for: drained machines that keep others from being drained; those that are not
                any more, as with a long task, keep none back.
        """
        candidates = self._candidates(transfer, avoid, taken)
        room = min(transfer.missing, MAX_DRAINING_MACHINES - len(transfer.draining))
        busy_left = self._busy_left(transfer, len(candidates), waited_for)
        chosen: list[MachineId] = []
        names_bytes = sum(len(machine) + 3 for machine in transfer.draining)
        for wait, machine_id in candidates:
            names_bytes += len(machine_id) + 3
            if len(chosen) >= room or names_bytes > MAX_NAMES_BYTES:
                break
            if wait > 0.0:
                if busy_left <= 0:
                    break
                busy_left -= 1
            chosen.append(machine_id)
        return chosen

    def _candidates(
        self, transfer: TransferRecord, avoid: Set[MachineId], taken: Set[MachineId]
    ) -> list[Candidate]:
        """The machines that could go, those first that are empty soonest."""
        candidates = []
        for machine_id in self._looked_at(transfer):
            if machine_id in taken or machine_id in avoid:
                continue
            if self._cache.transfers.draining_transfer(machine_id) is not None:
                continue
            wait = self._expected_wait(machine_id, self._cache.machines[machine_id])
            if wait is not None:
                candidates.append(Candidate(wait, machine_id))
        candidates.sort()
        return candidates

    def _looked_at(self, transfer: TransferRecord) -> Iterable[MachineId]:
        """All machines of the kind where they are few, else the idle ones and a sample."""
        there = self._index.machines(transfer.source, transfer.type)
        if len(there) <= SAMPLE_SIZE:
            return there
        shard = self._shards.get(ShardName(transfer.source))
        idle = shard.latest_status.idle if shard is not None else {}
        known_idle = [machine for machine in idle if machine in there][:MAX_DRAINING_MACHINES]
        draw = random.Random(transfer.generation * MAX_TRANSFER_MACHINES + transfer.moved)
        return dict.fromkeys([*known_idle, *draw.sample(list(there), SAMPLE_SIZE)])

    def _busy_left(
        self, transfer: TransferRecord, candidates: int, waited_for: Set[MachineId]
    ) -> int:
        """How many more busy machines may be drained."""
        limit = max(1, math.ceil(BUSY_FRACTION * (candidates + len(transfer.draining))))
        busy = sum(not self.is_empty(transfer, machine) for machine in waited_for)
        return limit - busy

    def is_empty(self, transfer: TransferRecord, machine_id: MachineId) -> bool:
        """Whether the shard's owner has proven that nothing is on a machine, nor may come to it."""
        record = self._cache.machines.get(machine_id)
        if record is None or record.terminating or record.shard != transfer.source:
            return False
        if machine_id in self._placed:
            return False
        if not record.up:
            return True  # nothing was ever started there
        shard = self._shards.get(ShardName(transfer.source))
        return shard is not None and machine_id in shard.latest_status.drained_machines

    def _expected_wait(self, machine_id: MachineId, record: MachineRecord) -> Seconds | None:
        """In how many seconds a machine is expected to be empty.

        None if that can't be said, or never comes.
        """
        if not record.up:
            return None if machine_id in self._placed else 0.0
        shard = self._shards.get(record.shard)
        status = shard.machines.get(machine_id) if shard is not None else None
        if shard is None or status is None or not status.reconciled:
            return UNRECONCILED_WAIT_S
        if status.leaving or status.faulty:
            return None  # it is about to go anyway
        wait = self._last_end(shard, status)
        if machine_id in self._placed:
            wait = max(wait, UNRECONCILED_WAIT_S)
        return wait

    def _last_end(self, shard: ObservedShard, status: MachineStatus) -> Seconds:
        if not status.ends:
            return 0.0
        # Services never end: their machines go last, when the replicas have moved.
        last = max(end.at for end in status.ends)
        return min(UNBOUNDED_RUN_S, max(1.0, last + shard.clock_offset_s - self._now))
