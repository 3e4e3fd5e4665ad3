"""Selects the machines to move out of a partition: idle ones first, then those empty soonest."""

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

MAX_NAMES_BYTES = 480  # of draining machines' names in a record: half of the smallest value limit
SAMPLE_SIZE = 200  # machines that are compared, in addition to idle ones
# The limit of busy machines that are drained at once, relative to a transfer's candidates and
# draining machines together.
MAX_BUSY_FRACTION = 0.25
UNRECONCILED_WAIT_S = 30.0  # assumed for an unreconciled machine; minimum for a gang's machine


class Candidate(NamedTuple):
    """A machine that may be drained, and the time until it is expected to be empty."""

    expected_wait_s: Seconds
    machine: MachineId


class MachineSelector:
    """Selects machines in one pass, based on the records and the shard owners' statuses."""

    def __init__(
        self,
        now: Seconds,
        cache: WatchCache,
        index: MachineIndex,
        shards: Iterable[ObservedShard],
        gang_machines: Set[MachineId],
    ) -> None:
        self._now = now
        self._cache = cache
        self._index = index
        self._shards = {shard.shard: shard for shard in shards}
        self._gang_machines = gang_machines  # with tasks of gangs, or slots reserved for gangs

    def choose(
        self,
        transfer: TransferRecord,
        excluded: Set[MachineId],
        already_draining: Set[MachineId],
        recently_draining: Set[MachineId],
    ) -> list[MachineId]:
        """Choose further machines for a transfer to drain, by expected time until they are empty.

        Only a few busy machines are drained at the same time, because a draining machine accepts no
        work until it is empty.

        Args:
            transfer: the transfer, which needs further machines.
            excluded: machines that recently did not become empty in time.
            already_draining: machines that any transfer drains in this pass.
            recently_draining: the transfer's machines that have been draining for a short time.
                They count against the limit of busy machines while they are busy. Machines that
                have been draining for long, for example with a long task, do not count.
        """
        candidates = self._candidates(transfer, excluded, already_draining)
        remaining_count = min(
            transfer.unselected_count, MAX_DRAINING_MACHINES - len(transfer.draining)
        )
        remaining_busy = self._remaining_busy_limit(transfer, len(candidates), recently_draining)
        chosen: list[MachineId] = []
        names_bytes = sum(len(machine) + 3 for machine in transfer.draining)
        for expected_wait_s, machine_id in candidates:
            names_bytes += len(machine_id) + 3
            if len(chosen) >= remaining_count or names_bytes > MAX_NAMES_BYTES:
                break
            if expected_wait_s > 0.0:
                if remaining_busy <= 0:
                    break
                remaining_busy -= 1
            chosen.append(machine_id)
        return chosen

    def _candidates(
        self, transfer: TransferRecord, excluded: Set[MachineId], already_draining: Set[MachineId]
    ) -> list[Candidate]:
        """The machines that may be drained, by expected time until they are empty."""
        candidates = []
        for machine_id in self._machines_to_compare(transfer):
            if machine_id in already_draining or machine_id in excluded:
                continue
            if self._cache.transfers.draining_transfer(machine_id) is not None:
                continue
            expected_wait_s = self._expected_wait_s(machine_id, self._cache.machines[machine_id])
            if expected_wait_s is not None:
                candidates.append(Candidate(expected_wait_s, machine_id))
        candidates.sort()
        return candidates

    def _machines_to_compare(self, transfer: TransferRecord) -> Iterable[MachineId]:
        """All machines of the type if they are few, else idle machines and a random sample."""
        machines_of_type = self._index.machines(transfer.source, transfer.type)
        if len(machines_of_type) <= SAMPLE_SIZE:
            return machines_of_type
        shard = self._shards.get(ShardName(transfer.source))
        idle = shard.latest_status.idle if shard is not None else {}
        known_idle = [machine for machine in idle if machine in machines_of_type][
            :MAX_DRAINING_MACHINES
        ]
        rng = random.Random(transfer.generation * MAX_TRANSFER_MACHINES + transfer.moved)
        return dict.fromkeys([*known_idle, *rng.sample(list(machines_of_type), SAMPLE_SIZE)])

    def _remaining_busy_limit(
        self, transfer: TransferRecord, candidate_count: int, recently_draining: Set[MachineId]
    ) -> int:
        """The number of further busy machines that may be drained."""
        limit = max(1, math.ceil(MAX_BUSY_FRACTION * (candidate_count + len(transfer.draining))))
        busy = sum(not self.is_empty(transfer, machine) for machine in recently_draining)
        return limit - busy

    def is_empty(self, transfer: TransferRecord, machine_id: MachineId) -> bool:
        """Whether a machine is proven to have no tasks and to receive none.

        The proof is the status from the shard's owner, or that the machine has not started yet.
        """
        record = self._cache.machines.get(machine_id)
        if record is None or record.terminating or record.shard != transfer.source:
            return False
        if machine_id in self._gang_machines:
            return False
        if not record.up:
            return True  # no task was ever started on the machine
        shard = self._shards.get(ShardName(transfer.source))
        return shard is not None and machine_id in shard.latest_status.drained_machines

    def _expected_wait_s(self, machine_id: MachineId, record: MachineRecord) -> Seconds | None:
        """The expected time in seconds until a machine is empty.

        None if the machine can't be selected: a gang's machine that is still booting, or a machine
        that is leaving or faulty.
        """
        if not record.up:
            return None if machine_id in self._gang_machines else 0.0
        shard = self._shards.get(record.shard)
        status = shard.machines.get(machine_id) if shard is not None else None
        if shard is None or status is None or not status.reconciled:
            return UNRECONCILED_WAIT_S
        if status.leaving or status.faulty:
            return None  # the machine will be terminated
        expected_wait_s = self._tasks_end_in_s(shard, status)
        if machine_id in self._gang_machines:
            expected_wait_s = max(expected_wait_s, UNRECONCILED_WAIT_S)
        return expected_wait_s

    def _tasks_end_in_s(self, shard: ObservedShard, status: MachineStatus) -> Seconds:
        """The time in seconds until a machine's last task is expected to end; 0 without tasks."""
        if not status.ends:
            return 0.0
        # Services never end, so their machines are selected last; they are empty once the replicas
        # have moved.
        last = max(end.at for end in status.ends)
        return min(UNBOUNDED_RUN_S, max(1.0, last + shard.clock_offset_s - self._now))
